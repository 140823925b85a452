// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/prefillpauses.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Dispatch;
using Tests::at;

TEST_GROUP(PrefillPauses)
{
    static constexpr Base::Duration tight = std::chrono::milliseconds(200);
    static constexpr Base::Duration loose = std::chrono::milliseconds(1000);

    std::shared_ptr<LongestPause> poolLongestPause = std::make_shared<LongestPause>();
    PrefillPauses pauses {poolLongestPause};

    void setup() override
    {
        poolLongestPause->update(loose * 2);
    }

    static Base::Duration ms(int milliseconds)
    {
        return std::chrono::milliseconds(milliseconds);
    }

    /// Adds a stream with the longest pause @p longest that ended after a prefill of @p burst.
    void observe(Base::Duration burst, Base::Duration longest)
    {
        pauses.addStream(tight);
        pauses.recordPrefill(at(1), {}, burst);
        pauses.removeStream(tight, at(0), {ms(20), longest});
    }
};

TEST(PrefillPauses, aLongPrefillMakesTightStreamsLateButNotLooseOnes)
{
    pauses.addStream(tight);
    pauses.addStream(tight);
    pauses.addStream(loose);
    DOUBLES_EQUAL(0.0, pauses.expectedNewlyLate({}, ms(50)), 0.001);
    DOUBLES_EQUAL(2.0, pauses.expectedNewlyLate({}, ms(400)), 0.001);
    DOUBLES_EQUAL(3.0, pauses.expectedNewlyLate({}, ms(2000)), 0.001);
}

TEST(PrefillPauses, aStreamThatIsLateIsNotCountedAgain)
{
    pauses.addStream(tight);
    // The current prefill alone makes the stream late, so a longer one does not add a late stream.
    DOUBLES_EQUAL(0.0, pauses.expectedNewlyLate(ms(400), ms(800)), 0.001);
    pauses.recordPrefill(at(0), {}, ms(400));
    DOUBLES_EQUAL(0.0, pauses.expectedNewlyLate({}, ms(400)), 0.001);
    pauses.addStream(tight);
    DOUBLES_EQUAL(1.0, pauses.expectedNewlyLate({}, ms(400)), 0.001);
}

TEST(PrefillPauses, endedStreamsAreNotCounted)
{
    pauses.addStream(tight);
    pauses.addStream(tight);
    pauses.removeStream(tight, at(0), {});
    DOUBLES_EQUAL(1.0, pauses.expectedNewlyLate({}, ms(400)), 0.001);
    pauses.removeStream(tight, at(0), {});
    DOUBLES_EQUAL(0.0, pauses.expectedNewlyLate({}, ms(400)), 0.001);
}

TEST(PrefillPauses, recentLongPrefillsMakeTightStreamsLikelyLate)
{
    DOUBLES_EQUAL(0.0, pauses.lateProbability(tight, at(0)), 0.001);
    pauses.recordPrefill(at(0), {}, ms(400));
    DOUBLES_EQUAL(1.0, pauses.lateProbability(tight, at(1)), 0.001);
    DOUBLES_EQUAL(0.0, pauses.lateProbability(loose, at(1)), 0.001);
    DOUBLES_EQUAL(0.0, pauses.lateProbability(tight, at(20)), 0.001);
}

TEST(PrefillPauses, shortPausesDuringLongPrefillsLowerTheEstimate)
{
    for (int run = 0; run < 20; ++run) {
        observe(ms(1000), ms(100));
    }
    pauses.addStream(tight);
    DOUBLES_EQUAL(0.0, pauses.expectedNewlyLate({}, ms(1000)), 0.001);
}

TEST(PrefillPauses, withoutObservationsNoStreamIsExpectedToBeLate)
{
    PrefillPauses unknown;
    unknown.addStream(tight);
    DOUBLES_EQUAL(0.0, unknown.expectedNewlyLate({}, ms(1000)), 0.001);
}

TEST(PrefillPauses, theEstimateOfThePoolIsUsedUntilTheEngineHasObservations)
{
    pauses.addStream(tight);
    DOUBLES_EQUAL(1.0, pauses.expectedNewlyLate({}, ms(400)), 0.001);
    observe(ms(1000), ms(100));
    DOUBLES_EQUAL(0.0, pauses.expectedNewlyLate({}, ms(400)), 0.001);
}

TEST(PrefillPauses, pausesWithoutPrefillDoNotChangeTheEstimate)
{
    for (int run = 0; run < 20; ++run) {
        observe(ms(10), ms(3000));
    }
    pauses.addStream(tight);
    DOUBLES_EQUAL(1.0, pauses.expectedNewlyLate({}, ms(400)), 0.001);
    DOUBLES_EQUAL(0.0, pauses.expectedNewlyLate({}, ms(50)), 0.001);
}

TEST(PrefillPauses, streamsWithoutALimitAreNeverLate)
{
    pauses.addStream({});
    DOUBLES_EQUAL(0.0, pauses.expectedNewlyLate({}, ms(5000)), 0.001);
    DOUBLES_EQUAL(0.0, pauses.lateProbability({}, at(0)), 0.001);
}
