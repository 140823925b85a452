// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Numbers that are derived from names. Every host derives the same numbers from the same names, without agreement between hosts.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Yokepond::Configuration {

/// Returns 32 bits of a hash of @p text, which names a thing and its kind. It is never 0, which stands for no thing. Another
/// @p round gives an independent number.
std::uint32_t nameNumber(std::string_view text, std::uint64_t round = 0);

/// Two or more names that have the same nameNumber().
struct NameMeeting
{
    std::uint32_t number = 0; ///< it stands for none of them
    std::vector<std::string> names;

    bool operator==(const NameMeeting &) const = default;
};

/// A name and its number.
struct NumberedName
{
    std::string text;
    std::uint32_t number = 0; ///< nameNumber() of the text
};

/// Gives each of the @p names that meet in a number one of its own. The number in which they met then stands for nothing: a host
/// that has not heard of all names takes it for one of them, and must not be believed. The result depends on the names alone, not
/// on their order. Returns the meetings, sorted by number.
std::vector<NameMeeting> separate(std::vector<NumberedName> &names);

/// Returns whether two of @p numbers are equal.
bool haveEqualNumbers(std::vector<std::uint32_t> numbers);

} // namespace Yokepond::Configuration
