// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/crashattribution.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using Base::Instant;
using Request::CrashAttribution;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t maxCrashes = 3;
constexpr std::uint64_t first = 1; ///< the part that all prompts begin with
constexpr std::uint64_t second = 2; ///< a part of some prompts
constexpr std::uint64_t bad = 9;

Instant at(int ms)
{
    return Instant(seconds(1000)) + milliseconds(ms);
}

} // namespace

TEST_GROUP(CrashAttribution)
{
    CrashAttribution attribution;
    std::uint32_t endpoints = 0;
    std::uint64_t works = 1'000'000;

    /// A run of a request that is like no other.
    Peer::PromptRunBroke message(std::uint32_t endpoint, std::vector<std::uint64_t> parts,
                                 milliseconds sentBefore = milliseconds(50), bool began = true, bool pathInDoubt = false)
    {
        const std::uint64_t work = ++works;
        parts.push_back(work);
        return {1, endpoint, began, pathInDoubt, sentBefore, work, std::move(parts)};
    }

    /// An endpoint crashes under a run with @p parts that was sent @p sentBefore before.
    void crash(int ms, std::vector<std::uint64_t> parts, milliseconds sentBefore = milliseconds(50), bool began = true)
    {
        attribution.recordBroken(at(ms), "h1", message(++endpoints, std::move(parts), sentBefore, began));
    }

    /// Another run was at the endpoint that crashed last.
    void besides(int ms, std::vector<std::uint64_t> parts, bool began = true)
    {
        attribution.recordBroken(at(ms), "h2", message(endpoints, std::move(parts), milliseconds(50), began));
    }

    std::uint64_t blamed(const CrashAttribution::Parts &quarantinedParts = {}) const
    {
        const Request::QuarantinedIds quarantined {quarantinedParts, {}};
        const auto suspects = attribution.suspects(maxCrashes, quarantined);
        const auto blame = attribution.blame(maxCrashes, quarantined, {suspects.begin(), suspects.end()});
        return blame ? blame->part : 0;
    }
};

TEST(CrashAttribution, thePartThatAllCrashesHaveInCommonIsBlamed)
{
    crash(0, {first, bad});
    crash(300, {first, second, bad});
    CHECK_EQUAL(0U, blamed());
    crash(600, {first, bad});
    attribution.recordSound(first, at(200));
    CHECK_EQUAL(bad, blamed());
}

// Guards against blame for parts that only stand beside the one that crashes endpoints.
TEST(CrashAttribution, aPartIsClearedByARunThatWentOnSince)
{
    crash(0, {first, bad});
    crash(300, {first, bad});
    crash(600, {first, bad});
    attribution.recordSound(bad, at(400));
    attribution.recordSound(first, at(400));
    CHECK_EQUAL(0U, blamed());
    for (int ms = 900; ms < 3300; ms += 300) {
        CHECK_EQUAL(0U, blamed());
        crash(ms, {first, bad});
    }
    CHECK_EQUAL(bad, blamed());
}

// Guards against blame for a part that all prompts have, after all endpoints that could show it to be sound have crashed.
TEST(CrashAttribution, ofSeveralSuspectsTheOneThatWasSoundLeastRecentlyIsBlamed)
{
    attribution.recordSound(first, at(-100));
    for (int ms = 0; ms < 1500; ms += 300) {
        crash(ms, {first, bad});
    }
    CHECK_EQUAL(bad, blamed());
    CHECK_EQUAL(0U, blamed({bad}));
}

TEST(CrashAttribution, thePartThatAllPromptsBeginWithIsBlamedIfItCrashesAll)
{
    for (int ms = 0; ms < 1500; ms += 300) {
        crash(ms, {first});
    }
    CHECK_EQUAL(first, blamed());
}

TEST(CrashAttribution, twoPartsAreBlamedOneAfterTheOther)
{
    constexpr std::uint64_t other = 8;
    attribution.recordSound(first, at(-100));
    for (int ms = 0; ms < 1800; ms += 600) {
        crash(ms, {first, bad});
        crash(ms + 300, {first, other});
    }
    const std::uint64_t one = blamed();
    const std::uint64_t two = blamed({one});
    CHECK_TRUE((one == bad && two == other) || (one == other && two == bad));
    CHECK_EQUAL(0U, blamed({bad, other}));
}

// Guards against blame for the parts of one request that crashes endpoints again and again.
TEST(CrashAttribution, ofRequestsThatAreAllAlikeNoPartIsBlamed)
{
    constexpr std::uint64_t work = 77;
    for (std::uint32_t endpoint = 1; endpoint <= 5; ++endpoint) {
        attribution.recordBroken(at(static_cast<int>(endpoint) * 300), "h1",
                                 {1, endpoint, true, false, milliseconds(50), work, {first, second, work}});
    }
    const auto blame = attribution.blame(maxCrashes, {}, {first, second, work});
    CHECK_TRUE(blame && blame->work == work);
    CHECK_FALSE(attribution.blame(maxCrashes, {{}, {work}}, {first, second, work}).has_value());
}

// Guards against blame for parts of runs that ended with a rack or a power supply.
TEST(CrashAttribution, crashesAtOnceCountAsOne)
{
    for (int ms = 0; ms < 90; ms += 10) {
        crash(ms, {first, second});
    }
    CHECK_EQUAL(0U, blamed());
}

// Guards against blame for a sound part when the loss of many endpoints at once is noticed bit by bit.
TEST(CrashAttribution, runsSentBeforeTheFirstCrashDoNotCountAgainAgainstASoundPart)
{
    attribution.recordSound(first, at(-100));
    for (int ms = 0; ms < 3000; ms += 200) {
        crash(ms, {first}, milliseconds(ms + 50));
    }
    CHECK_EQUAL(0U, blamed());
}

// Guards against blame for a sound part when all endpoints are lost again and again before any run goes on.
TEST(CrashAttribution, whatWasSoundIsNotBlamedForCrashesOfManyEndpointsAtOnce)
{
    attribution.recordSound(first, at(-100));
    for (int ms = 0; ms < 9000; ms += 1500) {
        for (int endpoint = 0; endpoint < 9; ++endpoint) {
            crash(ms + endpoint, {first});
        }
    }
    CHECK_EQUAL(0U, blamed());
}

// Guards against sound parts that are blamed for crashes under a part that other hosts run and do not report.
TEST(CrashAttribution, aPartThatWasSoundIsBlamedForThreeTimesAsManyCrashes)
{
    attribution.recordSound(bad, at(-100));
    for (int ms = 0; ms < 2400; ms += 300) {
        crash(ms, {bad}, milliseconds(100));
    }
    CHECK_EQUAL(0U, blamed());
    crash(2400, {bad}, milliseconds(100));
    CHECK_EQUAL(bad, blamed());
}

TEST(CrashAttribution, crashesUnderAQuarantinedPartCountAgainstNoOther)
{
    for (int ms = 0; ms < 900; ms += 300) {
        crash(ms, {bad});
        besides(ms, {second});
    }
    CHECK_EQUAL(0U, blamed({bad}));
}

TEST(CrashAttribution, anEndpointThatKeepsItsNameCountsAgainOnceItIsBack)
{
    for (int ms = 0; ms < 6000; ms += 2000) {
        attribution.recordBroken(at(ms), "h1", message(1, {bad}));
    }
    CHECK_EQUAL(bad, blamed());
}

// Guards against blame for parts whose connections to one endpoint the network breaks again and again.
TEST(CrashAttribution, brokenConnectionsToOneEndpointCountOnce)
{
    for (int ms = 0; ms < 900; ms += 100) {
        attribution.recordBroken(at(ms), "h1", message(1, {bad}));
    }
    CHECK_EQUAL(0U, blamed());
}

// Guards against a part that is not found since its crashes are explained by another one that was to run there too.
TEST(CrashAttribution, aPartIsBlamedForExplainedCrashesOnceTwoAreNot)
{
    for (int ms = 0; ms < 900; ms += 300) {
        crash(ms, {second});
        besides(ms, {bad});
    }
    CHECK_EQUAL(0U, blamed({second}));
    crash(900, {bad});
    CHECK_EQUAL(0U, blamed({second}));
    crash(1200, {bad});
    CHECK_EQUAL(bad, blamed({second}));
}

// Guards against a part that is not asked about since so many others stand beside it.
TEST(CrashAttribution, thePartsAgainstWhichMostCountsAreSuspectedFirst)
{
    for (int ms = 0; ms < 3000; ms += 300) {
        std::vector<std::uint64_t> parts = {bad};
        for (std::uint64_t other = 0; other < 30; ++other) {
            parts.push_back(1000 + (static_cast<std::uint64_t>(ms / 300) * 20 + other) % 60);
        }
        crash(ms, parts);
    }
    const auto suspects = attribution.suspects(maxCrashes, {});
    CHECK_TRUE(suspects.size() > 32);
    CHECK_EQUAL(bad, suspects.front());
}

TEST(CrashAttribution, runsThatHadNotBegunCountHalf)
{
    for (int ms = 0; ms < 900; ms += 300) {
        crash(ms, {bad}, milliseconds(50), false);
    }
    CHECK_EQUAL(0U, blamed());
    for (int ms = 900; ms < 1800; ms += 300) {
        crash(ms, {bad}, milliseconds(50), false);
    }
    CHECK_EQUAL(bad, blamed());
}

// Guards against blame for the parts of a host that has lost its paths to the endpoints.
TEST(CrashAttribution, whatOneHostThatDoubtsItsPathsReportsDoesNotCount)
{
    for (std::uint32_t endpoint = 1; endpoint <= 5; ++endpoint) {
        attribution.recordBroken(at(static_cast<int>(endpoint) * 300), "h1",
                                 message(endpoint, {bad}, milliseconds(50), true, true));
    }
    CHECK_EQUAL(0U, blamed());
}

// Guards against crashes that are not counted since hosts take them for lost paths.
TEST(CrashAttribution, whatTwoHostsReportCountsThoughBothDoubtTheirPaths)
{
    for (std::uint32_t endpoint = 1; endpoint <= 3; ++endpoint) {
        const int ms = static_cast<int>(endpoint) * 300;
        attribution.recordBroken(at(ms), "h1", message(endpoint, {bad}, milliseconds(50), true, true));
        attribution.recordBroken(at(ms + 5), "h2", message(endpoint, {second}, milliseconds(50), true, true));
    }
    attribution.recordSound(second, at(1000));
    CHECK_EQUAL(bad, blamed());
}

TEST(CrashAttribution, whatIsRecordedIsBounded)
{
    for (int ms = 0; ms < 2000; ++ms) {
        crash(ms, std::vector<std::uint64_t>(600, static_cast<std::uint64_t>(ms)));
        attribution.recordSound(static_cast<std::uint64_t>(ms), at(ms));
    }
    CHECK_EQUAL(128U, attribution.crashes());
    attribution.removeExpired(at(0) + std::chrono::minutes(30));
    CHECK_TRUE(attribution.isEmpty());
}
