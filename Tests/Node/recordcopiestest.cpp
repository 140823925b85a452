// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

// Guards against hosts whose copies of the platform's records have the newest revision and other records than the store. A host
// that held the removals of endpoints told a host that lacked them that nothing had changed, and requests were sent to endpoints
// that had left.

#include "Node/linkedfleet.h"

#include <CppUTest/TestHarness.h>

#include <random>
#include <string>

using namespace Yokepond;
using Configuration::RecordKind;
using std::chrono::milliseconds;
using Tests::LinkedFleet;
using Tests::Source;

namespace {

constexpr std::size_t hostCount = 30;
constexpr int endpointCount = 40;
constexpr std::uint64_t lastSeed = 60;
constexpr double linkBytesPerSecond = 1.25e6; ///< 10 Mbit/s in bytes per second
/// Maximum time from the store's acknowledgement of a change until all hosts must have applied it.
constexpr Base::Duration maxDelay = std::chrono::seconds(3);

/// A fleet that follows the store while records change and hosts restart, all drawn from a seed.
class ChangingFleet
{
public:
    /// @p age: how long the fleet has run.
    explicit ChangingFleet(std::uint64_t seed, Base::Duration age = std::chrono::seconds(14))
        : fleet(hostCount, linkBytesPerSecond, Source::Store, seed)
        , m_random(seed)
    {
        put(RecordKind::Configuration, "config", "first");
        for (int endpoint = 0; endpoint < endpointCount; ++endpoint) {
            put(RecordKind::Endpoint, nameOf(endpoint), "ready");
        }
        fleet.run(age);
    }

    /// Restarts hosts while endpoints come, change and go, for about 2 s.
    void change()
    {
        for (int step = 0; step < 10; ++step) {
            const int endpoint = draw(endpointCount);
            switch (draw(6)) {
            case 0:
            case 1:
                fleet.store().remove(fleet.now(), RecordKind::Endpoint, nameOf(endpoint));
                break;
            case 2:
                put(RecordKind::Endpoint, nameOf(endpoint), draw(2) == 0 ? "ready" : "draining");
                break;
            case 3:
                changeConfiguration();
                break;
            default:
                fleet.restart(static_cast<std::size_t>(draw(hostCount)));
            }
            fleet.run(milliseconds(100 + draw(200)));
        }
    }

    LinkedFleet fleet;

private:
    static std::string nameOf(int endpoint)
    {
        return fmt::format("e{}", endpoint);
    }

    int draw(int below)
    {
        return static_cast<int>(m_random() % static_cast<std::uint64_t>(below));
    }

    void put(RecordKind kind, const std::string &key, const std::string &value)
    {
        fleet.store().put(fleet.now(), {kind, key, 0, false, value});
    }

    /// Writes one of two configurations, so that an earlier one may come back, or begins or ends an evacuation.
    void changeConfiguration()
    {
        switch (draw(4)) {
        case 0:
            put(RecordKind::Evacuation, "east", "{}");
            break;
        case 1:
            fleet.store().remove(fleet.now(), RecordKind::Evacuation, "east");
            break;
        default:
            put(RecordKind::Configuration, "config", draw(2) == 0 ? "first" : "second");
        }
    }

    std::mt19937_64 m_random;
};

} // namespace

TEST_GROUP(RecordCopies) {};

// Guards against hosts of a fleet that has just started, none of which knows what was removed before, and that wait for each
// other.
TEST(RecordCopies, aFleetThatStartedLearnsWhatWasRemoved)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        ChangingFleet changing(seed, std::chrono::seconds(1));
        changing.change();
        changing.fleet.run(maxDelay + Node::RecordWatcherOptions {}.removalDelay);
        const auto different = changing.fleet.hostsThatDifferFromTheStore();
        CHECK_EQUAL_TEXT(0U, different.size(), fmt::format("seed {}", seed).c_str());
    }
}

TEST(RecordCopies, allHostsHoldWhatTheStoreHoldsWhileHostsRestart)
{
    for (std::uint64_t seed = 1; seed <= lastSeed; ++seed) {
        ChangingFleet changing(seed);
        for (int round = 0; round < 6; ++round) {
            changing.change();
            changing.fleet.run(maxDelay);
            const auto different = changing.fleet.hostsThatDifferFromTheStore();
            CHECK_EQUAL_TEXT(0U, different.size(), fmt::format("seed {}, round {}", seed, round).c_str());
        }
    }
}
