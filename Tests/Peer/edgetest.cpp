// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Peer/edge.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <thread>

using namespace Yokepond;
using namespace Yokepond::Peer;

TEST_GROUP(Edge) {};

/// Guards against calls of a closed connection that close the next one when they time out. The peer takes calls and never returns
/// them, as a stopped process does. Calls that began one after another time out one after another, and the first timeout
/// closes their connection.
TEST(Edge, timeoutsOfAClosedConnectionDoNotCloseTheNextOne)
{
    std::atomic<int> received = 0;
    auto unresponsivePeer = Edge::start({{"127.0.0.1", 0}, "127.0.0.1:1", "still", 1}, [&](const Event &event) {
        if (std::holds_alternative<MessagesReceived>(event)) {
            ++received;
        }
    });
    CHECK_TRUE(unresponsivePeer.ok());
    std::atomic<int> lost = 0;
    auto sender = Edge::start({{"127.0.0.1", 0}, "127.0.0.1:2", "sender", 2}, [&](const Event &event) {
        if (std::holds_alternative<MessagesLost>(event)) {
            ++lost;
        }
    });
    CHECK_TRUE(sender.ok());
    const std::string address = "127.0.0.1:" + std::to_string((*unresponsivePeer)->port());
    // Two calls are in flight on the first connection, begun at different times.
    for (int call = 0; call < 2; ++call) {
        (*sender)->send(address, Withdrawal {{1, 1}, 1});
        while (received <= call) {
            std::this_thread::yield();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    while (lost == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    // A call is in flight on the second connection while those of the first time out.
    (*sender)->send(address, Withdrawal {{2, 1}, 1});
    while (received <= 2) {
        std::this_thread::yield();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    CHECK_EQUAL(1, lost.load());
}
