// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/json.h"

#include "Base/error.h"
#include "Base/text.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <limits>

using namespace Yokepond;
using namespace Yokepond::Base;

namespace {

std::string repeated(std::string_view text, std::size_t count)
{
    std::string whole;
    for (std::size_t index = 0; index < count; ++index) {
        whole += text;
    }
    return whole;
}

std::string arrays(std::size_t depth)
{
    return repeated("[", depth) + repeated("]", depth);
}

std::string objects(std::size_t depth)
{
    return repeated(R"({"":)", depth) + "1" + repeated("}", depth);
}

std::string messageFor(std::string_view text)
{
    const auto decoded = decodeJson(text);
    CHECK_FALSE(decoded.ok());
    CHECK_TRUE(errorKind(decoded.status()) == ErrorKind::InvalidValue);
    CHECK_TRUE(decodeJsonOrDiscard(text).is_discarded());
    return messageOf(decoded.status());
}

} // namespace

TEST_GROUP(Json) {};

TEST(Json, valuesOfEachTypeAreDecoded)
{
    const auto decoded = decodeJson("\xEF\xBB\xBF {\"text\": \"\\u00e9\\n\\\"[{\", \"list\": [1, -2, 0.5, true, null, {}, []], "
                                    "\"object\": {\"a\": {\"b\": 3}}}\n");
    CHECK_TRUE(decoded.ok());
    STRCMP_EQUAL("{\"list\":[1,-2,0.5,true,null,{},[]],\"object\":{\"a\":{\"b\":3}},\"text\":\"\xC3\xA9\\n\\\"[{\"}",
                 decoded->dump().c_str());
    CHECK_TRUE((*decoded)["list"][0].is_number_unsigned());
    CHECK_TRUE((*decoded)["list"][1].is_number_integer());
    STRCMP_EQUAL("7", decodeJson(" 7 ")->dump().c_str());
    STRCMP_EQUAL("\"a\"", decodeJson("\"a\"")->dump().c_str());
}

TEST(Json, ofTwoMembersOfOneNameTheLastCounts)
{
    STRCMP_EQUAL(R"({"a":[2]})", decodeJson(R"({"a": {"b": 1}, "a": [2]})")->dump().c_str());
}

// Guards against a text whose value overflows the stack where it is copied or written.
TEST(Json, textsAreDecodedUpToTheBoundOfDepth)
{
    CHECK_TRUE(decodeJson(arrays(maxJsonDepth)).ok());
    CHECK_TRUE(decodeJson(objects(maxJsonDepth)).ok());
    for (const std::size_t depth : {maxJsonDepth + 1, std::size_t {100'000}, std::size_t {1'000'000}}) {
        for (const std::string &text : {arrays(depth), objects(depth), repeated("[", depth), repeated("[{\"a\":", depth)}) {
            STRCMP_CONTAINS("nested more than 128 levels deep", messageFor(text).c_str());
        }
    }
}

TEST(Json, levelsThatAreClosedDoNotCount)
{
    CHECK_TRUE(decodeJson("[" + repeated(arrays(maxJsonDepth - 1) + ",", 100) + "1]").ok());
}

TEST(Json, bracketsInTextsDoNotCount)
{
    const std::string brackets = repeated("[{", 1000);
    CHECK_TRUE(decodeJson(fmt::format(R"(["{}\"{}\\"])", brackets, brackets)).ok());
}

TEST(Json, theErrorSaysWhereTheBoundIsExceeded)
{
    // One level is open before the brackets that exceed the bound; the brackets in texts and closed ones do not count.
    const std::string before = R"(["[[\"[\\", [], {"a": "}"}, )";
    const std::string text = before + arrays(maxJsonDepth) + "]";
    STRCMP_EQUAL(fmt::format("arrays and objects are nested more than 128 levels deep, at byte {} of {}",
                             before.size() + maxJsonDepth, text.size())
                     .c_str(),
                 messageFor(text).c_str());
}

TEST(Json, textsThatAreNotJsonAreReported)
{
    for (const std::string_view text :
         {"",    " ",      "{",           "[1",       "[1,]",         "{\"a\"}",          "{a:1}",    "nul",
          "1 2", "\"open", "\"\\ud800\"", "\"\xFF\"", "\"\xC0\x80\"", "\"\xED\xA0\x80\"", "\"a\nb\"", "01",
          "+1",  "1.",     "NaN",         "Infinity", "[1]x",         "\xFE\xFF"}) {
        STRCMP_CONTAINS("the text is not valid JSON, at byte ", messageFor(text).c_str());
    }
    STRCMP_EQUAL("the text is not valid JSON, at byte 5 of 6", messageFor("[1, x]").c_str());
}

/// The message goes into logs and responses, whose lines are bounded.
TEST(Json, theErrorDoesNotRepeatTheText)
{
    CHECK_TRUE(messageFor("\"" + std::string(100'000, 'x')).size() < 100);
    CHECK_TRUE(messageFor("[" + std::string(100'000, '9') + "]").size() < 100);
}

TEST(Json, numbersOutOfRangeAreReported)
{
    const std::string digits(60'000, '9');
    for (const std::string &number : {std::string("1e999"), std::string("-1e999"), digits, "-" + digits}) {
        STRCMP_CONTAINS("a number is too large", messageFor(fmt::format(R"({{"a": [{}]}})", number)).c_str());
    }
    CHECK_TRUE(decodeJson("18446744073709551615")->get<std::uint64_t>() == std::numeric_limits<std::uint64_t>::max());
    CHECK_TRUE(decodeJson("18446744073709551616")->is_number_float());
    CHECK_TRUE(decodeJson("-9223372036854775808")->get<std::int64_t>() == std::numeric_limits<std::int64_t>::min());
    CHECK_TRUE(decodeJson("1e-999")->is_number_float());
}
