// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/error.h"
#include "Dispatch/fixtures.h"
#include "Request/home.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>
#include <type_traits>
#include <utility>

using namespace Yokepond;
using namespace Yokepond::Request;
using Configuration::Kind;
using Configuration::softwareVersionNumber;
using Peer::Member;
using Peer::MemberState;
using Tests::at;

/// A home before two endpoints: e1 runs version v1 and e2 runs v2. Host h2 is their dispatcher.
TEST_GROUP(HomeVersions)
{
    Configuration::Objects objects = Tests::objectsOf(std::string(Tests::threeTiers));
    std::shared_ptr<const Configuration::Catalogue> catalogue = Tests::catalogueOfTwoVersions(objects);
    std::uint32_t e1 = Tests::numberOf(objects, Kind::Endpoint, "e1");
    std::uint32_t e2 = Tests::numberOf(objects, Kind::Endpoint, "e2");
    std::vector<Member> members {{"h1", 1, 1, MemberState::Alive, "", "", "", ""},
                                 {"h2", 2, 1, MemberState::Alive, "", "", "", ""}};
    Home home {"h1", 5};
    std::string dispatcher; ///< receiver of the last ask
    std::vector<Action> unread; ///< actions for the next call of actions()

    void setup() override
    {
        view(0);
    }

    void view(double now)
    {
        home.updateView(at(now), catalogue, std::make_shared<Dispatch::ShardMap>(*catalogue, members), members);
    }

    void use(Configuration::CatalogueParts parts, double now)
    {
        catalogue = Configuration::Catalogue::assemble(std::move(parts));
        view(now);
    }

    /// Returns the actions of one kind, in order, and forgets the others.
    template<typename Wanted>
    std::vector<Wanted> actions()
    {
        std::vector<Wanted> found;
        std::ranges::move(home.takeActions(), std::back_inserter(unread));
        for (const Action &action : std::exchange(unread, {})) {
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
                dispatcher = sent.member.name;
            }
        }
        return ask;
    }

    /// Starts request 1; its first run, at e1, breaks after @p sawEvents. Returns the ask of the second run.
    Peer::Ask streamBreaks(bool sawEvents)
    {
        NewRequest request {.id = 1, .requestClass = Tests::numberOf(objects, Kind::Class, "alert"), .organisation = 1};
        request.streams = true;
        home.start(at(0), request);
        const Peer::Ask ask = lastAsk();
        CHECK_EQUAL(0U, ask.softwareVersion);
        home.receive(at(0.1), "h2", Peer::Grant {ask.id, e1, at(2), 0});
        home.takeActions();
        home.runEnded(at(0.2), {.id = ask.id, .stage = RunStage::Sent, .callerSawBytes = sawEvents, .status = 200});
        return lastAsk();
    }

    /// Starts request 1 of a caller that holds events of stream @p stream from an earlier request; 0 if it does not name one.
    void takeUp(std::uint64_t stream, double now)
    {
        NewRequest request {.id = 1, .requestClass = Tests::numberOf(objects, Kind::Class, "alert"), .organisation = 1};
        request.streams = true;
        request.stream = stream;
        request.continuesStream = true;
        home.start(at(now), request);
    }

    bool looksUp()
    {
        const auto requests = home.requests(at(0));
        return !requests.empty() && requests.front().state == "looking-up-stream";
    }

    /// Ends the look-up of stream @p stream by the reply of host h2, which is asked twice if it does not know. Where h2 is asked
    /// for the versions of the pool, it replies @p seen.
    void reply(std::uint64_t stream, std::optional<Peer::StreamOrigin> origin, double now,
               std::optional<Peer::OnlyVersion> seen = {})
    {
        for (double later = now; looksUp() && later < now + 0.5; later += 0.05) {
            home.receive(at(later), "h2", Peer::StreamOriginReply {stream, origin});
            home.tick(at(later));
            replyToSurvey(stream, seen, later);
        }
        CHECK_FALSE(looksUp());
    }

    void replyToSurvey(std::uint64_t stream, std::optional<Peer::OnlyVersion> seen, double now)
    {
        std::ranges::move(home.takeActions(), std::back_inserter(unread));
        const std::vector<Action> sentSoFar = unread;
        for (const Action &action : sentSoFar) {
            const auto *sent = std::get_if<SendToMember>(&action);
            const auto *query = sent == nullptr ? nullptr : std::get_if<Peer::StreamOriginQuery>(&sent->message);
            if (query != nullptr && query->stream != stream) {
                home.receive(at(now), "h2", Peer::StreamOriginReply {query->stream, std::nullopt, seen});
            }
        }
    }

    /// Lets the host run from time @p from to @p to.
    void letRun(double from, double to)
    {
        for (double now = from; now < to; now += 0.5) {
            home.tick(at(now));
        }
        home.takeActions();
    }

    /// Gives both endpoints version v1 and lets the host watch them for an hour.
    void watchOneVersionForAnHour()
    {
        Configuration::CatalogueParts parts = catalogue->parts();
        std::ranges::find(parts.endpoints, e2, &Configuration::Endpoint::number)->softwareVersion = "v1";
        home = Home("h1", 5);
        use(std::move(parts), 0);
        letRun(0, 3600);
    }

    std::uint32_t pool()
    {
        return Tests::numberOf(objects, Kind::Pool, "main");
    }

    absl::Status failure()
    {
        const auto failed = actions<Fail>();
        return failed.empty() ? absl::OkStatus() : failed.front().error;
    }
};

// Guards against a broken stream that asks for an endpoint of any software version.
TEST(HomeVersions, aStreamThatItsCallerHasSeenGoesOnAtItsVersion)
{
    CHECK_EQUAL(softwareVersionNumber("v1"), streamBreaks(true).softwareVersion);
}

// Guards against requests that are kept to one software version although their callers hold nothing of it.
TEST(HomeVersions, aRunWithoutEventsLeavesTheVersionOpen)
{
    CHECK_EQUAL(0U, streamBreaks(false).softwareVersion);
}

// Guards against a deployment that did not switch this on and whose streams find fewer endpoints than before.
TEST(HomeVersions, withoutTheSettingAStreamGoesOnAnywhere)
{
    Configuration::CatalogueParts parts = catalogue->parts();
    parts.policies.sameVersionStreams = false;
    use(std::move(parts), 0);
    CHECK_EQUAL(0U, streamBreaks(true).softwareVersion);
}

// Guards against a dispatcher of an older release, which grants any endpoint to a stream that has begun.
TEST(HomeVersions, aGrantOfAnotherVersionIsReturned)
{
    const Peer::Ask second = streamBreaks(true);
    home.receive(at(0.3), "h2", Peer::Grant {second.id, e2, at(2), 0});
    std::vector<Peer::Release> released;
    Peer::Ask third;
    for (const Action &action : home.takeActions()) {
        CHECK_FALSE(std::holds_alternative<StartRun>(action));
        if (const auto *sent = std::get_if<SendToMember>(&action)) {
            if (const auto *release = std::get_if<Peer::Release>(&sent->message)) {
                released.push_back(*release);
            } else if (const auto *ask = std::get_if<Peer::Ask>(&sent->message)) {
                third = *ask;
            }
        }
    }
    CHECK_EQUAL(1U, released.size());
    CHECK_TRUE(released.front().result == Peer::RunResult::NotStarted && released.front().endpoint == e2);
    // The dispatcher repeats its mistake, so the home uses its own share of the endpoints.
    home.receive(at(0.4), "h2", Peer::Grant {third.id, e2, at(2), 0});
    const auto started = actions<StartRun>();
    CHECK_EQUAL(1U, started.size());
    CHECK_EQUAL(e1, started.front().endpoint);
    CHECK_EQUAL(softwareVersionNumber("v1"), started.front().softwareVersion);
}

// Guards against a home without a dispatcher that goes on with a stream at another software version.
TEST(HomeVersions, withoutADispatcherAStreamGoesOnAtItsVersion)
{
    streamBreaks(true);
    home.connectionLost(at(0.3), dispatcher);
    const auto started = actions<StartRun>();
    CHECK_EQUAL(1U, started.size());
    CHECK_EQUAL(e1, started.front().endpoint);
}

// Guards against a stream that waits for a software version which no endpoint has any more.
TEST(HomeVersions, aStreamWhoseVersionIsGoneEndsAtOnce)
{
    Configuration::CatalogueParts parts = catalogue->parts();
    std::ranges::find(parts.endpoints, e1, &Configuration::Endpoint::number)->drained = true;
    NewRequest request {.id = 1, .requestClass = Tests::numberOf(objects, Kind::Class, "alert"), .organisation = 1};
    home.start(at(0), request);
    const Peer::Ask ask = lastAsk();
    home.receive(at(0.1), "h2", Peer::Grant {ask.id, e1, at(2), 0});
    use(std::move(parts), 0.15);
    home.runEnded(at(0.2), {.id = ask.id, .stage = RunStage::Sent, .callerSawBytes = true, .status = 200});
    CHECK_TRUE(Base::errorKind(failure()) == Base::ErrorKind::StreamVersionGone);
}

// Guards against a stream that ends since one of several dispatchers has no endpoint of its version, or has them ejected for a
// moment.
TEST(HomeVersions, aRefusalEndsAStreamOnlyIfNoOtherShardIsLeft)
{
    const Peer::Ask second = streamBreaks(true);
    home.receive(at(0.3), "h2", Peer::Refusal {second.id, Peer::RefusalReason::EndpointsDown, std::chrono::seconds(1), 0});
    CHECK_TRUE(failure().ok());
    home.tick(at(1.0));
    const Peer::Ask third = lastAsk();
    CHECK_EQUAL(softwareVersionNumber("v1"), third.softwareVersion);
    home.receive(at(1.1), "h2", Peer::Refusal {third.id, Peer::RefusalReason::NoEndpoint, std::chrono::seconds(1), 0});
    CHECK_TRUE(Base::errorKind(failure()) == Base::ErrorKind::StreamVersionGone);
}

// Guards against a stream that its caller takes up and that goes on at another software version.
TEST(HomeVersions, aStreamIsTakenUpAtTheVersionThatBeganIt)
{
    takeUp(77, 0);
    const auto sent = actions<SendToMember>();
    CHECK_EQUAL(1U, sent.size());
    CHECK_EQUAL(77U, std::get<Peer::StreamOriginQuery>(sent.front().message).stream);
    home.receive(at(0.01), "h2", Peer::StreamOriginReply {77, Peer::StreamOrigin {pool(), softwareVersionNumber("v2")}});
    const Peer::Ask ask = lastAsk();
    CHECK_EQUAL(softwareVersionNumber("v2"), ask.softwareVersion);
    CHECK_EQUAL(1U, ask.id.attempt);
}

// Guards against a chain of tries that is forgotten when the host of the first one ends: each try records the same stream anew.
TEST(HomeVersions, theFirstEventIsRecordedForTheStreamAndNotForTheTry)
{
    takeUp(77, 0);
    reply(77, Peer::StreamOrigin {pool(), softwareVersionNumber("v1")}, 0.01);
    const Peer::Ask ask = lastAsk();
    home.receive(at(0.1), "h2", Peer::Grant {ask.id, e1, at(2), 0});
    const auto started = actions<StartRun>();
    CHECK_TRUE(started.front().reportFirstToken);
    home.firstTokenReceived(at(0.2), ask.id);
    const auto sent = actions<SendToMember>();
    CHECK_EQUAL(1U, sent.size());
    const auto began = std::get<Peer::StreamBegan>(sent.front().message);
    CHECK_EQUAL(77U, began.stream);
    CHECK_TRUE(began.origin == (Peer::StreamOrigin {pool(), softwareVersionNumber("v1")}));
    CHECK_TRUE(began.keepFor >= std::chrono::seconds(20));
}

// Guards against a stream that goes on at a guess when nobody knows where it began, and against a caller that waits for an
// answer.
TEST(HomeVersions, aStreamThatNobodyKnowsIsRefusedAsNotRun)
{
    takeUp(77, 0);
    home.takeActions();
    reply(77, std::nullopt, 0.01);
    const auto failed = actions<Fail>();
    CHECK_EQUAL(1U, failed.size());
    CHECK_TRUE(Base::errorKind(failed.front().error) == Base::ErrorKind::StreamOriginUnknown);
    CHECK_TRUE(failed.front().outcome == Outcome::NotRun && failed.front().retryAfter > Base::Duration::zero());
    takeUp(0, 1);
    home.takeActions();
    reply(0, std::nullopt, 1.01);
    CHECK_TRUE(Base::errorKind(failure()) == Base::ErrorKind::StreamOriginUnknown);
}

// Guards against streams that are turned away where the pool has had one version for long, as in deployments without releases.
TEST(HomeVersions, withOneVersionForLongAStreamThatNobodyKnowsGoesOn)
{
    watchOneVersionForAnHour();
    const Peer::OnlyVersion seen {softwareVersionNumber("v1"), std::chrono::hours(1)};
    takeUp(77, 3600);
    reply(77, std::nullopt, 3600.01, seen);
    CHECK_EQUAL(softwareVersionNumber("v1"), lastAsk().softwareVersion);
    home.callerDisconnected(at(3601), 1);
    // A caller that names no try is not kept waiting for a second round.
    takeUp(0, 3600.5);
    home.receive(at(3600.51), "h2", Peer::StreamOriginReply {0, std::nullopt});
    replyToSurvey(0, seen, 3600.52);
    CHECK_EQUAL(softwareVersionNumber("v1"), lastAsk().softwareVersion);
}

// Guards against a host that is cut off, does not hear of newer versions, and goes on with their streams at an older one.
TEST(HomeVersions, aHostThatNoOtherAnswersDoesNotRelyOnWhatItSaw)
{
    watchOneVersionForAnHour();
    takeUp(77, 3600);
    home.takeActions();
    for (double now = 3600; now < 3601; now += 0.05) {
        home.tick(at(now));
    }
    CHECK_TRUE(Base::errorKind(failure()) == Base::ErrorKind::StreamOriginUnknown);
}

// Guards against streams of two versions at a host that is out of step: the others truly do not know the stream, but know another
// version.
TEST(HomeVersions, aHostThatIsContradictedDoesNotRelyOnWhatItSaw)
{
    const std::uint32_t v1 = softwareVersionNumber("v1");
    const std::vector<std::optional<Peer::OnlyVersion>> replies {
        Peer::OnlyVersion {0, std::chrono::hours(1)}, // several versions
        Peer::OnlyVersion {softwareVersionNumber("v2"), std::chrono::hours(1)},
        Peer::OnlyVersion {v1, std::chrono::seconds(1)}, // has just started
        std::nullopt, // of an older release
    };
    for (const std::optional<Peer::OnlyVersion> &seen : replies) {
        watchOneVersionForAnHour();
        takeUp(77, 3600);
        reply(77, std::nullopt, 3600.01, seen);
        CHECK_TRUE(Base::errorKind(failure()) == Base::ErrorKind::StreamOriginUnknown);
    }
}

// Guards against streams of two versions at hosts that hear of no new endpoints, since the store does not respond to their
// followers.
TEST(HomeVersions, aHostWhoseListIsInDoubtSaysSo)
{
    watchOneVersionForAnHour();
    home.setListInDoubt(true);
    takeUp(77, 3600);
    const std::uint64_t identity = poolIdentity(pool());
    reply(77, std::nullopt, 3600.01, Peer::OnlyVersion {softwareVersionNumber("v1"), std::chrono::hours(1)});
    CHECK_TRUE(Base::errorKind(failure()) == Base::ErrorKind::StreamOriginUnknown);
    home.receive(at(3600.5), "h2", Peer::StreamOriginQuery {identity});
    home.setListInDoubt(false);
    home.receive(at(3600.5), "h2", Peer::StreamOriginQuery {identity});
    const auto sent = actions<SendToMember>();
    CHECK_EQUAL(2U, sent.size());
    CHECK_EQUAL(0U, std::get<Peer::StreamOriginReply>(sent.at(0).message).onlyVersion->softwareVersion);
    CHECK_EQUAL(softwareVersionNumber("v1"), std::get<Peer::StreamOriginReply>(sent.at(1).message).onlyVersion->softwareVersion);
}

// Guards against streams of two versions at a host that stood still while another version came.
TEST(HomeVersions, aHostThatStoodStillDoesNotRelyOnWhatItSaw)
{
    watchOneVersionForAnHour();
    takeUp(77, 3605);
    reply(77, std::nullopt, 3605.01, Peer::OnlyVersion {softwareVersionNumber("v1"), std::chrono::hours(1)});
    CHECK_TRUE(Base::errorKind(failure()) == Base::ErrorKind::StreamOriginUnknown);
}

// Guards against streams of two versions after all hosts were killed: a caller may retry for longer than one try may take.
TEST(HomeVersions, aHostThatHasJustStartedWaitsForAsLongAsCallersRetry)
{
    Configuration::CatalogueParts parts = catalogue->parts();
    std::ranges::find(parts.endpoints, e1, &Configuration::Endpoint::number)->softwareVersion = "v2";
    home = Home("h1", 5);
    use(std::move(parts), 0);
    NewRequest other {.id = 2, .requestClass = Tests::numberOf(objects, Kind::Class, "alert"), .organisation = 1};
    other.streams = true;
    other.timeLeft = std::chrono::seconds(120);
    home.start(at(0), other);
    home.callerDisconnected(at(0), other.id);
    letRun(0, 100);
    const Peer::OnlyVersion seen {softwareVersionNumber("v2"), std::chrono::hours(1)};
    takeUp(77, 100);
    reply(77, std::nullopt, 100.01, seen);
    CHECK_TRUE(Base::errorKind(failure()) == Base::ErrorKind::StreamOriginUnknown);
    letRun(100, 126);
    takeUp(77, 126);
    reply(77, std::nullopt, 126.01, seen);
    CHECK_EQUAL(softwareVersionNumber("v2"), lastAsk().softwareVersion);
}

// Guards against the same where the new process has heard of no caller that gave as long as the one that comes back.
TEST(HomeVersions, aHostThatHasJustStartedWaitsAsTheSettingTells)
{
    Configuration::CatalogueParts parts = catalogue->parts();
    std::ranges::find(parts.endpoints, e1, &Configuration::Endpoint::number)->softwareVersion = "v2";
    parts.policies.longestTakenUpStream = std::chrono::seconds(90);
    home = Home("h1", 5);
    use(std::move(parts), 0);
    const Peer::OnlyVersion seen {softwareVersionNumber("v2"), std::chrono::hours(1)};
    letRun(0, 89);
    takeUp(77, 89);
    reply(77, std::nullopt, 89.01, seen);
    CHECK_TRUE(Base::errorKind(failure()) == Base::ErrorKind::StreamOriginUnknown);
    letRun(89, 91);
    takeUp(77, 91);
    reply(77, std::nullopt, 91.01, seen);
    CHECK_EQUAL(softwareVersionNumber("v2"), lastAsk().softwareVersion);
}

// Guards against a stream that goes on at another service after a route has moved.
TEST(HomeVersions, aStreamOfAnotherPoolIsNotContinued)
{
    takeUp(77, 0);
    home.takeActions();
    reply(77, Peer::StreamOrigin {pool() + 1, softwareVersionNumber("v1")}, 0.01);
    CHECK_TRUE(Base::errorKind(failure()) == Base::ErrorKind::StreamOriginUnknown);
}

// Guards against a taken-up stream that waits for a software version which no endpoint has any more.
TEST(HomeVersions, aTakenUpStreamWhoseVersionIsGoneIsRefusedAtOnce)
{
    takeUp(77, 0);
    home.takeActions();
    home.receive(at(0.01), "h2", Peer::StreamOriginReply {77, Peer::StreamOrigin {pool(), softwareVersionNumber("v0")}});
    const auto failed = actions<Fail>();
    CHECK_EQUAL(1U, failed.size());
    CHECK_TRUE(Base::errorKind(failed.front().error) == Base::ErrorKind::StreamVersionGone);
    CHECK_TRUE(failed.front().outcome == Outcome::NotRun);
}

// Guards against a look-up that goes on for a caller that has left, and starts its request.
TEST(HomeVersions, aCallerThatLeavesDuringTheLookUpStartsNothing)
{
    takeUp(77, 0);
    home.callerDisconnected(at(0.01), 1);
    home.takeActions();
    home.receive(at(0.02), "h2", Peer::StreamOriginReply {77, Peer::StreamOrigin {pool(), softwareVersionNumber("v1")}});
    CHECK_EQUAL(0U, actions<SendToMember>().size());
    CHECK_EQUAL(0U, home.active());
}

/// Six hosts before two endpoints: e1 runs v1, and e2, which joins later, runs v2. Each host has its own list of endpoints and of
/// hosts. Messages between hosts that reach each other arrive at once.
TEST_GROUP(HomeVersionsFleet)
{
    Configuration::Objects objects = Tests::objectsOf(std::string(Tests::threeTiers));
    std::shared_ptr<const Configuration::Catalogue> both = Tests::catalogueOfTwoVersions(objects);
    std::shared_ptr<const Configuration::Catalogue> old; ///< without e2
    std::uint32_t e2 = Tests::numberOf(objects, Kind::Endpoint, "e2");
    std::map<std::string, Home> homes;
    std::set<std::string> silent; ///< hosts that neither get nor send messages
    std::map<std::string, std::vector<Action>> done; ///< by host: actions that are no messages about streams
    static constexpr std::uint64_t streams = 60;

    void setup() override
    {
        Configuration::CatalogueParts parts = both->parts();
        std::erase_if(parts.endpoints, [this](const auto &endpoint) { return endpoint.number == e2; });
        old = Configuration::Catalogue::assemble(std::move(parts));
        for (const char *name : {"h0", "h1", "h2", "h3", "h4", "h5"}) {
            homes.try_emplace(name, name, 5);
        }
        view(0, everyone(), everyone(), old);
        letRun(0, 200);
    }

    static std::vector<std::string> everyone()
    {
        return {"h0", "h1", "h2", "h3", "h4", "h5"};
    }

    /// Sets what @p hosts know: the other hosts and the endpoints.
    void view(double now, const std::vector<std::string> &hosts, const std::vector<std::string> &known,
              const std::shared_ptr<const Configuration::Catalogue> &catalogue)
    {
        std::vector<Member> members;
        members.reserve(known.size());
        for (const std::string &name : known) {
            members.push_back({name, 1, 1, MemberState::Alive, "", "", "", ""});
        }
        for (const std::string &name : hosts) {
            homes.at(name).updateView(at(now), catalogue, std::make_shared<Dispatch::ShardMap>(*catalogue, members), members);
        }
    }

    void letRun(double from, double to)
    {
        for (double now = from; now < to; now += 0.05) {
            for (auto &[name, home] : homes) {
                home.tick(at(now));
            }
            deliver(now);
        }
    }

    void deliver(double now)
    {
        for (bool again = true; std::exchange(again, false);) {
            for (auto &[name, home] : homes) {
                for (const Action &action : home.takeActions()) {
                    again = deliver(now, name, action) || again;
                }
            }
        }
    }

    /// Returns whether it was a message about streams that has arrived.
    bool deliver(double now, const std::string &from, const Action &action)
    {
        const auto *sent = std::get_if<SendToMember>(&action);
        bool isAboutStreams = false;
        if (sent != nullptr) {
            std::visit(
                [&](const auto &message) {
                    using Received = std::decay_t<decltype(message)>;
                    if constexpr (std::is_same_v<Received, Peer::StreamBegan> || std::is_same_v<Received, Peer::StreamOriginQuery>
                                  || std::is_same_v<Received, Peer::StreamOriginReply>) {
                        isAboutStreams = true;
                        if (!silent.contains(from) && !silent.contains(sent->member.name)) {
                            homes.at(sent->member.name).receive(at(now), from, message);
                        }
                    }
                },
                sent->message);
        }
        if (!isAboutStreams) {
            done[from].push_back(action);
        }
        return isAboutStreams;
    }

    NewRequest request(std::uint64_t id)
    {
        NewRequest request {.id = id, .requestClass = Tests::numberOf(objects, Kind::Class, "alert"), .organisation = 1};
        request.streams = true;
        request.stream = id;
        return request;
    }

    /// Begins all streams at e2, through host h5.
    void begin(double now)
    {
        for (std::uint64_t stream = 1; stream <= streams; ++stream) {
            Home &home = homes.at("h5");
            done.clear();
            home.start(at(now), request(stream));
            deliver(now);
            for (const Action &action : std::vector<Action>(done["h5"])) {
                const auto *sent = std::get_if<SendToMember>(&action);
                if (const auto *ask = sent == nullptr ? nullptr : std::get_if<Peer::Ask>(&sent->message)) {
                    home.receive(at(now), sent->member.name, Peer::Grant {ask->id, e2, at(now + 2), 0});
                    home.firstTokenReceived(at(now), ask->id);
                }
            }
            deliver(now);
            home.callerDisconnected(at(now), stream);
        }
        done.clear();
    }

    /// Takes all streams up at host h0; returns how many of them asked for an endpoint of each version, 0 if refused.
    std::map<std::uint32_t, unsigned int> takeUp(double now)
    {
        done.clear();
        for (std::uint64_t stream = 1; stream <= streams; ++stream) {
            NewRequest again = request(stream);
            again.continuesStream = true;
            homes.at("h0").start(at(now), again);
        }
        letRun(now, now + 0.9);
        std::map<std::uint32_t, unsigned int> taken;
        for (const Action &action : done["h0"]) {
            const auto *sent = std::get_if<SendToMember>(&action);
            if (const auto *ask = sent == nullptr ? nullptr : std::get_if<Peer::Ask>(&sent->message)) {
                ++taken[ask->softwareVersion];
            } else if (const auto *run = std::get_if<StartRun>(&action)) {
                ++taken[run->softwareVersion];
            } else if (std::holds_alternative<Fail>(action)) {
                ++taken[0];
            }
        }
        return taken;
    }
};

// Guards against streams of two versions at a host that was cut off while another version joined, and that reaches a first host
// again which does not keep the stream.
TEST(HomeVersionsFleet, aHostThatComesBackToTheFleetGoesOnAtNoVersionThatItKnowsAlone)
{
    view(200, {"h1", "h2", "h3", "h4", "h5"}, {"h1", "h2", "h3", "h4", "h5"}, both);
    silent = {"h0"};
    begin(200);
    view(200, {"h0"}, {"h0", "h1"}, old);
    silent.clear();
    auto taken = takeUp(200);
    CHECK_EQUAL(0U, taken[softwareVersionNumber("v1")]);
    CHECK_TRUE(taken[0] > 0);
}

// Guards against streams of two versions at one of two hosts that were cut off from the others together.
TEST(HomeVersionsFleet, twoHostsThatWereCutOffTogetherAreNotTheFleet)
{
    view(200, {"h2", "h3", "h4", "h5"}, {"h2", "h3", "h4", "h5"}, both);
    silent = {"h0", "h1"};
    begin(200);
    view(200, {"h0", "h1"}, {"h0", "h1"}, old);
    silent = {"h2", "h3", "h4", "h5"};
    auto taken = takeUp(200);
    CHECK_EQUAL(0U, taken[softwareVersionNumber("v1")]);
    CHECK_EQUAL(streams, taken[0]);
}

// Guards against streams that are turned away where one of several hosts was killed and no release is on.
TEST(HomeVersionsFleet, withOneVersionStreamsGoOnAlthoughAHostDoesNotAnswer)
{
    silent = {"h5"};
    auto taken = takeUp(200);
    CHECK_TRUE(taken[softwareVersionNumber("v1")] >= streams);
    CHECK_EQUAL(0U, taken[0]);
}
