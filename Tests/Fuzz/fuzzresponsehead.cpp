// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

// Compares Http::ResponseHeadCheck with a reference that is written another way: by regular expressions.

#include "Http/responsehead.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <regex>
#include <string>
#include <vector>

using namespace Yokepond;

namespace {

std::vector<std::string> linesOf(const std::string &text)
{
    std::vector<std::string> lines(1);
    for (const char character : text) {
        if (character == '\n') {
            lines.emplace_back();
        } else {
            lines.back().push_back(character);
        }
    }
    return lines;
}

/// Returns the status of a line that may begin a head.
std::optional<int> statusOf(const std::string &line)
{
    static const std::regex form("HTTP/1\\.[0-9] ([1-5][0-9]{2})( [\\t\\x20-\\x7e\\x80-\\xff]*)?");
    std::smatch match;
    if (!std::regex_match(line, match, form) || match[1] == "101") {
        return std::nullopt;
    }
    return std::atoi(match[1].str().c_str());
}

bool isField(const std::string &line)
{
    static const std::regex form("[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\\t\\x20-\\x7e\\x80-\\xff]*");
    // Spaces of any kind may end a line.
    const std::size_t end = line.find_last_not_of(" \t\r\n\v\f");
    const std::size_t colon = line.find(':');
    const std::size_t begin = colon == std::string::npos ? colon : line.find_first_not_of(" \t\r\n\v\f", colon + 1);
    if (begin == std::string::npos || end == std::string::npos || begin > end) {
        return colon != std::string::npos && std::regex_match(line.substr(0, colon + 1), form);
    }
    return std::regex_match(line.substr(0, colon + 1) + line.substr(begin, end + 1 - begin), form);
}

/// Returns whether @p line says how long the body is, and in a form that is allowed.
bool isFraming(const std::string &line, bool &isAllowed)
{
    static const std::regex framing("(content-length|transfer-encoding):[^]*", std::regex::icase);
    static const std::regex allowed("(content-length:[\\s]*0*[0-9]{1,18}|transfer-encoding:[\\s]*chunked)[\\s]*",
                                    std::regex::icase);
    static const std::regex long19("content-length:[\\s]*0*([0-9]{19})[\\s]*", std::regex::icase);
    std::smatch match;
    isAllowed
        = std::regex_match(line, allowed) || (std::regex_match(line, match, long19) && match[1].str() <= "9223372036854775807");
    return std::regex_match(line, framing);
}

/// Returns whether all of the @p lines can be part of one response: interim heads, the final one, and trailers.
bool accepts(const std::vector<std::string> &lines)
{
    constexpr int firstFinal = 200;
    std::optional<int> status; // of the present head; none before a head
    bool inTrailers = false;
    int framings = 0;
    for (const std::string &line : lines) {
        if (line.empty()) {
            inTrailers = inTrailers || (status && *status >= firstFinal);
            status.reset();
        } else if (!inTrailers && !status) {
            status = statusOf(line);
            framings = 0;
            if (!status) {
                return false;
            }
        } else if (!isField(line)) {
            return false;
        } else if (bool isAllowed = false; !inTrailers && *status >= firstFinal && isFraming(line, isAllowed)) {
            ++framings;
            if (!isAllowed || framings > 1) {
                return false;
            }
        }
    }
    return true;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::vector<std::string> lines = linesOf({reinterpret_cast<const char *>(data), size});
    Http::ResponseHeadCheck check;
    for (const std::string &line : lines) {
        check.line(line);
    }
    if ((check.fault() == Http::ResponseFault::None) != accepts(lines)) {
        std::abort();
    }
    return 0;
}
