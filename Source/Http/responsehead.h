// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Decides what is the head of an HTTP/1.x response (RFC 9112). libcurl is more tolerant: it takes status 999, two different
/// lengths and a length with letters for the head of a response.

#pragma once

#include "Base/names.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Yokepond::Http {

/// What is wrong with what a server sent as a response.
enum class ResponseFault {
    None,
    StatusLine, ///< not `HTTP/1.x`, a space, three digits, and a space and a reason if there is one
    Status, ///< a status that no response has (RFC 9110, section 15), or one that was not asked for
    FieldName, ///< a line without a colon, or a name with other than token characters
    FieldValue, ///< a control character in a value
    Length, ///< a content-length that is not one decimal number that fits into 63 bits
    Coding, ///< a transfer-encoding other than `chunked`
    TwoLengths, ///< both of them, or one of them twice
    Other, ///< whatever libcurl itself takes for no response, such as a status line with `000`
    Framing, ///< far more bytes than the body and the head hold, such as the extension of a chunk without end
};

inline constexpr Base::NameTable<ResponseFault, 10> responseFaultNames = {{
    {ResponseFault::None, "none"},
    {ResponseFault::StatusLine, "status-line"},
    {ResponseFault::Status, "status"},
    {ResponseFault::FieldName, "field-name"},
    {ResponseFault::FieldValue, "field-value"},
    {ResponseFault::Length, "length"},
    {ResponseFault::Coding, "coding"},
    {ResponseFault::TwoLengths, "two-lengths"},
    {ResponseFault::Other, "other"},
    {ResponseFault::Framing, "framing"},
}};

/// Checks the lines of the heads of one response, interim responses and trailers included.
class ResponseHeadCheck
{
public:
    /// Checks the next line, without its line break. Returns the first fault of all lines so far.
    ResponseFault line(std::string_view text);

    /// Returns the first fault of all lines so far.
    ResponseFault fault() const;

    /// Returns the status of the last status line; 0 if there was none.
    int status() const;

private:
    void statusLine(std::string_view text);
    void field(std::string_view text);
    void contentLength(std::string_view value);
    void transferEncoding(std::string_view value);
    void fail(ResponseFault fault);

    /// What the next line belongs to.
    enum class Part { StatusLine, Head, Trailers };

    ResponseFault m_fault = ResponseFault::None;
    Part m_part = Part::StatusLine;
    int m_status = 0;
    bool m_hasLength = false;
    bool m_hasCoding = false;
};

} // namespace Yokepond::Http
