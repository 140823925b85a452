// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/fixtures.h"
#include "Dispatch/shard.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace Yokepond;
using namespace Yokepond::Dispatch;
using Configuration::Kind;
using Configuration::softwareVersionNumber;
using Tests::at;

/// A shard with two endpoints of two slots each: e1 runs version v1 and e2 runs v2.
TEST_GROUP(ShardVersions)
{
    Configuration::Objects objects = Tests::objectsOf(std::string(Tests::threeTiers));
    std::shared_ptr<const Configuration::Catalogue> catalogue = Tests::catalogueOfTwoVersions(objects);
    std::uint32_t e1 = Tests::numberOf(objects, Kind::Endpoint, "e1");
    std::uint32_t e2 = Tests::numberOf(objects, Kind::Endpoint, "e2");
    ShardInfo info {1, Tests::numberOf(objects, Kind::Pool, "main"), "", 0, {e1, e2}, "h1"};
    Shard shard {info, catalogue, at(-10)};
    Home home {"h1", 7};
    std::uint64_t next = 1;

    void setup() override
    {
        shard.tick(at(0));
    }

    /// Asks for an endpoint that runs @p version; for any if it is empty.
    Peer::AttemptId ask(double now, std::string_view version = "", std::uint32_t avoid = 0)
    {
        Peer::Ask made;
        made.id = {next++, 1};
        made.shard = 1;
        made.requestClass = Tests::numberOf(objects, Kind::Class, "alert");
        made.organisation = Tests::numberOf(objects, Kind::Organisation, "small");
        made.remaining = std::chrono::seconds(20);
        made.sentAt = at(now);
        made.avoid = avoid;
        made.softwareVersion = version.empty() ? 0 : softwareVersionNumber(version);
        shard.ask(at(now), home, made);
        return made.id;
    }

    template<typename Wanted>
    std::vector<Wanted> replies()
    {
        std::vector<Wanted> found;
        for (const Reply &reply : shard.takeReplies()) {
            if (const auto *message = std::get_if<Wanted>(&reply.message)) {
                found.push_back(*message);
            }
        }
        return found;
    }

    std::vector<std::uint32_t> granted()
    {
        std::vector<std::uint32_t> endpoints;
        for (const Peer::Grant &grant : replies<Peer::Grant>()) {
            endpoints.push_back(grant.endpoint);
        }
        return endpoints;
    }

    void release(const Peer::Grant &grant, double now)
    {
        shard.release(at(now), home, {grant.id, 1, grant.endpoint, Peer::RunResult::Completed});
    }

    void fail(std::uint32_t endpoint, double now)
    {
        const Peer::AttemptId id = ask(now, endpoint == e1 ? "v1" : "v2");
        shard.release(at(now), home, {id, 1, endpoint, Peer::RunResult::Unreachable});
    }
};

// Guards against a dispatcher that grants any endpoint to a stream which began at another software version.
TEST(ShardVersions, anAskForAVersionGetsItsEndpointsOnly)
{
    for (int index = 0; index < 3; ++index) {
        ask(0, "v1");
    }
    CHECK_TRUE(granted() == (std::vector<std::uint32_t> {e1, e1}));
    CHECK_EQUAL(1U, shard.queued());
    ask(0, "v2", e2);
    CHECK_TRUE(granted() == (std::vector<std::uint32_t> {e2}));
}

// Guards against new requests that wait behind a stream whose version has no free slot.
TEST(ShardVersions, otherAsksPassOneThatWaitsForItsVersion)
{
    for (int index = 0; index < 4; ++index) {
        ask(0, "v1");
    }
    granted();
    ask(0.1);
    ask(0.1);
    CHECK_TRUE(granted() == (std::vector<std::uint32_t> {e2, e2}));
}

// Guards against a stream that waits behind new requests which came later and could run anywhere.
TEST(ShardVersions, aFreeSlotOfTheVersionGoesToTheStreamThatWaited)
{
    std::vector<Peer::Grant> grants;
    for (int index = 0; index < 4; ++index) {
        ask(0);
    }
    grants = replies<Peer::Grant>();
    CHECK_EQUAL(4U, grants.size());
    const Peer::AttemptId stream = ask(0.1, "v1");
    ask(0.2);
    replies<Peer::Grant>();
    const auto atE1 = std::ranges::find(grants, e1, &Peer::Grant::endpoint);
    release(*atE1, 0.5);
    const auto next = replies<Peer::Grant>();
    CHECK_EQUAL(1U, next.size());
    CHECK_TRUE(next.front().id == stream && next.front().endpoint == e1);
}

// Guards against a stream that waits in vain once the last endpoint of its version leaves.
TEST(ShardVersions, queuedStreamsAreRefusedWhenTheirVersionIsGone)
{
    for (int index = 0; index < 3; ++index) {
        ask(0, "v1");
    }
    granted();
    shard.setLeaving(at(1), {e1});
    const auto refused = replies<Peer::Refusal>();
    CHECK_EQUAL(1U, refused.size());
    CHECK_TRUE(refused.front().reason == Peer::RefusalReason::NoEndpoint);
    ask(1.1, "v9");
    CHECK_EQUAL(1U, replies<Peer::Refusal>().size());
}

// Guards against a stream that is ended since its version's endpoints are ejected for a moment.
TEST(ShardVersions, aVersionWhoseEndpointsAreEjectedIsDownAndNotGone)
{
    for (int index = 0; index < 4; ++index) {
        fail(e1, 0.1 * index);
    }
    replies<Peer::Grant>();
    ask(0.5, "v1");
    const auto refused = replies<Peer::Refusal>();
    CHECK_EQUAL(1U, refused.size());
    CHECK_TRUE(refused.front().reason == Peer::RefusalReason::EndpointsDown);
}

// Guards against a stream that waits in vain for an endpoint which takes few requests, since others take many.
TEST(ShardVersions, theWaitOfAStreamCountsTheEndpointsOfItsVersion)
{
    shard.applyEndpointUpdate(at(0), home, {1, e1, {Rate::RateKind::Limited, 0.25, {}}, {}});
    shard.applyEndpointUpdate(at(0), home, {1, e2, {Rate::RateKind::Limited, 100.0, {}}, {}});
    // One run can start now and one each four seconds, and the asks have a deadline of twenty: four wait, the others cannot be
    // served.
    for (int index = 0; index < 12; ++index) {
        ask(5, "v1");
    }
    const auto refused = replies<Peer::Refusal>();
    CHECK_EQUAL(7U, refused.size());
    CHECK_TRUE(refused.front().reason == Peer::RefusalReason::TooLate);
    ask(5, "v2");
    CHECK_EQUAL(1U, replies<Peer::Grant>().size());
}
