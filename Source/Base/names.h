// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Tables that map the values of an `enum class` to the names used in settings, logs and responses.

#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace Yokepond::Base {

/// A table of (value, name) pairs in which each value and each name is unique.
template<typename Enum, std::size_t Size>
using NameTable = std::array<std::pair<Enum, std::string_view>, Size>;

/// Returns the name of @p value, or "unknown" if the table does not have it.
template<typename Enum, std::size_t Size>
constexpr std::string_view nameOf(const NameTable<Enum, Size> &table, Enum value)
{
    const auto entry = std::ranges::find(table, value, &std::pair<Enum, std::string_view>::first);
    return entry == table.end() ? std::string_view("unknown") : entry->second;
}

/// Returns the value with name @p name, or nothing if the table does not have it.
template<typename Enum, std::size_t Size>
constexpr std::optional<Enum> valueOf(const NameTable<Enum, Size> &table, std::string_view name)
{
    const auto entry = std::ranges::find(table, name, &std::pair<Enum, std::string_view>::second);
    return entry == table.end() ? std::nullopt : std::optional<Enum>(entry->first);
}

} // namespace Yokepond::Base
