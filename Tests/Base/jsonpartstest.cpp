// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/jsonparts.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <string>

using namespace Yokepond;
using Base::jsonElements;
using Base::jsonMember;
using Base::jsonMembers;

namespace {

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

} // namespace

TEST_GROUP(JsonParts) {};

TEST(JsonParts, elementsAreReturnedAsTheyAreWritten)
{
    const auto elements = jsonElements(R"( [ 1 , "a,]\"}" , {"x":[1,2]} , nonsense, ""] )");
    CHECK_TRUE(elements.has_value());
    CHECK_TRUE(*elements == (std::vector<std::string_view> {"1", R"("a,]\"}")", R"({"x":[1,2]})", "nonsense", R"("")"}));
    CHECK_TRUE(jsonElements("[]")->empty());
    CHECK_TRUE(jsonElements("[ ]")->empty());
}

TEST(JsonParts, membersAreReturnedAsTheyAreWritten)
{
    const auto members = jsonMembers(R"({"a":1, "b" : {"a":2}, "a":1e999,"\"":"\\"})");
    CHECK_TRUE(members.has_value());
    CHECK_EQUAL(4U, members->size());
    CHECK_TRUE(jsonMember(*members, "a") == "1e999");
    CHECK_TRUE(jsonMember(*members, "b") == R"({"a":2})");
    CHECK_TRUE(jsonMember(*members, R"(\")") == R"("\\")");
    CHECK_TRUE(jsonMember(*members, "c").empty());
}

TEST(JsonParts, whatIsNoListOrObjectHasNoParts)
{
    for (const char *text : {"", " ", "[", "]", "[1", "1]", "[1]]", "[[1]", "[1],[2]", "[\"]", "[\"\\\"]", "{}", "null"}) {
        CHECK_FALSE(jsonElements(text).has_value());
    }
    for (const char *text : {"", "{", "}", "{\"a\":1", "{\"a\"}", "{a:1}", "{\"a\":1,}", "{\"a\":1}{\"b\":1}", "{\"a:1}", "[]"}) {
        CHECK_FALSE(jsonMembers(text).has_value());
    }
}

// Guards against processes that end at a value which is nested as deeply as a row may hold.
TEST(JsonParts, deeplyNestedPartsAreReturnedWhole)
{
    constexpr std::size_t levels = 1'000'000;
    const std::string deep = nested(levels);
    const std::string list = fmt::format("[1,{},2]", deep);
    const auto elements = jsonElements(list);
    CHECK_EQUAL(3U, elements->size());
    CHECK_TRUE((*elements)[1] == deep);
    const std::string row = fmt::format(R"({{"x":{},"y":2}})", deep);
    CHECK_TRUE(jsonMember(*jsonMembers(row), "y") == "2");
}
