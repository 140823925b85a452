// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/shard.h"

#include "Dispatch/fixtures.h"

#include <map>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Dispatch;
using Configuration::Kind;
using Peer::RefusalReason;
using Tests::at;

TEST_GROUP(Shard)
{
    Configuration::Objects objects;
    std::unique_ptr<Shard> shard;
    Home home {"h1", 7};
    std::uint64_t next = 1;

    void setup() override
    {
        build("");
    }

    void build(const std::string &more)
    {
        objects = Tests::objectsOf(std::string(Tests::threeTiers) + more);
        shard = std::make_unique<Shard>(info(), Configuration::Catalogue::build(objects), at(-10));
        shard->tick(at(0));
    }

    ShardInfo info()
    {
        return {1, Tests::numberOf(objects, Kind::Pool, "main"), "", 0, {endpoint("e1"), endpoint("e2")}, "h1"};
    }

    std::uint32_t endpoint(std::string_view name)
    {
        return Tests::numberOf(objects, Kind::Endpoint, name);
    }

    std::set<std::uint32_t> grantedEndpoints()
    {
        std::set<std::uint32_t> found;
        for (const Peer::Grant &grant : replies<Peer::Grant>()) {
            found.insert(grant.endpoint);
        }
        return found;
    }

    Peer::AttemptId ask(std::string_view name, double now, double age = 0, std::string_view organisation = "small")
    {
        Peer::Ask made;
        made.id = {next++, 1};
        made.shard = 1;
        made.requestClass = Tests::numberOf(objects, Kind::Class, name);
        made.organisation = Tests::numberOf(objects, Kind::Organisation, organisation);
        made.age = std::chrono::milliseconds(static_cast<int>(age * 1000));
        made.remaining = std::chrono::seconds(20);
        made.sentAt = at(now);
        shard->ask(at(now), home, made);
        return made.id;
    }

    template<typename Kind>
    std::vector<Kind> replies()
    {
        std::vector<Kind> found;
        for (const Reply &reply : shard->takeReplies()) {
            if (const auto *message = std::get_if<Kind>(&reply.message)) {
                found.push_back(*message);
            }
        }
        return found;
    }

    void release(const Peer::Grant &grant, double now, Peer::RunResult result = Peer::RunResult::Completed)
    {
        shard->release(at(now), home,
                       {grant.id, 1, grant.endpoint, result, std::chrono::milliseconds(50), std::chrono::milliseconds(15), 20});
    }
};

TEST(Shard, grantsUpToTheWindowsAndThenAsSlotsBecomeFree)
{
    for (int index = 0; index < 6; ++index) {
        ask("alert", 0);
    }
    const auto granted = replies<Peer::Grant>();
    CHECK_EQUAL(4U, granted.size());
    release(granted.front(), 0.5);
    CHECK_EQUAL(1U, replies<Peer::Grant>().size());
    CHECK_EQUAL(1U, shard->queued());
}

TEST(Shard, repeatedAskGetsTheSameGrant)
{
    const auto id = ask("alert", 0);
    const auto first = replies<Peer::Grant>();
    next = id.request;
    ask("alert", 0.1);
    const auto second = replies<Peer::Grant>();
    CHECK_EQUAL(first.front().endpoint, second.front().endpoint);
    CHECK_EQUAL(1U, shard->permits());
}

TEST(Shard, fullQueueShedsTheLowestTierAndNeverAHigherOne)
{
    build("create setting queue-limit value 3\n");
    for (int index = 0; index < 4; ++index) {
        ask("routine", 0);
    }
    for (int index = 0; index < 3; ++index) {
        ask("routine", 0);
    }
    replies<Peer::Grant>();
    ask("alert", 0.1);
    ask("desk", 0.1);
    ask("alert", 0.1);
    CHECK_EQUAL(3U, replies<Peer::Refusal>().size());
    // Only higher tiers are left: a new ask of the lowest tier is refused at once, one of the highest evicts that of the middle
    // tier.
    const auto routine = ask("routine", 0.2);
    CHECK_TRUE(replies<Peer::Refusal>().front().id == routine);
    ask("alert", 0.2);
    const auto refused = replies<Peer::Refusal>();
    CHECK_TRUE(refused.front().reason == RefusalReason::QueueFull);
    CHECK_TRUE(refused.front().retryAfter > Base::Duration::zero());
}

TEST(Shard, anAskPastItsDeadlineIsRefusedAtTheNextTick)
{
    for (int index = 0; index < 5; ++index) {
        ask("alert", 0);
    }
    replies<Peer::Grant>();
    shard->tick(at(20.1));
    const auto refused = replies<Peer::Refusal>();
    CHECK_EQUAL(1U, refused.size());
    CHECK_TRUE(refused.front().reason == RefusalReason::DeadlinePassed);
}

TEST(Shard, drainedEndpointGetsNoNewRuns)
{
    const auto mutations = Language::plan(objects, *Language::parseCommands("drain endpoint e1"));
    objects.apply({2, "id", 0, "test", "", *mutations});
    shard->configure(info(), Configuration::Catalogue::build(objects), at(0));
    for (int index = 0; index < 4; ++index) {
        ask("alert", 0);
    }
    for (const Peer::Grant &grant : replies<Peer::Grant>()) {
        CHECK_EQUAL(endpoint("e2"), grant.endpoint);
    }
}

TEST(Shard, endpointThatThePlatformListsAsLeavingGetsNoNewRuns)
{
    shard->setLeaving(at(0), {endpoint("e2")});
    for (int index = 0; index < 4; ++index) {
        ask("alert", 0);
    }
    for (const Peer::Grant &grant : replies<Peer::Grant>()) {
        CHECK_EQUAL(endpoint("e1"), grant.endpoint);
    }
}

TEST(Shard, permitsAndAsksOfALostHomeAreDropped)
{
    for (int index = 0; index < 5; ++index) {
        ask("alert", 0);
    }
    shard->removeHome(at(1), "h1", 0);
    CHECK_EQUAL(0U, shard->permits());
    CHECK_EQUAL(0U, shard->queued());
}

TEST(Shard, newIncarnationKeepsOnlyItsOwn)
{
    ask("alert", 0);
    home.incarnation = 8;
    ask("alert", 0);
    shard->removeHome(at(1), "h1", 8);
    CHECK_EQUAL(1U, shard->permits());
}

TEST(Shard, onlyThePermitsAndAsksOfAReplacedProcessAreDropped)
{
    ask("alert", 0);
    home.incarnation = 8;
    ask("alert", 0);
    shard->removeProcess(at(1), {"h1", 7});
    CHECK_EQUAL(1U, shard->permits());
    shard->removeProcess(at(1), {"h2", 8});
    CHECK_EQUAL(1U, shard->permits());
}

TEST(Shard, reportRebuildsPermitsAndDropsThoseWhoseReleaseWasLost)
{
    const auto id = ask("alert", 0);
    replies<Peer::Grant>();
    shard->report(at(1), home, {1, {{{99, 1}, endpoint("e1"), Tests::numberOf(objects, Kind::Class, "alert")}}});
    CHECK_EQUAL(2U, shard->permits());
    // The first grant is recent and may still be on its way. A later report that does not list it drops it.
    shard->report(at(4), home, {1, {{{99, 1}, endpoint("e1"), 1}}});
    CHECK_EQUAL(1U, shard->permits());
    CHECK_EQUAL(0U, shard->find({7, id}).endpoint);
}

TEST(Shard, handOverRefusesEveryQueuedAsk)
{
    for (int index = 0; index < 6; ++index) {
        ask("alert", 0);
    }
    replies<Peer::Grant>();
    shard->handOver();
    const auto refused = replies<Peer::Refusal>();
    CHECK_EQUAL(2U, refused.size());
    CHECK_TRUE(refused.front().reason == RefusalReason::NotDispatcher);
}

TEST(Shard, queuedAsksFollowTheirClassToItsNewTier)
{
    for (int index = 0; index < 4; ++index) {
        ask("alert", 0);
    }
    const auto granted = replies<Peer::Grant>();
    const auto middle = ask("desk", 0);
    const auto low = ask("routine", 0);
    // The lowest class is raised above the other, whose ask has waited longer.
    const auto mutations = Language::plan(objects, *Language::parseCommands("set class routine tier high"));
    objects.apply({2, "id", 0, "test", "", *mutations});
    shard->configure(info(), Configuration::Catalogue::build(objects), at(0.1));
    release(granted[0], 0.2);
    release(granted[1], 0.2);
    const auto order = replies<Peer::Grant>();
    CHECK_TRUE(order[0].id == low);
    CHECK_TRUE(order[1].id == middle);
}

TEST(Shard, deletingAClassKeepsItsQueuedAsks)
{
    for (int index = 0; index < 4; ++index) {
        ask("alert", 0);
    }
    const auto granted = replies<Peer::Grant>();
    const auto waiting = ask("routine", 0);
    const auto mutations = Language::plan(objects, *Language::parseCommands("delete class routine"));
    objects.apply({2, "id", 0, "test", "", *mutations});
    shard->configure(info(), Configuration::Catalogue::build(objects), at(0.1));
    release(granted[0], 0.2);
    CHECK_TRUE(replies<Peer::Grant>().front().id == waiting);
}

TEST(Shard, startByIsOnTheHomesClock)
{
    for (int index = 0; index < 5; ++index) {
        ask("alert", 0);
    }
    const auto granted = replies<Peer::Grant>();
    release(granted.front(), 3);
    // The ask was queued for 3 s here, so the run may start until 5 s after the home sent it.
    CHECK_TRUE(replies<Peer::Grant>().front().startBy == at(5));
}

/// Guards against grants for crashed engines. The platform listed them for some more seconds, and the engines that had taken over
/// their addresses rejected their requests. They seemed to have the lowest load, so each attracted up to 90 requests, which
/// failed if their class allows only one run. The dispatcher ignored a rejection, since full engines also reject requests.
TEST(Shard, aReplacedEndpointGetsNoMoreRuns)
{
    ask("alert", 0);
    const auto granted = replies<Peer::Grant>();
    release(granted.front(), 0.1, Peer::RunResult::EndpointReplaced);
    for (int index = 0; index < 3; ++index) {
        ask("alert", 0.2);
    }
    const auto others = replies<Peer::Grant>();
    CHECK_EQUAL(2U, others.size());
    for (const Peer::Grant &grant : others) {
        CHECK_TRUE(grant.endpoint != granted.front().endpoint);
    }
}

/// Guards against endpoints that are ejected for all hosts on the word of one host that has lost its paths to them.
TEST(Shard, lostPathsOfOneHomeEjectNoEndpoint)
{
    for (int index = 0; index < 12; ++index) {
        ask("alert", 0.1 * index);
        release(replies<Peer::Grant>().front(), 0.1 * index, Peer::RunResult::PathLost);
    }
    CHECK_EQUAL(0U, shard->counters().ejections);
    for (int index = 0; index < 4; ++index) {
        ask("alert", 1.3);
    }
    CHECK_EQUAL(4U, replies<Peer::Grant>().size());
}

/// Guards against an endpoint that is gone and stays in use because its failures are taken for lost paths.
TEST(Shard, unreachableEndpointsAreEjected)
{
    for (int index = 0; index < 4; ++index) {
        ask("alert", 0.1 * index);
        release(replies<Peer::Grant>().front(), 0.1 * index, Peer::RunResult::Unreachable);
    }
    CHECK_TRUE(shard->counters().ejections >= 1);
}

TEST(Shard, aFullEndpointGetsMoreRuns)
{
    ask("alert", 0);
    release(replies<Peer::Grant>().front(), 0.1, Peer::RunResult::Rejected);
    for (int index = 0; index < 4; ++index) {
        ask("alert", 0.2);
    }
    CHECK_EQUAL(4U, replies<Peer::Grant>().size());
}

TEST(Shard, withAllEndpointsReplacedAsksAreRefused)
{
    ask("alert", 0);
    ask("alert", 0);
    ask("alert", 0);
    for (const Peer::Grant &grant : replies<Peer::Grant>()) {
        release(grant, 0.1, Peer::RunResult::EndpointReplaced);
    }
    replies<Peer::Grant>();
    ask("alert", 0.2);
    CHECK_TRUE(replies<Peer::Refusal>().front().reason == RefusalReason::NoEndpoint);
}

/// Long prompts that begin alike. A prompt of 17,000 tokens takes 567 ms at the initial estimate of an engine's speed; the first
/// 13,000 are shared within a group.
TEST_GROUP(ShardSharedPrefix)
{
    Configuration::Objects objects;
    std::unique_ptr<Shard> shard;
    Home first {"h1", 7};
    Home second {"h2", 8};
    std::uint64_t next = 1;
    std::map<std::uint64_t, Peer::Ask> asks; ///< by request

    void setup() override
    {
        objects = Tests::objectsOf("create setting placement value soonest-first-token\ncreate pool main\ncreate tier t1 rank 1\n"
                                   "create class long tier t1 pool main deadline 20s first-token 4s token-gap 1200ms\n"
                                   "create endpoint e1 pool main address 10.0.0.1:1 slots 64\n"
                                   "create endpoint e2 pool main address 10.0.0.1:2 slots 64\n"
                                   "create endpoint e3 pool main address 10.0.0.1:3 slots 64\n");
        startDispatcher(0);
    }

    void startDispatcher(double now)
    {
        const auto catalogue = Configuration::Catalogue::build(objects);
        ShardInfo info {1, Tests::numberOf(objects, Kind::Pool, "main"), "", 0, {}, "h1"};
        for (const Configuration::Endpoint &endpoint : catalogue->endpoints()) {
            info.endpoints.push_back(endpoint.number);
        }
        shard = std::make_unique<Shard>(info, catalogue, at(now - 10));
        shard->tick(at(now));
    }

    void send(const Home &home, std::uint64_t group, double now)
    {
        Peer::Ask made;
        made.id = {next++, 1};
        made.shard = 1;
        made.requestClass = Tests::numberOf(objects, Kind::Class, "long");
        made.remaining = std::chrono::seconds(20);
        made.promptTokens = 17'000;
        made.reportsPrefill = true;
        made.prefix = {group, 1'000'000 + made.id.request};
        made.prefixTokens = {13'000, 17'000};
        made.sentAt = at(now);
        asks[made.id.request] = made;
        shard->ask(at(now), home, made);
    }

    std::vector<Peer::Grant> grants()
    {
        std::vector<Peer::Grant> found;
        for (const Reply &reply : shard->takeReplies()) {
            if (const auto *grant = std::get_if<Peer::Grant>(&reply.message)) {
                found.push_back(*grant);
            }
        }
        return found;
    }

    void prefillEnds(const Home &home, const Peer::Grant &grant, double now)
    {
        shard->prefillEnded(at(now), home, {grant.id, 1});
    }

    /// Lets the first home's prompt be prefilled and two of the second home wait for it. Returns the first one's grant.
    Peer::Grant twoWaitForOne(std::uint64_t group)
    {
        send(first, group, 0);
        const auto granted = grants();
        CHECK_EQUAL(1U, granted.size());
        send(second, group, 0.2);
        send(second, group, 0.2);
        CHECK_EQUAL(0U, grants().size());
        CHECK_EQUAL(2U, shard->queued());
        return granted.front();
    }

    /// Checks that the two that wait are granted now, or one now and the other when the prefill of that one has ended, and that
    /// they are prefilled at one endpoint.
    void checkThatOnePrefills(double now)
    {
        const auto granted = grants();
        CHECK_TRUE(!granted.empty());
        std::set<std::uint32_t> endpoints;
        for (const Peer::Grant &grant : granted) {
            endpoints.insert(grant.endpoint);
            CHECK_TRUE(grant.reportPrefill);
            prefillEnds(second, grant, now + 0.6);
        }
        const auto later = grants();
        CHECK_EQUAL(2U, granted.size() + later.size());
        for (const Peer::Grant &grant : later) {
            endpoints.insert(grant.endpoint);
        }
        CHECK_EQUAL(1U, endpoints.size());
        CHECK_EQUAL(0U, shard->queued());
    }
};

/// Guards against engines that all prefill the same beginning of their prompts at the same time.
TEST(ShardSharedPrefix, requestsThatBeginAlikeWaitForOnePrefill)
{
    const Peer::Grant prefills = twoWaitForOne(1);
    CHECK_TRUE(prefills.reportPrefill);
    CHECK_EQUAL(2U, shard->counters().held);
    // Another prompt behind those on hold is granted meanwhile, and does not end their hold by its first token.
    send(second, 2, 0.25);
    const auto other = grants();
    CHECK_EQUAL(1U, other.size());
    prefillEnds(second, other.front(), 0.3);
    shard->tick(at(0.35));
    CHECK_EQUAL(0U, grants().size());
    prefillEnds(first, prefills, 0.4);
    const auto granted = grants();
    CHECK_EQUAL(2U, granted.size());
    CHECK_EQUAL(prefills.endpoint, granted[0].endpoint);
    CHECK_EQUAL(prefills.endpoint, granted[1].endpoint);
}

/// Guards against a burst whose requests arrive together, so that none waits for the prefill of another one.
TEST(ShardSharedPrefix, requestsOfOneInstantWaitForOnePrefill)
{
    send(first, 1, 0);
    send(second, 1, 0);
    send(second, 1, 0);
    const auto granted = grants();
    CHECK_EQUAL(1U, granted.size());
    CHECK_EQUAL(2U, shard->queued());
    prefillEnds(first, granted.front(), 0.6);
    checkThatOnePrefills(0.6);
}

/// Guards against reports of one home that end the prefill of another one's run.
TEST(ShardSharedPrefix, onlyTheHomeOfTheRunReportsItsPrefill)
{
    const Peer::Grant prefills = twoWaitForOne(1);
    prefillEnds(second, prefills, 0.25);
    prefillEnds({"h1", 9}, prefills, 0.25);
    CHECK_EQUAL(0U, grants().size());
    CHECK_EQUAL(2U, shard->queued());
}

/// Guards against requests that wait for a prefill that has failed.
TEST(ShardSharedPrefix, whenThePrefillFailsAnotherRequestPrefills)
{
    const Peer::Grant prefills = twoWaitForOne(1);
    shard->release(at(0.3), first, {prefills.id, 1, prefills.endpoint, Peer::RunResult::Failed, {}, {}, 0});
    checkThatOnePrefills(0.3);
}

/// Guards against requests that wait for a prefill of a caller that has left.
TEST(ShardSharedPrefix, whenThePrefillIsWithdrawnAnotherRequestPrefills)
{
    const Peer::Grant prefills = twoWaitForOne(1);
    shard->withdraw(at(0.3), first, {prefills.id, 1});
    checkThatOnePrefills(0.3);
}

/// Guards against requests that wait for a run whose home has gone and reports nothing any more.
TEST(ShardSharedPrefix, whenTheHomeOfThePrefillGoesAnotherRequestPrefills)
{
    twoWaitForOne(1);
    shard->removeHome(at(0.3), "h1", 0);
    checkThatOnePrefills(0.3);
}

/// Guards against requests that wait without limit for a prefill that never ends.
TEST(ShardSharedPrefix, aPrefillThatNeverEndsIsNotAwaitedForLong)
{
    twoWaitForOne(1);
    for (double now = 0.3; now < 2.0; now += 0.01) {
        shard->tick(at(now));
    }
    CHECK_EQUAL(2U, grants().size());
    CHECK_EQUAL(0U, shard->queued());
}

/// Guards against requests on hold that are lost when another host becomes the dispatcher, which knows nothing of the prefill.
TEST(ShardSharedPrefix, aNewDispatcherGrantsWhatWasOnHold)
{
    const Peer::Grant prefills = twoWaitForOne(1);
    shard->handOver();
    std::vector<Peer::AttemptId> refused;
    for (const Reply &reply : shard->takeReplies()) {
        if (const auto *refusal = std::get_if<Peer::Refusal>(&reply.message)) {
            CHECK_TRUE(refusal->reason == RefusalReason::NotDispatcher);
            refused.push_back(refusal->id);
        }
    }
    CHECK_EQUAL(2U, refused.size());
    startDispatcher(0.3);
    shard->report(at(0.3), first, {1, {{prefills.id, prefills.endpoint, Tests::numberOf(objects, Kind::Class, "long")}}});
    for (const Peer::AttemptId &id : refused) {
        Peer::Ask again = asks.at(id.request);
        again.sentAt = at(0.3);
        shard->ask(at(0.3), second, again);
    }
    // The first token of the run that it adopted is reported to it as well.
    prefillEnds(first, prefills, 0.5);
    checkThatOnePrefills(0.3);
}

/// The load of a burst: many more long prompts arrive than the engines can prefill, while all engines have free slots. Ninety
/// engines with 64 slots each prefill about 36 tokens per millisecond, so a prompt of 17,020 tokens takes half a second. Callers
/// send ten times as many prompts as the engines can prefill. The figures are those of the operators of the shifted deployment.
TEST_GROUP(ShardInABurst)
{
    static constexpr std::size_t engines = 90;
    static constexpr std::size_t queueLength = 300;
    Configuration::Objects objects;
    std::unique_ptr<Shard> shard;
    Home home {"h1", 7};
    std::uint64_t next = 1;
    std::vector<Peer::Grant> grants;

    void setup() override
    {
        std::string text = "create setting placement value soonest-first-token\ncreate pool main\n"
                           "create tier t1 rank 1\ncreate tier t2 rank 2\n"
                           "create class short tier t1 pool main deadline 12s first-token 1500ms token-gap 300ms\n"
                           "create class long tier t2 pool main deadline 12s first-token 2500ms token-gap 1200ms\n";
        for (std::size_t index = 0; index < engines; ++index) {
            text += "create endpoint e" + std::to_string(index) + " pool main address 10.0.0.1:" + std::to_string(index + 1)
                + " slots 64\n";
        }
        objects = Tests::objectsOf(text);
        const auto catalogue = Configuration::Catalogue::build(objects);
        ShardInfo info {1, Tests::numberOf(objects, Kind::Pool, "main"), "", 0, {}, "h1"};
        for (const Configuration::Endpoint &endpoint : catalogue->endpoints()) {
            info.endpoints.push_back(endpoint.number);
        }
        shard = std::make_unique<Shard>(info, catalogue, at(-10));
        shard->tick(at(0));
    }

    void ask(std::string_view name, double now)
    {
        Peer::Ask made;
        made.id = {next++, 1};
        made.shard = 1;
        made.requestClass = Tests::numberOf(objects, Kind::Class, name);
        made.remaining = std::chrono::seconds(12);
        made.promptTokens = name == "long" ? 17'020 : 1460;
        // No two prompts share a prefix, so each needs a full prefill.
        made.prefix = {next * 2, next * 2 + 1};
        made.prefixTokens = {made.promptTokens / 2, made.promptTokens};
        made.sentAt = at(now);
        shard->ask(at(now), home, made);
        takeGrants();
    }

    void takeGrants()
    {
        for (const Reply &reply : shard->takeReplies()) {
            if (const auto *grant = std::get_if<Peer::Grant>(&reply.message)) {
                grants.push_back(*grant);
            }
        }
    }

    void fillQueue(double now)
    {
        while (shard->queued() < queueLength) {
            ask("long", now);
        }
    }

    void end(std::size_t index, double now)
    {
        const Peer::Grant grant = grants[index];
        shard->release(at(now), home,
                       {grant.id, 1, grant.endpoint, Peer::RunResult::Completed, std::chrono::milliseconds(500),
                        std::chrono::milliseconds(70), 30});
        takeGrants();
    }
};

/// Guards against dispatchers that run out of processor time. An event evaluates only a few of the asks that wait for a shorter
/// backlog, however many are queued. With up to 24 evaluations for each event, the dispatcher of 90 engines used up its processor
/// time in such a burst, and half of the asks that it could have placed were late.
TEST(ShardInABurst, queuedAsksCostFewEvaluationsForEachEvent)
{
    fillQueue(0);
    const std::uint64_t before = shard->counters().evaluations;
    const std::uint64_t grantedBefore = shard->counters().granted;
    constexpr std::uint64_t events = 50;
    constexpr std::uint64_t maxEvaluations = 4;
    for (std::size_t index = 0; index < events; ++index) {
        end(index, 0.001);
    }
    const std::uint64_t granted = shard->counters().granted - grantedBefore;
    CHECK_TRUE(shard->counters().evaluations - before <= events * maxEvaluations + granted);
}

/// A tick evaluates more asks, so that an ask far back in the queue finds the engine that caches its prompt.
TEST(ShardInABurst, aTickEvaluatesMoreAsks)
{
    fillQueue(0);
    const std::uint64_t before = shard->counters().evaluations;
    shard->tick(at(0.001));
    CHECK_TRUE(shard->counters().evaluations - before >= 24);
}

/// Short prompts of the tier above are granted at once, since the engines prefill them before their backlog.
TEST(ShardInABurst, aWaitingClassDoesNotBlockAnother)
{
    fillQueue(0);
    const std::size_t before = grants.size();
    for (int index = 0; index < 20; ++index) {
        ask("short", 0.001);
    }
    CHECK_EQUAL(before + 20, grants.size());
}

TEST(ShardInABurst, queuedAsksArePlacedWhenTheBacklogIsShorter)
{
    fillQueue(0);
    shard->tick(at(1.0));
    takeGrants();
    CHECK_TRUE(shard->queued() < queueLength);
}

TEST(Shard, anEndpointGetsNoMoreThanItsRateLimitAndAnotherTheRemainingRuns)
{
    shard->applyEndpointUpdate(at(0), home, {1, endpoint("e1"), {Rate::RateKind::Limited, 1, {}}});
    std::uint32_t limited = 0;
    std::uint32_t others = 0;
    for (int index = 0; index < 200; ++index) {
        const double now = 0.1 * index;
        ask("alert", now);
        shard->tick(at(now));
        for (const Peer::Grant &grant : replies<Peer::Grant>()) {
            const bool isLimited = grant.endpoint == endpoint("e1");
            ++(isLimited ? limited : others);
            CHECK_TRUE(grant.rate.kind == (isLimited ? Rate::RateKind::Limited : Rate::RateKind::Unknown));
            release(grant, now + 0.05);
        }
    }
    CHECK_TRUE(limited >= 15 && limited <= 21);
    CHECK_TRUE(limited + others >= 199);
}

TEST(Shard, withRateLimitsAsksThatCannotStartInTimeAreRefusedWithARetryTime)
{
    for (const char *name : {"e1", "e2"}) {
        shard->applyEndpointUpdate(at(0), home, {1, endpoint(name), {Rate::RateKind::Limited, 0.5, {}}});
    }
    // One run can start each second, so the asks from the twentieth on would start after their deadline.
    for (int index = 0; index < 30; ++index) {
        ask("alert", 0);
    }
    const auto refusals = replies<Peer::Refusal>();
    CHECK_EQUAL(11U, refusals.size());
    CHECK_EQUAL(19U, shard->queued());
    CHECK_TRUE(refusals.front().reason == RefusalReason::TooLate);
    CHECK_TRUE(refusals.front().retryAfter > std::chrono::milliseconds(100));
}

/// The deadline of the ask is before its target, so the ask is never late but can miss its deadline.
TEST(Shard, anAskThatCanNoLongerMeetItsDeadlineIsRefusedAtTheNextTick)
{
    build("create setting refuse-late value yes\n");
    for (const char *name : {"e1", "e2"}) {
        shard->applyEndpointUpdate(at(0), home, {1, endpoint(name), {Rate::RateKind::Limited, 0.5, {}}});
    }
    Peer::Ask shortAsk;
    shortAsk.id = {next++, 1};
    shortAsk.shard = 1;
    shortAsk.requestClass = Tests::numberOf(objects, Kind::Class, "routine");
    shortAsk.organisation = Tests::numberOf(objects, Kind::Organisation, "small");
    shortAsk.remaining = std::chrono::seconds(3);
    shard->ask(at(0), home, shortAsk);
    for (int index = 0; index < 3; ++index) {
        ask("alert", 0);
    }
    CHECK_EQUAL(0U, replies<Peer::Refusal>().size());
    shard->tick(at(0.1));
    const auto refusals = replies<Peer::Refusal>();
    CHECK_EQUAL(1U, refusals.size());
    CHECK_TRUE(refusals.front().id == shortAsk.id);
}

TEST(Shard, theEndOfARateLimitStartsQueuedAsks)
{
    for (const char *name : {"e1", "e2"}) {
        shard->applyEndpointUpdate(at(0), home, {1, endpoint(name), {Rate::RateKind::Limited, 0, {}}});
    }
    ask("alert", 0);
    CHECK_EQUAL(0U, replies<Peer::Grant>().size());
    shard->applyEndpointUpdate(at(1), home, {1, endpoint("e1"), {Rate::RateKind::Unlimited, 0, std::chrono::milliseconds(100)}});
    CHECK_EQUAL(1U, replies<Peer::Grant>().size());
}

TEST_GROUP_BASE(ShardAvailability, TEST_GROUP_CppUTestGroupShard)
{
    Home other {"h2", 8};

    void announceLeaving(std::string_view name, double now)
    {
        shard->applyEndpointUpdate(at(now), home, {1, endpoint(name), {}, {.leavingFor = std::chrono::seconds(60)}});
    }

    /// The endpoint called @p name rejects a run of the home @p of and advertises a cooldown of @p cooldown.
    void reject(std::string_view name, double now, Base::Duration cooldown, const Home &of)
    {
        shard->applyEndpointUpdate(at(now), of, {1, endpoint(name), {}, {.cooldownFor = cooldown}});
        shard->release(at(now), of, {{next++, 1}, 1, endpoint(name), Peer::RunResult::Rejected});
    }

    std::set<std::uint32_t> granted()
    {
        std::set<std::uint32_t> found;
        for (const Peer::Grant &grant : replies<Peer::Grant>()) {
            found.insert(grant.endpoint);
        }
        return found;
    }
};

TEST(ShardAvailability, anEndpointThatAnnouncedLeavingGetsNoRunsOfAnyHome)
{
    announceLeaving("e1", 0);
    for (int index = 0; index < 6; ++index) {
        ask("alert", 0);
    }
    const auto endpoints = granted();
    CHECK_TRUE(endpoints.contains(endpoint("e2")) && !endpoints.contains(endpoint("e1")));
    shard->tick(at(59.9));
    CHECK_TRUE(shard->endpoints().front().announcedLeaving || shard->endpoints().back().announcedLeaving);
    shard->tick(at(60));
    CHECK_FALSE(shard->endpoints().front().announcedLeaving || shard->endpoints().back().announcedLeaving);
}

TEST(ShardAvailability, queuedAsksAreRefusedWhenAllEndpointsAnnounceLeaving)
{
    for (int index = 0; index < 20; ++index) {
        ask("alert", 0);
    }
    CHECK_TRUE(shard->queued() > 0);
    announceLeaving("e1", 0.1);
    announceLeaving("e2", 0.1);
    CHECK_EQUAL(0U, shard->queued());
    CHECK_TRUE(replies<Peer::Refusal>().front().reason == RefusalReason::NoEndpoint);
}

TEST(ShardAvailability, aCooldownForOneHomeAllowsRunsOfAnother)
{
    reject("e1", 0, std::chrono::seconds(3), home);
    reject("e2", 0, std::chrono::seconds(3), other);
    for (int index = 0; index < 3; ++index) {
        ask("alert", 0.1);
    }
    const auto endpoints = granted();
    CHECK_TRUE(endpoints.contains(endpoint("e2")) && !endpoints.contains(endpoint("e1")));
}

/// Guards against a retry time at which all endpoints are still in cooldown, and against asks that wait for a cooldown which ends
/// after their deadline.
TEST(ShardAvailability, withCooldownsAsksThatCannotStartInTimeAreRefusedWithARetryTime)
{
    reject("e1", 0, std::chrono::seconds(30), home);
    reject("e2", 0, std::chrono::seconds(25), home);
    std::set<Base::Duration> retryTimes;
    for (int index = 0; index < 5; ++index) {
        ask("alert", 0);
    }
    for (const Peer::Refusal &refusal : replies<Peer::Refusal>()) {
        CHECK_TRUE(refusal.reason == RefusalReason::TooLate);
        CHECK_TRUE(refusal.retryAfter > std::chrono::seconds(25) && refusal.retryAfter < std::chrono::seconds(26));
        retryTimes.insert(refusal.retryAfter);
    }
    CHECK_EQUAL(5U, retryTimes.size());
    CHECK_EQUAL(0U, shard->queued());
}

TEST(ShardAvailability, anAskThatCanWaitStartsAtTheEndOfACooldown)
{
    reject("e1", 0, std::chrono::seconds(3), home);
    reject("e2", 0, std::chrono::seconds(4), home);
    ask("alert", 0);
    shard->tick(at(2.9));
    CHECK_EQUAL(0U, granted().size());
    shard->tick(at(3));
    CHECK_TRUE(granted().contains(endpoint("e1")));
}

/// Guards against an endpoint that rejects all runs. It seems idle and would attract all runs, most of them from homes that it
/// has not sent a cooldown yet.
TEST(ShardAvailability, anEndpointWithSeveralRejectionsInARowGetsNoRunsOfAnyHome)
{
    for (std::uint64_t number = 1; number <= 3; ++number) {
        reject("e1", 0, std::chrono::seconds(3), {"h" + std::to_string(number + 1), number + 10});
    }
    for (int index = 0; index < 3; ++index) {
        ask("alert", 0.1);
    }
    CHECK_FALSE(granted().contains(endpoint("e1")));
}

/// Guards against an endpoint of short runs that counts as full for ever, because its runs end before the time after which a run
/// counts as accepted.
TEST(ShardAvailability, aShortRunEndsTheRowOfRejections)
{
    reject("e1", 0, std::chrono::seconds(1), other);
    reject("e1", 0, std::chrono::seconds(1), other);
    while (shard->queued() == 0) {
        ask("alert", 0);
    }
    for (const Peer::Grant &grant : replies<Peer::Grant>()) {
        release(grant, 0.03);
    }
    reject("e1", 0.1, std::chrono::seconds(1), other);
    CHECK_TRUE(std::ranges::none_of(shard->endpoints(), &EndpointView::coolingDown));
}

/// Guards against an ask that waits for the end of a cooldown although the endpoint of its failed attempt would accept it.
TEST(ShardAvailability, theEndpointOfAFailedTryIsUsedWhereAllOthersRest)
{
    reject("e2", 0, std::chrono::seconds(3), home);
    Peer::Ask again;
    again.id = {next++, 2};
    again.shard = 1;
    again.requestClass = Tests::numberOf(objects, Kind::Class, "alert");
    again.organisation = Tests::numberOf(objects, Kind::Organisation, "small");
    again.remaining = std::chrono::seconds(20);
    again.avoid = endpoint("e1");
    shard->ask(at(0.1), home, again);
    CHECK_TRUE(granted().contains(endpoint("e1")));
}

/// Guards against requests that leave the regions of their class or of their organisation.
TEST(Shard, aRequestIsServedInItsRegionsOnly)
{
    build(std::string(Tests::twoRegions));
    for (int index = 0; index < 6; ++index) {
        ask("alert", 0);
    }
    CHECK_TRUE(grantedEndpoints() == (std::set<std::uint32_t> {endpoint("e1")}));
    CHECK_EQUAL(4U, shard->queued());
    ask("desk", 0, 0, "large");
    CHECK_TRUE(grantedEndpoints() == (std::set<std::uint32_t> {endpoint("e2")}));
}

/// Guards against a request that waits for a region that both its class and its organisation exclude.
TEST(Shard, aRequestWithoutACommonRegionIsRefusedAtOnce)
{
    build(std::string(Tests::twoRegions));
    ask("alert", 0, 0, "large");
    CHECK_EQUAL(1U, replies<Peer::Refusal>().size());
    CHECK_EQUAL(0U, shard->queued());
}

/// Guards against requests that wait in vain once the endpoints of their region have gone.
TEST(Shard, queuedRequestsAreRefusedWhenTheirRegionHasNoEndpointLeft)
{
    build(std::string(Tests::twoRegions));
    for (int index = 0; index < 4; ++index) {
        ask("alert", 0);
    }
    replies<Peer::Grant>();
    shard->setLeaving(at(1), {endpoint("e1")});
    CHECK_EQUAL(2U, replies<Peer::Refusal>().size());
    CHECK_EQUAL(0U, shard->queued());
}
