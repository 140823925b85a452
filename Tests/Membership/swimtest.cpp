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

/// Hosts on a network that can be cut in one direction.
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

    /// Whether all hosts but those stopped see @p name in @p state.
    bool allSee(const std::string &name, MemberState state)
    {
        return std::ranges::all_of(hosts, [&](const auto &entry) {
            const auto member = entry.second->members().find(name);
            return entry.first == name || stopped.contains(entry.first)
                || (member != entry.second->members().end() && member->second.state == state);
        });
    }
};

TEST(Swim, hostsFindEachOtherFromOneSeed)
{
    for (const auto &[name, host] : hosts) {
        CHECK_EQUAL(8U, host->present().size());
    }
}

TEST(Swim, stoppedHostIsDeadEverywhereWithinThreeSeconds)
{
    stopped.insert("h3");
    advance(3);
    CHECK_TRUE(allSee("h3", MemberState::Dead));
}

TEST(Swim, pausedHostComesBackByItself)
{
    stopped.insert("h3");
    advance(4);
    stopped.clear();
    advance(4);
    CHECK_TRUE(allSee("h3", MemberState::Alive));
    CHECK_EQUAL(8U, hosts["h3"]->present().size());
}

TEST(Swim, oneCutLinkDoesNotKillAHost)
{
    cut.insert({"h1", "h2"});
    cut.insert({"h2", "h1"});
    advance(10);
    CHECK_TRUE(allSee("h2", MemberState::Alive));
}

TEST(Swim, hostThatCanOnlyReceiveIsFoundDead)
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

/// Its seed still has it as it was before, and no news to tell: nothing else would bring it the others for seconds. Until then it
/// can neither ask them for what changed nor answer those that ask it.
TEST(Swim, aHostThatStartsAnewLearnsOfAllTheOthersAtOnce)
{
    advance(10);
    add("h3", 2);
    advance(0.2);
    CHECK_EQUAL(8U, hosts["h3"]->present().size());
}

TEST(Swim, leavingIsKnownAtOnceAndIsNotSuspected)
{
    hosts["h6"]->leave();
    advance(0.1);
    CHECK_TRUE(allSee("h6", MemberState::Leaving));
}

TEST(Swim, partitionHealsToOneView)
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
    // The platform's list names the hosts of the other side again.
    for (auto &[name, host] : hosts) {
        host->addSeed("address-h0");
        host->addSeed("address-h7");
    }
    advance(6);
    for (const auto &[name, host] : hosts) {
        CHECK_EQUAL(8U, host->present().size());
    }
}

// Seen: after hosts had been cut off from the others for ten seconds, both sides went on as two fleets for good, each with hosts
// that follow the store and dispatchers of its own. Cause: each side believed the other dead, the dead were never asked again,
// and where no list of hosts names them nothing else would. Proof: a model of 60 hosts, 20 of them cut off for 10 s, held 20 and
// 40 for present 40 s later.
TEST(Swim, aPartitionHealsWhereNothingNamesTheOtherSideAgain)
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
