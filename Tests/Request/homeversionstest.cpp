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
                dispatcher = sent.member;
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

// Guards against a stream that ends since one of several dispatchers has no endpoint of its version, or has them ejected for a moment.
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
