// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Availability/advertisedavailability.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Availability;

TEST_GROUP(AdvertisedAvailability) {
    AdvertisedAvailability leaving(const char *text) {return parseAdvertisedAvailability({.leaving = text});
}

AdvertisedAvailability cooldown(const char *text, std::optional<std::string_view> date = {})
{
    return parseAdvertisedAvailability({.retryAfter = text, .date = date});
}
}
;

TEST(AdvertisedAvailability, missingHeadersAdvertiseNothing)
{
    const AdvertisedAvailability advertised = parseAdvertisedAvailability({});
    CHECK_FALSE(advertised.leaves || advertised.unreadable);
    CHECK_TRUE(advertised.cooldown == Base::Duration::zero());
}

TEST(AdvertisedAvailability, leavingHeaderIsOneOrZero)
{
    CHECK_TRUE(leaving("1").leaves);
    CHECK_TRUE(leaving(" 1 ").leaves);
    CHECK_FALSE(leaving("0").leaves || leaving("0").unreadable);
    for (const char *text : {"", "yes", "true", "2", "1.0", "-1", "1 1"}) {
        CHECK_FALSE(leaving(text).leaves);
        CHECK_TRUE(leaving(text).unreadable);
    }
}

TEST(AdvertisedAvailability, retryAfterIsADecimalNumberOfSeconds)
{
    CHECK_TRUE(cooldown("3").cooldown == std::chrono::seconds(3));
    CHECK_TRUE(cooldown(" 0.25 ").cooldown == std::chrono::milliseconds(250));
    CHECK_TRUE(cooldown("0").cooldown == Base::Duration::zero());
    CHECK_FALSE(cooldown("0").unreadable);
    for (const char *text : {"", "-1", "soon", "1 2", "nan", "inf", "1e3", "0x10", "1,5", "3s"}) {
        CHECK_TRUE(cooldown(text).cooldown == Base::Duration::zero());
        CHECK_TRUE(cooldown(text).unreadable);
    }
}

TEST(AdvertisedAvailability, aHugeRetryAfterIsCapped)
{
    const std::string beyondAnyDouble = "1" + std::string(400, '0');
    for (const char *text : {"3601", "100000000000000000000", beyondAnyDouble.c_str()}) {
        CHECK_TRUE(cooldown(text).cooldown == longestCooldown);
    }
}

TEST(AdvertisedAvailability, aDateCountsFromTheDateHeader)
{
    constexpr std::string_view now = "Thu, 03 Dec 2026 11:19:46 GMT";
    CHECK_TRUE(cooldown("Thu, 03 Dec 2026 11:20:06 GMT", now).cooldown == std::chrono::seconds(20));
    CHECK_TRUE(cooldown("Thu, 03 Dec 2026 11:19:00 GMT", now).cooldown == Base::Duration::zero());
    CHECK_FALSE(cooldown("Thu, 03 Dec 2026 11:19:00 GMT", now).unreadable);
    CHECK_TRUE(cooldown("Thu, 03 Dec 2026 11:20:06 GMT").unreadable);
    CHECK_TRUE(cooldown("Thu, 03 Dec 2026 11:20:06 GMT", "noon").unreadable);
    CHECK_TRUE(cooldown("Thu, 03 Dec 2026", now).unreadable);
}

TEST(AdvertisedAvailability, anUnreadableHeaderDoesNotAffectTheOther)
{
    const AdvertisedAvailability advertised = parseAdvertisedAvailability({.leaving = "1", .retryAfter = "soon"});
    CHECK_TRUE(advertised.leaves && advertised.unreadable);
}

/// Guards against hosts that fill a brittle endpoint until it falls over.
TEST(AdvertisedAvailability, aRejectionByABrittleEndpointIsACooldown)
{
    const AdvertisedAvailability rejected = parseAdvertisedAvailability({.brittle = "12", .rejects = true});
    CHECK_TRUE(rejected.brittle);
    CHECK_TRUE(rejected.cooldown == brittleCooldown);
    CHECK_TRUE(parseAdvertisedAvailability({.retryAfter = "3", .brittle = "12", .rejects = true}).cooldown
               == std::chrono::seconds(3));
    CHECK_TRUE(parseAdvertisedAvailability({.brittle = "12"}).cooldown == Base::Duration::zero());
    CHECK_TRUE(parseAdvertisedAvailability({.rejects = true}).cooldown == Base::Duration::zero());
    const AdvertisedAvailability unreadable = parseAdvertisedAvailability({.brittle = "very", .rejects = true});
    CHECK_TRUE(unreadable.unreadable && !unreadable.brittle);
}
