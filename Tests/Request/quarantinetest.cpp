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

constexpr std::uint64_t crashingWork = 77;
constexpr std::uint32_t crashLimit = 3;

Instant at(int ms)
{
    return Instant(std::chrono::seconds(1000)) + milliseconds(ms);
}

/// Hosts whose messages arrive at once, except for those that are cut off or frozen.
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
        updateViews();
    }

    void restart(const std::string &name)
    {
        m_hosts[name] = std::make_unique<Quarantine>(name, 99);
        m_hosts[name]->updateView(at(now), m_members, crashLimit);
    }

    void updateViews()
    {
        for (auto &[name, host] : m_hosts) {
            host->updateView(at(now), m_members, crashLimit);
        }
    }

    Quarantine &host(std::size_t index)
    {
        return *m_hosts.at(fmt::format("h{}", index));
    }

    void reportBroken(std::size_t index, std::uint32_t endpoint, bool justBegan = true, std::uint64_t work = crashingWork)
    {
        host(index).runBroke(at(now), work, endpoint, justBegan);
        deliver();
    }

    void reportCompleted(std::size_t index, std::uint64_t work = crashingWork)
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

    std::size_t countQuarantining(std::uint64_t work = crashingWork)
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_hosts, [&](const auto &entry) { return entry.second->isQuarantined(work); }));
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
                    if (name == cutOff || sent.member.name == cutOff || sent.member.name == frozen) {
                        continue;
                    }
                    const auto receiver = m_hosts.find(sent.member.name);
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

    /// Three endpoints crash under the work, each reported by another host.
    void threeCrashes(std::uint64_t work = crashingWork)
    {
        for (std::uint32_t index = 0; index < crashLimit; ++index) {
            hosts.reportBroken(index, 100 + index, true, work);
            hosts.now += 200;
        }
    }
};

TEST(Quarantine, theThirdCrashQuarantinesTheWorkAtEveryHost)
{
    hosts.reportBroken(0, 100);
    hosts.reportBroken(1, 101);
    CHECK_EQUAL(0U, hosts.countQuarantining());
    hosts.reportBroken(2, 102);
    CHECK_EQUAL(8U, hosts.countQuarantining());
    CHECK_EQUAL(1U, hosts.host(5).takeNewlyQuarantined().size());
    CHECK_EQUAL(0U, hosts.host(5).takeNewlyQuarantined().size());
}

TEST(Quarantine, oneCrashReportedByManyHostsCountsOnce)
{
    for (std::size_t index = 0; index < 8; ++index) {
        hosts.reportBroken(index, 100);
    }
    CHECK_EQUAL(0U, hosts.countQuarantining());
}

/// Guards against a quarantine because of a network fault, such as a cut cable or a proxy that breaks the connections to one
/// running endpoint again and again.
TEST(Quarantine, brokenConnectionsToOneEndpointCountOnce)
{
    for (int round = 0; round < 10; ++round) {
        hosts.reportBroken(static_cast<std::size_t>(round) % 8, 100);
        hosts.now += 4000;
    }
    CHECK_EQUAL(0U, hosts.countQuarantining());
}

/// Guards against the quarantine of work that was only waiting, or had run for long, at endpoints that other work crashed.
TEST(Quarantine, waitingRunsCountHalf)
{
    for (std::uint32_t endpoint = 100; endpoint < 105; ++endpoint) {
        hosts.reportBroken(0, endpoint, false);
    }
    CHECK_EQUAL(0U, hosts.countQuarantining());
    hosts.reportBroken(0, 105, false);
    CHECK_EQUAL(8U, hosts.countQuarantining());
}

/// Guards against the quarantine of identical lookups when a rack loses its power and all its engines crash at once, so that none
/// of the lookups can have completed since.
TEST(Quarantine, workThatCompletedShortlyBeforeTheFirstCrashIsNotQuarantined)
{
    hosts.reportCompleted(6);
    hosts.now += 5000;
    hosts.reportBroken(0, 100);
    hosts.reportBroken(1, 101);
    hosts.reportBroken(2, 102);
    CHECK_EQUAL(0U, hosts.countQuarantining());
}

/// Guards against the quarantine of identical lookups that run at every crashed endpoint and complete elsewhere all the time.
TEST(Quarantine, aHostThatSawTheWorkCompleteSinceTheFirstCrashClearsIt)
{
    hosts.reportBroken(0, 100);
    hosts.now += 100;
    hosts.reportCompleted(6);
    hosts.now += 100;
    hosts.reportBroken(1, 101);
    hosts.reportBroken(2, 102);
    CHECK_EQUAL(0U, hosts.countQuarantining());
    CHECK_EQUAL(1U, hosts.host(6).counters().cleared);
    CHECK_EQUAL(0U, hosts.host(6).takeNewlyQuarantined().size());
}

/// The engines may have changed since the completion.
TEST(Quarantine, completionLongBeforeTheFirstCrashDoesNotClearTheWork)
{
    hosts.reportCompleted(6);
    hosts.now += 61'000;
    threeCrashes();
    CHECK_EQUAL(8U, hosts.countQuarantining());
}

TEST(Quarantine, clearedWorkCanBeQuarantinedAgain)
{
    hosts.reportBroken(0, 100);
    hosts.now += 100;
    hosts.reportCompleted(6);
    hosts.now += 100;
    hosts.reportBroken(1, 101);
    hosts.reportBroken(2, 102);
    hosts.now += 65'000;
    threeCrashes();
    CHECK_EQUAL(8U, hosts.countQuarantining());
}

TEST(Quarantine, aRestartedHostCatchesUpWithinOneSecond)
{
    threeCrashes();
    hosts.restart("h4");
    CHECK_EQUAL(7U, hosts.countQuarantining());
    hosts.run(1000);
    CHECK_EQUAL(8U, hosts.countQuarantining());
    hosts.add("h8");
    hosts.run(1000);
    CHECK_EQUAL(9U, hosts.countQuarantining());
}

TEST(Quarantine, aHostThatWasCutOffCatchesUpWithinThreeSeconds)
{
    hosts.cutOff = "h4";
    threeCrashes();
    hosts.run(5000);
    CHECK_EQUAL(7U, hosts.countQuarantining());
    hosts.cutOff.clear();
    hosts.run(3000);
    CHECK_EQUAL(8U, hosts.countQuarantining());
}

TEST(Quarantine, aFrozenHostCatchesUpWithinOneSecond)
{
    hosts.run(5000);
    hosts.frozen = "h4";
    threeCrashes();
    hosts.run(4000);
    hosts.frozen.clear();
    hosts.run(1000);
    CHECK_EQUAL(8U, hosts.countQuarantining());
}

/// The work determines which two hosts count its crashes; the count survives the loss of either.
TEST(Quarantine, theCountSurvivesTheRestartOfAnyHost)
{
    for (std::size_t lost = 0; lost < 8; ++lost) {
        Hosts fleet(8);
        fleet.reportBroken(0, 100);
        fleet.reportBroken(1, 101);
        fleet.restart(fmt::format("h{}", lost));
        fleet.reportBroken(2, 102);
        CHECK_EQUAL(8U, fleet.countQuarantining());
    }
}

TEST(Quarantine, quarantineExpiresAndTheNextCrashRenewsIt)
{
    threeCrashes();
    hosts.now += 10 * 60 * 1000;
    hosts.run(100);
    CHECK_EQUAL(0U, hosts.countQuarantining());
    hosts.reportBroken(3, 200);
    CHECK_EQUAL(8U, hosts.countQuarantining());
}

TEST(Quarantine, zeroCrashLimitDisablesTheQuarantine)
{
    Quarantine alone("h0", 1);
    Peer::Member member;
    member.name = "h0";
    alone.updateView(at(0), {member}, 0);
    for (std::uint32_t endpoint = 100; endpoint < 110; ++endpoint) {
        alone.runBroke(at(0), crashingWork, endpoint, true);
    }
    CHECK_FALSE(alone.isQuarantined(crashingWork));
}

/// Most fleets have nothing in quarantine; their hosts then send no messages.
TEST(Quarantine, noMessagesAreSentWithoutEntries)
{
    hosts.run(4000);
    hosts.messages = 0;
    hosts.run(60'000);
    CHECK_EQUAL(0U, hosts.messages);
    threeCrashes();
    hosts.messages = 0;
    hosts.run(60'000);
    // Two digests per second and host, and no replies, since all hosts have the same entries.
    CHECK_TRUE(hosts.messages <= std::size_t {8} * 120);
}

/// Many works that crash endpoints, and ten thousand that run beside a crash: both the stored entries and the messages are
/// limited.
TEST(Quarantine, entriesAndMessagesAreLimited)
{
    for (std::uint64_t work = 1; work <= 400; ++work) {
        threeCrashes(work);
    }
    for (std::uint64_t work = 1000; work < 11'000; ++work) {
        hosts.reportBroken(0, 100, false, work);
        hosts.reportCompleted(1, work);
    }
    CHECK_TRUE(hosts.host(3).view(at(hosts.now)).size() <= 256);
    hosts.messages = 0;
    hosts.run(10'000);
    // Hosts drop different entries, so that their digests differ for a while.
    CHECK_TRUE(hosts.messages <= std::size_t {8} * 20 * 4);
}

/// After any mix of crashes, completions, cuts and restarts, all hosts quarantine the same work five seconds after the last
/// fault. A completion then clears the work at all hosts.
TEST(Quarantine, allHostsConverge)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        Hosts fleet(5);
        for (int step = 0; step < 60; ++step) {
            const std::uint64_t work = 1 + random() % 4;
            const std::size_t host = random() % 5;
            switch (random() % 6) {
            case 0:
                fleet.reportCompleted(host, work);
                break;
            case 1:
                fleet.cutOff = random() % 2 == 0 ? "" : fmt::format("h{}", host);
                break;
            case 2:
                fleet.restart(fmt::format("h{}", host));
                break;
            default:
                fleet.reportBroken(host, static_cast<std::uint32_t>(random() % 9), random() % 3 != 0, work);
            }
            fleet.run(static_cast<int>(random() % 10) * 50);
        }
        fleet.cutOff.clear();
        fleet.run(5000);
        for (std::uint64_t work = 1; work <= 4; ++work) {
            const std::size_t quarantining = fleet.countQuarantining(work);
            CHECK_TEXT(quarantining == 0 || quarantining == 5, fmt::format("seed {}, work {}", seed, work).c_str());
        }
        for (std::uint64_t work = 1; work <= 4; ++work) {
            fleet.reportCompleted(0, work);
            CHECK_EQUAL_TEXT(0U, fleet.countQuarantining(work), fmt::format("seed {}, work {}", seed, work).c_str());
        }
    }
}
