// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Http/responsehead.h"

#include "Base/text.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <cstdint>

namespace Yokepond::Http {

namespace {

constexpr int firstStatus = 100;
constexpr int firstFinalStatus = 200;
constexpr int lastStatus = 599;
constexpr int switchingProtocols = 101;

bool isDigit(char character)
{
    return absl::ascii_isdigit(static_cast<unsigned char>(character));
}

/// Returns whether @p character may stand in the name of a field (RFC 9110, section 5.6.2).
bool isTokenCharacter(char character)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) || marks.find(character) != std::string_view::npos;
}

/// Returns whether @p character may stand in a value or a reason: anything but control characters, of which a tab may.
bool isTextCharacter(char character)
{
    return character == '\t' || !absl::ascii_iscntrl(static_cast<unsigned char>(character));
}

/// Returns the status of a status line, or none if it is malformed.
std::optional<int> parseStatusLine(std::string_view text)
{
    constexpr std::string_view protocol = "HTTP/1.";
    constexpr std::size_t statusAt = protocol.size() + 2; // after the minor version and a space
    constexpr std::size_t statusEnd = statusAt + 3;
    const bool beginsWell = text.starts_with(protocol) && text.size() >= statusEnd && isDigit(text[protocol.size()])
        && text[protocol.size() + 1] == ' ' && std::ranges::all_of(text.substr(statusAt, 3), isDigit);
    if (!beginsWell) {
        return std::nullopt;
    }
    const std::string_view rest = text.substr(statusEnd);
    const bool endsWell = rest.empty() || (rest.front() == ' ' && std::ranges::all_of(rest, isTextCharacter));
    int status = 0;
    return endsWell && Base::parseInteger(text.substr(statusAt, 3), &status) ? std::optional(status) : std::nullopt;
}

} // namespace

ResponseFault ResponseHeadCheck::line(std::string_view text)
{
    if (text.empty()) {
        // An interim response is followed by another head, the final one by the body and its trailers.
        m_part = m_status < firstFinalStatus ? Part::StatusLine : Part::Trailers;
    } else if (m_part == Part::StatusLine) {
        statusLine(text);
    } else {
        field(text);
    }
    return m_fault;
}

ResponseFault ResponseHeadCheck::fault() const
{
    return m_fault;
}

int ResponseHeadCheck::status() const
{
    return m_status;
}

void ResponseHeadCheck::statusLine(std::string_view text)
{
    m_part = Part::Head;
    m_hasLength = false;
    m_hasCoding = false;
    const std::optional<int> status = parseStatusLine(text);
    if (!status) {
        fail(ResponseFault::StatusLine);
        return;
    }
    m_status = *status;
    if (m_status < firstStatus || m_status > lastStatus || m_status == switchingProtocols) {
        fail(ResponseFault::Status);
    }
}

void ResponseHeadCheck::field(std::string_view text)
{
    const std::size_t colon = text.find(':');
    const std::string_view name = text.substr(0, colon);
    if (colon == std::string_view::npos || name.empty() || !std::ranges::all_of(name, isTokenCharacter)) {
        fail(ResponseFault::FieldName);
        return;
    }
    const std::string_view value = Base::trimmed(text.substr(colon + 1));
    if (!std::ranges::all_of(value, isTextCharacter)) {
        fail(ResponseFault::FieldValue);
        return;
    }
    // The body's end follows from a final head alone; trailers don't count (RFC 9110, section 6.5.1).
    if (m_part != Part::Head || m_status < firstFinalStatus) {
        return;
    }
    const std::string lowerName = Base::lowerCase(name);
    if (lowerName == "content-length") {
        contentLength(value);
    } else if (lowerName == "transfer-encoding") {
        transferEncoding(value);
    }
}

void ResponseHeadCheck::contentLength(std::string_view value)
{
    std::int64_t length = 0;
    if (value.empty() || !std::ranges::all_of(value, isDigit) || !Base::parseInteger(value, &length)) {
        fail(ResponseFault::Length);
    }
    if (m_hasLength || m_hasCoding) {
        fail(ResponseFault::TwoLengths);
    }
    m_hasLength = true;
}

void ResponseHeadCheck::transferEncoding(std::string_view value)
{
    if (Base::lowerCase(value) != "chunked") {
        fail(ResponseFault::Coding);
    }
    if (m_hasLength || m_hasCoding) {
        fail(ResponseFault::TwoLengths);
    }
    m_hasCoding = true;
}

void ResponseHeadCheck::fail(ResponseFault fault)
{
    m_fault = m_fault == ResponseFault::None ? fault : m_fault;
}

} // namespace Yokepond::Http
