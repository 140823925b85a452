// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Abseil's text functions for std::string_view. The distribution's Abseil is built with its own string_view type, which is
/// another one.

#pragma once

#include <absl/status/status.h>
#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>

#include <string>
#include <string_view>
#include <vector>

namespace Yokepond::Base {

inline absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

inline std::string_view fromAbsl(absl::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns the message of a failed status.
inline std::string messageOf(const absl::Status &status)
{
    return std::string(status.message());
}

/// Parses a decimal integer. Returns false if @p text as a whole is not one that fits into @p value.
template<typename Integer>
bool parseInteger(std::string_view text, Integer *value)
{
    return absl::SimpleAtoi(toAbsl(text), value);
}

/// Parses a hexadecimal integer. Returns false if @p text as a whole is not one that fits into @p value.
template<typename Integer>
bool parseHexadecimal(std::string_view text, Integer *value)
{
    return absl::SimpleHexAtoi(toAbsl(text), value);
}

inline bool parseDecimal(std::string_view text, double *value)
{
    return absl::SimpleAtod(toAbsl(text), value);
}

inline std::string_view trimmed(std::string_view text)
{
    return fromAbsl(absl::StripAsciiWhitespace(toAbsl(text)));
}

inline std::string lowerCase(std::string_view text)
{
    return absl::AsciiStrToLower(toAbsl(text));
}

inline bool startsWithIgnoringCase(std::string_view text, std::string_view prefix)
{
    return absl::StartsWithIgnoreCase(toAbsl(text), toAbsl(prefix));
}

/// Removes @p prefix from the beginning of @p text. Returns false if @p text does not begin with it.
inline bool consumePrefix(std::string_view &text, std::string_view prefix)
{
    const bool found = text.starts_with(prefix);
    text.remove_prefix(found ? prefix.size() : 0);
    return found;
}

/// Removes @p suffix from the end of @p text. Returns false if @p text does not end with it.
inline bool consumeSuffix(std::string_view &text, std::string_view suffix)
{
    const bool found = text.ends_with(suffix);
    text.remove_suffix(found ? suffix.size() : 0);
    return found;
}

/// Returns the parts of @p text between separators, as views into @p text.
inline std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    for (const absl::string_view part : absl::StrSplit(toAbsl(text), separator)) {
        parts.push_back(fromAbsl(part));
    }
    return parts;
}

inline std::string encodeBase64(std::string_view bytes)
{
    return absl::Base64Escape(toAbsl(bytes));
}

/// Returns an empty text if @p text is malformed.
inline std::string decodeBase64(std::string_view text)
{
    std::string bytes;
    return absl::Base64Unescape(toAbsl(text), &bytes) ? bytes : std::string();
}

/// Returns the key of an `Authorization: Bearer KEY` header value, or an empty text if it has another form.
inline std::string_view bearerKey(std::string_view header)
{
    constexpr std::string_view scheme = "bearer ";
    return startsWithIgnoringCase(header, scheme) ? trimmed(header.substr(scheme.size())) : std::string_view();
}

} // namespace Yokepond::Base
