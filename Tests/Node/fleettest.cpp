// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

// Seen: in a fleet of 78 hosts, most of them on links of 10 Mbit/s, requests reached engines 3.3 s after these had said that
// they leave; in another, urgent requests got nothing while others ran, since dispatchers and engines could not be reached.
// How: the configuration had grown to some 700 KB and changed once more soon after. A host that lacked it asked whoever told
// of another revision, every 200 ms, while the first answer was still on its way, and got the whole configuration each time:
// 6.3 MB a host for two versions. Words of endpoints, probes, grants and connections to engines waited behind the copies.
// Cause: what one change costs on the links was bounded by nothing: neither how many copies a host asks for at once, nor that
// of a large record only what differs has to be sent.
// Proof: with as many bytes as there were, these tests fail in the same way; with a bound on both they pass.

#include "Node/linkedfleet.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace Yokepond;
using Configuration::Record;
using Configuration::RecordKind;
using std::chrono::milliseconds;
using Tests::LinkedFleet;

namespace {

constexpr double narrowLink = 1.25e6; ///< bytes a second: 10 Mbit/s
constexpr std::size_t storeFollowers = 3;

/// Routes as a platform writes them, each of some 200 bytes that do not repeat those of another one.
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
    LinkedFleet fleet {30, narrowLink};

    void tellFollowers(const Record &record)
    {
        for (std::size_t index = 0; index < storeFollowers; ++index) {
            fleet.tell(index, {record});
        }
    }

    void setup() override
    {
        fleet.run(std::chrono::seconds(8));
        tellFollowers(configuration(10, routes(200, 1)));
        fleet.run(std::chrono::seconds(4));
        CHECK_EQUAL(fleet.size(), fleet.hostsWith(RecordKind::Configuration, 10));
    }
};

TEST(Fleet, aLargeConfigurationDoesNotHoldUpTheWordsOfEndpoints)
{
    const std::string large = routes(200, 1) + routes(2800, 2);
    const std::size_t before = fleet.changesReceived();
    tellFollowers(configuration(20, large));
    fleet.run(milliseconds(600));
    tellFollowers(configuration(22, large + "idle"));
    for (std::uint64_t version = 30; version < 40; ++version) {
        tellFollowers(endpoint(version, "leaving"));
        fleet.run(milliseconds(500));
        // A word of an endpoint may take two seconds to be known everywhere.
        CHECK_EQUAL(fleet.size(), fleet.hostsWith(RecordKind::Endpoint, version < 34 ? 0 : version - 3));
    }
    CHECK_EQUAL(fleet.size(), fleet.hostsWith(RecordKind::Configuration, 22));
    const double copies = static_cast<double>(fleet.changesReceived() - before) / static_cast<double>(large.size())
        / static_cast<double>(fleet.size());
    CHECK_TRUE(copies < 1.5);
}

/// One host has a newer configuration, the other newer endpoints, and the versions of both add up to the same.
TEST(Fleet, hostsThatLackDifferentThingsLearnThemFromEachOther)
{
    LinkedFleet pair {2, narrowLink};
    pair.run(std::chrono::seconds(4));
    pair.tell(0, {configuration(11, "newer"), endpoint(20, "value")});
    pair.tell(1, {configuration(10, "older"), endpoint(21, "value")});
    pair.run(std::chrono::seconds(4));
    CHECK_EQUAL(2U, pair.hostsWith(RecordKind::Configuration, 11));
    CHECK_EQUAL(2U, pair.hostsWith(RecordKind::Endpoint, 21));
}

/// Of 30 hosts that are asked, one is gone: whoever asked it asks another.
TEST(Fleet, aHostThatIsGoneDelaysWhatItWasAskedForOnlyShortly)
{
    fleet.tell(0, {configuration(30, routes(200, 3))});
    fleet.run(milliseconds(50));
    fleet.cut(0);
    fleet.tell(1, {configuration(30, routes(200, 3))});
    fleet.run(std::chrono::seconds(2));
    CHECK_EQUAL(fleet.size(), fleet.hostsWith(RecordKind::Configuration, 30));
}

/// A host that knows where requests may go, but no endpoint yet, would refuse them all.
TEST(Fleet, aHostIsReadyOnceItKnowsRoutesAndEndpoints)
{
    LinkedFleet pair {2, narrowLink};
    pair.run(std::chrono::seconds(4));
    pair.tell(0, {configuration(10, "routes")});
    pair.run(milliseconds(500));
    CHECK_FALSE(pair.isReady(0));
    pair.tell(0, {endpoint(20, "value")});
    pair.run(std::chrono::seconds(1));
    CHECK_TRUE(pair.isReady(0));
    CHECK_TRUE(pair.isReady(1));
    // Endpoints that all go later are the callers' trouble, not this host's.
    pair.tell(0, {{RecordKind::Endpoint, "e20", 21, true, ""}});
    pair.run(std::chrono::seconds(1));
    CHECK_TRUE(pair.isReady(0));
}

/// Hosts that have just started tell another digest, and have nothing to give.
TEST(Fleet, hostsThatRestartInTurnDoNotKeepTheOthersFromANewConfiguration)
{
    for (std::size_t round = 0; round < 8; ++round) {
        const std::uint64_t version = 30 + round;
        fleet.restart(10 + 2 * round);
        fleet.restart(11 + 2 * round);
        fleet.run(milliseconds(100));
        tellFollowers(configuration(version, routes(200, version)));
        fleet.run(milliseconds(1400));
        CHECK_EQUAL(fleet.size(), fleet.hostsWith(RecordKind::Configuration, version));
    }
}

TEST(Fleet, aMessageThatIsNotItsOwnIsPassedOver)
{
    fleet.post(0, 1, Peer::Queued {});
    fleet.run(milliseconds(100));
    CHECK_EQUAL(fleet.size(), fleet.hostsWith(RecordKind::Configuration, 10));
}
