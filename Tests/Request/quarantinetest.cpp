// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/quarantine.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

using namespace Yokepond;
using Base::Instant;
using Request::Quarantine;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t fatal = 77;
constexpr std::uint32_t endings = 3;

Instant at(int ms)
{
    return Instant(std::chrono::seconds(1000)) + milliseconds(ms);
}

/// Hosts that tell each other at once, but for those that are cut off.
class Hosts
{
public:
    explicit Hosts(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            add(fmt::format("h{}", index));
        }
    }

    void add(const std::string &name)
    {
        Peer::Member member;
        member.name = name;
        m_members.push_back(member);
        m_hosts.emplace(name, std::make_unique<Quarantine>(name, m_hosts.size()));
        showView();
    }

    void restart(const std::string &name)
    {
        m_hosts[name] = std::make_unique<Quarantine>(name, 99);
        m_hosts[name]->updateView(at(now), m_members, endings);
    }

    void showView()
    {
        for (auto &[name, host] : m_hosts) {
            host->updateView(at(now), m_members, endings);
        }
    }

    Quarantine &host(std::size_t index)
    {
        return *m_hosts.at(fmt::format("h{}", index));
    }

    void broke(std::size_t index, std::uint32_t endpoint, bool justBegan = true, std::uint64_t work = fatal)
    {
        host(index).runBroke(at(now), work, endpoint, justBegan);
        deliver();
    }

    void completed(std::size_t index, std::uint64_t work = fatal)
    {
        host(index).runCompleted(at(now), work);
        deliver();
    }

    void run(int ms)
    {
        for (const int end = now + ms; now < end; now += 50) {
            for (auto &[name, host] : m_hosts) {
                if (frozen != name) {
                    host->tick(at(now));
                }
            }
            deliver();
        }
    }

    std::size_t holding(std::uint64_t work = fatal)
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_hosts, [&](const auto &entry) { return entry.second->holds(work); }));
    }

    int now = 0;
    std::string cutOff;
    std::string frozen;
    std::size_t messages = 0;

private:
    void deliver()
    {
        for (bool more = true; more;) {
            more = false;
            for (auto &[name, host] : m_hosts) {
                for (const Request::SendToMember &sent : host->takeMessages()) {
                    ++messages;
                    more = true;
                    if (name == cutOff || sent.member == cutOff || sent.member == frozen) {
                        continue;
                    }
                    const auto receiver = m_hosts.find(sent.member);
                    if (const auto *broke = std::get_if<Peer::RunBroke>(&sent.message)) {
                        receiver->second->receive(at(now), name, *broke);
                    } else {
                        receiver->second->receive(at(now), name, std::get<Peer::QuarantineUpdate>(sent.message));
                    }
                }
            }
        }
    }

    std::vector<Peer::Member> m_members;
    std::map<std::string, std::unique_ptr<Quarantine>> m_hosts;
};

} // namespace

TEST_GROUP(Quarantine)
{
    Hosts hosts {8};

    /// Three endpoints end under the work, each seen by another host.
    void threeEnd(std::uint64_t work = fatal)
    {
        for (std::uint32_t index = 0; index < endings; ++index) {
            hosts.broke(index, 100 + index, true, work);
            hosts.now += 200;
        }
    }
};

TEST(Quarantine, theThirdEndingHoldsTheWorkAtEveryHost)
{
    hosts.broke(0, 100);
    hosts.broke(1, 101);
    CHECK_EQUAL(0U, hosts.holding());
    hosts.broke(2, 102);
    CHECK_EQUAL(8U, hosts.holding());
    CHECK_EQUAL(1U, hosts.host(5).takeHeld().size());
    CHECK_EQUAL(0U, hosts.host(5).takeHeld().size());
}

TEST(Quarantine, oneEndingThatManyHostsSeeIsOne)
{
    for (std::size_t index = 0; index < 8; ++index) {
        hosts.broke(index, 100);
    }
    CHECK_EQUAL(0U, hosts.holding());
}

/// A cut cable or a proxy breaks the connections to one endpoint, which lives, again and again.
TEST(Quarantine, connectionsThatBreakAtOneEndpointAreNoProof)
{
    for (int round = 0; round < 10; ++round) {
        hosts.broke(static_cast<std::size_t>(round) % 8, 100);
        hosts.now += 4000;
    }
    CHECK_EQUAL(0U, hosts.holding());
}

/// A neighbour of the guilty work that waited at the endpoints, or ran on there for long, is suspected by half.
TEST(Quarantine, whatWaitedAtThreeEndpointsThatEndedIsNotHeld)
{
    for (std::uint32_t endpoint = 100; endpoint < 105; ++endpoint) {
        hosts.broke(0, endpoint, false);
    }
    CHECK_EQUAL(0U, hosts.holding());
    hosts.broke(0, 105, false);
    CHECK_EQUAL(8U, hosts.holding());
}

/// A rack loses its power, and all its engines end at one moment under lookups that are all alike: nothing can have ended well
/// since.
TEST(Quarantine, workThatEndedWellShortlyBeforeEndpointsEndedTogetherIsCleared)
{
    hosts.completed(6);
    hosts.now += 5000;
    hosts.broke(0, 100);
    hosts.broke(1, 101);
    hosts.broke(2, 102);
    CHECK_EQUAL(0U, hosts.holding());
}

/// Lookups that are all alike come to each endpoint that ends for another reason; they end well elsewhere all the time.
TEST(Quarantine, workThatEndsWellSinceTheFirstEndingIsClearedByWhoeverSawIt)
{
    hosts.broke(0, 100);
    hosts.now += 100;
    hosts.completed(6);
    hosts.now += 100;
    hosts.broke(1, 101);
    hosts.broke(2, 102);
    CHECK_EQUAL(0U, hosts.holding());
    CHECK_EQUAL(1U, hosts.host(6).counters().cleared);
    CHECK_EQUAL(0U, hosts.host(6).takeHeld().size());
}

/// Engines may have changed since.
TEST(Quarantine, whatEndedWellLongBeforeTheFirstEndingIsHeld)
{
    hosts.completed(6);
    hosts.now += 61'000;
    threeEnd();
    CHECK_EQUAL(8U, hosts.holding());
}

TEST(Quarantine, workThatWasClearedMayBeHeldAgain)
{
    hosts.broke(0, 100);
    hosts.now += 100;
    hosts.completed(6);
    hosts.now += 100;
    hosts.broke(1, 101);
    hosts.broke(2, 102);
    hosts.now += 65'000;
    threeEnd();
    CHECK_EQUAL(8U, hosts.holding());
}

TEST(Quarantine, aHostThatStartsAnewLearnsWithinTheTimeThatAPlatformGives)
{
    threeEnd();
    hosts.restart("h4");
    CHECK_EQUAL(7U, hosts.holding());
    hosts.run(1000);
    CHECK_EQUAL(8U, hosts.holding());
    hosts.add("h8");
    hosts.run(1000);
    CHECK_EQUAL(9U, hosts.holding());
}

TEST(Quarantine, aHostThatWasCutOffLearnsWithinTheTimeThatAPlatformGives)
{
    hosts.cutOff = "h4";
    threeEnd();
    hosts.run(5000);
    CHECK_EQUAL(7U, hosts.holding());
    hosts.cutOff.clear();
    hosts.run(3000);
    CHECK_EQUAL(8U, hosts.holding());
}

TEST(Quarantine, aHostThatWasFrozenAsksWhatItMissed)
{
    hosts.run(5000);
    hosts.frozen = "h4";
    threeEnd();
    hosts.run(4000);
    hosts.frozen.clear();
    hosts.run(1000);
    CHECK_EQUAL(8U, hosts.holding());
}

/// The hosts that count are picked by the work; the loss of either loses no count.
TEST(Quarantine, theCountOutlivesTheLossOfOneOfTheHostsThatCount)
{
    for (std::size_t lost = 0; lost < 8; ++lost) {
        Hosts fleet(8);
        fleet.broke(0, 100);
        fleet.broke(1, 101);
        fleet.restart(fmt::format("h{}", lost));
        fleet.broke(2, 102);
        CHECK_EQUAL(8U, fleet.holding());
    }
}

TEST(Quarantine, heldWorkIsTriedAgainAndHeldAtTheNextEnding)
{
    threeEnd();
    hosts.now += 10 * 60 * 1000;
    hosts.run(100);
    CHECK_EQUAL(0U, hosts.holding());
    hosts.broke(3, 200);
    CHECK_EQUAL(8U, hosts.holding());
}

TEST(Quarantine, withoutALimitNothingIsHeld)
{
    Quarantine alone("h0", 1);
    Peer::Member member;
    member.name = "h0";
    alone.updateView(at(0), {member}, 0);
    for (std::uint32_t endpoint = 100; endpoint < 110; ++endpoint) {
        alone.runBroke(at(0), fatal, endpoint, true);
    }
    CHECK_FALSE(alone.holds(fatal));
}

/// Nothing is held in most fleets at most times: then hosts tell each other nothing.
TEST(Quarantine, whatIsNotNeededIsNotTold)
{
    hosts.run(4000);
    hosts.messages = 0;
    hosts.run(60'000);
    CHECK_EQUAL(0U, hosts.messages);
    threeEnd();
    hosts.messages = 0;
    hosts.run(60'000);
    // Two a second and host, and no answers: all know the same.
    CHECK_TRUE(hosts.messages <= std::size_t {8} * 120);
}

/// Many works that end endpoints, and ten thousand that are only near when one ends: what is kept is bounded, and so is what is
/// told.
TEST(Quarantine, whatIsKeptIsBounded)
{
    for (std::uint64_t work = 1; work <= 400; ++work) {
        threeEnd(work);
    }
    for (std::uint64_t work = 1000; work < 11'000; ++work) {
        hosts.broke(0, 100, false, work);
        hosts.completed(1, work);
    }
    CHECK_TRUE(hosts.host(3).view(at(hosts.now)).size() <= 256);
    hosts.messages = 0;
    hosts.run(10'000);
    // Those that were dropped here and there differ for a while.
    CHECK_TRUE(hosts.messages <= std::size_t {8} * 20 * 4);
}

/// Any mix of endings, good ends, cuts and restarts: five quiet seconds later all hosts hold the same, and nothing that ended
/// well at a living host since the first ending.
TEST(Quarantine, allHostsComeToHoldTheSame)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        Hosts fleet(5);
        for (int step = 0; step < 60; ++step) {
            const std::uint64_t work = 1 + random() % 4;
            const std::size_t host = random() % 5;
            switch (random() % 6) {
            case 0:
                fleet.completed(host, work);
                break;
            case 1:
                fleet.cutOff = random() % 2 == 0 ? "" : fmt::format("h{}", host);
                break;
            case 2:
                fleet.restart(fmt::format("h{}", host));
                break;
            default:
                fleet.broke(host, static_cast<std::uint32_t>(random() % 9), random() % 3 != 0, work);
            }
            fleet.run(static_cast<int>(random() % 10) * 50);
        }
        fleet.cutOff.clear();
        fleet.run(5000);
        for (std::uint64_t work = 1; work <= 4; ++work) {
            const std::size_t holding = fleet.holding(work);
            CHECK_TEXT(holding == 0 || holding == 5, fmt::format("seed {}, work {}", seed, work).c_str());
        }
        for (std::uint64_t work = 1; work <= 4; ++work) {
            fleet.completed(0, work);
            CHECK_EQUAL_TEXT(0U, fleet.holding(work), fmt::format("seed {}, work {}", seed, work).c_str());
        }
    }
}
