// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The HTTP messages that the server and the client pass to their users.

#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Yokepond::Http {

struct Header
{
    std::string name; ///< lower case
    std::string value;
};

using Headers = std::vector<Header>;

/// Returns the value of the first header called @p name (lower case), or nothing.
inline std::optional<std::string_view> headerValue(const Headers &headers, std::string_view name)
{
    const auto header = std::ranges::find(headers, name, &Header::name);
    return header == headers.end() ? std::nullopt : std::optional<std::string_view>(header->value);
}

/// A request that has been received completely.
struct Request
{
    std::string method;
    std::string path; ///< without the query part
    std::string query; ///< the text after '?', without the '?'; percent-encoded
    std::string target; ///< path and query exactly as in the request line, not decoded
    Headers headers;
    std::string body;
};

/// A complete response.
struct Response
{
    int status = 200;
    Headers headers;
    std::string body;
};

inline constexpr std::string_view jsonType = "application/json";
inline constexpr std::string_view eventStreamType = "text/event-stream";
inline constexpr std::string_view textType = "text/plain; charset=utf-8";

} // namespace Yokepond::Http
