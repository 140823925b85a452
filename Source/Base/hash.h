// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Hash functions: xxHash for placement and prompt prefixes, SHA-256 for secrets.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Yokepond::Base {

/// Returns the XXH64 hash of @p text. It is the same on all hosts. Not suitable for secrets.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// Returns a hash that depends on every bit of both values. It gives the weights of many pairs when each member of the pairs has
/// been hashed once.
constexpr std::uint64_t combineHashes(std::uint64_t left, std::uint64_t right)
{
    // The finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
    std::uint64_t value = left ^ (right * 0x9e3779b97f4a7c15U);
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

/// Returns the SHA-256 hash of @p text as 64 lower-case hexadecimal digits.
std::string sha256(std::string_view text);

/// Returns the HMAC-SHA-256 of @p text with @p key as lower-case hexadecimal digits.
std::string hmacSha256(std::string_view key, std::string_view text);

/// Compares two texts in a time that depends only on their lengths.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// Returns a random value from the operating system, for incarnations and secrets.
std::uint64_t randomValue();

/// Returns @p value as 16 lower-case hexadecimal digits.
std::string hexadecimal(std::uint64_t value);

} // namespace Yokepond::Base
