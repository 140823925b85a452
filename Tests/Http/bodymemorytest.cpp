// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Http/bodymemory.h"

#include <cstdint>
#include <numeric>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using Http::BodyMemory;

namespace {

constexpr std::size_t bound = 16'000'000;
constexpr std::size_t large = 4'000'000;
constexpr auto receive = std::chrono::seconds(10);

} // namespace

TEST_GROUP(BodyMemory)
{
    BodyMemory memory {{bound, receive}};
    Base::Instant now = Base::now();

    /// Returns how many of @p count bodies of @p bytes, numbered from @p first, get room.
    int admitted(std::uint64_t first, int count, std::size_t bytes)
    {
        int number = 0;
        for (std::uint64_t body = first; body < first + static_cast<std::uint64_t>(count); ++body) {
            number += memory.grow(body, bytes, now) ? 1 : 0;
        }
        return number;
    }
};

/// Guards against bodies that together take more than the bound.
TEST(BodyMemory, bodiesStayWithinTheBound)
{
    CHECK_TRUE(admitted(1, 200, large) > 0);
    CHECK_TRUE(admitted(1000, 10'000, 100'000) > 0);
    CHECK_TRUE(memory.heldBytes() <= bound);
}

/// Guards against large bodies that take all room from smaller ones.
TEST(BodyMemory, largeBodiesLeaveRoomForSmallerOnes)
{
    admitted(1, 200, large);
    CHECK_FALSE(memory.grow(500, large, now));
    CHECK_EQUAL(20, admitted(1000, 20, 100'000));
    CHECK_EQUAL(200, admitted(2000, 200, 1000));
}

TEST(BodyMemory, aBodyOfHalfTheBoundAlwaysFitsAlone)
{
    CHECK_TRUE(memory.grow(1, bound / 2, now));
    CHECK_FALSE(memory.grow(2, bound / 2 + 1, now));
    memory.release(1, now);
    CHECK_EQUAL(0U, memory.heldBytes());
    CHECK_TRUE(memory.grow(2, bound / 2, now));
}

/// Guards against bodies without a declared length that each wait for the other's room.
TEST(BodyMemory, ofBodiesThatGrowOneIsAlwaysCompleted)
{
    std::vector<std::uint64_t> bodies(6);
    std::iota(bodies.begin(), bodies.end(), 1);
    for (std::size_t size = large / 8; size <= large; size *= 2) {
        std::erase_if(bodies, [&](std::uint64_t body) {
            const bool fits = memory.grow(body, size, now);
            if (!fits) {
                memory.release(body, now);
            }
            return !fits;
        });
        CHECK_TRUE(memory.heldBytes() <= bound);
    }
    CHECK_FALSE(bodies.empty());
    CHECK_EQUAL(bodies.size() * large, memory.heldBytes());
}

TEST(BodyMemory, growingCountsABodyOnce)
{
    memory.grow(1, 1000, now);
    memory.grow(1, 5000, now);
    memory.grow(1, 2000, now);
    CHECK_EQUAL(5000U, memory.heldBytes());
    memory.release(1, now);
    memory.release(1, now);
    CHECK_EQUAL(0U, memory.heldBytes());
}

TEST(BodyMemory, withoutABoundBodiesAreCountedAndNoneIsRefused)
{
    BodyMemory unbounded {{0, receive}};
    for (std::uint64_t body = 1; body <= 1000; ++body) {
        CHECK_TRUE(unbounded.grow(body, large, now));
    }
    CHECK_EQUAL(1000 * large, unbounded.heldBytes());
}

/// Guards against callers that send a byte at a time and hold the room of others for the whole time limit.
TEST(BodyMemory, aBodyThatWouldNotBeCompleteInTimeIsSlow)
{
    memory.grow(1, large, now);
    memory.grow(2, large / 2, now);
    CHECK_FALSE(memory.slowBody(now).has_value());
    now += std::chrono::milliseconds(1500);
    memory.received(1, large / 2, now);
    memory.received(2, 15, now);
    CHECK_EQUAL(2U, memory.slowBody(now).value());
    now += std::chrono::seconds(2);
    memory.received(2, 16, now);
    CHECK_EQUAL(1U, memory.slowBody(now).value()); // it has stalled, and holds more
    memory.completed(1);
    CHECK_EQUAL(2U, memory.slowBody(now).value());
    memory.release(2, now);
    CHECK_FALSE(memory.slowBody(now).has_value());
}

TEST(BodyMemory, theTimeUntilRoomIsFreeFollowsFromHowLongBodiesAreHeld)
{
    CHECK_TRUE(memory.timeUntilFree(large) == Base::Duration::zero());
    for (std::uint64_t body = 1; body <= 100; ++body) {
        memory.grow(body, large, now);
        now += std::chrono::milliseconds(200);
        memory.release(body, now);
    }
    memory.grow(200, large, now);
    memory.grow(201, large, now);
    const Base::Duration one = memory.timeUntilFree(large);
    CHECK_TRUE(one > std::chrono::milliseconds(90) && one < std::chrono::milliseconds(110));
    CHECK_TRUE(memory.timeUntilFree(large * 1000) == std::chrono::seconds(5));
}
