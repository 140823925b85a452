// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

// Guards against copies of a large configuration that fill the links between hosts. In a fleet of 78 hosts, most of them on links
// of 10 Mbit/s, the configuration grew to about 700 KB and changed again soon after. Each host that lacked it requested it every
// 200 ms from each host that advertised another revision, while the first copy was still in transit: 6.3 MB per host for two
// versions. Updates of endpoints, probes, grants and connections to engines queued behind the copies. Requests reached
// engines 3.3 s after these had announced that they were leaving; in another fleet, urgent requests were not served while others
// ran. A host now requests the whole configuration from one host at a time, and of a large record only the differences are sent.

#include "Node/linkedfleet.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace Yokepond;
using Configuration::Record;
using Configuration::RecordKind;
using std::chrono::milliseconds;
using Tests::LinkedFleet;

namespace {

constexpr double linkBytesPerSecond = 1.25e6; ///< 10 Mbit/s in bytes per second
constexpr std::size_t storeFollowers = 3;
constexpr Base::Duration maxTimeToAllHosts = std::chrono::seconds(18); ///< the target for a change to be in force at all hosts

/// Returns routes as a platform writes them, each of about 200 bytes with random contents, so that they do not compress well.
std::string routes(std::size_t count, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::string text;
    for (std::size_t index = 0; index < count; ++index) {
        text += fmt::format(R"({{"host":"{:08x}.example","path_prefix":"/{:08x}/{:04x}/","service":"model","type":"streaming",)"
                            R"("timeout_ms":{},"target_latency_ms":1500,"priority":2,"max_attempts":2,"name":"r-{:08x}"}},)",
                            random() & 0xffffffffU, random() & 0xffffffffU, random() & 0xffffU, 5000 + random() % 5000,
                            random() & 0xffffffffU);
    }
    return text;
}

Record configuration(std::uint64_t version, std::string value)
{
    return {RecordKind::Configuration, "config", version, false, std::move(value)};
}

Record endpoint(std::uint64_t version, const std::string &state)
{
    return {RecordKind::Endpoint, fmt::format("e{}", version), version, false, state};
}

} // namespace

TEST_GROUP(Fleet)
{
    LinkedFleet fleet {30, linkBytesPerSecond};

    void sendToFollowers(const Record &record)
    {
        for (std::size_t index = 0; index < storeFollowers; ++index) {
            fleet.deliverRecords(index, {record});
        }
    }

    void setup() override
    {
        fleet.run(std::chrono::seconds(8));
        sendToFollowers(configuration(10, routes(200, 1)));
        fleet.run(std::chrono::seconds(4));
        CHECK_EQUAL(fleet.size(), fleet.hostsWith(RecordKind::Configuration, 10));
    }
};

TEST(Fleet, aLargeConfigurationDoesNotDelayEndpointUpdates)
{
    const std::string large = routes(200, 1) + routes(2800, 2);
    const std::size_t before = fleet.changesReceived();
    sendToFollowers(configuration(20, large));
    fleet.run(milliseconds(600));
    sendToFollowers(configuration(22, large + "idle"));
    for (std::uint64_t version = 30; version < 40; ++version) {
        sendToFollowers(endpoint(version, "leaving"));
        fleet.run(milliseconds(500));
        // An update of an endpoint may take two seconds to reach all hosts; that is four versions.
        CHECK_EQUAL(fleet.size(), fleet.hostsWith(RecordKind::Endpoint, version < 34 ? 0 : version - 3));
    }
    CHECK_EQUAL(fleet.size(), fleet.hostsWith(RecordKind::Configuration, 22));
    const double copies = static_cast<double>(fleet.changesReceived() - before) / static_cast<double>(large.size())
        / static_cast<double>(fleet.size());
    CHECK_TRUE(copies < 1.5);
}

/// One host has a newer configuration and the other has newer endpoints, and the sums of the two versions are equal.
TEST(Fleet, hostsThatLackDifferentRecordsGetThemFromEachOther)
{
    LinkedFleet pair {2, linkBytesPerSecond};
    pair.run(std::chrono::seconds(4));
    pair.deliverRecords(0, {configuration(11, "newer"), endpoint(20, "value")});
    pair.deliverRecords(1, {configuration(10, "older"), endpoint(21, "value")});
    pair.run(std::chrono::seconds(4));
    CHECK_EQUAL(2U, pair.hostsWith(RecordKind::Configuration, 11));
    CHECK_EQUAL(2U, pair.hostsWith(RecordKind::Endpoint, 21));
}

/// Hosts that requested changes from an unreachable host request them from another one.
// Guards against a configuration that stays late: a host that lacks the base of the difference forgot so with each message about
// endpoints, and asked for the difference again in place of the whole.
TEST(Fleet, messagesAboutEndpointsDoNotDelayAConfigurationWhoseBaseIsMissing)
{
    LinkedFleet small(3, linkBytesPerSecond);
    for (const std::size_t host : {0U, 1U}) {
        small.deliverRecords(host, {configuration(10, "first"), configuration(12, "third")});
    }
    small.deliverRecords(2, {configuration(11, "second")});
    Configuration::SiteRecords endpoints;
    endpoints.merge(endpoint(5, "ready"));
    const auto packed = Configuration::ChangesCodec().pack(endpoints, {}, RecordKind::Endpoint);
    for (int message = 0; message < 60; ++message) {
        small.post(1, 2, Peer::Changes {{}, {}, packed->bytes, packed->base});
        small.run(milliseconds(50));
    }
    CHECK_EQUAL(12U, small.appliedRevisions(2).configuration);
}

// Guards against hosts at the same revision that hold different records and never notice.
TEST(Fleet, hostsThatHoldDifferentRecordsAtTheSameRevisionNotice)
{
    sendToFollowers(endpoint(11, "ready"));
    fleet.run(std::chrono::seconds(5));
    const Configuration::RecordRevisions revisions = fleet.appliedRevisions(20);
    fleet.deliverRecords(20, {endpoint(8, "ready"), {RecordKind::Evacuation, "east", 9, false, "{}"}});
    fleet.run(maxTimeToAllHosts);
    CHECK_TRUE(fleet.appliedRevisions(20) == revisions);
    CHECK_TRUE(fleet.hashesAt(20).configuration != 0);
    for (std::size_t host = 0; host < fleet.size(); ++host) {
        CHECK_TRUE(fleet.hashesAt(host) == fleet.hashesAt(20));
    }
}

TEST(Fleet, anUnreachableHostDelaysChangesOnlyBriefly)
{
    fleet.deliverRecords(0, {configuration(30, routes(200, 3))});
    fleet.run(milliseconds(50));
    fleet.cut(0);
    fleet.deliverRecords(1, {configuration(30, routes(200, 3))});
    fleet.run(std::chrono::seconds(2));
    CHECK_EQUAL(fleet.size(), fleet.hostsWith(RecordKind::Configuration, 30));
}

/// A host with routes but without endpoints would refuse all requests, so it is not ready.
TEST(Fleet, aHostIsReadyOnceItKnowsRoutesAndEndpoints)
{
    LinkedFleet pair {2, linkBytesPerSecond};
    pair.run(std::chrono::seconds(4));
    pair.deliverRecords(0, {configuration(10, "routes")});
    pair.run(milliseconds(500));
    CHECK_FALSE(pair.isReady(0));
    pair.deliverRecords(0, {endpoint(20, "value")});
    pair.run(std::chrono::seconds(1));
    CHECK_TRUE(pair.isReady(0));
    CHECK_TRUE(pair.isReady(1));
    // A host stays ready if all endpoints are removed later, since other hosts would have none either.
    pair.deliverRecords(0, {{RecordKind::Endpoint, "e20", 21, true, ""}});
    pair.run(std::chrono::seconds(1));
    CHECK_TRUE(pair.isReady(0));
}

/// Hosts that have just started advertise a different digest, but have no changes to send.
TEST(Fleet, restartingHostsDoNotDelayANewConfiguration)
{
    for (std::size_t round = 0; round < 8; ++round) {
        const std::uint64_t version = 30 + round;
        fleet.restart(10 + 2 * round);
        fleet.restart(11 + 2 * round);
        fleet.run(milliseconds(100));
        sendToFollowers(configuration(version, routes(200, version)));
        fleet.run(milliseconds(1400));
        CHECK_EQUAL(fleet.size(), fleet.hostsWith(RecordKind::Configuration, version));
    }
}

TEST(Fleet, aMessageForAnotherComponentIsIgnored)
{
    fleet.post(0, 1, Peer::Queued {});
    fleet.run(milliseconds(100));
    CHECK_EQUAL(fleet.size(), fleet.hostsWith(RecordKind::Configuration, 10));
}
