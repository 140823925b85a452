// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Peer/process.h"
#include "Peer/endedprocesses.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond::Peer;

TEST_GROUP(Process) {};

/// Guards against replies to a process that has ended which fit numbers of the next one, from hosts of a build that replies by
/// the host's name alone.
TEST(Process, numbersOfTwoProcessesOfAHostNeverMeet)
{
    // The next process starts a millisecond later, and the former one handed out as many numbers as it could in that time.
    constexpr std::uint64_t former = 0x1a2b3c4d5e6f7080;
    constexpr std::uint64_t next = former + (1000ULL << 12U);
    constexpr std::uint64_t requestsInAMillisecond = 100'000;
    ProcessNumbers formerNumbers(former);
    ProcessNumbers nextNumbers(next);
    std::uint64_t last = 0;
    for (std::uint64_t count = 0; count < requestsInAMillisecond; ++count) {
        last = formerNumbers.next();
    }
    CHECK_TRUE(last < nextNumbers.next());
}

TEST(Process, namesOfRequestsCountFromOne)
{
    const Process home {"h.1", 0xab};
    ProcessNumbers numbers(home.incarnation);
    const std::uint64_t number = numbers.next();
    STRCMP_EQUAL("h.1.ab.1", requestName(home, number).c_str());
    CHECK_TRUE(requestNumber(home, "h.1.ab.1") == number);
    CHECK_FALSE(requestNumber(home, "h.1.ac.1").has_value());
    CHECK_FALSE(requestNumber(home, "h.1.ab.x").has_value());
    CHECK_FALSE(requestNumber(home, "").has_value());
}

TEST(Process, aHomeOfAnEarlierBuildIsNamedByItsOwnNumbers)
{
    STRCMP_EQUAL("h1.ab.7", requestName({"h1", 0xab}, 7).c_str());
}

TEST_GROUP(EndedProcesses) {};

TEST(EndedProcesses, onlyTheProcessThatEndedIsContained)
{
    EndedProcesses ended;
    CHECK_TRUE(ended.add({"h1", 1}));
    CHECK_FALSE(ended.add({"h1", 1}));
    CHECK_TRUE(ended.contains({"h1", 1}));
    CHECK_FALSE(ended.contains({"h1", 2}));
    CHECK_FALSE(ended.contains({"h2", 1}));
}

TEST(EndedProcesses, theirNumberIsBounded)
{
    EndedProcesses ended;
    for (std::uint64_t incarnation = 1; incarnation <= EndedProcesses::maxKept + 1; ++incarnation) {
        ended.add({"h1", incarnation});
    }
    CHECK_EQUAL(EndedProcesses::maxKept, ended.size());
    CHECK_FALSE(ended.contains({"h1", 1}));
    CHECK_TRUE(ended.contains({"h1", EndedProcesses::maxKept + 1}));
}
