// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/waitestimates.h"

#include "Dispatch/fixtures.h"
#include "Dispatch/shard.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <utility>
#include <vector>

using namespace Yokepond;
using namespace Yokepond::Dispatch;
using Tests::at;

/// Four engines that prefill 30 tokens per millisecond, so that a long prompt takes half a second. A long response has 100
/// events, one each 100 ms.
TEST_GROUP(WaitEstimates)
{
    static constexpr std::uint32_t pool = 1;
    static constexpr std::uint32_t engines = 4;
    static constexpr std::uint32_t firstEndpoint = 101;
    static constexpr std::uint32_t shortClass = 11;
    static constexpr std::uint32_t longClass = 12;
    static constexpr std::uint32_t longPrompt = 15'000;
    static constexpr double prefillSeconds = 0.5;
    static constexpr double responseSeconds = 10;

    std::unique_ptr<Shard> shard;
    Home home {"h1", 7};
    std::uint64_t next = 1;
    double time = 0; ///< seconds
    std::vector<Peer::Grant> grants;
    std::vector<Peer::Refusal> refusals;

    void setup() override
    {
        build(true, true);
    }

    static Configuration::RequestClass requestClass(std::uint32_t number, int rank, std::chrono::seconds firstToken,
                                                    bool deadlineEndsRun)
    {
        Configuration::RequestClass made;
        made.number = number;
        made.rank = rank;
        made.pool = pool;
        made.firstToken = firstToken;
        made.tokenGap = std::chrono::seconds(1);
        made.starvationBound = std::chrono::seconds(60);
        made.deadlineEndsRun = deadlineEndsRun;
        return made;
    }

    void build(bool refuseLate, bool deadlineEndsRun)
    {
        Configuration::CatalogueParts parts;
        parts.revision = 1;
        parts.policies.placement = Configuration::PlacementPolicy::SoonestFirstToken;
        parts.policies.window = Configuration::WindowPolicy::Fixed;
        parts.policies.refuseLate = refuseLate;
        parts.classes = {requestClass(shortClass, 1, std::chrono::seconds(1), deadlineEndsRun),
                         requestClass(longClass, 2, std::chrono::seconds(100), deadlineEndsRun)};
        ShardInfo info {1, pool, "", 0, {}, "h1"};
        for (std::uint32_t index = 0; index < engines; ++index) {
            Configuration::Endpoint endpoint;
            endpoint.number = firstEndpoint + index;
            endpoint.pool = pool;
            endpoint.slots = 64;
            parts.endpoints.push_back(endpoint);
            info.endpoints.push_back(endpoint.number);
        }
        shard = std::make_unique<Shard>(info, Configuration::Catalogue::assemble(std::move(parts)), at(-10));
        time = 0;
        shard->tick(at(time));
    }

    Peer::Ask makeAsk(std::uint32_t requestClass, double remainingSeconds)
    {
        Peer::Ask made;
        made.id = {next++, 1};
        made.shard = 1;
        made.requestClass = requestClass;
        made.organisation = 1;
        made.remaining = std::chrono::milliseconds(static_cast<int>(remainingSeconds * 1000));
        made.promptTokens = requestClass == longClass ? longPrompt : 600;
        // No two prompts share a prefix, so each needs a full prefill.
        made.prefix = {next * 2, next * 2 + 1};
        made.prefixTokens = {made.promptTokens / 2, made.promptTokens};
        made.sentAt = at(time);
        made.reportsPrefill = true;
        return made;
    }

    void send(const Peer::Ask &ask)
    {
        shard->ask(at(time), home, ask);
        takeReplies();
    }

    void takeReplies()
    {
        for (const Reply &reply : shard->takeReplies()) {
            if (const auto *grant = std::get_if<Peer::Grant>(&reply.message)) {
                grants.push_back(*grant);
            } else if (const auto *refusal = std::get_if<Peer::Refusal>(&reply.message)) {
                refusals.push_back(*refusal);
            }
        }
    }

    void endPrefill(const Peer::Grant &grant)
    {
        shard->prefillEnded(at(time), home, {grant.id, 1});
        takeReplies();
    }

    /// Lets some long requests run, so that the lengths of responses are known.
    void observeResponses()
    {
        for (int run = 0; run < 5; ++run) {
            grants.clear();
            send(makeAsk(longClass, 60));
            CHECK_EQUAL(1U, grants.size());
            const Peer::Grant grant = grants.front();
            time += prefillSeconds;
            endPrefill(grant);
            time += responseSeconds;
            shard->release(at(time), home,
                           {grant.id, 1, grant.endpoint, Peer::RunResult::Completed, std::chrono::milliseconds(500),
                            std::chrono::milliseconds(100), 100, std::chrono::milliseconds(100)});
            shard->tick(at(time));
        }
        grants.clear();
        CHECK_EQUAL(0U, refusals.size());
    }

    /// Sends long prompts until @p queued of them wait because all engines are busy.
    void fillQueue(std::size_t queued)
    {
        while (shard->queued() < queued) {
            send(makeAsk(longClass, 60));
        }
        CHECK_EQUAL(0U, refusals.size());
    }
};

/// Guards against runs that take an engine's time although their deadlines end them before the response is complete.
TEST(WaitEstimates, anAskWhoseResponseCannotEndBeforeItsDeadlineIsRefusedAtOnce)
{
    observeResponses();
    for (int ahead = 0; ahead < 50 && shard->queued() == 0; ++ahead) {
        send(makeAsk(longClass, 60));
    }
    CHECK_EQUAL(1U, shard->queued());
    grants.clear();
    send(makeAsk(longClass, responseSeconds * 0.3));
    CHECK_EQUAL(0U, grants.size());
    CHECK_EQUAL(1U, shard->queued());
    CHECK_EQUAL(1U, refusals.size());
    CHECK_TRUE(refusals.front().reason == Peer::RefusalReason::TooLate);
    CHECK_TRUE(refusals.front().retryAfter > Base::Duration::zero());
}

/// Guards against lengths that are never learned again because all asks are refused for them, and against refusals with room.
TEST(WaitEstimates, anAskIsTriedWhileNothingWaits)
{
    observeResponses();
    grants.clear();
    send(makeAsk(longClass, responseSeconds * 0.3));
    CHECK_EQUAL(1U, grants.size());
    CHECK_EQUAL(0U, refusals.size());
}

/// Guards against refusals where the operators have not asked for them.
TEST(WaitEstimates, withoutThePolicySuchAnAskIsGranted)
{
    build(false, true);
    observeResponses();
    send(makeAsk(longClass, responseSeconds * 0.3));
    CHECK_EQUAL(1U, grants.size());
    CHECK_EQUAL(0U, refusals.size());
}

/// Guards against refusals of requests that can be served: the response may be shorter than usual.
TEST(WaitEstimates, anAskWhoseResponseMayEndBeforeItsDeadlineIsGranted)
{
    observeResponses();
    send(makeAsk(longClass, responseSeconds * 1.5));
    send(makeAsk(longClass, responseSeconds * 0.8));
    CHECK_EQUAL(2U, grants.size());
    CHECK_EQUAL(0U, refusals.size());
}

/// Guards against refusals because of lengths that nobody has observed.
TEST(WaitEstimates, withoutObservedResponsesNoAskIsRefused)
{
    send(makeAsk(longClass, 1));
    CHECK_EQUAL(1U, grants.size());
}

/// Guards against runs that are wasted: a later attempt may continue a stream that is nearly complete.
TEST(WaitEstimates, aLaterAttemptIsNotRefusedForTheLengthOfItsResponse)
{
    observeResponses();
    Peer::Ask later = makeAsk(longClass, responseSeconds * 0.3);
    later.id.attempt = 2;
    send(later);
    CHECK_EQUAL(1U, grants.size());
    CHECK_EQUAL(0U, refusals.size());
}

/// Guards against refusals in classes whose runs may go on after the deadline, which only limits when they start.
TEST(WaitEstimates, aDeadlineThatOnlyLimitsTheStartDoesNotLimitTheResponse)
{
    build(true, false);
    observeResponses();
    send(makeAsk(longClass, responseSeconds * 0.3));
    CHECK_EQUAL(0U, refusals.size());
    CHECK_EQUAL(1U, grants.size());
}

/// Guards against asks that wait in vain: the prompts before them need more time than they have. One that has the time waits.
TEST(WaitEstimates, anAskBehindMorePrefillThanItCanWaitForIsRefused)
{
    observeResponses();
    // Half of the prefill of 40 prompts, at four engines, takes 2.5 s; a response of half the usual length takes 5 s.
    fillQueue(40);
    send(makeAsk(longClass, 9));
    CHECK_EQUAL(0U, refusals.size());
    CHECK_EQUAL(41U, shard->queued());
    send(makeAsk(longClass, 7));
    CHECK_EQUAL(1U, refusals.size());
    CHECK_TRUE(refusals.front().reason == Peer::RefusalReason::TooLate);
}

/// Guards against callers who are told to come back while the queue is still as long.
TEST(WaitEstimates, theRetryTimeIsAtLeastTheTimeThatTheAskLacks)
{
    observeResponses();
    fillQueue(40);
    send(makeAsk(longClass, 6));
    CHECK_EQUAL(1U, refusals.size());
    CHECK_TRUE(refusals.front().retryAfter >= std::chrono::milliseconds(1500));
}

/// Guards against late asks that make all others at an engine late as well: they wait until an engine has room.
TEST(WaitEstimates, aLateAskWaitsForRoom)
{
    build(false, true);
    for (std::uint32_t engine = 0; engine < engines; ++engine) {
        send(makeAsk(longClass, 300));
    }
    CHECK_EQUAL(engines, grants.size());
    Peer::Ask late = makeAsk(longClass, 60);
    late.age = std::chrono::seconds(200);
    send(late);
    CHECK_EQUAL(engines, grants.size());
    CHECK_EQUAL(1U, shard->queued());
    const Peer::Grant first = grants.front();
    // The first engine ends early. Between two prompts it produces tokens for some time.
    time += prefillSeconds / 2;
    endPrefill(first);
    time += prefillSeconds * 0.3;
    shard->tick(at(time));
    takeReplies();
    CHECK_EQUAL(engines + 1, grants.size());
    CHECK_EQUAL(first.endpoint, grants.back().endpoint);
}

/// Guards against refusals while engines are idle.
TEST(WaitEstimates, nothingIsRefusedWhileEnginesHaveRoom)
{
    observeResponses();
    for (std::uint32_t engine = 0; engine < engines; ++engine) {
        send(makeAsk(longClass, 30));
    }
    for (int index = 0; index < 20; ++index) {
        send(makeAsk(shortClass, 30));
    }
    CHECK_EQUAL(0U, refusals.size());
    CHECK_EQUAL(engines + 20, grants.size());
}
