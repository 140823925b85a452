// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "EngineModel/prefillqueue.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::EngineModel;
using Tests::at;

TEST_GROUP(PrefillQueue)
{
    static constexpr double believedTokensPerMs = 30.0;
    static constexpr double tokens = 15'000; ///< half a second at the believed speed
    static constexpr int mostUrgent = 1;

    PrefillQueue queue;

    void add(std::uint64_t number, double begins = 0, int rank = mostUrgent, bool reported = true)
    {
        queue.add({number, {rank, rank}, tokens, at(begins), reported}, at(begins));
    }

    /// Returns the time before a new prompt of @p rank in seconds.
    double backlog(double now, int rank = mostUrgent) const
    {
        return Base::seconds(queue.backlog({rank, rank}, believedTokensPerMs, at(now)));
    }

    /// Returns the time until the queue is empty in seconds.
    double wholeBacklog(double now) const
    {
        return Base::seconds(queue.backlog(believedTokensPerMs, at(now)));
    }
};

/// Guards against engines that are believed too fast: they were always prefilling, so that no stream there ended in time.
TEST(PrefillQueue, aSlowEngineKeepsItsBacklogUntilTheReport)
{
    add(1);
    add(2);
    DOUBLES_EQUAL(1.0, backlog(0), 0.001);
    // The engine has half the believed speed, so it ends its first prompt at one second.
    DOUBLES_EQUAL(0.5, backlog(0.5), 0.001);
    DOUBLES_EQUAL(0.5, backlog(0.99), 0.001);
    const auto completed = queue.complete(1, at(1));
    CHECK_TRUE(completed.has_value());
    DOUBLES_EQUAL(tokens, completed->tokens, 0.1);
    DOUBLES_EQUAL(1.0, Base::seconds(completed->duration), 0.001);
    DOUBLES_EQUAL(0.5, backlog(1), 0.001);
    DOUBLES_EQUAL(0.25, backlog(1.25), 0.001);
}

/// Guards against prompts for an engine that stopped: all that was sent to it waits there.
TEST(PrefillQueue, theQueueOfAnEngineThatStoppedStaysLong)
{
    for (std::uint64_t number = 1; number <= 4; ++number) {
        add(number);
    }
    DOUBLES_EQUAL(1.5, backlog(10), 0.001);
    queue.removeOverdue(believedTokensPerMs, at(60));
    DOUBLES_EQUAL(1.5, backlog(60), 0.001);
    CHECK_FALSE(queue.empty());
}

/// Guards against urgent prompts that are assumed to wait for less urgent ones, which the engine prefills later.
TEST(PrefillQueue, urgentRanksGoFirst)
{
    add(1, 0, 3);
    add(2, 0, 2);
    add(3, 0, 1);
    DOUBLES_EQUAL(0.5, backlog(0, 1), 0.001);
    DOUBLES_EQUAL(1.0, backlog(0, 2), 0.001);
    DOUBLES_EQUAL(1.5, backlog(0, 3), 0.001);
    DOUBLES_EQUAL(1.5, wholeBacklog(0), 0.001);
    queue.complete(3, at(0.5));
    DOUBLES_EQUAL(0, backlog(0.5, 1), 0.001);
    DOUBLES_EQUAL(0.5, backlog(0.5, 2), 0.001);
    DOUBLES_EQUAL(1.0, backlog(0.5, 3), 0.001);
}

/// Guards against engines that get no prompts any more because the homes of earlier versions never report.
TEST(PrefillQueue, withoutReportsTheEstimatedTimeCounts)
{
    add(1, 0, mostUrgent, false);
    add(2, 0, mostUrgent, false);
    queue.removeOverdue(believedTokensPerMs, at(0.75));
    CHECK_FALSE(queue.contains(1));
    CHECK_TRUE(queue.contains(2));
    DOUBLES_EQUAL(0.25, backlog(0.75), 0.001);
    queue.removeOverdue(believedTokensPerMs, at(1));
    CHECK_TRUE(queue.empty());
}

/// Guards against an engine that is not selected, and so gets no placement that would remove the prefills without a report.
TEST(PrefillQueue, theBacklogWithoutReportsEndsWithoutAFurtherPlacement)
{
    for (std::uint64_t number = 1; number <= 4; ++number) {
        add(number, 0, mostUrgent, false);
    }
    DOUBLES_EQUAL(1.25, backlog(0.75), 0.001);
    DOUBLES_EQUAL(0, backlog(2), 0.001);
    DOUBLES_EQUAL(0, wholeBacklog(2), 0.001);
}

/// Guards against a prefill that will be reported and is taken for ended, because one without a report was before it.
TEST(PrefillQueue, aReportedPrefillBehindAnUnreportedOneStays)
{
    add(1, 0, mostUrgent, false);
    add(2);
    queue.removeOverdue(believedTokensPerMs, at(10));
    CHECK_FALSE(queue.contains(1));
    CHECK_TRUE(queue.contains(2));
    const auto completed = queue.complete(2, at(10));
    CHECK_TRUE(completed.has_value());
    DOUBLES_EQUAL(9.5, Base::seconds(completed->duration), 0.001);
}

/// Guards against backlog of runs that were cancelled or failed before their first token.
TEST(PrefillQueue, endedRunsLeaveTheQueue)
{
    add(1);
    add(2);
    queue.remove(2, at(0.1));
    DOUBLES_EQUAL(0.4, backlog(0.1), 0.001);
    queue.remove(1, at(0.2));
    DOUBLES_EQUAL(0, backlog(0.2), 0.001);
    CHECK_TRUE(queue.empty());
    queue.remove(1, at(0.3));
    CHECK_FALSE(queue.complete(1, at(0.3)).has_value());
}

/// Guards against an engine that is believed too fast because a run that waited behind its prefill was cancelled.
TEST(PrefillQueue, theEndOfAWaitingRunDoesNotShortenThePrefillBeforeIt)
{
    add(1);
    add(2);
    queue.remove(2, at(0.4));
    const auto completed = queue.complete(1, at(0.5));
    CHECK_TRUE(completed.has_value());
    DOUBLES_EQUAL(0.5, Base::seconds(completed->duration), 0.001);
}

/// Guards against the time of a transfer, or of an idle engine, that counts as time of a prefill.
TEST(PrefillQueue, aPrefillBeginsWhenItsPromptHasArrived)
{
    add(1, 0.3);
    DOUBLES_EQUAL(0.5, backlog(0.2), 0.001);
    DOUBLES_EQUAL(0.4, backlog(0.4), 0.001);
    DOUBLES_EQUAL(0.5, Base::seconds(queue.complete(1, at(0.8))->duration), 0.001);
    add(2, 5);
    DOUBLES_EQUAL(0.5, Base::seconds(queue.complete(2, at(5.5))->duration), 0.001);
}
