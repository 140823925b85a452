// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Peer/edge.h"

#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Peer;

namespace {

/// Counts the events of one edge. The edge's thread writes, the test reads.
struct Events
{
    std::atomic<int> grants = 0;
    std::atomic<int> queued = 0; ///< messages of type Queued
    std::atomic<int> lost = 0;
    std::atomic<std::uint64_t> ended = 0; ///< incarnation of the last ProcessReplaced event
    std::atomic<std::size_t> dropped = 0;
    std::atomic<std::uint64_t> token = 0; ///< of the last call

    Edge::Handler handler()
    {
        return [this](const Event &event) {
            if (const auto *received = std::get_if<MessagesReceived>(&event)) {
                for (const Message &message : received->messages) {
                    grants += std::holds_alternative<Grant>(message) ? 1 : 0;
                    queued += std::holds_alternative<Queued>(message) ? 1 : 0;
                }
                token = received->token;
            } else if (const auto *replaced = std::get_if<ProcessReplaced>(&event)) {
                ended = replaced->ended.incarnation;
                dropped += replaced->messages;
            } else {
                ++lost;
            }
        };
    }
};

std::unique_ptr<Edge> startEdge(Events &events, std::uint64_t incarnation, std::uint16_t port = 0,
                                const std::string &advertised = "127.0.0.1:1")
{
    auto edge = Edge::start({{"127.0.0.1", port}, advertised, "h" + std::to_string(incarnation), incarnation}, events.handler());
    CHECK_TRUE(edge.ok());
    return std::move(*edge);
}

/// Fails the test if @p condition does not hold in time.
template<typename Condition>
void waitUntil(Condition condition)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
        CHECK_TRUE(std::chrono::steady_clock::now() < limit);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

/// Leaves the process no free file descriptor while it exists.
class NoFreeDescriptors
{
public:
    NoFreeDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        const int next = ::dup(STDERR_FILENO);
        ::close(next);
        const rlimit none {static_cast<rlim_t>(next), m_before.rlim_max};
        setrlimit(RLIMIT_NOFILE, &none);
    }

    NoFreeDescriptors(const NoFreeDescriptors &) = delete;
    NoFreeDescriptors &operator=(const NoFreeDescriptors &) = delete;

    ~NoFreeDescriptors()
    {
        setrlimit(RLIMIT_NOFILE, &m_before);
    }

private:
    rlimit m_before {};
};

std::string addressOf(const Edge &edge)
{
    return "127.0.0.1:" + std::to_string(edge.port());
}

} // namespace

TEST_GROUP(Edge) {};

/// Guards against a grant for a process that has ended, which starts another request of the next process at the same address.
TEST(Edge, messagesForAnEndedProcessDoNotReachTheNextOne)
{
    Events senderEvents;
    Events firstEvents;
    Events secondEvents;
    auto sender = startEdge(senderEvents, 9);
    auto first = startEdge(firstEvents, 1);
    const std::uint16_t port = first->port();
    const std::string address = addressOf(*first);
    sender->send({address, 1}, Grant {});
    waitUntil([&] { return firstEvents.grants == 1; });
    first.reset();
    auto second = startEdge(secondEvents, 2, port);
    // Until the sender has noticed that its connection is closed, messages are lost with it.
    waitUntil([&] {
        sender->send({address, 1}, Grant {});
        return senderEvents.dropped > 0 || secondEvents.grants > 0;
    });
    CHECK_EQUAL(0, secondEvents.grants.load());
    CHECK_EQUAL(1U, senderEvents.ended.load());
    // On the open connection as well, and without holding up the messages for any process.
    sender->send({address, 1}, Grant {});
    sender->send({address}, Queued {});
    sender->send({address, 2}, Queued {});
    waitUntil([&] { return secondEvents.queued == 2; });
    CHECK_EQUAL(0, secondEvents.grants.load());
}

/// Guards against the same for a message that goes back as the result of a call which the next process made.
TEST(Edge, resultsOfACallCarryNothingForAnEndedProcess)
{
    Events replierEvents;
    Events callerEvents;
    auto replier = startEdge(replierEvents, 9);
    auto placeholder = startEdge(callerEvents, 7);
    const std::uint16_t port = placeholder->port();
    const std::string address = addressOf(*placeholder);
    placeholder.reset();
    auto caller = startEdge(callerEvents, 2, port, address);
    caller->send({addressOf(*replier)}, Withdrawal {{1, 1}, 1});
    waitUntil([&] { return replierEvents.token != 0; });
    replier->send({address, 1}, Grant {});
    replier->send({address, 2}, Queued {});
    replier->markHandled(replierEvents.token);
    waitUntil([&] { return callerEvents.queued == 1 && replierEvents.dropped == 1; });
    CHECK_EQUAL(0, callerEvents.grants.load());
}

/// Guards against the loss of all replies to a new process, while the connection to its former one still seems to be open.
TEST(Edge, connectionToAFormerProcessIsReplacedWhenTheNextOneHasConnected)
{
    Events senderEvents;
    Events formerEvents;
    Events nextEvents;
    auto sender = startEdge(senderEvents, 9);
    auto former = startEdge(formerEvents, 1);
    const std::string address = addressOf(*former);
    sender->send({address}, Queued {});
    waitUntil([&] { return formerEvents.queued == 1; });
    // The next process announces the address at which the connection still leads to the former one.
    auto next = startEdge(nextEvents, 2, 0, address);
    next->send({addressOf(*sender)}, Queued {});
    waitUntil([&] { return senderEvents.token != 0; });
    sender->markHandled(senderEvents.token);
    sender->send({address, 2}, Grant {});
    waitUntil([&] { return senderEvents.lost == 1 && senderEvents.dropped == 1; });
    CHECK_EQUAL(0, formerEvents.grants.load());
}

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
        (*sender)->send({address}, Withdrawal {{1, 1}, 1});
        while (received <= call) {
            std::this_thread::yield();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    while (lost == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    // A call is in flight on the second connection while those of the first time out.
    (*sender)->send({address}, Withdrawal {{2, 1}, 1});
    while (received <= 2) {
        std::this_thread::yield();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    CHECK_EQUAL(1, lost.load());
}

/// Guards against a host that accepts no connection of another host any more, once accepting one has failed for want of file
/// descriptors.
TEST(Edge, connectionsAreAcceptedAgainAfterDescriptorsRanOut)
{
    constexpr auto timeToFail = std::chrono::milliseconds(300);
    Events receiverEvents;
    Events senderEvents;
    auto receiver = startEdge(receiverEvents, 1);
    auto sender = startEdge(senderEvents, 2);
    const int stranger = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(receiver->port());
    int result = 0;
    {
        // Without a free descriptor the sanitizer takes objects of types that it has not seen yet for invalid ones, so nothing is
        // checked here.
        const NoFreeDescriptors none;
        result = ::connect(stranger, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        std::this_thread::sleep_for(timeToFail);
    }
    CHECK_EQUAL(0, result);
    ::close(stranger);
    waitUntil([&] {
        sender->send({addressOf(*receiver)}, Queued {});
        return receiverEvents.queued > 0;
    });
}
