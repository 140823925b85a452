// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Http/responsehead.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace Yokepond::Http;

namespace {

ResponseFault faultOf(const std::vector<std::string> &lines)
{
    ResponseHeadCheck check;
    for (const std::string &line : lines) {
        check.line(line);
    }
    return check.fault();
}

void checkFault(ResponseFault expected, const std::vector<std::string> &lines)
{
    const std::string expectedName(Yokepond::Base::nameOf(responseFaultNames, expected));
    const std::string name(Yokepond::Base::nameOf(responseFaultNames, faultOf(lines)));
    STRCMP_EQUAL_TEXT(expectedName.c_str(), name.c_str(), lines.back().c_str());
}

} // namespace

TEST_GROUP(ResponseHead) {};

// Guards against callers that get an answer whose status no answer has.
TEST(ResponseHead, onlyThreeDigitsFrom100To599AreAStatus)
{
    for (const char *status : {"100", "103", "200", "204", "299", "404", "599"}) {
        checkFault(ResponseFault::None, {std::string("HTTP/1.1 ") + status + " Word"});
    }
    for (const char *status : {"000", "001", "099", "600", "700", "999", "101"}) {
        checkFault(ResponseFault::Status, {std::string("HTTP/1.1 ") + status + " Word"});
    }
    for (const char *status : {"0", "00", "99", "1000", "0200", "200.5", "+20", "-20", " 200", "2x0", "", "OK"}) {
        checkFault(ResponseFault::StatusLine, {std::string("HTTP/1.1 ") + status + " Word"});
    }
}

// Guards against callers that get what another protocol's server sent, or a line that only looks like a status line.
TEST(ResponseHead, theStatusLineNamesItsProtocol)
{
    for (const char *line :
         {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 Very  well \xc3\xa9"}) {
        checkFault(ResponseFault::None, {line});
    }
    for (const char *line :
         {"HTTP/2 200 OK", "HTTP/2.0 200 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "http/1.1 200 OK", "HTTP/1 200 OK",
          "HTTP/1.x 200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x01K", "HTTP/1.1", "ICY 200 OK", "x"}) {
        checkFault(ResponseFault::StatusLine, {line});
    }
}

// Guards against answers that are cut or spliced, because their length is not what the head seems to say.
TEST(ResponseHead, aBodyHasOneLengthOrChunks)
{
    const std::string ok = "HTTP/1.1 200 OK";
    for (const char *field : {"Content-Length: 64", "content-length:0", "Content-Length: \t64  ", "Transfer-Encoding: chunked",
                              "transfer-encoding:Chunked"}) {
        checkFault(ResponseFault::None, {ok, field, ""});
    }
    for (const char *value : {"64x", "x", "", "-1", "+1", "0x40", "6 4", "3, 3", "64;", "1.0", "99999999999999999999"}) {
        checkFault(ResponseFault::Length, {ok, std::string("Content-Length: ") + value});
    }
    for (const char *value : {"gzip", "gzip, chunked", "chunked, chunked", "identity", "", "chunkedx"}) {
        checkFault(ResponseFault::Coding, {ok, std::string("Transfer-Encoding: ") + value});
    }
    checkFault(ResponseFault::TwoLengths, {ok, "Content-Length: 3", "Content-Length: 64"});
    checkFault(ResponseFault::TwoLengths, {ok, "Content-Length: 3", "Content-Length: 3"});
    checkFault(ResponseFault::TwoLengths, {ok, "Content-Length: 3", "Transfer-Encoding: chunked"});
    checkFault(ResponseFault::TwoLengths, {ok, "Transfer-Encoding: chunked", "Content-Length: 3"});
}

// Guards against fields that change the head which callers get, or that were never sent as fields.
TEST(ResponseHead, fieldsHaveTokensForNamesAndNoControlCharacters)
{
    const std::string ok = "HTTP/1.1 200 OK";
    for (const char *line : {"Name: value", "name:", "X-A!#$%&'*+-.^_`|~9: \xc3\xa9 \t \"", "n:a:b"}) {
        checkFault(ResponseFault::None, {ok, line});
    }
    for (const std::string line :
         {"Name", ": value", "Na me: value", "Name : value", " folded", "\tfolded: x", "N\x01: v", "N\xc3\xa9: v"}) {
        checkFault(ResponseFault::FieldName, {ok, line});
    }
    for (const std::string &value : {std::string("a\rb"), std::string("a\0b", 3), std::string("a\x7f"), std::string("\x1b[1m")}) {
        checkFault(ResponseFault::FieldValue, {ok, "Name: " + value});
    }
}

// Guards against proper answers that are taken for broken ones after an interim response, and before trailers.
TEST(ResponseHead, interimResponsesAndTrailersAreNoSecondHead)
{
    ResponseHeadCheck check;
    for (const char *line : {"HTTP/1.1 103 Early Hints", "Link: </a>", "", "HTTP/1.1 100 Continue", "", "HTTP/1.1 200 OK",
                             "Transfer-Encoding: chunked", "", "Checksum: 1", ""}) {
        CHECK_TRUE(check.line(line) == ResponseFault::None);
    }
    CHECK_EQUAL(200, check.status());
    check.line("HTTP/1.1 500 Spliced");
    CHECK_EQUAL(200, check.status());
    CHECK_TRUE(check.fault() == ResponseFault::FieldName);
}
