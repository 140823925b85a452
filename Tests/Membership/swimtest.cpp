// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Membership/swim.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <memory>
#include <set>

using namespace Yokepond;
using Membership::Swim;
using Peer::MemberState;
using Tests::at;

/// Hosts on a network in which each direction of a link can be cut.
TEST_GROUP(Swim)
{
    std::map<std::string, std::unique_ptr<Swim>> hosts;
    std::map<std::string, std::string> byAddress;
    std::set<std::pair<std::string, std::string>> cut;
    std::set<std::string> stopped;
    double now = 0;

    void add(const std::string &name, std::uint64_t incarnation = 1)
    {
        const Peer::Member self {name, incarnation, 1, MemberState::Alive, "address-" + name, "d", "", ""};
        hosts[name] = std::make_unique<Swim>(self, Membership::SwimOptions {}, incarnation + hosts.size());
        byAddress["address-" + name] = name;
        hosts[name]->addSeed("address-h0");
    }

    void setup() override
    {
        for (int index = 0; index < 8; ++index) {
            add(fmt::format("h{}", index));
        }
        advance(4);
    }

    void deliver(const std::string &from, const Membership::Outgoing &outgoing)
    {
        const std::string to = byAddress.at(outgoing.address);
        if (cut.contains({from, to}) || stopped.contains(to) || !hosts.contains(to)) {
            return;
        }
        if (const auto *probe = std::get_if<Peer::Probe>(&outgoing.message)) {
            hosts[to]->receive(at(now), from, *probe);
        } else if (const auto *acknowledgement = std::get_if<Peer::Acknowledgement>(&outgoing.message)) {
            hosts[to]->receive(at(now), from, *acknowledgement);
        }
    }

    void advance(double seconds)
    {
        for (const double end = now + seconds; now < end; now += 0.02) {
            for (auto &[name, host] : hosts) {
                if (!stopped.contains(name)) {
                    host->tick(at(now));
                }
            }
            for (bool more = true; more;) {
                more = false;
                for (auto &[name, host] : hosts) {
                    for (const auto &outgoing : host->takeOutgoing()) {
                        more = true;
                        deliver(name, outgoing);
                    }
                }
            }
        }
    }

    /// Returns whether all hosts that are not stopped see @p name in @p state.
    bool allSee(const std::string &name, MemberState state)
    {
        return std::ranges::all_of(hosts, [&](const auto &entry) {
            const auto member = entry.second->members().find(name);
            return entry.first == name || stopped.contains(entry.first)
                || (member != entry.second->members().end() && member->second.state == state);
        });
    }
};

TEST(Swim, allHostsJoinThroughOneSeed)
{
    for (const auto &[name, host] : hosts) {
        CHECK_EQUAL(8U, host->present().size());
    }
}

TEST(Swim, stoppedHostIsMarkedDeadEverywhereWithinThreeSeconds)
{
    stopped.insert("h3");
    advance(3);
    CHECK_TRUE(allSee("h3", MemberState::Dead));
}

TEST(Swim, pausedHostRejoinsWithoutHelp)
{
    stopped.insert("h3");
    advance(4);
    stopped.clear();
    advance(4);
    CHECK_TRUE(allSee("h3", MemberState::Alive));
    CHECK_EQUAL(8U, hosts["h3"]->present().size());
}

TEST(Swim, oneCutLinkDoesNotMarkAHostDead)
{
    cut.insert({"h1", "h2"});
    cut.insert({"h2", "h1"});
    advance(10);
    CHECK_TRUE(allSee("h2", MemberState::Alive));
}

TEST(Swim, hostThatCanOnlyReceiveIsMarkedDead)
{
    for (const auto &[name, host] : hosts) {
        cut.insert({"h4", name});
    }
    stopped.insert("h4");
    advance(3);
    CHECK_TRUE(allSee("h4", MemberState::Dead));
}

TEST(Swim, restartUnderTheSameNameReplacesTheOldIncarnation)
{
    add("h5", 2);
    advance(3);
    for (const auto &[name, host] : hosts) {
        CHECK_EQUAL(2U, host->members().at("h5").incarnation);
    }
}

/// The seed still has the restarted host's earlier incarnation and no updates left to disseminate. If the seed did not send its
/// full member table at once, the restarted host would not know the other hosts for seconds, and could neither request changes
/// from them nor reply to their requests.
TEST(Swim, aRestartedHostGetsTheFullMemberTableAtOnce)
{
    advance(10);
    add("h3", 2);
    advance(0.2);
    CHECK_EQUAL(8U, hosts["h3"]->present().size());
}

TEST(Swim, leavingIsAnnouncedAtOnceWithoutSuspicion)
{
    hosts["h6"]->leave();
    advance(0.1);
    CHECK_TRUE(allSee("h6", MemberState::Leaving));
}

TEST(Swim, aPartitionHealsWhenSeedsNameTheOtherSide)
{
    for (int left = 0; left < 4; ++left) {
        for (int right = 4; right < 8; ++right) {
            cut.insert({fmt::format("h{}", left), fmt::format("h{}", right)});
            cut.insert({fmt::format("h{}", right), fmt::format("h{}", left)});
        }
    }
    advance(8);
    CHECK_EQUAL(4U, hosts["h0"]->present().size());
    cut.clear();
    // The platform's host list names the other side again.
    for (auto &[name, host] : hosts) {
        host->addSeed("address-h0");
        host->addSeed("address-h7");
    }
    advance(6);
    for (const auto &[name, host] : hosts) {
        CHECK_EQUAL(8U, host->present().size());
    }
}

/// After a partition of ten seconds, both sides remained separate fleets, each with its own followers of the store and its own
/// dispatchers. Each side considered the other dead, dead members were never probed again, and no host list named the other side.
/// In a model of 60 hosts, 20 of which were cut off for 10 s, the two sides still saw 20 and 40 members 40 s later.
TEST(Swim, aPartitionHealsWithoutSeedsThatNameTheOtherSide)
{
    for (int left = 0; left < 4; ++left) {
        for (int right = 4; right < 8; ++right) {
            cut.insert({fmt::format("h{}", left), fmt::format("h{}", right)});
            cut.insert({fmt::format("h{}", right), fmt::format("h{}", left)});
        }
    }
    advance(8);
    CHECK_EQUAL(4U, hosts["h0"]->present().size());
    cut.clear();
    advance(6);
    for (const auto &[name, host] : hosts) {
        CHECK_EQUAL(8U, host->present().size());
    }
}
