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

    std::set<std::string> selected(std::size_t count)
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

TEST(Duty, theRequestedNumberIsSelectedOrAllOfASmallFleet)
{
    CHECK_EQUAL(8U, selected(8).size());
    members.resize(6);
    CHECK_EQUAL(6U, selected(8).size());
}

TEST(Duty, aRemovedMemberIsReplacedByExactlyOneOther)
{
    const std::set<std::string> before = selected(8);
    std::erase_if(members, [&](const Member &member) { return member.name == *before.begin(); });
    const std::set<std::string> after = selected(8);
    CHECK_EQUAL(8U, after.size());
    CHECK_EQUAL(7, std::ranges::count_if(after, [&](const std::string &name) { return before.contains(name); }));
}

TEST(Duty, leavingMembersAreSelectedLast)
{
    const std::string first = *selected(1).begin();
    std::ranges::find(members, first, &Member::name)->state = MemberState::Leaving;
    CHECK_FALSE(selected(8).contains(first));
    CHECK_TRUE(selected(40).contains(first));
}

/// Responses of the store with a large configuration occupied the links of small hosts for most of a second.
TEST(Duty, hostsWithTheMostProcessorCapacityAreSelectedFirst)
{
    for (std::size_t index = 0; index < members.size(); ++index) {
        members[index].milliCores = index % 4 == 0 ? 500 : 120;
    }
    for (const std::string &name : selected(8)) {
        CHECK_EQUAL(500U, std::ranges::find(members, name, &Member::name)->milliCores);
    }
    CHECK_EQUAL(12U, selected(12).size());
}

TEST(Duty, aHostThatIsNotAMemberIsNotSelected)
{
    CHECK_FALSE(Membership::isSelected("other", "store", members, 8));
}
