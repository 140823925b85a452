// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Membership/swim.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>

using namespace Yokepond;
using Membership::Swim;
using Peer::MemberState;
using Tests::at;

namespace {

constexpr std::size_t hostCount = 120;
constexpr std::size_t seedCount = 3;
constexpr double latency = 0.002;
constexpr double tickPeriod = 0.01;

struct Envelope
{
    double due = 0;
    std::size_t from = 0;
    std::size_t to = 0;
    Peer::Message message;
};

} // namespace

/// Many hosts that find each other through three of them.
TEST_GROUP(SwimFleet)
{
    std::vector<std::unique_ptr<Swim>> hosts {hostCount}; ///< null: without power
    std::deque<Envelope> network;
    std::size_t recordsSent = 0; ///< states of members in all messages
    std::uint64_t incarnation = 0;
    double now = 0;

    static std::string nameOf(std::size_t host)
    {
        return fmt::format("h{}", host);
    }

    void start(std::size_t host)
    {
        const Peer::Member self {nameOf(host), ++incarnation, 1, MemberState::Alive, fmt::format("{}", host), "d", "", ""};
        hosts[host] = std::make_unique<Swim>(self, Membership::SwimOptions {}, incarnation);
        for (std::size_t seed = 0; seed < seedCount; ++seed) {
            hosts[host]->addSeed(fmt::format("{}", seed));
        }
    }

    void collect(std::size_t from)
    {
        for (Membership::Outgoing &outgoing : hosts[from]->takeOutgoing()) {
            recordsSent += std::visit(
                [](const auto &message) {
                    if constexpr (requires { message.members; }) {
                        return message.members.size();
                    }
                    return std::size_t {0};
                },
                outgoing.message);
            network.push_back({now + latency, from, std::stoul(outgoing.address), std::move(outgoing.message)});
        }
    }

    void deliver(const Envelope &envelope)
    {
        if (hosts[envelope.to] == nullptr) {
            return;
        }
        if (const auto *probe = std::get_if<Peer::Probe>(&envelope.message)) {
            hosts[envelope.to]->receive(at(now), nameOf(envelope.from), *probe);
        } else if (const auto *acknowledgement = std::get_if<Peer::Acknowledgement>(&envelope.message)) {
            hosts[envelope.to]->receive(at(now), nameOf(envelope.from), *acknowledgement);
        }
        collect(envelope.to);
    }

    void advance(double seconds)
    {
        for (const double end = now + seconds; now < end; now += tickPeriod) {
            while (!network.empty() && network.front().due <= now) {
                const Envelope envelope = std::move(network.front());
                network.pop_front();
                deliver(envelope);
            }
            for (std::size_t host = 0; host < hostCount; ++host) {
                if (hosts[host] != nullptr) {
                    hosts[host]->tick(at(now));
                    collect(host);
                }
            }
        }
    }

    /// Starts all hosts within 0.3 s.
    void startAll()
    {
        for (std::size_t host = 0; host < hostCount; ++host) {
            start(host);
            advance(host % 4 == 0 ? tickPeriod : 0);
        }
    }

    /// Returns how many hosts know all hosts as alive.
    std::size_t hostsThatKnowAll() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(hosts, [](const std::unique_ptr<Swim> &host) {
            return std::ranges::count(host->members(), MemberState::Alive, [](const auto &entry) { return entry.second.state; })
                == hostCount;
        }));
    }
};

// Guards against hosts of a large fleet that do not know each other when requests arrive, because each message carries few
// updates and members that do not know the probing host cannot reply, so that it suspects them.
TEST(SwimFleet, hostsThatStartTogetherSoonKnowAll)
{
    startAll();
    advance(8);
    CHECK_EQUAL(hostCount, hostsThatKnowAll());
    CHECK_TRUE(recordsSent <= 6 * hostCount * hostCount);
}

// Guards against news of many restarts that take minutes to reach all hosts.
TEST(SwimFleet, halfOfTheHostsReturnAfterALossOfPower)
{
    startAll();
    advance(12);
    recordsSent = 0;
    for (std::size_t host = 0; host < hostCount; host += 2) {
        hosts[host] = nullptr;
    }
    advance(2);
    for (std::size_t host = 0; host < hostCount; host += 2) {
        start(host);
    }
    advance(14);
    CHECK_EQUAL(hostCount, hostsThatKnowAll());
    CHECK_TRUE(recordsSent <= 8 * hostCount * hostCount);
}

// Guards against a fleet that goes on sending each other what all know.
TEST(SwimFleet, onceAllTablesAreEqualNoMoreUpdatesAreSent)
{
    startAll();
    advance(15);
    recordsSent = 0;
    constexpr std::size_t probesOfAHost = 5 * 5 / 2 + 1;
    advance(5);
    // A probe carries this host's own state until the probed member is known to have it.
    CHECK_TRUE(recordsSent <= probesOfAHost * hostCount);
}
