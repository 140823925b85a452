// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

// Guards against a fleet that misses changes because the store does not respond to the hosts that follow it. In fleets of 54 to
// 87 hosts, requests on new routes and with new keys were refused as unknown more than 3 s after the store had accepted the
// change. Eight hosts follow the store, and the others get changes from them. The store rejected these eight, while it served the
// others: the eight retried, and no other host called the store. The same happened if the eight were frozen or partitioned, until
// they were declared dead. Followers were selected by rank among the present hosts, whether or not they could reach the store.
// Now a follower without responses asks other hosts to follow, and a host that finds a follower unresponsive follows in its
// place.

#include "Node/linkedfleet.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <functional>
#include <random>

using namespace Yokepond;
using Configuration::Record;
using Configuration::RecordKind;
using std::chrono::milliseconds;
using Tests::LinkedFleet;
using Tests::Source;
using Tests::StoreAccess;

namespace {

constexpr std::size_t hosts = 60;
constexpr double linkBytesPerSecond = 1.25e6; ///< 10 Mbit/s in bytes per second
/// Maximum time from the store's acknowledgement of a change until all reachable hosts must have applied it.
constexpr Base::Duration maxDelay = std::chrono::seconds(3);

Record configuration(const std::string &value)
{
    return {RecordKind::Configuration, "config", 0, false, value};
}

Record endpoint(const std::string &state)
{
    return {RecordKind::Endpoint, "e1", 0, false, state};
}

/// A fleet whose hosts know each other, a configuration and an endpoint.
struct SettledFleet
{
    explicit SettledFleet(std::uint64_t seed)
        : fleet(hosts, linkBytesPerSecond, Source::Store, seed)
    {
        fleet.store().put(fleet.now(), configuration("first"));
        fleet.store().put(fleet.now(), endpoint("ready"));
        fleet.run(std::chrono::seconds(14));
        followers = fleet.followers();
    }

    void setAccessOf(const std::set<std::size_t> &group, StoreAccess access)
    {
        std::ranges::for_each(group, [&](std::size_t host) { fleet.store().setAccess(fleet.now(), host, access); });
    }

    /// Returns the hosts, except @p exempt, that have not applied the newest record of @p kind in the store.
    std::set<std::size_t> outdatedHosts(RecordKind kind, const std::set<std::size_t> &exempt = {}) const
    {
        std::set<std::size_t> found;
        for (std::size_t host = 0; host < hosts; ++host) {
            if (!exempt.contains(host) && fleet.appliedRevisions(host).forKind(kind) < newest.at(kind)) {
                found.insert(host);
            }
        }
        return found;
    }

    void change(const Record &record)
    {
        fleet.store().put(fleet.now(), record);
        newest[record.kind] = fleet.store().version();
    }

    LinkedFleet fleet;
    std::set<std::size_t> followers;
    std::map<RecordKind, std::uint64_t> newest;
};

constexpr std::uint64_t seeds = 4;

} // namespace

TEST_GROUP(StoreFollower) {};

TEST(StoreFollower, aFewHostsFollowInAFleetWithoutFaults)
{
    SettledFleet settled(1);
    CHECK_EQUAL(8U, settled.followers.size());
    settled.change(configuration("second"));
    settled.fleet.run(maxDelay);
    CHECK_EQUAL(0U, settled.outdatedHosts(RecordKind::Configuration).size());
}

// Guards against odd entries of other writers that keep hosts from following the list, or whose heartbeats are sent to all hosts.
TEST(StoreFollower, changesAreAppliedBesideOddRecords)
{
    SettledFleet settled(1);
    const Record odd {RecordKind::Endpoint, "odd", 0, false, "", {}, Configuration::RecordFault::Value};
    settled.change(odd);
    settled.fleet.run(maxDelay);
    CHECK_EQUAL(0U, settled.outdatedHosts(RecordKind::Endpoint).size());
    const std::size_t before = settled.fleet.changesReceived();
    for (int heartbeat = 0; heartbeat < 20; ++heartbeat) {
        settled.fleet.store().put(settled.fleet.now(), odd);
        settled.fleet.run(milliseconds(300));
    }
    CHECK_EQUAL(before, settled.fleet.changesReceived());
    // An odd configuration reaches no other host, and the next one is applied.
    Record configured = configuration("");
    configured.fault = Configuration::RecordFault::Value;
    settled.fleet.store().put(settled.fleet.now(), configured);
    settled.fleet.run(maxDelay);
    CHECK_EQUAL(before, settled.fleet.changesReceived());
    settled.change(endpoint("leaving"));
    settled.change(configuration("second"));
    settled.fleet.run(maxDelay);
    CHECK_EQUAL(0U, settled.outdatedHosts(RecordKind::Configuration).size());
    CHECK_EQUAL(0U, settled.outdatedHosts(RecordKind::Endpoint).size());
}

TEST(StoreFollower, aChangeIsAppliedIfTheStoreRejectsAllFollowers)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SettledFleet settled(seed);
        settled.setAccessOf(settled.followers, StoreAccess::Rejecting);
        settled.change(configuration("second"));
        settled.change(endpoint("leaving"));
        settled.fleet.run(maxDelay);
        CHECK_EQUAL(0U, settled.outdatedHosts(RecordKind::Configuration).size());
        CHECK_EQUAL(0U, settled.outdatedHosts(RecordKind::Endpoint).size());
    }
}

TEST(StoreFollower, aChangeIsAppliedIfTheStoreLosesTheCallsOfAllFollowers)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SettledFleet settled(seed);
        settled.setAccessOf(settled.followers, StoreAccess::Unresponsive);
        settled.change(configuration("second"));
        settled.change(endpoint("leaving"));
        settled.fleet.run(maxDelay);
        CHECK_EQUAL(0U, settled.outdatedHosts(RecordKind::Configuration).size());
        CHECK_EQUAL(0U, settled.outdatedHosts(RecordKind::Endpoint).size());
    }
}

/// The store rejects the followers and most of the hosts that could follow in their place.
TEST(StoreFollower, aChangeIsAppliedIfTheStoreServesOneHostInTen)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SettledFleet settled(seed);
        std::mt19937_64 random(seed);
        std::set<std::size_t> rejected = settled.followers;
        while (rejected.size() < hosts - hosts / 10) {
            rejected.insert(random() % hosts);
        }
        settled.setAccessOf(rejected, StoreAccess::Rejecting);
        settled.change(configuration("second"));
        settled.fleet.run(maxDelay);
        CHECK_EQUAL(0U, settled.outdatedHosts(RecordKind::Configuration).size());
    }
}

TEST(StoreFollower, aChangeIsAppliedIfAllFollowersAreFrozen)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SettledFleet settled(seed);
        std::ranges::for_each(settled.followers, [&](std::size_t host) { settled.fleet.freeze(host); });
        settled.change(configuration("second"));
        settled.fleet.run(maxDelay);
        CHECK_EQUAL(0U, settled.outdatedHosts(RecordKind::Configuration, settled.followers).size());
    }
}

TEST(StoreFollower, aChangeIsAppliedIfAllFollowersArePartitionedFromTheOthers)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SettledFleet settled(seed);
        settled.fleet.partition(settled.followers);
        settled.change(configuration("second"));
        settled.fleet.run(maxDelay);
        CHECK_EQUAL(0U, settled.outdatedHosts(RecordKind::Configuration).size());
    }
}

namespace {

/// Injects random faults into hosts, always including those that follow the store, while records change.
class RandomFaults
{
public:
    explicit RandomFaults(std::uint64_t seed)
        : m_settled(seed)
        , m_random(seed)
    {
    }

    /// Returns the maximum number of reachable hosts that had not applied a change within the maximum delay.
    std::size_t maxOutdated()
    {
        std::size_t most = 0;
        for (std::size_t round = 0; round < rounds; ++round) {
            if (round % roundsPerFault == 0) {
                clearFaults();
                m_settled.fleet.run(recoveryTime);
                injectFault();
            }
            m_settled.change(m_random() % 2 == 0 ? configuration(std::to_string(round)) : endpoint(std::to_string(round)));
            m_settled.fleet.run(milliseconds(m_random() % 900));
            const auto before = m_settled.newest;
            m_settled.fleet.run(maxDelay);
            for (const auto &[kind, version] : before) {
                most = std::max(most, m_settled.outdatedHosts(kind, m_unreachable).size());
            }
        }
        return most;
    }

private:
    static constexpr std::size_t rounds = 6;
    static constexpr std::size_t roundsPerFault = 2;
    static constexpr Base::Duration recoveryTime = std::chrono::seconds(4);

    void clearFaults()
    {
        for (std::size_t host = 0; host < hosts; ++host) {
            m_settled.fleet.store().setAccess(m_settled.fleet.now(), host, StoreAccess::Available);
            m_settled.fleet.unfreeze(host);
        }
        m_settled.fleet.partition({});
        m_unreachable.clear();
    }

    void injectFault()
    {
        std::set<std::size_t> affected = m_settled.fleet.followers();
        const std::size_t most = hosts / 3 + m_random() % (hosts / 3);
        while (affected.size() < most) {
            affected.insert(m_random() % hosts);
        }
        switch (m_random() % 4) {
        case 0:
            m_settled.setAccessOf(affected, StoreAccess::Rejecting);
            break;
        case 1:
            m_settled.setAccessOf(affected, StoreAccess::Unresponsive);
            break;
        case 2:
            std::ranges::for_each(affected, [this](std::size_t host) { m_settled.fleet.freeze(host); });
            m_unreachable = affected;
            break;
        default:
            m_settled.fleet.partition(affected);
            m_unreachable = affected;
        }
    }

    SettledFleet m_settled;
    std::mt19937_64 m_random;
    std::set<std::size_t> m_unreachable;
};

} // namespace

TEST(StoreFollower, changesAreAppliedUnderRandomFaultsOfFollowers)
{
    constexpr std::uint64_t lastSeed = 6;
    for (std::uint64_t seed = 1; seed <= lastSeed; ++seed) {
        const std::size_t outdatedHosts = RandomFaults(seed).maxOutdated();
        CHECK_EQUAL_TEXT(0U, outdatedHosts, fmt::format("seed {}", seed).c_str());
    }
}

namespace {

/// A fault that can begin and end. All hosts must apply changes in time in spite of it.
struct Fault
{
    const char *name;
    std::function<void(LinkedFleet &, std::mt19937_64 &)> begin;
    std::function<void(LinkedFleet &)> end;
};

/// Blocks the messages between a quarter of all pairs of hosts, in both directions or in one.
void blockRandomPairs(LinkedFleet &fleet, std::mt19937_64 &random, bool bothDirections)
{
    std::set<std::pair<std::size_t, std::size_t>> pairs;
    while (pairs.size() < hosts * hosts / 4) {
        const std::pair pair {random() % hosts, random() % hosts};
        pairs.insert(pair);
        if (bothDirections) {
            pairs.emplace(pair.second, pair.first);
        }
    }
    fleet.blockMessages(pairs);
}

/// Returns the maximum number of hosts that had not applied a change within the maximum delay, during a fault or after it.
std::size_t maxOutdatedDuring(const Fault &fault, std::uint64_t seed, const std::string &padding)
{
    std::mt19937_64 random(seed);
    SettledFleet settled(seed);
    std::size_t most = 0;
    const auto change = [&] {
        settled.change(configuration(std::to_string(random()) + padding));
        settled.fleet.run(milliseconds(random() % 900));
        settled.change(endpoint(std::to_string(random())));
        settled.fleet.run(maxDelay);
        most = std::max(
            {most, settled.outdatedHosts(RecordKind::Configuration).size(), settled.outdatedHosts(RecordKind::Endpoint).size()});
    };
    fault.begin(settled.fleet, random);
    change();
    change();
    fault.end(settled.fleet);
    change();
    return most;
}

} // namespace

/// Guards against hosts that get changes late or never if connections between hosts drop all messages, or if the store is slow or
/// loses responses, also with a configuration that takes long to send on links of 10 Mbit/s.
TEST(StoreFollower, changesAreAppliedWithBlockedConnectionsAndASlowStore)
{
    const auto unblock = [](LinkedFleet &fleet) { fleet.blockMessages({}); };
    const std::array faults {
        Fault {"blocked pairs", [](LinkedFleet &fleet, std::mt19937_64 &random) { blockRandomPairs(fleet, random, true); },
               unblock},
        Fault {"pairs blocked in one direction",
               [](LinkedFleet &fleet, std::mt19937_64 &random) { blockRandomPairs(fleet, random, false); }, unblock},
        Fault {"a slow store", [](LinkedFleet &fleet, std::mt19937_64 &) { fleet.store().setSlow(milliseconds(250)); },
               [](LinkedFleet &fleet) { fleet.store().setSlow({}); }},
        Fault {"lost responses", [](LinkedFleet &fleet, std::mt19937_64 &) { fleet.store().setLostCalls(3); },
               [](LinkedFleet &fleet) { fleet.store().setLostCalls(0); }},
    };
    // Random text, so that compression does not make it much smaller.
    std::string large;
    std::mt19937_64 random(1);
    std::generate_n(std::back_inserter(large), 100'000, [&] { return static_cast<char>('0' + random() % 64); });
    for (const Fault &fault : faults) {
        for (const std::string &padding : {std::string(), large}) {
            const std::size_t outdatedHosts = maxOutdatedDuring(fault, 1, padding);
            CHECK_EQUAL_TEXT(0U, outdatedHosts, fmt::format("{}, {} bytes", fault.name, padding.size()).c_str());
        }
    }
}
