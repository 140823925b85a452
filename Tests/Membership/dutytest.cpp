// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Membership/duty.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using Peer::Member;
using Peer::MemberState;

TEST_GROUP(Duty)
{
    std::vector<Member> members;

    void setup() override
    {
        for (int index = 0; index < 40; ++index) {
            members.push_back({fmt::format("h{}", index), 1, 1, MemberState::Alive, "", "", "", "", 0});
        }
    }

    std::set<std::string> picked(std::size_t count)
    {
        std::set<std::string> names;
        for (const Member &member : members) {
            if (Membership::isSelected(member.name, "store", members, count)) {
                names.insert(member.name);
            }
        }
        return names;
    }
};

TEST(Duty, asManyAsAskedForAreAndAllOfASmallFleet)
{
    CHECK_EQUAL(8U, picked(8).size());
    members.resize(6);
    CHECK_EQUAL(6U, picked(8).size());
}

TEST(Duty, oneThatGoesIsReplacedByOneOther)
{
    const std::set<std::string> before = picked(8);
    std::erase_if(members, [&](const Member &member) { return member.name == *before.begin(); });
    const std::set<std::string> after = picked(8);
    CHECK_EQUAL(8U, after.size());
    CHECK_EQUAL(7, std::ranges::count_if(after, [&](const std::string &name) { return before.contains(name); }));
}

TEST(Duty, leavingMembersArePickedLast)
{
    const std::string first = *picked(1).begin();
    std::ranges::find(members, first, &Member::name)->state = MemberState::Leaving;
    CHECK_FALSE(picked(8).contains(first));
    CHECK_TRUE(picked(40).contains(first));
}

/// What the store tells of a large configuration took the links of small hosts for most of a second.
TEST(Duty, hostsWithTheMostProcessorArePickedFirst)
{
    for (std::size_t index = 0; index < members.size(); ++index) {
        members[index].milliCores = index % 4 == 0 ? 500 : 120;
    }
    for (const std::string &name : picked(8)) {
        CHECK_EQUAL(500U, std::ranges::find(members, name, &Member::name)->milliCores);
    }
    CHECK_EQUAL(12U, picked(12).size());
}

TEST(Duty, oneThatIsNoMemberIsNotPicked)
{
    CHECK_FALSE(Membership::isSelected("other", "store", members, 8));
}
