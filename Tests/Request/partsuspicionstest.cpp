// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/crashprotection.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>

using namespace Yokepond;
using Base::Instant;
using Request::CrashProtection;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t pool = 7;
constexpr std::uint64_t first = 1;
constexpr std::uint64_t bad = 9;

Instant at(int ms)
{
    return Instant(std::chrono::seconds(1000)) + milliseconds(ms);
}

/// Hosts whose messages arrive at once, except for those that are cut off.
class ProtectedHosts
{
public:
    explicit ProtectedHosts(std::size_t count)
    {
        policies.quarantineParts = true;
        for (std::size_t index = 0; index < count; ++index) {
            Peer::Member member;
            member.name = fmt::format("h{}", index);
            m_members.push_back(member);
            m_hosts.emplace(member.name, std::make_unique<CrashProtection>(member.name, index));
        }
        updateViews();
    }

    void updateViews()
    {
        for (auto &[name, host] : m_hosts) {
            host->updateView(at(now), m_members, policies);
        }
    }

    CrashProtection &host(std::size_t index)
    {
        return *m_hosts.at(fmt::format("h{}", index));
    }

    void restart(std::size_t index)
    {
        m_hosts[fmt::format("h{}", index)] = std::make_unique<CrashProtection>(fmt::format("h{}", index), 99);
        updateViews();
    }

    Request::NewRequest request(std::vector<std::uint64_t> parts)
    {
        Request::NewRequest made;
        made.id = ++m_requests;
        made.work = 1'000'000 + m_requests;
        made.parts = std::move(parts);
        made.streams = true;
        return made;
    }

    /// Another endpoint crashes when it begins a response to a prompt with @p parts.
    void crash(std::size_t index, std::vector<std::uint64_t> parts, bool pathInDoubt = false)
    {
        ++endpoints;
        breakRun(index, std::move(parts), pathInDoubt);
    }

    /// A run at the endpoint that crashed last breaks off.
    void breakRun(std::size_t index, std::vector<std::uint64_t> parts, bool pathInDoubt = false)
    {
        host(index).runBroke(at(now), request(std::move(parts)),
                             {pool, endpoints, at(now) - milliseconds(50), {}, true, true, pathInDoubt, 0});
        deliver();
    }

    void goesOn(std::size_t index, std::vector<std::uint64_t> parts)
    {
        host(index).runWentOn(at(now), request(std::move(parts)), pool, at(now));
        deliver();
    }

    void run(int ms)
    {
        for (const int end = now + ms; now < end; now += 50) {
            for (auto &[name, host] : m_hosts) {
                host->tick(at(now));
            }
            deliver();
        }
    }

    std::size_t countRefusing(std::vector<std::uint64_t> parts)
    {
        const Request::NewRequest made = request(std::move(parts));
        return static_cast<std::size_t>(
            std::ranges::count_if(m_hosts, [&](const auto &entry) { return entry.second->match(made, pool).has_value(); }));
    }

    int now = 0;
    std::uint32_t endpoints = 0;
    std::string cutOff;
    std::size_t messages = 0;
    Configuration::Policies policies;

private:
    void deliver()
    {
        for (bool more = true; more;) {
            more = false;
            for (auto &[name, host] : m_hosts) {
                host->takeQuarantined(at(now));
                for (const Request::SendToMember &sent : host->takeMessages()) {
                    ++messages;
                    more = true;
                    if (name != cutOff && sent.member.name != cutOff) {
                        receive(*m_hosts.at(sent.member.name), name, sent.message);
                    }
                }
            }
        }
    }

    void receive(CrashProtection &receiver, const std::string &from, const Peer::Message &message) const
    {
        std::visit(
            [&](const auto &content) {
                if constexpr (requires { receiver.receive(at(now), from, content); }) {
                    receiver.receive(at(now), from, content);
                }
            },
            message);
    }

    std::vector<Peer::Member> m_members;
    std::map<std::string, std::unique_ptr<CrashProtection>> m_hosts;
    std::uint64_t m_requests = 0;
};

} // namespace

TEST_GROUP(PartSuspicions)
{
    ProtectedHosts hosts {8};

    /// Endpoints crash under the bad part, each reported by another host, while sound runs go on.
    void crashes(int count)
    {
        for (int index = 0; index < count; ++index) {
            hosts.crash(static_cast<std::size_t>(index) % 8, {first, bad});
            hosts.goesOn(static_cast<std::size_t>(index + 3) % 8, {first});
            hosts.run(200);
        }
    }
};

TEST(PartSuspicions, thePartUnderTheCrashesIsQuarantinedAtEveryHost)
{
    crashes(2);
    hosts.run(1000);
    CHECK_EQUAL(0U, hosts.countRefusing({first, bad}));
    crashes(1);
    hosts.run(300);
    CHECK_EQUAL(8U, hosts.countRefusing({first, bad}));
    CHECK_EQUAL(8U, hosts.countRefusing({bad}));
    CHECK_EQUAL(0U, hosts.countRefusing({first}));
}

// Guards against sound prompts that are refused after the crashes of endpoints that run them for another reason.
TEST(PartSuspicions, aPartOfWhichAnyHostKnowsASoundRunIsNotQuarantined)
{
    for (std::size_t index = 0; index < 6; ++index) {
        hosts.crash(index, {first});
        hosts.run(200);
        hosts.goesOn(7, {first});
    }
    hosts.run(1000);
    CHECK_EQUAL(0U, hosts.countRefusing({first}));
}

TEST(PartSuspicions, aHostThatLearnsLateOfASoundRunClearsThePart)
{
    hosts.cutOff = "h7";
    for (std::size_t index = 0; index < 3; ++index) {
        hosts.crash(index, {first});
        hosts.run(200);
    }
    hosts.goesOn(7, {first});
    hosts.run(500);
    CHECK_EQUAL(7U, hosts.countRefusing({first}));
    hosts.cutOff.clear();
    hosts.run(5000);
    CHECK_EQUAL(0U, hosts.countRefusing({first}));
}

TEST(PartSuspicions, aHostThatStartsAnewLearnsOfThePart)
{
    crashes(3);
    hosts.run(500);
    hosts.restart(5);
    CHECK_EQUAL(7U, hosts.countRefusing({bad}));
    hosts.run(3000);
    CHECK_EQUAL(8U, hosts.countRefusing({bad}));
}

TEST(PartSuspicions, theLossOfACountingHostLosesNoCount)
{
    for (std::size_t lost = 0; lost < 8; ++lost) {
        ProtectedHosts fleet(8);
        for (int index = 0; index < 3; ++index) {
            fleet.crash((lost + 1 + static_cast<std::size_t>(index)) % 8, {bad});
            fleet.run(200);
            fleet.cutOff = fmt::format("h{}", lost);
        }
        fleet.run(500);
        CHECK_EQUAL(7U, fleet.countRefusing({bad}));
    }
}

TEST(PartSuspicions, anOperatorReleasesThePartByItsName)
{
    crashes(3);
    hosts.run(500);
    CHECK_FALSE(hosts.host(2).release(at(hosts.now), 4711));
    CHECK_TRUE(hosts.host(2).release(at(hosts.now), bad));
    hosts.run(500);
    CHECK_EQUAL(0U, hosts.countRefusing({bad}));
    crashes(2);
    hosts.run(500);
    CHECK_EQUAL(0U, hosts.countRefusing({bad}));
    crashes(1);
    hosts.run(500);
    CHECK_EQUAL(8U, hosts.countRefusing({bad}));
}

TEST(PartSuspicions, crashesThatHostsTakeForLostPathsCount)
{
    for (std::size_t index = 0; index < 3; ++index) {
        hosts.crash(index, {bad}, true);
        hosts.breakRun(index + 1, {first, 5}, true);
        hosts.goesOn(7, {first, 5});
        hosts.run(200);
    }
    hosts.run(500);
    CHECK_EQUAL(8U, hosts.countRefusing({bad}));
    CHECK_EQUAL(0U, hosts.countRefusing({first, 5}));
}

// Guards against a part that is cleared by a stream without an end of its own that a crash cut between two events.
TEST(PartSuspicions, aShortStreamThatEndsWithItsConnectionClearsNothing)
{
    for (std::size_t index = 0; index < 3; ++index) {
        hosts.crash(index, {bad});
        hosts.host(index).runCompleted(at(hosts.now), hosts.request({bad}), {pool, at(hosts.now), 2, true});
        hosts.run(200);
    }
    hosts.run(500);
    CHECK_EQUAL(8U, hosts.countRefusing({bad}));
}

TEST(PartSuspicions, withoutTheSettingNoPartIsQuarantined)
{
    hosts.policies.quarantineParts = false;
    hosts.updateViews();
    crashes(6);
    hosts.run(1000);
    CHECK_EQUAL(0U, hosts.countRefusing({first, bad}));
}

/// What the search costs while nothing crashes: no message, however many runs go on.
TEST(PartSuspicions, soundRunsCostNoMessages)
{
    for (int index = 0; index < 1000; ++index) {
        hosts.goesOn(static_cast<std::size_t>(index) % 8, {first, static_cast<std::uint64_t>(index) + 100});
    }
    hosts.run(4000); // Hosts that have just started ask for the quarantine.
    hosts.messages = 0;
    hosts.run(10'000);
    CHECK_EQUAL(0U, hosts.messages);
}
