// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/loop.h"
#include "Http/client.h"
#include "Http/server.h"

#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Http;

namespace {

constexpr auto timeLimit = std::chrono::seconds(20);
constexpr std::size_t fieldNameBytes = 8;
constexpr std::size_t fieldRestBytes = 4; ///< colon, space and line end

/// Returns @p count header fields that take @p bytes in a head.
Headers headersOf(std::size_t bytes, std::size_t count)
{
    Headers headers;
    for (std::size_t index = 0; index < count; ++index) {
        const std::size_t share = bytes / count + (index < bytes % count ? 1 : 0);
        headers.push_back({fmt::format("x-n-{:04}", index), std::string(share - fieldNameBytes - fieldRestBytes, 'v')});
    }
    return headers;
}

/// Accepts one connection and sends a start and then one text without end, until the other side closes.
class EndlessServer
{
public:
    EndlessServer(std::string start, std::string repeated)
        : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CHECK_EQUAL(0, ::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address));
        CHECK_EQUAL(0, ::listen(m_listener, 1));
        socklen_t length = sizeof address;
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this, start = std::move(start), repeated = std::move(repeated)] {
            const int connection = ::accept(m_listener, nullptr, nullptr);
            ::send(connection, start.data(), start.size(), MSG_NOSIGNAL);
            while (::send(connection, repeated.data(), repeated.size(), MSG_NOSIGNAL) >= 0) { }
            ::close(connection);
        });
    }

    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    ~EndlessServer()
    {
        m_thread.join();
        ::close(m_listener);
    }

    std::string url() const
    {
        return fmt::format("http://127.0.0.1:{}/", m_port);
    }

private:
    int m_listener;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

} // namespace

TEST_GROUP(Heads)
{
    Base::Loop loop;
    Client client {loop};
    std::unique_ptr<Server> server;
    Headers responseHeaders;
    TransferResult result;
    std::string body;
    std::size_t maxHeadBytes = 64U << 10U; ///< of the client
    std::size_t received = 0; ///< requests that were passed to the server's handler

    void listen(const ServerLimits &limits)
    {
        auto listening = Server::listen(
            loop, {"127.0.0.1", 0}, limits,
            [this](const std::shared_ptr<Exchange> &exchange) {
                ++received;
                exchange->respond({200, responseHeaders, "body"});
            },
            [](const absl::Status &error) { return std::string(error.message()); });
        CHECK_TRUE(listening.ok());
        server = std::move(*listening);
    }

    void fetchFrom(const std::string &url, Headers headers)
    {
        Transfer transfer;
        transfer.url = url;
        transfer.headers = std::move(headers);
        transfer.maxHeadBytes = maxHeadBytes;
        transfer.totalTimeout = timeLimit;
        result = {};
        fetch(client, std::move(transfer), [this](const TransferResult &ended, std::string text) {
            result = ended;
            body = std::move(text);
            loop.stop();
        });
        loop.run();
        loop.reactor().reset_reactor_event_loop();
    }

    std::string serverUrl() const
    {
        return fmt::format("http://{}/", server->address().text());
    }
};

/// Guards against requests that are run and whose connections are closed without an answer, since two heads within the limits did
/// not fit into the memory of a connection together.
TEST(Heads, aRequestIsAnsweredWhateverTheSizesOfBothHeadsWithinTheLimits)
{
    ServerLimits limits;
    listen(limits);
    constexpr std::size_t otherFields = 400; // the request line, host and what the server adds
    for (const std::size_t requestFields : {10U, 100U, 260U}) {
        for (const std::size_t responseFields : {10U, 260U}) {
            responseHeaders = headersOf(limits.responseHeaderBytes - otherFields, responseFields);
            fetchFrom(serverUrl(), headersOf(limits.headerBytes - otherFields, requestFields));
            CHECK_TRUE(result.stage == TransferStage::Complete);
            CHECK_EQUAL(200, result.status);
        }
    }
    CHECK_EQUAL(6U, received);
}

TEST(Heads, aRequestWhoseHeadIsOverTheLimitIsAnsweredAndNotRun)
{
    ServerLimits limits;
    listen(limits);
    fetchFrom(serverUrl(), headersOf(limits.headerBytes + 1, 10));
    CHECK_EQUAL(431, result.status);
    fetchFrom(serverUrl(), headersOf(limits.headerBytes / 2, 300));
    CHECK_EQUAL(431, result.status);
    CHECK_EQUAL(0U, received);
}

/// Guards against heads and trailers without end, which would be held in memory until the deadline.
TEST(Heads, aHeadWithoutEndIsClosedAtTheLimit)
{
    for (const std::string start :
         {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"}) {
        const EndlessServer endless(start, "X-Line: " + std::string(100, 'x') + "\r\n");
        fetchFrom(endless.url(), {});
        CHECK_TRUE(result.failure == TransferFailure::HeadTooLarge);
        CHECK_TRUE(result.stage == TransferStage::ResponseStarted);
        CHECK_TRUE(result.headBytes < 2 * maxHeadBytes);
    }
}

TEST(Heads, interimResponsesWithoutEndAreClosedAtTheLimit)
{
    const EndlessServer endless("", "HTTP/1.1 100 Continue\r\n\r\n");
    fetchFrom(endless.url(), {});
    CHECK_TRUE(result.failure == TransferFailure::HeadTooLarge);
}
