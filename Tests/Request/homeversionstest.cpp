// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/error.h"
#include "Dispatch/fixtures.h"
#include "Request/home.h"

#include <CppUTest/TestHarness.h>

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

    /// Ends the look-up of stream @p stream by the reply of host h2, which is asked twice if it does not know.
    void reply(std::uint64_t stream, std::optional<Peer::StreamOrigin> origin, double now)
    {
        for (double later = now; looksUp() && later < now + 0.5; later += 0.05) {
            home.receive(at(later), "h2", Peer::StreamOriginReply {stream, origin});
            home.tick(at(later));
        }
        CHECK_FALSE(looksUp());
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
    Configuration::CatalogueParts parts = catalogue->parts();
    std::ranges::find(parts.endpoints, e2, &Configuration::Endpoint::number)->softwareVersion = "v1";
    use(std::move(parts), 0);
    takeUp(77, 3600);
    reply(77, std::nullopt, 3600.01);
    CHECK_EQUAL(softwareVersionNumber("v1"), lastAsk().softwareVersion);
    home.callerDisconnected(at(3601), 1);
    // A caller that names no try is not kept waiting for a second round.
    takeUp(0, 3602);
    home.receive(at(3602.01), "h2", Peer::StreamOriginReply {0, std::nullopt});
    CHECK_EQUAL(softwareVersionNumber("v1"), lastAsk().softwareVersion);
}

// Guards against a host that is cut off, does not hear of newer versions, and goes on with their streams at an older one.
TEST(HomeVersions, aHostThatNoOtherAnswersDoesNotRelyOnWhatItSaw)
{
    Configuration::CatalogueParts parts = catalogue->parts();
    std::ranges::find(parts.endpoints, e2, &Configuration::Endpoint::number)->softwareVersion = "v1";
    use(std::move(parts), 0);
    takeUp(77, 3600);
    home.takeActions();
    for (double now = 3600; now < 3601; now += 0.05) {
        home.tick(at(now));
    }
    CHECK_TRUE(Base::errorKind(failure()) == Base::ErrorKind::StreamOriginUnknown);
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
