// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "EngineModel/streamengines.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <iterator>
#include <vector>

using namespace Yokepond;
using namespace Yokepond::EngineModel;
using Tests::at;

TEST_GROUP(StreamEngines)
{
    static constexpr std::uint32_t slots = 10;
    static constexpr double usualSpeed = 30; ///< tokens per millisecond

    StreamEngines streamEngines;

    static std::vector<StreamEngineCandidate> engines(std::uint32_t count)
    {
        std::vector<StreamEngineCandidate> all;
        for (std::uint32_t endpoint = 1; endpoint <= count; ++endpoint) {
            all.push_back({endpoint, slots, usualSpeed, Base::Duration::zero()});
        }
        return all;
    }

    void start(int streams, Base::Duration prefillTime = Base::Duration::zero())
    {
        for (int index = 0; index < streams; ++index) {
            streamEngines.streamStarted(prefillTime);
        }
    }

    void end(int streams, bool late, double now)
    {
        for (int index = 0; index < streams; ++index) {
            streamEngines.streamEnded(late, at(now));
        }
    }

    /// Starts and ends so many late streams that they cannot be called an exception.
    void endLateStreams(double now)
    {
        constexpr int several = 5;
        start(several);
        end(several, true, now);
    }

    std::vector<std::uint32_t> setAside(const std::vector<StreamEngineCandidate> &among)
    {
        std::vector<std::uint32_t> found;
        for (const StreamEngineCandidate &engine : among) {
            if (streamEngines.contains(engine.endpoint)) {
                found.push_back(engine.endpoint);
            }
        }
        CHECK_EQUAL(streamEngines.size(), found.size());
        return found;
    }

    /// Sets engines aside for @p streams active streams.
    void setAsideFor(int streams, const std::vector<StreamEngineCandidate> &among, double now)
    {
        endLateStreams(now);
        start(streams);
        streamEngines.update(among, at(now));
        CHECK_FALSE(streamEngines.empty());
    }
};

/// Guards against engines that other prompts cannot use although no stream needs it.
TEST(StreamEngines, withoutLateStreamsNoEngineIsSetAside)
{
    start(100, std::chrono::milliseconds(50));
    end(60, false, 1);
    CHECK_TRUE(streamEngines.update(engines(20), at(1)) == StreamEnginesChange::None);
    CHECK_TRUE(streamEngines.empty());
    CHECK_EQUAL(40U, streamEngines.activeStreams());
}

/// Guards against engines that are set aside because of a single disturbance: one late stream among many in time.
TEST(StreamEngines, oneLateStreamAmongManyChangesNothing)
{
    start(200);
    end(60, false, 1);
    end(1, true, 1);
    end(60, false, 1);
    streamEngines.update(engines(20), at(1));
    CHECK_TRUE(streamEngines.empty());
}

/// Guards against too few engines for the active streams, and against many more than they fill.
TEST(StreamEngines, lateStreamsSetAsideEnginesForTheActiveStreams)
{
    for (const int streams : {1, 12, 40}) {
        streamEngines = {};
        setAsideFor(streams, engines(40), 0);
        const auto places = static_cast<int>(streamEngines.size() * slots);
        CHECK_TRUE(places >= streams);
        CHECK_TRUE(places <= 4 * streams + static_cast<int>(slots));
    }
}

/// Guards against engines that have slots for the streams but prefill their prompts most of the time.
TEST(StreamEngines, thePrefillOfManyShortStreamsNeedsMoreEngines)
{
    setAsideFor(4, engines(20), 0);
    const std::size_t before = streamEngines.size();
    // The prompts of half a second need a whole second of prefill, so they keep two engines busy.
    for (int prompt = 0; prompt < 10; ++prompt) {
        start(1, std::chrono::milliseconds(100));
        end(1, false, 0.4);
    }
    streamEngines.update(engines(20), at(0.5));
    CHECK_TRUE(streamEngines.size() > before);
    CHECK_TRUE(streamEngines.size() >= 4);
}

/// Guards against other classes without engines in a burst of tight streams.
TEST(StreamEngines, neverMoreThanHalfAreSetAside)
{
    for (const std::uint32_t count : {2U, 7U, 20U}) {
        streamEngines = {};
        setAsideFor(1000, engines(count), 0);
        CHECK_EQUAL(count / 2, streamEngines.size());
    }
}

/// Guards against a pool of one engine that serves no other prompts.
TEST(StreamEngines, aPoolOfOneEngineSetsNoneAside)
{
    endLateStreams(0);
    start(100);
    CHECK_TRUE(streamEngines.update(engines(1), at(0)) == StreamEnginesChange::None);
    CHECK_TRUE(streamEngines.empty());
}

/// Guards against an update while no engine accepts work.
TEST(StreamEngines, withoutEnginesNoneIsSetAside)
{
    setAsideFor(12, engines(20), 0);
    streamEngines.update({}, at(1));
    CHECK_TRUE(streamEngines.empty());
    streamEngines.update(engines(20), at(2));
    CHECK_FALSE(streamEngines.empty());
}

/// Guards against streams that wait for engines that are ejected, drained or gone.
TEST(StreamEngines, enginesThatStopAcceptingWorkAreReplaced)
{
    auto accepting = engines(20);
    setAsideFor(12, accepting, 0);
    const std::size_t before = streamEngines.size();
    const auto gone = setAside(accepting);
    std::erase_if(accepting, [&](const StreamEngineCandidate &engine) {
        return engine.endpoint != gone.back() && std::ranges::find(gone, engine.endpoint) != gone.end();
    });
    CHECK_TRUE(streamEngines.update(accepting, at(0.2)) == StreamEnginesChange::Grew);
    CHECK_EQUAL(before, streamEngines.size());
    CHECK_TRUE(streamEngines.contains(gone.back()));
    for (const std::uint32_t endpoint : gone) {
        CHECK_TRUE(endpoint == gone.back() || !streamEngines.contains(endpoint));
    }
}

/// Guards against streams whose pauses are long since their engines are slow, by nature or by a fault.
TEST(StreamEngines, fastEnginesAreTakenFirstAndFaultyOnesLast)
{
    auto all = engines(20);
    all[2].tokensPerMs = usualSpeed / 10;
    for (const std::size_t fast : {5U, 11U, 17U}) {
        all[fast].tokensPerMs = usualSpeed * 1.2;
    }
    setAsideFor(12, all, 0);
    CHECK_EQUAL(3U, streamEngines.size());
    for (const std::size_t fast : {5U, 11U, 17U}) {
        CHECK_TRUE(streamEngines.contains(all[fast].endpoint));
    }
    start(1000);
    streamEngines.update(all, at(0.2));
    CHECK_EQUAL(10U, streamEngines.size());
    CHECK_FALSE(streamEngines.contains(all[2].endpoint));
}

/// Guards against streams at engines that still have long prompts to prefill.
TEST(StreamEngines, enginesWithNothingToPrefillAreTakenFirst)
{
    auto all = engines(20);
    for (StreamEngineCandidate &engine : all) {
        engine.backlog = std::chrono::milliseconds(400);
    }
    for (const std::size_t idle : {4U, 9U, 14U}) {
        all[idle].backlog = Base::Duration::zero();
    }
    all[0].tokensPerMs = usualSpeed * 0.8;
    setAsideFor(12, all, 0);
    CHECK_EQUAL(3U, streamEngines.size());
    for (const std::size_t idle : {4U, 9U, 14U}) {
        CHECK_TRUE(streamEngines.contains(all[idle].endpoint));
    }
}

/// Guards against an increase in steps, during which the streams of a burst are late.
TEST(StreamEngines, aBurstOfThreeTimesTheStreamsGetsItsEnginesWithOneUpdate)
{
    setAsideFor(12, engines(40), 0);
    const std::size_t before = streamEngines.size();
    const auto kept = setAside(engines(40));
    start(24);
    CHECK_TRUE(streamEngines.update(engines(40), at(0.2)) == StreamEnginesChange::Grew);
    CHECK_EQUAL(3 * before, streamEngines.size());
    for (const std::uint32_t endpoint : kept) {
        CHECK_TRUE(streamEngines.contains(endpoint));
    }
}

/// Guards against engines that stay set aside without streams, and against a number that falls at once when a few streams end
/// together.
TEST(StreamEngines, theNumberShrinksInPartsWhenTheStreamsHaveGone)
{
    setAsideFor(40, engines(40), 0);
    const std::size_t most = streamEngines.size();
    end(39, false, 0.1);
    std::size_t before = most;
    double lastChange = 0;
    for (double now = 0.2; now < 15; now += 0.2) {
        const StreamEnginesChange change = streamEngines.update(engines(40), at(now));
        if (change == StreamEnginesChange::None) {
            CHECK_EQUAL(before, streamEngines.size());
            continue;
        }
        CHECK_TRUE(change == StreamEnginesChange::Shrank);
        CHECK_TRUE(streamEngines.size() < before);
        CHECK_TRUE(2 * streamEngines.size() >= before);
        CHECK_TRUE(now - lastChange > 0.9);
        before = streamEngines.size();
        lastChange = now;
    }
    CHECK_TRUE(before <= 2);
    CHECK_TRUE(before >= 1);
}

/// Guards against a number that changes with each stream that starts or ends.
TEST(StreamEngines, aFewStreamsMoreOrLessDoNotChangeTheNumberBackAndForth)
{
    setAsideFor(13, engines(40), 0);
    const std::size_t before = streamEngines.size();
    for (double now = 0.2; now < 10; now += 0.2) {
        end(2, false, now);
        streamEngines.update(engines(40), at(now));
        CHECK_EQUAL(before, streamEngines.size());
        start(2);
    }
}

/// Guards against engines that are set aside for ever. The streams show again whether they need them.
TEST(StreamEngines, withoutFurtherLateStreamsAllEnginesReturnToAllPrompts)
{
    constexpr double minute = 60;
    setAsideFor(40, engines(40), 0);
    CHECK_TRUE(streamEngines.update(engines(40), at(minute)) == StreamEnginesChange::Ended);
    CHECK_TRUE(streamEngines.empty());
    CHECK_TRUE(streamEngines.update(engines(40), at(minute + 0.2)) == StreamEnginesChange::None);
    endLateStreams(minute + 1);
    CHECK_TRUE(streamEngines.update(engines(40), at(minute + 1)) == StreamEnginesChange::Grew);
}
