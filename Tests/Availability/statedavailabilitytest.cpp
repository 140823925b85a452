// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Availability/statedavailability.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Availability;

TEST_GROUP(StatedAvailability) {StatedAvailability leaving(const char *text) {return parseStatedAvailability({.leaving = text});
}

StatedAvailability rest(const char *text, std::optional<std::string_view> date = {})
{
    return parseStatedAvailability({.retryAfter = text, .date = date});
}
}
;

TEST(StatedAvailability, anAnswerThatSaysNothingChangesNothing)
{
    const StatedAvailability stated = parseStatedAvailability({});
    CHECK_FALSE(stated.leaves || stated.unreadable);
    CHECK_TRUE(stated.rest == Base::Duration::zero());
}

TEST(StatedAvailability, leavingIsOneOrZeroAndNothingElse)
{
    CHECK_TRUE(leaving("1").leaves);
    CHECK_TRUE(leaving(" 1 ").leaves);
    CHECK_FALSE(leaving("0").leaves || leaving("0").unreadable);
    for (const char *text : {"", "yes", "true", "2", "1.0", "-1", "1 1"}) {
        CHECK_FALSE(leaving(text).leaves);
        CHECK_TRUE(leaving(text).unreadable);
    }
}

TEST(StatedAvailability, aRestIsADecimalNumberOfSeconds)
{
    CHECK_TRUE(rest("3").rest == std::chrono::seconds(3));
    CHECK_TRUE(rest(" 0.25 ").rest == std::chrono::milliseconds(250));
    CHECK_TRUE(rest("0").rest == Base::Duration::zero());
    CHECK_FALSE(rest("0").unreadable);
    for (const char *text : {"", "-1", "soon", "1 2", "nan", "inf", "1e3", "0x10", "1,5", "3s"}) {
        CHECK_TRUE(rest(text).rest == Base::Duration::zero());
        CHECK_TRUE(rest(text).unreadable);
    }
}

TEST(StatedAvailability, aHugeRestIsTheLongestThatIsKept)
{
    const std::string beyondAnyDouble = "1" + std::string(400, '0');
    for (const char *text : {"3601", "100000000000000000000", beyondAnyDouble.c_str()}) {
        CHECK_TRUE(rest(text).rest == longestRest);
    }
}

TEST(StatedAvailability, aDateCountsFromTheEndpointsOwnTimeOfDay)
{
    constexpr std::string_view now = "Thu, 03 Dec 2026 11:19:46 GMT";
    CHECK_TRUE(rest("Thu, 03 Dec 2026 11:20:06 GMT", now).rest == std::chrono::seconds(20));
    CHECK_TRUE(rest("Thu, 03 Dec 2026 11:19:00 GMT", now).rest == Base::Duration::zero());
    CHECK_FALSE(rest("Thu, 03 Dec 2026 11:19:00 GMT", now).unreadable);
    CHECK_TRUE(rest("Thu, 03 Dec 2026 11:20:06 GMT").unreadable);
    CHECK_TRUE(rest("Thu, 03 Dec 2026 11:20:06 GMT", "noon").unreadable);
    CHECK_TRUE(rest("Thu, 03 Dec 2026", now).unreadable);
}

TEST(StatedAvailability, oneWordThatIsNotKnownLeavesTheOther)
{
    const StatedAvailability stated = parseStatedAvailability({.leaving = "1", .retryAfter = "soon"});
    CHECK_TRUE(stated.leaves && stated.unreadable);
}
