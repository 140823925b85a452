// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Usage/usagecounts.h"

#include "Base/error.h"
#include "Usage/usagerow.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Usage;

namespace {

Base::Instant at(double seconds)
{
    return Base::Instant(std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(1000 + seconds)));
}

} // namespace

TEST_GROUP(UsageCounts) {};

TEST(UsageCounts, aHostsCountsReplaceWhatItToldBefore)
{
    FleetCounts fleet;
    fleet.update(at(0), "h1", 1, {}, {{9, "small", 3}});
    fleet.update(at(1), "h1", 1, {}, {{9, "small", 5}, {10, "small", 1}});
    fleet.update(at(1), "h2", 1, {}, {{9, "small", 2}, {9, "large", 7}});
    CHECK_TRUE((fleet.total(9) == WindowCounts {{"large", 7}, {"small", 7}}));
    CHECK_TRUE((fleet.total(10) == WindowCounts {{"small", 1}}));
}

TEST(UsageCounts, whatAProcessCountedStaysWhenItHasEnded)
{
    FleetCounts fleet;
    fleet.update(at(0), "h1", 1, {}, {{9, "small", 3}});
    fleet.update(at(1), "h1", 2, {}, {{9, "small", 4}});
    CHECK_EQUAL(7U, fleet.total(9).at("small"));
}

TEST(UsageCounts, windowsThatAHostDroppedStay)
{
    FleetCounts fleet;
    fleet.update(at(0), "h1", 1, {}, {{9, "small", 3}});
    fleet.update(at(1), "h1", 1, {}, {{10, "small", 1}});
    CHECK_EQUAL(3U, fleet.total(9).at("small"));
}

TEST(UsageCounts, theMedianOutvotesAClockThatStepped)
{
    FleetCounts fleet;
    fleet.update(at(0), "h1", 1, std::chrono::milliseconds(1), {{9, "a", 1}});
    fleet.update(at(0), "h2", 1, std::chrono::seconds(-4), {{9, "a", 1}});
    fleet.update(at(0), "h3", 1, std::chrono::milliseconds(-2), {{9, "a", 1}});
    CHECK_TRUE(fleet.clockOffset(at(0)) == std::chrono::milliseconds(-2));
    CHECK_EQUAL(3U, fleet.recentHosts(at(0)));
    CHECK_EQUAL(0U, fleet.recentHosts(at(20)));
}

TEST(UsageCounts, aClockIsMovedOnlyByMoreThanAMessageTakes)
{
    FleetClock clock(at(0), 50'000'000);
    CHECK_EQUAL(51'000'000, clock.at(at(1)));
    CHECK_TRUE(clock.correct(at(1), 51'020'000) == std::chrono::milliseconds(0));
    CHECK_TRUE(clock.correct(at(1), 55'000'000) == std::chrono::seconds(4));
    CHECK_EQUAL(56'000'000, clock.at(at(2)));
}

TEST(UsageCounts, aRowIsReadAsItWasWritten)
{
    const UsageRow row {77, "h1", {{9, {{"small", 3}}}, {10, {{"large", 1}, {"small", 2}}}}};
    CHECK_TRUE(parseRow(rowText(row)).value() == row);
}

TEST(UsageCounts, aRowThatCannotBeReadIsATypedError)
{
    for (const char *text :
         {"", "[]", "{}", R"({"holder":"x","host":"h","windows":[]})", R"({"holder":1,"host":"h","windows":[{}]})",
          R"({"holder":1,"host":"h","windows":[{"window":1,"counts":{"a":"b"}}]})"}) {
        CHECK_TRUE(Base::errorKind(parseRow(text).status()) == Base::ErrorKind::InvalidValue);
    }
}

TEST(UsageCounts, aRowStaysWithinTheStoresBounds)
{
    UsageRow row {77, "h1", {}};
    for (WindowNumber window = 1; window <= 6; ++window) {
        WindowCounts counts;
        for (int index = 0; index < 940; ++index) {
            counts["organisation-" + std::to_string(index)] = 1'000'000;
        }
        row.windows.push_back({window, counts});
    }
    const std::string text = rowText(row);
    CHECK_TRUE(text.size() <= mostRowBytes);
    // The newest is kept.
    CHECK_EQUAL(6, parseRow(text)->windows.back().window);
}
