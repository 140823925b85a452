// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/loop.h"
#include "Http/server.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string_view>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Http;

namespace {

constexpr std::string_view request = "GET /late HTTP/1.1\r\nHost: localhost\r\n\r\n";
constexpr auto acceptTime = std::chrono::milliseconds(200);

} // namespace

TEST_GROUP(ServerStop)
{
    Base::Loop loop;
    std::unique_ptr<Server> server;
    std::vector<std::shared_ptr<Exchange>> unanswered;
    std::vector<int> callers;

    void teardown() override
    {
        for (const int caller : callers) {
            ::close(caller);
        }
    }

    void listen()
    {
        auto listening = Server::listen(
            loop, {"127.0.0.1", 0}, {}, [this](const std::shared_ptr<Exchange> &exchange) { unanswered.push_back(exchange); },
            [](const absl::Status &error) { return std::string(error.message()); });
        CHECK_TRUE(listening.ok());
        server = std::move(*listening);
    }

    int connect()
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(server->address().port);
        const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
        CHECK_EQUAL(0, ::connect(caller, reinterpret_cast<const sockaddr *>(&address), sizeof address));
        callers.push_back(caller);
        return caller;
    }

    void runLoop()
    {
        const auto end = loop.after(acceptTime, [this] { loop.stop(); });
        loop.run();
    }

    static void send(int caller)
    {
        CHECK_EQUAL(static_cast<ssize_t>(request.size()), ::send(caller, request.data(), request.size(), MSG_NOSIGNAL));
    }
};

// Guards against a process that ends by SIGABRT at its planned stop: a request that arrived after the last turn of the loop was
// read while the server was destroyed, and libmicrohttpd aborts if it is stopped with a suspended connection.
TEST(ServerStop, aRequestThatArrivesAfterTheLastTurnEndsNoProcess)
{
    listen();
    const int caller = connect();
    runLoop();
    send(caller);
    server.reset();
    CHECK_EQUAL(0U, unanswered.size());
}

TEST(ServerStop, requestsThatWaitForAnAnswerEndNoProcess)
{
    listen();
    send(connect());
    runLoop();
    CHECK_EQUAL(1U, unanswered.size());
    server.reset();
}

// Guards against a second process that takes callers away from the one that listens already.
TEST(ServerStop, anAddressBelongsToOneServer)
{
    listen();
    const auto second = Server::listen(
        loop, server->address(), {}, [](const std::shared_ptr<Exchange> &) {},
        [](const absl::Status &error) { return std::string(error.message()); });
    CHECK_FALSE(second.ok());
}
