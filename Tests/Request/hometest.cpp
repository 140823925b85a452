// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/home.h"

#include "Base/error.h"
#include "Dispatch/fixtures.h"

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Request;
using Configuration::Kind;
using Peer::Member;
using Peer::MemberState;
using Tests::at;

TEST_GROUP(Home)
{
    Configuration::Objects objects;
    std::shared_ptr<const Configuration::Catalogue> catalogue;
    std::vector<Member> members {{"h1", 1, 1, MemberState::Alive, "", "", "", ""},
                                 {"h2", 2, 1, MemberState::Alive, "", "", "", ""}};
    Home home {"h1", 5};

    void setup() override
    {
        objects = Tests::objectsOf(std::string(Tests::threeTiers)
                                   + "create class once tier high pool main repeatable no deadline 5s\n");
        catalogue = Configuration::Catalogue::build(objects);
        view(0);
    }

    void useTwoRegions()
    {
        objects = Tests::objectsOf(std::string(Tests::threeTiers) + std::string(Tests::twoRegions));
        catalogue = Configuration::Catalogue::build(objects);
        view(0);
    }

    void view(double now)
    {
        home.updateView(at(now), catalogue, std::make_shared<Dispatch::ShardMap>(*catalogue, members), members);
    }

    void start(std::uint64_t id, std::string_view name, double now = 0)
    {
        home.start(at(now), {id, Tests::numberOf(objects, Kind::Class, name), 1, 10, {}});
    }

    template<typename Wanted>
    std::vector<Wanted> actions()
    {
        std::vector<Wanted> found;
        for (const Action &action : home.takeActions()) {
            if (const auto *wanted = std::get_if<Wanted>(&action)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }

    Peer::Ask lastAsk()
    {
        Peer::Ask ask;
        for (const SendToMember &sent : actions<SendToMember>()) {
            if (const auto *message = std::get_if<Peer::Ask>(&sent.message)) {
                ask = *message;
            }
        }
        return ask;
    }

    void grant(const Peer::Ask &ask, double now, double startBy)
    {
        home.receive(at(now), "h2", Peer::Grant {ask.id, Tests::numberOf(objects, Kind::Endpoint, "e1"), at(startBy), 0});
    }

    void runEnds(const Peer::Ask &ask, double now, RunStage stage)
    {
        home.runEnded(at(now), {.id = ask.id, .stage = stage});
    }

    /// Completes a run of class `once` that takes @p seconds, beginning at 0.
    void runOnce(double seconds)
    {
        start(1, "once");
        grant(lastAsk(), 0, 2);
        home.runEnded(at(seconds), {.id = {1, 1}, .stage = RunStage::ResponseComplete});
        home.takeActions();
    }

    void limitRuns(double now, double end)
    {
        home.limitRuns(at(now), at(end), Base::makeError(Base::ErrorKind::Stopping, "the host is stopping"));
    }

    /// Starts request 2 of class `once`, whose runs take 3 s, at 3 s, and limits runs to 7 s at 3.1 s. Returns its ask.
    Peer::Ask waitingAtAStop()
    {
        runOnce(3);
        start(2, "once", 3);
        Peer::Ask ask = lastAsk();
        limitRuns(3.1, 7);
        return ask;
    }

    /// Starts request 1, grants its first run and ends that with @p stage; the results are in the actions. Returns the ask.
    Peer::Ask firstRunEnds(std::string_view name, RunStage stage)
    {
        start(1, name);
        Peer::Ask ask = lastAsk();
        grant(ask, 0.1, 2);
        home.takeActions();
        runEnds(ask, 0.2, stage);
        return ask;
    }
};

TEST(Home, grantStartsTheRunOnce)
{
    start(1, "alert");
    const Peer::Ask ask = lastAsk();
    grant(ask, 0.1, 2);
    CHECK_EQUAL(1U, actions<StartRun>().size());
    grant(ask, 0.2, 2);
    CHECK_EQUAL(0U, actions<StartRun>().size());
}

TEST(Home, startRunNamesTheEndpointThatHasThePromptCached)
{
    start(1, "alert");
    const Peer::Ask ask = lastAsk();
    const std::uint32_t endpoint = Tests::numberOf(objects, Kind::Endpoint, "e1");
    const std::uint32_t keeper = Tests::numberOf(objects, Kind::Endpoint, "e2");
    home.receive(at(0.1), "h2", Peer::Grant {ask.id, endpoint, at(2), 0, keeper});
    CHECK_EQUAL(keeper, actions<StartRun>().front().keeper);
}

// Guards against a run at an endpoint of another pool, which a dispatcher with another list of endpoints means by the same
// number.
TEST(Home, aGrantOfAnotherPoolsEndpointIsReturned)
{
    objects = Tests::objectsOf(std::string(Tests::threeTiers)
                               + "create pool other\ncreate endpoint foreign pool other address 127.0.0.1:9 data-centre a\n");
    catalogue = Configuration::Catalogue::build(objects);
    view(0);
    start(1, "alert");
    const Peer::Ask ask = lastAsk();
    home.receive(at(0.1), "h2", Peer::Grant {ask.id, Tests::numberOf(objects, Kind::Endpoint, "foreign"), at(2), 0});
    const std::vector<Action> taken = home.takeActions();
    CHECK_TRUE(std::ranges::none_of(taken, [](const Action &action) { return std::holds_alternative<StartRun>(action); }));
    CHECK_EQUAL(1U, home.counters().returnedGrants);
}

/// Guards against dispatchers that take an engine for busy because the end of a prefill is not reported, or reported for a run
/// that has been given up.
TEST(Home, theFirstTokenIsReportedOnceToTheDispatcher)
{
    start(1, "alert");
    const auto asked = actions<SendToMember>();
    CHECK_EQUAL(1U, asked.size());
    const std::string dispatcher = asked.front().member.name;
    const Peer::Ask ask = std::get<Peer::Ask>(asked.front().message);
    const auto reports = [&] {
        std::vector<Peer::PrefillEnded> found;
        for (const SendToMember &sent : actions<SendToMember>()) {
            if (const auto *ended = std::get_if<Peer::PrefillEnded>(&sent.message)) {
                CHECK_TRUE(sent.member.name == dispatcher);
                found.push_back(*ended);
            }
        }
        return found;
    };
    home.firstTokenReceived(at(0.2), ask.id);
    CHECK_EQUAL(0U, reports().size());
    const std::uint32_t endpoint = Tests::numberOf(objects, Kind::Endpoint, "e1");
    home.receive(at(0.1), dispatcher, Peer::Grant {ask.id, endpoint, at(2), 0, 0, {}, true});
    CHECK_TRUE(actions<StartRun>().front().reportFirstToken);
    home.firstTokenReceived(at(0.2), {ask.id.request, static_cast<std::uint8_t>(ask.id.attempt + 1)});
    home.firstTokenReceived(at(0.2), {ask.id.request + 1, ask.id.attempt});
    CHECK_EQUAL(0U, reports().size());
    home.firstTokenReceived(at(0.2), ask.id);
    const auto sent = reports();
    CHECK_EQUAL(1U, sent.size());
    CHECK_TRUE(sent.front().id == ask.id);
    CHECK_EQUAL(ask.shard, sent.front().shard);
    runEnds(ask, 0.5, RunStage::ResponseComplete);
    home.takeActions();
    home.firstTokenReceived(at(0.2), ask.id);
    CHECK_EQUAL(0U, reports().size());
}

/// Guards against reports that no dispatcher has asked for.
TEST(Home, aRunReportsItsFirstTokenOnlyIfTheGrantAsksForIt)
{
    start(1, "alert");
    grant(lastAsk(), 0.1, 2);
    CHECK_FALSE(actions<StartRun>().front().reportFirstToken);
}

TEST(Home, expiredGrantStartsNoRun)
{
    start(1, "once");
    const Peer::Ask ask = lastAsk();
    grant(ask, 3, 2);
    CHECK_EQUAL(0U, actions<StartRun>().size());
    CHECK_EQUAL(1U, home.counters().staleGrants);
}

TEST(Home, unrepeatableRequestThatMayHaveRunFailsAsUnknownWithoutRetry)
{
    firstRunEnds("once", RunStage::Sent);
    const auto failed = actions<Fail>();
    CHECK_TRUE(failed.front().outcome == Outcome::Unknown);
    CHECK_TRUE(Base::errorKind(failed.front().error) == Base::ErrorKind::OutcomeUnknown);
    CHECK_EQUAL(0U, home.active());
}

TEST(Home, unrepeatableRequestThatDidNotRunIsRetried)
{
    firstRunEnds("once", RunStage::NotSent);
    home.tick(at(1));
    CHECK_EQUAL(2, lastAsk().id.attempt);
}

/// Guards against a request of a class with one run that failed because another endpoint had taken over the address, although no
/// endpoint had processed it.
TEST(Home, rejectionByAReplacedEndpointDoesNotCountAsARun)
{
    Configuration::CatalogueParts parts;
    parts.classes = catalogue->classes();
    std::ranges::for_each(parts.classes, [](Configuration::RequestClass &requestClass) { requestClass.maxRuns = 1; });
    parts.pools = catalogue->pools();
    parts.endpoints = catalogue->endpoints();
    catalogue = Configuration::Catalogue::assemble(parts);
    view(0);
    const Peer::Ask first = firstRunEnds("once", RunStage::EndpointReplaced);
    const Peer::Ask second = lastAsk();
    CHECK_EQUAL(first.id.attempt + 1, second.id.attempt);
    grant(second, 0.3, 2);
    runEnds(second, 0.4, RunStage::Rejected);
    CHECK_TRUE(actions<Fail>().front().outcome == Outcome::NotRun);
}

TEST(Home, retriesAreBoundedByTheBudget)
{
    int retries = 0;
    for (std::uint64_t id = 1; id <= 20; ++id) {
        start(id, "alert", 0);
        Peer::Ask ask = lastAsk();
        grant(ask, 0.1, 2);
        home.takeActions();
        runEnds(ask, 0.2, RunStage::Sent);
        retries += actions<Fail>().empty() ? 1 : 0;
    }
    // Three from the initial budget, and a tenth of the first attempts.
    CHECK_EQUAL(5, retries);
}

TEST(Home, asksOfALostDispatcherMoveToItsSuccessorWithTheirAge)
{
    start(1, "alert");
    const Peer::Ask before = lastAsk();
    const std::string dispatcher = Dispatch::ShardMap(*catalogue, members).shards().front().dispatcher;
    std::erase_if(members, [&](const Member &member) { return member.name == dispatcher; });
    view(1);
    const Peer::Ask after = lastAsk();
    CHECK_EQUAL(before.id.attempt + 1, after.id.attempt);
    CHECK_TRUE(after.age == std::chrono::seconds(1));
}

/// Guards against an overflow of the ask interval. While a dispatcher was down, each failed connection had the ask sent again at
/// the next tick, and each sending doubled the interval, 42 times in two seconds. Builds with an overflow check stopped; in other
/// builds the interval became negative and the ask was sent at every tick.
TEST(Home, repeatedConnectionLossesDoNotChangeTheAskInterval)
{
    for (std::uint64_t id = 1; id <= 3; ++id) {
        start(id, "alert");
    }
    const std::string dispatcher = Dispatch::ShardMap(*catalogue, members).shards().front().dispatcher;
    home.takeActions();
    const auto countAsks = [&] {
        std::size_t asks = 0;
        for (const SendToMember &sent : actions<SendToMember>()) {
            asks += std::holds_alternative<Peer::Ask>(sent.message) ? 1 : 0;
        }
        return asks;
    };
    double now = 0.05;
    for (int loss = 0; loss < 80; ++loss, now += 0.05) {
        home.connectionLost(at(now), dispatcher);
        home.tick(at(now));
    }
    countAsks();
    for (int tick = 0; tick < 20; ++tick, now += 0.05) {
        home.tick(at(now));
    }
    const std::size_t askedMeanwhile = countAsks();
    CHECK_EQUAL(0U, askedMeanwhile);
    home.tick(at(now + 4));
    CHECK_TRUE(countAsks() >= 1);
}

TEST(Home, anAskIsWithdrawnWhenItsRequestRunsFromTheLocalWindow)
{
    start(1, "alert");
    const Peer::Ask ask = lastAsk();
    home.tick(at(0.5));
    CHECK_EQUAL(1U, home.counters().localRuns);
    std::vector<Peer::AttemptId> withdrawn;
    for (const SendToMember &sent : actions<SendToMember>()) {
        if (const auto *message = std::get_if<Peer::Withdrawal>(&sent.message)) {
            withdrawn.push_back(message->id);
        }
    }
    CHECK_EQUAL(1U, withdrawn.size());
    CHECK_TRUE(withdrawn.front() == ask.id);
}

TEST(Home, dispatcherIsBypassedAfterTwoNotDispatcherRefusals)
{
    start(1, "alert");
    for (int refusal = 0; refusal < 2; ++refusal) {
        const Peer::Ask ask = lastAsk();
        home.receive(at(refusal), "h2", Peer::Refusal {ask.id, Peer::RefusalReason::NotDispatcher, {}, 0});
        home.tick(at(refusal + 0.5));
    }
    CHECK_EQUAL(1U, home.counters().localRuns);
    CHECK_EQUAL(1U, actions<StartRun>().size());
}

TEST(Home, suspectedDispatcherIsBypassedWithinTheLocalWindow)
{
    const std::string dispatcher = Dispatch::ShardMap(*catalogue, members).shards().front().dispatcher;
    Home other(dispatcher == "h1" ? "h2" : "h1", 5);
    std::ranges::find(members, dispatcher, &Member::name)->state = MemberState::Suspect;
    other.updateView(at(0), catalogue, std::make_shared<Dispatch::ShardMap>(*catalogue, members), members);
    // With two hosts, the fair share is one of each endpoint's two slots.
    for (std::uint64_t id = 1; id <= 4; ++id) {
        other.start(at(0), {id, Tests::numberOf(objects, Kind::Class, "alert"), 1, 10, {}});
    }
    CHECK_EQUAL(2U, other.counters().localRuns);
}

TEST(Home, waitingRequestsOfAnEmptiedPoolFailAtOnce)
{
    start(1, "alert");
    home.takeActions();
    const auto mutations = Language::plan(objects, *Language::parseCommands("delete endpoint e1; delete endpoint e2"));
    objects.apply({2, "id", 0, "test", "", *mutations});
    catalogue = Configuration::Catalogue::build(objects);
    view(1);
    const auto failed = actions<Fail>();
    CHECK_TRUE(Base::errorKind(failed.front().error) == Base::ErrorKind::NoEndpoint);
    CHECK_TRUE(failed.front().outcome == Outcome::NotRun);
}

TEST(Home, queueFullRefusalFailsAsNotRunWithRetryAfter)
{
    start(1, "routine");
    const Peer::Ask ask = lastAsk();
    home.receive(at(0.1), "h2", Peer::Refusal {ask.id, Peer::RefusalReason::QueueFull, std::chrono::seconds(3), 9});
    const auto failed = actions<Fail>();
    CHECK_TRUE(failed.front().outcome == Outcome::NotRun);
    CHECK_TRUE(failed.front().retryAfter == std::chrono::seconds(3));
}

TEST(Home, disconnectOfTheCallerWithdrawsItsAsk)
{
    start(1, "alert");
    home.takeActions();
    home.callerDisconnected(at(0.1), 1);
    const auto sent = actions<SendToMember>();
    CHECK_TRUE(std::holds_alternative<Peer::Withdrawal>(sent.front().message));
    CHECK_EQUAL(0U, home.active());
}

TEST(Home, traceContainsTheLatestStep)
{
    start(1, "alert");
    grant(lastAsk(), 0.1, 2);
    const auto *trace = home.trace(1);
    CHECK_TRUE(trace->back().step == Step::Started);
}

TEST(Home, unresponsiveDispatcherIsBypassedAfterItsTimeout)
{
    start(1, "routine");
    const Peer::Ask asked = lastAsk();
    CHECK_EQUAL(1U, asked.id.request);
    home.tick(at(0.1));
    CHECK_EQUAL(0U, actions<StartRun>().size());
    home.tick(at(0.2));
    CHECK_EQUAL(1U, actions<StartRun>().size());
}

TEST(Home, dispatcherThatQueuedTheAskIsNotBypassed)
{
    start(1, "routine");
    const Peer::Ask asked = lastAsk();
    home.receive(at(0.05), "h2", Peer::Queued {asked.id});
    home.tick(at(0.2));
    home.tick(at(0.5));
    CHECK_EQUAL(0U, actions<StartRun>().size());
}

TEST(Home, failWaitingEndsWaitingRequestsAsNotRun)
{
    start(1, "routine");
    home.takeActions();
    home.failWaiting(at(1), Base::makeError(Base::ErrorKind::Stopping, "stopping"));
    const std::vector<Fail> failed = actions<Fail>();
    CHECK_EQUAL(1U, failed.size());
    CHECK(failed.front().outcome == Outcome::NotRun);
    CHECK(failed.front().retryAfter > Base::Duration::zero());
    CHECK_EQUAL(0U, home.active());
}

TEST(Home, aFailedFirstRunIsRetriedElsewhereAtOnce)
{
    firstRunEnds("routine", RunStage::Sent);
    const Peer::Ask second = lastAsk();
    CHECK_EQUAL(2, second.id.attempt);
    CHECK_EQUAL(Tests::numberOf(objects, Kind::Endpoint, "e1"), second.avoid);
}

TEST(Home, requestsWithACommonLongPrefixChooseOneShard)
{
    std::string statements(Tests::threeTiers);
    for (int number = 10; number < 90; ++number) {
        statements += "create endpoint e" + std::to_string(number) + " pool main address 127.0.0.1:" + std::to_string(number)
            + " slots 2\n";
    }
    objects = Tests::objectsOf(statements);
    catalogue = Configuration::Catalogue::build(objects);
    view(0);
    std::set<std::uint32_t> all;
    std::uint64_t id = 0;
    for (std::uint64_t subject = 100; subject < 140; ++subject) {
        std::set<std::uint32_t> ofSubject;
        for (std::uint64_t own = 0; own < 3; ++own) {
            ++id;
            home.start(at(0), {id, Tests::numberOf(objects, Kind::Class, "alert"), 1, 10, {7, subject, 1000 + id}, {2, 6, 10}});
            ofSubject.insert(lastAsk().shard);
        }
        CHECK_EQUAL(1U, ofSubject.size());
        all.merge(ofSubject);
    }
    CHECK_TRUE(all.size() > 1);
}

TEST(Home, quarantineEndsRequestsInEveryPhase)
{
    constexpr std::uint64_t work = 42;
    const auto startWork = [&](std::uint64_t id) {
        home.start(at(0),
                   {.id = id, .requestClass = Tests::numberOf(objects, Kind::Class, "alert"), .organisation = 1, .work = work});
    };
    startWork(1);
    grant(lastAsk(), 0.1, 2);
    startWork(2);
    home.takeActions();
    const Peer::QuarantineUpdate update {0, {{work, 1, true, std::chrono::seconds(1), std::chrono::seconds(60)}}};
    home.receive(at(0.2), "h2", update);
    std::vector<Action> actions = home.takeActions();
    const auto count = [&]<typename Wanted>(Wanted *) {
        return std::ranges::count_if(actions, [](const Action &action) { return std::holds_alternative<Wanted>(action); });
    };
    CHECK_EQUAL(1, count(static_cast<CancelRun *>(nullptr)));
    CHECK_EQUAL(2, count(static_cast<Fail *>(nullptr)));
    for (const Action &action : actions) {
        if (const auto *fail = std::get_if<Fail>(&action)) {
            CHECK_TRUE(Base::errorKind(fail->error) == Base::ErrorKind::CrashesEndpoints);
            CHECK_TRUE(fail->outcome == (fail->request == 1 ? Outcome::Unknown : Outcome::NotRun));
            CHECK_TRUE(fail->retryAfter == Base::Duration::zero());
        }
    }
    startWork(3);
    actions = home.takeActions();
    CHECK_EQUAL(1U, actions.size());
    CHECK_TRUE(std::get<Fail>(actions.front()).outcome == Outcome::NotRun);
    CHECK_EQUAL(0U, home.active());
}

/// Only runs whose connection broke are reported, and only those that had just begun as such.
TEST(Home, onlyBrokenConnectionsAreReportedToTheQuarantine)
{
    bool pathInDoubt = false;
    const auto reportedBreaks = [&](int status, std::uint32_t tokens, RunStage stage, bool streams = true) {
        home.start(at(0),
                   {.id = 1,
                    .requestClass = Tests::numberOf(objects, Kind::Class, "once"),
                    .organisation = 1,
                    .streams = streams,
                    .work = 42});
        const Peer::Ask ask = lastAsk();
        grant(ask, 0.1, 2);
        home.takeActions();
        home.runEnded(at(0.2), {.id = ask.id, .stage = stage, .tokens = tokens, .status = status, .pathInDoubt = pathInDoubt});
        std::vector<Peer::RunBroke> broke;
        for (const SendToMember &sent : actions<SendToMember>()) {
            if (const auto *message = std::get_if<Peer::RunBroke>(&sent.message)) {
                broke.push_back(*message);
            }
        }
        home.callerDisconnected(at(0.3), 1);
        home.takeActions();
        return broke;
    };
    CHECK_TRUE(reportedBreaks(200, 0, RunStage::Sent).front().justBegan);
    CHECK_FALSE(reportedBreaks(0, 0, RunStage::Sent).front().justBegan);
    CHECK_FALSE(reportedBreaks(200, 30, RunStage::Sent).front().justBegan);
    CHECK_TRUE(reportedBreaks(0, 0, RunStage::Sent, false).front().justBegan);
    CHECK_EQUAL(0U, reportedBreaks(500, 0, RunStage::Sent).size());
    CHECK_EQUAL(0U, reportedBreaks(0, 0, RunStage::NotSent).size());
    CHECK_EQUAL(0U, reportedBreaks(503, 0, RunStage::Rejected).size());
    CHECK_EQUAL(0U, reportedBreaks(200, 30, RunStage::ResponseComplete).size());
    // A host that loses its paths to endpoints must not quarantine the requests that it ran.
    pathInDoubt = true;
    CHECK_EQUAL(0U, reportedBreaks(200, 0, RunStage::Sent).size());
}

/// Guards against a dispatcher that takes the lost path of one home for the state of the endpoint.
TEST(Home, aRunWithoutAPathIsReleasedAsSuch)
{
    start(1, "alert");
    const Peer::Ask ask = lastAsk();
    grant(ask, 0.1, 2);
    home.takeActions();
    home.runEnded(at(0.2), {.id = ask.id, .stage = RunStage::NotSent, .pathInDoubt = true});
    std::vector<Peer::RunResult> results;
    for (const SendToMember &sent : actions<SendToMember>()) {
        if (const auto *release = std::get_if<Peer::Release>(&sent.message)) {
            results.push_back(release->result);
        }
    }
    CHECK_EQUAL(1U, results.size());
    CHECK_TRUE(results.front() == Peer::RunResult::PathLost);
}

TEST_GROUP_BASE(HomeRates, TEST_GROUP_CppUTestGroupHome)
{
    std::uint32_t endpoint = 0;

    void setup() override
    {
        TEST_GROUP_CppUTestGroupHome::setup();
        endpoint = Tests::numberOf(objects, Kind::Endpoint, "e1");
    }

    /// Starts a request and grants it a run at e1 by a dispatcher that applies @p rate. Returns the ask.
    Peer::Ask granted(std::uint64_t id, double now, const Rate::RateInfo &rate = {})
    {
        start(id, "alert", now);
        Peer::Ask ask = lastAsk();
        home.receive(at(now), "h2", Peer::Grant {ask.id, endpoint, at(now + 2), 0, 0, rate});
        return ask;
    }

    std::vector<Peer::EndpointUpdate> endpointUpdates()
    {
        std::vector<Peer::EndpointUpdate> found;
        for (const SendToMember &sent : actions<SendToMember>()) {
            if (const auto *message = std::get_if<Peer::EndpointUpdate>(&sent.message)) {
                found.push_back(*message);
            }
        }
        return found;
    }

    /// Applies a response of e1 that advertises one request per second.
    void applyLimit(double now)
    {
        const Peer::Ask ask = granted(1, now);
        home.endpointAdvertised(at(now), ask.id, endpoint, {.rate = {Rate::RateHeader::Limit, 1.0}});
        runEnds(ask, now, RunStage::ResponseComplete);
        home.takeActions();
    }
};

TEST(HomeRates, aNewLimitIsSentToTheDispatcherAtOnce)
{
    const Peer::Ask ask = granted(1, 0);
    home.takeActions();
    home.endpointAdvertised(at(0.1), ask.id, endpoint, {.rate = {Rate::RateHeader::Limit, 0.5}});
    const auto updates = endpointUpdates();
    CHECK_EQUAL(1U, updates.size());
    CHECK_EQUAL(endpoint, updates.front().endpoint);
    CHECK_TRUE(updates.front().rate.kind == Rate::RateKind::Limited && updates.front().rate.perSecond == 0.5);
    home.endpointAdvertised(at(0.1), {99, 1}, endpoint, {.rate = {Rate::RateHeader::Limit, 7}});
    CHECK_EQUAL(0U, endpointUpdates().size());
}

TEST(HomeRates, aGrantThatIgnoresTheLimitIsReturnedOnce)
{
    applyLimit(0);
    start(2, "alert", 1);
    const Peer::Ask first = lastAsk();
    home.receive(at(1), "h2", Peer::Grant {first.id, endpoint, at(3), 0});
    std::size_t releases = 0;
    std::size_t updates = 0;
    std::size_t runs = 0;
    Peer::Ask second;
    for (const Action &action : home.takeActions()) {
        runs += std::holds_alternative<StartRun>(action) ? 1 : 0;
        if (const auto *sent = std::get_if<SendToMember>(&action)) {
            updates += std::holds_alternative<Peer::EndpointUpdate>(sent->message) ? 1 : 0;
            const auto *release = std::get_if<Peer::Release>(&sent->message);
            releases += release != nullptr && release->result == Peer::RunResult::NotStarted ? 1 : 0;
            if (const auto *ask = std::get_if<Peer::Ask>(&sent->message)) {
                second = *ask;
            }
        }
    }
    CHECK_TRUE(runs == 0 && updates == 1 && releases == 1);
    CHECK_EQUAL(1U, home.counters().returnedGrants);
    // A dispatcher that does not adopt the limit must not keep the request from running.
    home.receive(at(1.1), "h2", Peer::Grant {second.id, endpoint, at(3), 0});
    CHECK_EQUAL(1U, actions<StartRun>().size());
}

TEST(HomeRates, aGrantUnderALimitThatTheHomeDoesNotHaveIsUsed)
{
    granted(1, 0, {Rate::RateKind::Limited, 2, std::chrono::milliseconds(300)});
    const auto runs = actions<StartRun>();
    CHECK_EQUAL(1U, runs.size());
    CHECK_TRUE(runs.front().reportRate);
    CHECK_EQUAL(0U, home.counters().returnedGrants);
}

TEST(HomeRates, theEndOfALimitIsSentToTheDispatcher)
{
    applyLimit(0);
    const Peer::Ask ask = granted(2, 5, {Rate::RateKind::Limited, 1, std::chrono::milliseconds(300)});
    CHECK_EQUAL(0U, endpointUpdates().size());
    home.endpointAdvertised(at(5.2), ask.id, endpoint, {});
    const auto updates = endpointUpdates();
    CHECK_EQUAL(1U, updates.size());
    CHECK_TRUE(updates.front().rate.kind == Rate::RateKind::Unlimited);
}

TEST(HomeRates, theNewerRateInformationOfTheDispatcherWins)
{
    applyLimit(0);
    granted(2, 5, {Rate::RateKind::Unlimited, 0, std::chrono::seconds(1)});
    CHECK_EQUAL(1U, actions<StartRun>().size());
    CHECK_EQUAL(0U, home.counters().returnedGrants);
}

TEST(HomeRates, withoutADispatcherALimitedEndpointIsUsedOnlyInTurn)
{
    applyLimit(0);
    std::size_t atLimited = 0;
    for (std::uint64_t id = 10; id < 40; ++id) {
        const double now = static_cast<double>(id) * 0.2;
        start(id, "alert", now);
        home.tick(at(now + 0.19));
        for (const StartRun &run : actions<StartRun>()) {
            atLimited += run.endpoint == endpoint ? 1 : 0;
            runEnds({.id = run.id}, now + 0.19, RunStage::ResponseComplete);
        }
    }
    CHECK_TRUE(home.counters().localRuns >= 20);
    // One run per second for 6 s at most, since the home does not draw every turn.
    CHECK_TRUE(atLimited <= 6);
}

TEST_GROUP_BASE(HomeAvailability, TEST_GROUP_CppUTestGroupHomeRates)
{
    std::uint32_t other = 0;

    void setup() override
    {
        TEST_GROUP_CppUTestGroupHomeRates::setup();
        other = Tests::numberOf(objects, Kind::Endpoint, "e2");
    }

    /// Applies a response of e1 that advertises @p advertised.
    void applyAvailability(double now, const Availability::AdvertisedAvailability &advertised)
    {
        const Peer::Ask ask = granted(1, now);
        home.endpointAdvertised(at(now), ask.id, endpoint, {.availability = advertised});
        runEnds(ask, now, RunStage::ResponseComplete);
    }
};

TEST(HomeAvailability, advertisedAvailabilityIsSentToTheDispatcherAtOnce)
{
    applyAvailability(0, {.leaves = true, .cooldown = std::chrono::seconds(3)});
    const auto updates = endpointUpdates();
    CHECK_EQUAL(1U, updates.size());
    CHECK_EQUAL(endpoint, updates.front().endpoint);
    CHECK_TRUE(updates.front().availability.leavingFor > Base::Duration::zero());
    CHECK_TRUE(updates.front().availability.cooldownFor == std::chrono::seconds(3));
}

/// Guards against an advertisement that is lost because the home had abandoned the run when the response came.
TEST(HomeAvailability, advertisementOfAnAbandonedRunIsApplied)
{
    home.endpointAdvertised(at(0), {99, 1}, endpoint, {.availability = {.leaves = true}});
    CHECK_EQUAL(0U, endpointUpdates().size());
    granted(1, 0.1);
    CHECK_EQUAL(0U, actions<StartRun>().size());
}

/// Guards against runs at an unavailable endpoint that were granted before the dispatcher had the information.
TEST(HomeAvailability, aGrantOfAnUnavailableEndpointIsReturned)
{
    applyAvailability(0, {.leaves = true});
    home.takeActions();
    granted(2, 0.5);
    CHECK_EQUAL(0U, actions<StartRun>().size());
    CHECK_EQUAL(1U, home.counters().returnedGrants);
    CHECK_EQUAL(0U, home.counters().sentToUnavailable);
}

/// Guards against a home and a dispatcher of an older version that pass one grant back and forth endlessly.
TEST(HomeAvailability, aRepeatedGrantOfAnUnavailableEndpointDelaysTheNextAsk)
{
    applyAvailability(0, {.cooldown = std::chrono::seconds(30)});
    home.takeActions();
    start(2, "alert", 0.1);
    for (int turn = 0; turn < 3; ++turn) {
        const double now = 0.1 + turn;
        const Peer::Ask ask = lastAsk();
        home.receive(at(now), "h2", Peer::Grant {ask.id, endpoint, at(now + 2), 0});
        if (turn > 0) {
            CHECK_EQUAL(0U, lastAsk().shard);
            home.tick(at(now + 0.5));
        }
    }
    CHECK_EQUAL(endpoint, lastAsk().avoid);
    CHECK_EQUAL(3U, home.counters().returnedGrants);
}

TEST(HomeAvailability, withoutADispatcherUnavailableEndpointsGetNothing)
{
    applyAvailability(0, {.leaves = true});
    home.takeActions();
    for (std::uint64_t id = 10; id < 20; ++id) {
        const double now = static_cast<double>(id) * 0.2;
        start(id, "alert", now);
        home.tick(at(now + 0.19));
        for (const StartRun &run : actions<StartRun>()) {
            CHECK_TRUE(run.endpoint != endpoint);
            runEnds({.id = run.id}, now + 0.19, RunStage::ResponseComplete);
        }
    }
    CHECK_TRUE(home.counters().localRuns >= 8);
}

TEST(HomeAvailability, noPrefixIsTransferredFromALeavingEndpoint)
{
    applyAvailability(0, {.leaves = true});
    home.takeActions();
    start(2, "alert", 1);
    home.receive(at(1), "h2", Peer::Grant {lastAsk().id, other, at(3), 0, endpoint});
    CHECK_EQUAL(0U, actions<StartRun>().front().keeper);
}

TEST(HomeAvailability, anEndpointIsUsedAgainWhenItsCooldownEnds)
{
    applyAvailability(0, {.cooldown = std::chrono::seconds(3)});
    home.takeActions();
    granted(2, 3);
    CHECK_EQUAL(1U, actions<StartRun>().size());
}

/// Guards against a home that asks a dispatcher whose endpoints are all in other regions.
TEST(Home, onlyShardsInTheRegionsOfTheRequestAreAsked)
{
    useTwoRegions();
    const Dispatch::ShardMap shards(*catalogue, members);
    for (std::uint64_t id = 1; id <= 20; ++id) {
        start(id, "alert");
        const auto *shard = shards.find(lastAsk().shard);
        CHECK_TRUE(shard->endpoints == (std::vector<std::uint32_t> {Tests::numberOf(objects, Kind::Endpoint, "e1")}));
    }
}

/// Guards against one request that keeps a home from asking for others of the same pool.
TEST(Home, aRefusalBecauseOfRegionsDoesNotMarkTheShard)
{
    useTwoRegions();
    start(1, "alert");
    const Peer::Ask ask = lastAsk();
    home.receive(at(0.1), "h2", Peer::Refusal {ask.id, Peer::RefusalReason::NoEndpoint, std::chrono::seconds(1), 0});
    CHECK_EQUAL(1U, actions<Fail>().size());
    start(2, "alert", 0.2);
    CHECK_TRUE(lastAsk().id.request == 2);
}

// Guards against requests that wait while their host stops, are passed on late, and are cut at the end of the stop.
TEST(Home, whatWaitsIsRefusedOnceItsRunCannotEndInTime)
{
    home.receive(at(3.1), "h2", Peer::Queued {waitingAtAStop().id});
    home.tick(at(3.9));
    CHECK_EQUAL(0U, actions<Fail>().size());
    home.tick(at(4.1));
    const std::vector<Fail> failed = actions<Fail>();
    CHECK_EQUAL(1U, failed.size());
    CHECK_TRUE(failed.front().outcome == Outcome::NotRun);
    CHECK_TRUE(Base::errorKind(failed.front().error) == Base::ErrorKind::Stopping);
}

// Guards against the same for a grant that comes before the host has looked at what waits.
TEST(Home, aGrantThatComesTooLateStartsNoRun)
{
    grant(waitingAtAStop(), 4.1, 6);
    std::size_t started = 0;
    std::size_t released = 0;
    for (const Action &action : home.takeActions()) {
        const auto *sent = std::get_if<SendToMember>(&action);
        started += std::holds_alternative<StartRun>(action) ? 1 : 0;
        released += sent != nullptr && std::holds_alternative<Peer::Release>(sent->message) ? 1 : 0;
    }
    CHECK_EQUAL(0U, started);
    CHECK_EQUAL(1U, released);
}

// Guards against refusals of requests whose runs would have ended in time, and against cuts of runs in progress.
TEST(Home, whatCanEndInTimeStillRuns)
{
    runOnce(1);
    start(2, "once", 1);
    const Peer::Ask ask = lastAsk();
    limitRuns(1.1, 7);
    grant(ask, 5.5, 7);
    CHECK_EQUAL(1U, actions<StartRun>().size());
    home.tick(at(5.9));
    CHECK_EQUAL(0U, actions<Fail>().size());
}

// Guards against a host that has learned nothing of a class and starts runs that may take longer than it has.
TEST(Home, aRunOfUnknownLengthMayTakeAllTheTimeOfItsRequest)
{
    start(1, "once", 0); // its deadline is 5 s
    start(2, "alert", 0); // its deadline is 20 s
    home.takeActions();
    limitRuns(0.1, 7);
    const std::vector<Fail> failed = actions<Fail>();
    CHECK_EQUAL(1U, failed.size());
    CHECK_EQUAL(2U, failed.front().request);
}
