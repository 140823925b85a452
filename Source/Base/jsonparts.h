// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Splits JSON text into its parts without decoding them, so that one part that cannot be decoded does not make the others
/// useless. Nothing here recurses.

#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace Yokepond::Base {

/// A member of a JSON object, as views into the object's text.
struct JsonMember
{
    std::string_view name; ///< as JSON, without the quotes
    std::string_view value; ///< as JSON
};

/// Returns the elements of the JSON list @p text as they are written, or nothing if it is not a list. Only quotes, brackets and
/// commas are checked; an element may be no JSON at all.
std::optional<std::vector<std::string_view>> jsonElements(std::string_view text);

/// Returns the members of the JSON object @p text as they are written, or nothing if it is not an object. Of the values, only
/// quotes, brackets and commas are checked.
std::optional<std::vector<JsonMember>> jsonMembers(std::string_view text);

/// Returns the value of the member called @p name, the last one if there are several, or an empty text if there is none.
std::string_view jsonMember(const std::vector<JsonMember> &members, std::string_view name);

} // namespace Yokepond::Base
