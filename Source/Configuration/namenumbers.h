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

/// Returns 32 bits of a hash of @p text, which identifies an object. It is never 0, which stands for none. Another
/// @p round gives an independent number.
std::uint32_t nameNumber(std::string_view text, std::uint64_t round = 0);

/// Two or more names that have the same nameNumber().
struct NameCollision
{
    std::uint32_t number = 0; ///< the common number, which stands for none of them
    std::vector<std::string> names;

    bool operator==(const NameCollision &) const = default;
};

/// A name and its number.
struct NumberedName
{
    std::string text;
    std::uint32_t number = 0; ///< nameNumber() of the text
};

/// Gives each of the @p names whose numbers collide a number of its own. The common number then stands for none of them, because
/// a host that does not know all of the names uses it for one of them. The result depends on the names alone, not on their order.
/// Returns the collisions, sorted by number.
std::vector<NameCollision> separate(std::vector<NumberedName> &names);

/// Returns whether two of @p numbers are equal.
bool haveEqualNumbers(std::vector<std::uint32_t> numbers);

} // namespace Yokepond::Configuration
