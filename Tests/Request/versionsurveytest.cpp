// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/versionsurvey.h"
#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

using namespace Yokepond;
using namespace Yokepond::Request;
using Tests::at;

/// A host that asks the others whether pool 7 has had version 12 only, for ten seconds.
TEST_GROUP(VersionSurvey)
{
    VersionSurvey survey {"h0"};
    static constexpr Base::Duration period = std::chrono::seconds(10);
    static constexpr Peer::OnlyVersion same {12, period};

    /// Sets that this host and h1 to @p others are members.
    void members(double now, std::size_t others, Peer::MemberState state = Peer::MemberState::Alive)
    {
        std::vector<Peer::Member> members;
        for (std::size_t index = 0; index <= others; ++index) {
            members.push_back({fmt::format("h{}", index), 1, 1, state, "", "", "", ""});
        }
        survey.updateView(at(now), members);
    }

    /// Returns the number of hosts that are asked. The first @p replies of them reply that they have seen @p seen.
    std::size_t ask(double now, std::size_t replies, std::optional<Peer::OnlyVersion> seen = same)
    {
        survey.begin(at(now), 1, 7, 12, period);
        const auto messages = survey.takeMessages();
        for (const SendToMember &sent : messages) {
            if (replies > 0) {
                --replies;
                const auto query = std::get<Peer::StreamOriginQuery>(sent.message);
                survey.receive(at(now), sent.member.name, Peer::StreamOriginReply {query.stream, std::nullopt, seen});
            }
        }
        return messages.size();
    }

    bool agreed(double now)
    {
        survey.tick(at(now));
        const auto results = survey.takeResults();
        CHECK_EQUAL(1U, results.size());
        return results.front().agreed;
    }
};

// Guards against a survey that takes the hosts of one side of a cut for the fleet.
TEST(VersionSurvey, halfOfTheHostsAreNotEnough)
{
    members(0, 5);
    CHECK_EQUAL(5U, ask(1, 2));
    CHECK_FALSE(agreed(1.2));
    ask(2, 3);
    CHECK_TRUE(agreed(2.2));
}

// Guards against a host that forgets those that it is cut off from and then counts as many of few.
TEST(VersionSurvey, hostsThatWereHereLatelyCount)
{
    members(0, 5);
    members(1, 1);
    CHECK_EQUAL(5U, ask(2, 1));
    CHECK_FALSE(agreed(2.2));
    members(3, 5, Peer::MemberState::Leaving);
    members(4, 1);
    CHECK_EQUAL(1U, ask(5, 1));
    CHECK_TRUE(agreed(5));
}

// Guards against hosts that are forgotten as soon as they are cut off, since nothing had changed for long before.
TEST(VersionSurvey, hostsCountFromWhenTheyWereLost)
{
    members(0, 5);
    members(7200, 1);
    CHECK_EQUAL(5U, ask(7201, 1));
    CHECK_FALSE(agreed(7201.2));
    members(7200 + 3600, 1);
    CHECK_EQUAL(1U, ask(7200 + 3601, 1));
    CHECK_TRUE(agreed(7200 + 3601));
}

// Guards against the majority of hosts that have not heard of a version yet, where one has.
TEST(VersionSurvey, oneThatContradictsIsEnough)
{
    members(0, 5);
    survey.begin(at(1), 1, 7, 12, period);
    for (const char *name : {"h1", "h2", "h3", "h4"}) {
        survey.receive(at(1), name, Peer::StreamOriginReply {poolIdentity(7), std::nullopt, same});
    }
    survey.tick(at(1.1));
    CHECK_TRUE(survey.takeResults().empty());
    survey.receive(at(1.1), "h5", Peer::StreamOriginReply {poolIdentity(7), std::nullopt, Peer::OnlyVersion {0, period}});
    CHECK_FALSE(agreed(1.1));
}

// Guards against hosts of older releases, and those that have just started, which are taken for agreeing.
TEST(VersionSurvey, hostsThatCannotTellDoNotCount)
{
    members(0, 3);
    ask(1, 3, std::nullopt);
    CHECK_FALSE(agreed(1));
    ask(2, 3, Peer::OnlyVersion {12, std::chrono::seconds(9)});
    CHECK_FALSE(agreed(2));
}

// Guards against a cost that grows with the number of hosts, and against a host without others that waits for them.
TEST(VersionSurvey, aFewHostsAreAsked)
{
    ask(0, 0);
    CHECK_TRUE(agreed(0));
    members(1, 900);
    CHECK_EQUAL(16U, ask(2, 9));
    CHECK_TRUE(agreed(2.2));
    ask(3, 7);
    CHECK_FALSE(agreed(3.2));
}
