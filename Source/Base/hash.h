// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Hashes: xxhash for placement and prefixes, SHA-256 for secrets.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Yokepond::Base {

/// XXH64 of @p text; equal on all hosts, not for secrets.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// A number that depends on every bit of both: for weights of many pairs, each of whose members was hashed once.
constexpr std::uint64_t combineHashes(std::uint64_t left, std::uint64_t right)
{
    // The finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
    std::uint64_t value = left ^ (right * 0x9e3779b97f4a7c15U);
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

/// SHA-256 of @p text as 64 lower-case hexadecimal digits.
std::string sha256(std::string_view text);

/// HMAC-SHA-256 of @p text under @p key as lower-case hexadecimal digits.
std::string hmacSha256(std::string_view key, std::string_view text);

/// Whether the two texts are equal, in a time that depends on their lengths only.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// A value from the operating system's random source, for incarnations and secrets.
std::uint64_t randomValue();

/// @p value as 16 lower-case hexadecimal digits.
std::string hexadecimal(std::uint64_t value);

} // namespace Yokepond::Base
