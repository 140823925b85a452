// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/readingpauses.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Dispatch;
using Tests::at;

TEST_GROUP(ReadingPauses)
{
    static constexpr Base::Duration tight = std::chrono::milliseconds(200);
    static constexpr Base::Duration loose = std::chrono::milliseconds(1000);

    std::shared_ptr<LongestPause> ofPool = std::make_shared<LongestPause>();
    ReadingPauses pauses {ofPool};

    void setup() override
    {
        ofPool->learn(loose * 2);
    }

    static Base::Duration ms(int milliseconds)
    {
        return std::chrono::milliseconds(milliseconds);
    }

    /// A run of a tight stream that saw @p longest while the engine read for @p burst.
    void seen(Base::Duration burst, Base::Duration longest)
    {
        pauses.began(tight);
        pauses.read(at(1), {}, burst);
        pauses.ended(tight, at(0), {ms(20), longest});
    }
};

TEST(ReadingPauses, aLongReadMakesTightStreamsLateAndLooseOnesNot)
{
    pauses.began(tight);
    pauses.began(tight);
    pauses.began(loose);
    DOUBLES_EQUAL(0.0, pauses.spoiled({}, ms(50)), 0.001);
    DOUBLES_EQUAL(2.0, pauses.spoiled({}, ms(400)), 0.001);
    DOUBLES_EQUAL(3.0, pauses.spoiled({}, ms(2000)), 0.001);
}

TEST(ReadingPauses, whatIsLateAlreadyIsNotLostAgain)
{
    pauses.began(tight);
    // What is being read makes it late, whether more is read or not.
    DOUBLES_EQUAL(0.0, pauses.spoiled(ms(400), ms(800)), 0.001);
    pauses.read(at(0), {}, ms(400));
    DOUBLES_EQUAL(0.0, pauses.spoiled({}, ms(400)), 0.001);
    pauses.began(tight);
    DOUBLES_EQUAL(1.0, pauses.spoiled({}, ms(400)), 0.001);
}

TEST(ReadingPauses, endedStreamsAreNotCounted)
{
    pauses.began(tight);
    pauses.began(tight);
    pauses.ended(tight, at(0), {});
    DOUBLES_EQUAL(1.0, pauses.spoiled({}, ms(400)), 0.001);
    pauses.ended(tight, at(0), {});
    DOUBLES_EQUAL(0.0, pauses.spoiled({}, ms(400)), 0.001);
}

TEST(ReadingPauses, anEngineThatReadMuchLatelyIsARiskForTightStreams)
{
    DOUBLES_EQUAL(0.0, pauses.risk(tight, at(0)), 0.001);
    pauses.read(at(0), {}, ms(400));
    DOUBLES_EQUAL(1.0, pauses.risk(tight, at(1)), 0.001);
    DOUBLES_EQUAL(0.0, pauses.risk(loose, at(1)), 0.001);
    DOUBLES_EQUAL(0.0, pauses.risk(tight, at(20)), 0.001);
}

TEST(ReadingPauses, pausesThatStayShortWhileMuchIsReadShowThatReadingDoesNoHarm)
{
    for (int run = 0; run < 20; ++run) {
        seen(ms(1000), ms(100));
    }
    pauses.began(tight);
    DOUBLES_EQUAL(0.0, pauses.spoiled({}, ms(1000)), 0.001);
}

TEST(ReadingPauses, beforeAnyPauseWasSeenNoneIsFeared)
{
    ReadingPauses unknown;
    unknown.began(tight);
    DOUBLES_EQUAL(0.0, unknown.spoiled({}, ms(1000)), 0.001);
}

TEST(ReadingPauses, whatTheirPoolHasShownCountsForEnginesThatHaveShownNothing)
{
    pauses.began(tight);
    DOUBLES_EQUAL(1.0, pauses.spoiled({}, ms(400)), 0.001);
    seen(ms(1000), ms(100));
    DOUBLES_EQUAL(0.0, pauses.spoiled({}, ms(400)), 0.001);
}

TEST(ReadingPauses, pausesWithoutReadingTellNothingOfIt)
{
    for (int run = 0; run < 20; ++run) {
        seen(ms(10), ms(3000));
    }
    pauses.began(tight);
    DOUBLES_EQUAL(1.0, pauses.spoiled({}, ms(400)), 0.001);
    DOUBLES_EQUAL(0.0, pauses.spoiled({}, ms(50)), 0.001);
}

TEST(ReadingPauses, runsWithoutTargetForPausesAreNeverLateByOne)
{
    pauses.began({});
    DOUBLES_EQUAL(0.0, pauses.spoiled({}, ms(5000)), 0.001);
    DOUBLES_EQUAL(0.0, pauses.risk({}, at(0)), 0.001);
}
