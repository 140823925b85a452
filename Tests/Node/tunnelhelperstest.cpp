// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/tunnelhelpers.h"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Node;

TEST_GROUP(TunnelHelpers)
{
    std::vector<Peer::Member> members;

    void add(int count, const std::string &dataCentre)
    {
        for (int index = 0; index < count; ++index) {
            Peer::Member member;
            member.name = dataCentre + std::to_string(index);
            member.address
                = "10.0." + std::to_string(members.size() / 250) + "." + std::to_string(members.size() % 250) + ":7000";
            member.dataCentre = dataCentre;
            members.push_back(member);
        }
    }

    std::set<std::string> helpersOf(const std::string &name, const std::map<std::string, std::string> &regions = {})
    {
        std::set<std::string> found;
        for (const Relay::TunnelHelper &helper : chooseTunnelHelpers(members, regions, {name, 7001})) {
            found.insert(helper.address);
        }
        return found;
    }
};

TEST(TunnelHelpers, aHostIsNotItsOwnHelper)
{
    add(3, "a");
    const std::set<std::string> found = helpersOf("a0");
    CHECK_TRUE((found == std::set<std::string> {"10.0.0.1:7001", "10.0.0.2:7001"}));
}

/// Guards against hosts whose helpers all lose their paths with them.
TEST(TunnelHelpers, helpersAreInSeveralDataCentres)
{
    add(100, "a");
    add(100, "b");
    const std::set<std::string> found = helpersOf("a0");
    CHECK_EQUAL(4U, found.size());
    CHECK_EQUAL(2, std::ranges::count_if(members, [&](const Peer::Member &member) {
                    return member.dataCentre == "b"
                        && found.contains(member.address.substr(0, member.address.find(':')) + ":7001");
                }));
}

/// Guards against state that grows with the fleet, and against one helper for all hosts.
TEST(TunnelHelpers, inALargeFleetEachHostHasFewHelpersAndOthersThanItsNeighbours)
{
    for (const std::string dataCentre : {"a", "b", "c", "d", "e", "f", "g"}) { // NOLINT(performance-for-range-copy)
        add(140, dataCentre);
    }
    std::map<std::string, int> uses;
    for (const Peer::Member &member : members) {
        const std::set<std::string> found = helpersOf(member.name);
        CHECK_EQUAL(8U, found.size());
        for (const std::string &helper : found) {
            ++uses[helper];
        }
    }
    const auto most = std::ranges::max_element(uses, {}, [](const auto &entry) { return entry.second; });
    CHECK_TRUE(most->second < 40);
}

TEST(TunnelHelpers, eachRegionHasHelpers)
{
    add(5, "a");
    add(5, "b");
    add(5, "c");
    const std::map<std::string, std::string> regions {{"a", "north"}, {"b", "north"}, {"c", "south"}};
    const auto helpers = chooseTunnelHelpers(members, regions, {"a0", 7001});
    CHECK_EQUAL(4, std::ranges::count(helpers, "north", &Relay::TunnelHelper::region));
    CHECK_EQUAL(2, std::ranges::count(helpers, "south", &Relay::TunnelHelper::region));
}

TEST(TunnelHelpers, onlyHostsThatAreAliveHelp)
{
    add(4, "a");
    members[1].state = Peer::MemberState::Leaving;
    members[2].state = Peer::MemberState::Suspect;
    CHECK_TRUE((helpersOf("a0") == std::set<std::string> {"10.0.0.3:7001"}));
}
