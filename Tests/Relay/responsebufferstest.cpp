// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Relay/responsebuffers.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <vector>

using namespace Yokepond;
using namespace Yokepond::Relay;

namespace {

constexpr std::size_t kibibyte = 1U << 10U;
constexpr std::size_t mebibyte = 1U << 20U;
constexpr Base::Duration step = std::chrono::milliseconds(50);

Base::Instant at(Base::Duration time)
{
    return Base::Instant(std::chrono::hours(1)) + time;
}

Base::Instant atSeconds(double seconds)
{
    return at(std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(seconds)));
}

/// A caller of the simulated host, with the stream that an endpoint sends to it.
struct SimulatedCaller
{
    std::uint64_t call = 0;
    std::size_t bytesPerStep = 0; ///< that the endpoint sends unless the stream is paused
    std::size_t readPerStep = 0; ///< that the caller reads
    std::size_t unread = 0;
    std::int64_t delivered = 0;
    bool paused = false;
    bool everPaused = false;
    bool cut = false;
};

/// A load of callers that read nothing beside callers that read, and the bound for all of them.
struct Load
{
    std::size_t boundBytes = 0;
    std::size_t stalled = 0;
    std::size_t reading = 0;
    std::size_t bytesPerStep = 0; ///< of each stream
    std::size_t requestBytes = 0; ///< of each request
};

/// Plays streams step by step against the decisions, as the relay does.
class SimulatedHost
{
public:
    explicit SimulatedHost(const Load &load)
        : m_load(load)
        , m_buffers({.totalBytes = load.boundBytes})
    {
        for (std::size_t index = 0; index < load.stalled + load.reading; ++index) {
            const bool reads = index >= load.stalled;
            m_callers.push_back(
                {.call = index + 1, .bytesPerStep = load.bytesPerStep, .readPerStep = reads ? load.bytesPerStep : 0});
        }
    }

    void play(std::size_t steps)
    {
        for (std::size_t count = 0; count < steps; ++count) {
            m_now += step;
            for (SimulatedCaller &caller : m_callers) {
                advance(caller);
            }
            largestTotal = std::max(largestTotal, m_buffers.totalBytes());
            applyCuts();
        }
    }

    const std::vector<SimulatedCaller> &callers() const
    {
        return m_callers;
    }

    std::size_t cutOf(bool reading) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            m_callers, [reading](const SimulatedCaller &caller) { return caller.cut && (caller.readPerStep > 0) == reading; }));
    }

    std::size_t largestTotal = 0;

private:
    void advance(SimulatedCaller &caller)
    {
        if (caller.cut) {
            return;
        }
        if (!caller.paused) {
            caller.unread += caller.bytesPerStep;
        }
        update(caller);
        if (m_buffers.shouldPause(caller.call)) {
            setPaused(caller, true);
        }
        const std::size_t read = std::min(caller.unread, caller.readPerStep);
        caller.unread -= read;
        caller.delivered += static_cast<std::int64_t>(read);
        update(caller);
        if (caller.paused && caller.unread <= m_buffers.continueMark()) {
            setPaused(caller, false);
        }
    }

    void update(const SimulatedCaller &caller)
    {
        m_buffers.update(caller.call, {.unread = caller.unread, .request = m_load.requestBytes}, at(m_now));
        m_buffers.recordDelivered(caller.call, caller.delivered, at(m_now));
    }

    void setPaused(SimulatedCaller &caller, bool paused)
    {
        caller.paused = paused;
        caller.everPaused = caller.everPaused || paused;
        m_buffers.setPaused(caller.call, paused, at(m_now));
    }

    void applyCuts()
    {
        for (const CallerCut &cut : m_buffers.cuts(at(m_now))) {
            m_callers.at(cut.call - 1).cut = true;
            m_buffers.remove(cut.call);
        }
    }

    Load m_load;
    ResponseBuffers m_buffers;
    std::vector<SimulatedCaller> m_callers;
    Base::Duration m_now {};
};

std::vector<std::uint64_t> callsOf(const std::vector<CallerCut> &cuts)
{
    std::vector<std::uint64_t> calls;
    std::ranges::transform(cuts, std::back_inserter(calls), &CallerCut::call);
    return calls;
}

} // namespace

TEST_GROUP(ResponseBuffers) {};

/// Guards against a host that falls over, and against callers that read being paused or cut for those that do not.
TEST(ResponseBuffers, theBoundHoldsUnderLoadAndCallersThatReadAreNotTouched)
{
    constexpr std::array loads = {
        Load {.boundBytes = 27 * mebibyte, .stalled = 500, .reading = 50, .bytesPerStep = 300},
        Load {.boundBytes = 27 * mebibyte, .stalled = 500, .reading = 50, .bytesPerStep = 4 * kibibyte},
        Load {.boundBytes = 4 * mebibyte, .stalled = 500, .reading = 50, .bytesPerStep = 4 * kibibyte},
        Load {.boundBytes = 4 * mebibyte, .stalled = 1400, .reading = 100, .bytesPerStep = 8 * kibibyte},
        Load {.boundBytes = 128 * mebibyte, .stalled = 1450, .reading = 50, .bytesPerStep = 8 * kibibyte},
        Load {.boundBytes = 8 * mebibyte, .stalled = 1, .reading = 500, .bytesPerStep = 8 * kibibyte},
        Load {.boundBytes = 8 * mebibyte,
              .stalled = 500,
              .reading = 50,
              .bytesPerStep = 4 * kibibyte,
              .requestBytes = 4 * kibibyte},
    };
    constexpr std::size_t steps = 1200;
    for (const Load &load : loads) {
        SimulatedHost host(load);
        host.play(steps);
        const std::size_t inFlight = (load.stalled + load.reading) * load.bytesPerStep;
        CHECK_TRUE(host.largestTotal <= load.boundBytes + inFlight);
        CHECK_EQUAL(0U, host.cutOf(true));
        CHECK_TRUE(std::ranges::none_of(
            host.callers(), [](const SimulatedCaller &caller) { return caller.readPerStep > 0 && caller.everPaused; }));
        // Each stream that is not read fills its allowance in this time, and its caller is cut.
        CHECK_EQUAL(load.stalled, host.cutOf(false));
    }
}

/// Guards against cutting a caller that reads more slowly than its stream, which pausing is enough for.
TEST(ResponseBuffers, aCallerThatReadsSlowlyIsPausedButNotCut)
{
    ResponseBuffers buffers({.totalBytes = 16 * mebibyte});
    std::size_t unread = 0;
    std::int64_t delivered = 0;
    bool paused = false;
    bool everPaused = false;
    for (int second = 0; second < 600; ++second) {
        unread += paused ? 0 : 20 * kibibyte;
        buffers.update(1, {.unread = unread}, atSeconds(second));
        if (buffers.shouldPause(1)) {
            paused = true;
            everPaused = true;
            buffers.setPaused(1, true, atSeconds(second));
        }
        unread -= std::min(unread, kibibyte);
        delivered += kibibyte;
        buffers.update(1, {.unread = unread}, atSeconds(second));
        buffers.recordDelivered(1, delivered, atSeconds(second));
        if (paused && unread <= buffers.continueMark()) {
            paused = false;
            buffers.setPaused(1, false, atSeconds(second));
        }
        CHECK_EQUAL(0U, buffers.cuts(atSeconds(second)).size());
    }
    CHECK_TRUE(everPaused);
}

/// Guards against an endpoint's slot being held for a caller that reads nothing, although there is memory enough.
TEST(ResponseBuffers, aCallerThatReadsNothingIsCutAfterTheLimit)
{
    ResponseBuffers buffers({.totalBytes = 16 * mebibyte, .unreadLimit = std::chrono::seconds(5)});
    buffers.update(1, {.unread = 300 * kibibyte}, atSeconds(0));
    buffers.update(2, {.unread = 100 * kibibyte}, atSeconds(0));
    CHECK_TRUE(buffers.shouldPause(1));
    CHECK_FALSE(buffers.shouldPause(2));
    buffers.setPaused(1, true, atSeconds(0));
    CHECK_EQUAL(1U, buffers.pausedStreams());
    CHECK_EQUAL(0U, buffers.cuts(atSeconds(4.9)).size());
    const auto cuts = buffers.cuts(atSeconds(5));
    CHECK_EQUAL(1U, cuts.size());
    CHECK_EQUAL(1U, cuts.front().call);
    CHECK_TRUE(cuts.front().reason == CutReason::Unread);
    CHECK_EQUAL(300 * kibibyte, cuts.front().bytes);
    CHECK_EQUAL(400 * kibibyte, cuts.front().total);
    CHECK_TRUE(cuts.front().withoutProgress == std::chrono::seconds(5));
    buffers.remove(1);
    CHECK_EQUAL(0U, buffers.pausedStreams());
    CHECK_EQUAL(100 * kibibyte, buffers.totalBytes());
}

/// Guards against cutting a caller whose stream has just been paused, because it read its small backlog long ago.
TEST(ResponseBuffers, theLimitCountsFromThePause)
{
    ResponseBuffers buffers({.totalBytes = 16 * mebibyte, .unreadLimit = std::chrono::seconds(5)});
    buffers.update(1, {.unread = 10}, atSeconds(0));
    buffers.update(1, {.unread = 300 * kibibyte}, atSeconds(100));
    buffers.setPaused(1, true, atSeconds(100));
    CHECK_EQUAL(0U, buffers.cuts(atSeconds(104)).size());
    CHECK_EQUAL(1U, buffers.cuts(atSeconds(105)).size());
}

/// Guards against cutting callers that read while others do not, and against cutting more than needed.
TEST(ResponseBuffers, theOrderOfCutsIsWithoutProgressForLongestThenLargest)
{
    ResponseBuffers buffers({.totalBytes = mebibyte, .unreadLimit = std::chrono::seconds(60)});
    buffers.update(1, {.unread = 300 * kibibyte}, atSeconds(8)); // the largest, but it reads
    buffers.update(2, {.unread = 200 * kibibyte}, atSeconds(3.8));
    buffers.update(3, {.unread = 250 * kibibyte}, atSeconds(4)); // larger than 2, for as many seconds
    buffers.update(4, {.unread = 150 * kibibyte}, atSeconds(0));
    buffers.update(5, {.collected = 200 * kibibyte}, atSeconds(0)); // an endpoint is still sending it
    buffers.recordDelivered(1, 1, atSeconds(9.9));
    CHECK_TRUE(buffers.overBound());
    // 76 KiB too much: the one without progress for longest is enough.
    const auto first = callsOf(buffers.cuts(atSeconds(10)));
    CHECK_TRUE(first == (std::vector<std::uint64_t> {4}));
    buffers.update(6, {.collected = 900 * kibibyte}, atSeconds(10));
    const auto all = callsOf(buffers.cuts(atSeconds(10)));
    CHECK_TRUE(all == (std::vector<std::uint64_t> {4, 3, 2, 1, 6}));
}

/// Guards against a second cut of a caller that has been cut while its run with an idempotency key goes on.
TEST(ResponseBuffers, aCallerThatIsGoneIsNotCut)
{
    ResponseBuffers buffers({.totalBytes = mebibyte});
    buffers.update(1, {.collected = 2 * mebibyte}, atSeconds(0));
    CHECK_EQUAL(1U, buffers.cuts(atSeconds(1)).size());
    buffers.callerLeft(1);
    CHECK_EQUAL(0U, buffers.cuts(atSeconds(1)).size());
}

/// Guards against cutting callers for the requests of others, for which no room could be made.
TEST(ResponseBuffers, requestsTakeAtMostHalfOfTheBound)
{
    ResponseBuffers buffers({.totalBytes = mebibyte});
    buffers.update(1, {.unread = 100 * kibibyte, .request = 900 * kibibyte}, atSeconds(0));
    buffers.update(2, {.unread = 100 * kibibyte, .request = 900 * kibibyte}, atSeconds(0));
    CHECK_FALSE(buffers.overBound());
    CHECK_EQUAL(0U, buffers.cuts(atSeconds(4)).size());
    buffers.update(3, {.unread = 400 * kibibyte}, atSeconds(0));
    CHECK_TRUE(buffers.overBound());
    CHECK_TRUE(callsOf(buffers.cuts(atSeconds(4))) == (std::vector<std::uint64_t> {3}));
}

/// Guards against a change for hosts without the setting.
TEST(ResponseBuffers, withoutABoundOnlyTheStreamsOwnLimitApplies)
{
    ResponseBuffers buffers({});
    for (std::uint64_t call = 1; call <= 1000; ++call) {
        buffers.update(call, {.unread = 256 * kibibyte}, atSeconds(0));
        CHECK_FALSE(buffers.shouldPause(call));
    }
    buffers.update(1, {.unread = 256 * kibibyte + 1}, atSeconds(0));
    CHECK_TRUE(buffers.shouldPause(1));
    buffers.setPaused(1, true, atSeconds(0));
    CHECK_FALSE(buffers.overBound());
    CHECK_EQUAL(0U, buffers.cuts(atSeconds(1000)).size());
}
