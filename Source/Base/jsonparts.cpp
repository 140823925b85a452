// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/jsonparts.h"

#include "Base/text.h"

#include <algorithm>
#include <cstddef>
#include <ranges>

namespace Yokepond::Base {

namespace {

/// Finds the commas and the end of a bracketed text, byte by byte.
class BracketScanner
{
public:
    /// Takes the next byte. Returns whether it separates two parts of the outermost brackets.
    bool separates(char byte)
    {
        if (m_inText) {
            m_inText = m_escaped || byte != '"';
            m_escaped = !m_escaped && byte == '\\';
            return false;
        }
        m_inText = byte == '"';
        const bool opens = byte == '[' || byte == '{';
        const bool closes = byte == ']' || byte == '}';
        m_unopened = m_unopened || (closes && m_depth == 0);
        m_depth += opens ? 1 : 0;
        m_depth -= closes && m_depth > 0 ? 1 : 0;
        return byte == ',' && m_depth == 0;
    }

    /// Returns whether every text and every bracket that was opened was closed, and no other.
    bool isComplete() const
    {
        return !m_inText && m_depth == 0 && !m_unopened;
    }

private:
    bool m_inText = false;
    bool m_escaped = false;
    bool m_unopened = false; ///< a bracket was closed that had not been opened
    std::size_t m_depth = 0;
};

/// Returns the parts between the commas within the brackets @p open and @p close, or nothing if @p text has other ends.
std::optional<std::vector<std::string_view>> splitBracketed(std::string_view text, char open, char close)
{
    text = trimmed(text);
    if (text.size() < 2 || text.front() != open || text.back() != close) {
        return std::nullopt;
    }
    const std::string_view inner = trimmed(text.substr(1, text.size() - 2));
    std::vector<std::string_view> parts;
    BracketScanner scanner;
    std::size_t begin = 0;
    for (std::size_t index = 0; index < inner.size(); ++index) {
        if (scanner.separates(inner[index])) {
            parts.push_back(trimmed(inner.substr(begin, index - begin)));
            begin = index + 1;
        }
    }
    if (!scanner.isComplete()) {
        return std::nullopt;
    }
    if (!inner.empty()) {
        parts.push_back(trimmed(inner.substr(begin)));
    }
    return parts;
}

/// Returns the index of the quote that ends the JSON text at the beginning of @p json, or npos.
std::size_t endOfText(std::string_view json)
{
    bool escaped = false;
    for (std::size_t index = 1; index < json.size(); ++index) {
        if (!escaped && json[index] == '"') {
            return index;
        }
        escaped = !escaped && json[index] == '\\';
    }
    return std::string_view::npos;
}

std::optional<JsonMember> splitMember(std::string_view json)
{
    const std::size_t quote = json.starts_with('"') ? endOfText(json) : std::string_view::npos;
    if (quote == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view rest = trimmed(json.substr(quote + 1));
    if (!consumePrefix(rest, ":")) {
        return std::nullopt;
    }
    return JsonMember {json.substr(1, quote - 1), trimmed(rest)};
}

} // namespace

std::optional<std::vector<std::string_view>> jsonElements(std::string_view text)
{
    return splitBracketed(text, '[', ']');
}

std::optional<std::vector<JsonMember>> jsonMembers(std::string_view text)
{
    const auto parts = splitBracketed(text, '{', '}');
    if (!parts) {
        return std::nullopt;
    }
    std::vector<JsonMember> members;
    for (const std::string_view part : *parts) {
        const auto member = splitMember(part);
        if (!member) {
            return std::nullopt;
        }
        members.push_back(*member);
    }
    return members;
}

std::string_view jsonMember(const std::vector<JsonMember> &members, std::string_view name)
{
    const auto reversed = members | std::views::reverse;
    const auto found = std::ranges::find(reversed, name, &JsonMember::name);
    return found == reversed.end() ? std::string_view() : found->value;
}

} // namespace Yokepond::Base
