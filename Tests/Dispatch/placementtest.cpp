// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/soonestfirsttoken.h"

#include "Dispatch/fixtures.h"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Dispatch;
using Tests::at;

TEST_GROUP(SoonestFirstToken)
{
    SoonestFirstToken placement;
    std::vector<Candidate> engines {{1, 0, 64, 500'000}, {2, 0, 64, 500'000}, {3, 0, 64, 500'000}};

    QueuedAsk ask(std::uint64_t shared, std::uint64_t own, int rank = 1)
    {
        QueuedAsk made;
        made.ask.prefix = {shared, own};
        made.ask.prefixTokens = {13'000, 17'000};
        made.ask.promptTokens = 17'000;
        made.ask.reportsPrefill = true;
        made.ask.expectedTokens = 100;
        made.parameters.urgency = {rank, rank};
        made.parameters.firstToken = std::chrono::seconds(2);
        made.parameters.tightestAbove = rank > 1 ? std::chrono::milliseconds(1500) : std::chrono::milliseconds(0);
        made.arrival = at(0);
        made.deadline = at(1000);
        return made;
    }

    std::uint32_t place(const QueuedAsk &placed, double now)
    {
        const std::uint32_t endpoint = placement.choose(placed, engines, at(now)).value();
        placement.recordPlacement(placed, *std::ranges::find(engines, endpoint, &Candidate::endpoint), at(now));
        return endpoint;
    }
};

TEST(SoonestFirstToken, promptsWithASharedPrefixGoToOneEngine)
{
    const std::uint32_t first = place(ask(7, 100), 0);
    for (std::uint64_t own = 101; own < 110; ++own) {
        CHECK_EQUAL(first, place(ask(7, own), static_cast<double>(own - 100)));
    }
}

TEST(SoonestFirstToken, anotherDispatcherSelectsTheSameEngine)
{
    SoonestFirstToken successor;
    for (std::uint64_t shared = 1; shared < 20; ++shared) {
        const auto mine = SoonestFirstToken().choose(ask(shared, 500), engines, at(0));
        CHECK_TRUE(mine == successor.choose(ask(shared, 900), engines, at(0)));
    }
}

TEST(SoonestFirstToken, aLowerTierWaitsRatherThanDelayTheTierAbove)
{
    std::vector<PlacedRun> runs;
    for (std::uint64_t shared = 1; shared <= 3; ++shared) {
        for (Candidate &engine : engines) {
            runs.push_back(placement.recordPlacement(ask(100 * shared + engine.endpoint, 1, 3), engine, at(0)));
        }
    }
    CHECK_FALSE(placement.choose(ask(9, 9, 3), engines, at(0.01)).has_value());
    CHECK_TRUE(placement.choose(ask(9, 9, 1), engines, at(0.01)).has_value());
    std::ranges::for_each(runs, [&](const PlacedRun &run) { placement.recordPrefillEnd(run, at(2)); });
    CHECK_TRUE(placement.choose(ask(9, 9, 3), engines, at(20)).has_value());
}

TEST(SoonestFirstToken, activeRunsLeaveMemoryForCachedPrompts)
{
    engines = {{1, 0, 64, 50'000}};
    place(ask(1, 1), 0);
    CHECK_FALSE(placement.choose(ask(2, 2, 2), engines, at(5)).has_value());
}

TEST(SoonestFirstToken, theExpectedFirstTokenGrowsWithTheBacklog)
{
    const Base::Duration idle = placement.expectedFirstToken(ask(5, 5), engines, at(0));
    for (const Candidate &engine : engines) {
        placement.recordPlacement(ask(50 + engine.endpoint, 1), engine, at(0));
    }
    CHECK_TRUE(placement.expectedFirstToken(ask(5, 5), engines, at(0)) > idle);
}

TEST(SoonestFirstToken, evictedPromptsNeedAPrefill)
{
    engines = {{1, 0, 64, 60'000}};
    const PlacedRun first = placement.recordPlacement(ask(1, 100), engines.front(), at(0));
    placement.recordEnd(first, {}, at(0.9));
    CHECK_EQUAL(4'000U, placement.recordPlacement(ask(1, 101), engines.front(), at(1)).prefillTokens);
    for (std::uint64_t other = 2; other < 8; ++other) {
        placement.recordEnd(placement.recordPlacement(ask(other, 100 + other), engines.front(), at(2)), {}, at(2));
    }
    CHECK_EQUAL(17'000U, placement.recordPlacement(ask(1, 110), engines.front(), at(3)).prefillTokens);
}

TEST(SoonestFirstToken, wrongPartLengthsDoNotCountMoreMemoryThanThePrompt)
{
    QueuedAsk malformed = ask(1, 1);
    malformed.ask.prefixTokens = {90'000, 4'000'000'000U};
    place(malformed, 0);
    const PlacedRun again = placement.recordPlacement(malformed, engines.front(), at(1));
    CHECK_TRUE(again.kvTokens <= 17'100U);
    CHECK_TRUE(placement.choose(ask(2, 2), engines, at(5)).has_value());
    CHECK_TRUE(placement.choose(malformed, engines, at(5)).has_value());
}

TEST(SoonestFirstToken, theRemainingPrefillOfAnEndedRunIsNotExpected)
{
    const Base::Duration idle = placement.expectedFirstToken(ask(5, 500), engines, at(0));
    std::vector<PlacedRun> runs;
    for (const Candidate &engine : engines) {
        runs.push_back(placement.recordPlacement(ask(50 + engine.endpoint, 501), engine, at(0)));
        runs.push_back(placement.recordPlacement(ask(60 + engine.endpoint, 502, 2), engine, at(0)));
    }
    CHECK_TRUE(placement.expectedFirstToken(ask(5, 500, 2), engines, at(0.01)) > idle);
    for (const PlacedRun &run : runs) {
        placement.recordEnd(run, {}, at(0.01));
    }
    CHECK_TRUE(placement.expectedFirstToken(ask(5, 500, 2), engines, at(0.01)) == idle);
}

/// Engines that can fetch cached prompts from each other.
TEST_GROUP_BASE(PromptTransfers, TEST_GROUP_CppUTestGroupSoonestFirstToken) {
    void setup() override {for (Candidate & engine
                                : engines) {engine.transferTokensPerMs = 300;
}
placement.recordEnd(placement.recordPlacement(ask(1, 100), engines[0], at(0)), {}, at(0));
}
}
;

TEST(PromptTransfers, anEngineFetchesASharedPartFromItsKeeper)
{
    const PlacedRun run = placement.recordPlacement(ask(1, 101), engines[1], at(5));
    CHECK_EQUAL(1U, run.keeper);
    CHECK_EQUAL(4'000U, run.prefillTokens);
    // The engine caches what it has fetched, and others can fetch it from there once its home has reported the first token.
    placement.recordPrefillEnd(run, at(5.2));
    CHECK_EQUAL(0U, placement.recordPlacement(ask(1, 102), engines[1], at(10)).keeper);
    placement.removeEndpoint(1);
    CHECK_EQUAL(2U, placement.recordPlacement(ask(1, 103), engines[2], at(15)).keeper);
}

TEST(PromptTransfers, nothingIsFetchedBeforeItsPrefillIsComplete)
{
    CHECK_EQUAL(0U, placement.recordPlacement(ask(1, 101), engines[1], at(0.01)).keeper);
}

TEST(PromptTransfers, nothingIsFetchedFromAnUnreliableEngine)
{
    placement.markUnreliable(1);
    CHECK_EQUAL(0U, placement.recordPlacement(ask(1, 101), engines[1], at(5)).keeper);
}

TEST(PromptTransfers, onlyASuccessfulRunPlacedLaterMakesAnEngineReliableAgain)
{
    const PlacedRun before = placement.recordPlacement(ask(1, 100), engines[0], at(1));
    placement.markUnreliable(1);
    placement.recordEnd(before, {std::chrono::milliseconds(100), {}}, at(1.1));
    CHECK_EQUAL(0U, placement.recordPlacement(ask(1, 101), engines[1], at(5)).keeper);
    placement.recordEnd(placement.recordPlacement(ask(1, 102), engines[0], at(6)), {std::chrono::milliseconds(100), {}}, at(6.1));
    CHECK_EQUAL(1U, placement.recordPlacement(ask(1, 103), engines[2], at(10)).keeper);
}

TEST(PromptTransfers, fetchedPromptsNeedMemory)
{
    engines = {{1, 0, 64, 500'000, 300}, {2, 0, 64, 40'000, 300}};
    placement.recordPlacement(ask(2, 200), engines[1], at(5));
    // Engine 2 uses 17,100 of at most 30,000 tokens; the shared part alone has 13,000.
    QueuedAsk more = ask(1, 101);
    more.ask.expectedTokens = 50;
    CHECK_EQUAL(1U, placement.choose(more, engines, at(10)).value());
    engines.erase(engines.begin());
    CHECK_FALSE(placement.choose(more, engines, at(10)).has_value());
}

TEST(PromptTransfers, aPromptIsNotFetchedIfAPrefillIsFaster)
{
    for (Candidate &engine : engines) {
        engine.transferTokensPerMs = 10;
    }
    CHECK_EQUAL(0U, placement.recordPlacement(ask(1, 101), engines[1], at(5)).keeper);
    engines[1].transferTokensPerMs = 0;
    CHECK_EQUAL(0U, placement.recordPlacement(ask(1, 101), engines[1], at(5)).keeper);
}

TEST(PromptTransfers, promptsWithASharedPartUseSeveralEngines)
{
    std::set<std::uint32_t> used;
    for (std::uint64_t own = 200; own < 206; ++own) {
        used.insert(place(ask(1, own), 5));
    }
    CHECK_EQUAL(3U, used.size());
}

/// Engines with streams that allow only short pauses, where long pauses have been observed.
TEST_GROUP_BASE(StreamPauses,
                TEST_GROUP_CppUTestGroupSoonestFirstToken) {QueuedAsk tight(std::uint64_t own) {QueuedAsk made = ask(own, own);
made.ask.promptTokens = 100;
made.ask.prefixTokens = {50, 100};
made.parameters.tokenGap = std::chrono::milliseconds(200);
return made;
}

QueuedAsk longPrefill(std::uint64_t own)
{
    QueuedAsk made = ask(own, own);
    made.parameters.tokenGap = std::chrono::seconds(5);
    return made;
}

/// Adds observations of @p engine in which a prefill causes pauses of half a second.
void observePauses(const Candidate &engine, double now)
{
    const PlacedRun run = placement.recordPlacement(tight(50), engine, at(now));
    placement.recordEnd(placement.recordPlacement(longPrefill(51), engine, at(now)), {}, at(now));
    placement.recordEnd(run, {std::chrono::milliseconds(10), {std::chrono::milliseconds(20), std::chrono::milliseconds(500)}},
                        at(now));
}
}
;

TEST(StreamPauses, aLongPrefillGoesToAnEngineWithoutTightStreams)
{
    observePauses(engines[0], 0);
    for (std::uint64_t own = 60; own < 63; ++own) {
        placement.recordPlacement(tight(own), engines[0], at(60));
        placement.recordPlacement(tight(own), engines[1], at(60));
    }
    for (std::uint64_t own = 70; own < 90; ++own) {
        CHECK_EQUAL(3U, placement.choose(longPrefill(own), engines, at(70)).value());
    }
}

TEST(StreamPauses, aTightStreamGoesToAnEngineWithLittleRecentPrefill)
{
    observePauses(engines[0], 0);
    placement.recordPlacement(longPrefill(52), engines[0], at(60));
    placement.recordPlacement(longPrefill(53), engines[1], at(60));
    for (std::uint64_t own = 70; own < 90; ++own) {
        CHECK_EQUAL(3U, placement.choose(tight(own), engines, at(61)).value());
    }
}

TEST(StreamPauses, withoutObservedPausesLongPrefillsGoToAllEngines)
{
    std::set<std::uint32_t> used;
    placement.recordPlacement(tight(60), engines[0], at(60));
    for (std::uint64_t own = 70; own < 90; ++own) {
        used.insert(placement.choose(longPrefill(own), engines, at(70)).value());
    }
    CHECK_EQUAL(3U, used.size());
}

TEST(SoonestFirstToken, aSlowEngineHasALongerExpectedPrefill)
{
    const std::span<const Candidate> all(engines);
    const auto expectedAt = [&](std::size_t index, std::uint64_t own) {
        return Base::milliseconds(placement.expectedFirstToken(ask(own, own), all.subspan(index, 1), at(500)));
    };
    for (std::uint64_t run = 0; run < 40; ++run) {
        for (const Candidate &engine : engines) {
            const double first = engine.endpoint == 3 ? 2.0 : 0.5;
            const double now = static_cast<double>(run) * 3;
            const PlacedRun placed = placement.recordPlacement(ask(1000 + 10 * run + engine.endpoint, 1), engine, at(now));
            placement.recordPrefillEnd(placed, at(now + first));
            placement.recordEnd(placed, {at(first) - at(0), {}}, at(now + first));
        }
    }
    DOUBLES_EQUAL(expectedAt(0, 5000), expectedAt(1, 5000), 1.0);
    CHECK_TRUE(expectedAt(2, 5000) > 1.5 * expectedAt(0, 5000));
}
