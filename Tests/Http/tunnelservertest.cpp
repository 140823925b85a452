// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Http/tunnelserver.h"

#include "Http/client.h"
#include "Http/server.h"

// This header must come before CppUTest, whose macros for operator new break the declarations in ACE's headers.
#include <ace/Timer_Queue.h>

#include <arpa/inet.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ctime>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Http;

namespace {

/// Returns a socket that is bound to a free port of the loopback address, and the address.
std::pair<int, Base::Address> boundSocket()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    bind(descriptor, reinterpret_cast<const sockaddr *>(&address), size); // NOLINT
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size); // NOLINT
    return {descriptor, {"127.0.0.1", ntohs(address.sin_port)}};
}

sockaddr_in addressOf(const Base::Address &listener)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(listener.port);
    return address;
}

/// Returns the processor time that this thread has used.
std::chrono::nanoseconds processorTime()
{
    timespec used {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

/// Returns an address at which nothing listens.
Base::Address freeAddress()
{
    const auto [descriptor, address] = boundSocket();
    ::close(descriptor);
    return address;
}

} // namespace

/// An endpoint, a host that accepts tunnels to it, and a client that uses them, all on one loop.
TEST_GROUP(TunnelServer)
{
    Base::Loop loop;
    Base::Address tunnels = freeAddress();
    std::unique_ptr<Server> endpoint;
    std::unique_ptr<TunnelServer> server;
    std::unique_ptr<Client> client;
    std::vector<std::shared_ptr<Exchange>> exchanges;
    std::vector<std::pair<std::string, bool>> connections;
    bool allowed = true;
    bool ownPathsWork = true;
    std::function<void(std::shared_ptr<Exchange>)> serve;
    TransferResult result;
    std::string body;
    bool ended = false;

    void setup() override
    {
        serve = [](const std::shared_ptr<Exchange> &exchange) {
            exchange->respond({200, {}, "answer to " + exchange->request().body});
        };
        endpoint = *Server::listen(
            loop, {"127.0.0.1", 0}, {}, [this](const std::shared_ptr<Exchange> &exchange) { serve(exchange); },
            [](const absl::Status &) { return std::string(); });
        server = *TunnelServer::listen(
            loop, {.listen = tunnels, .sourceAddress = ""},
            {.requested = [this](std::uint64_t tunnel, const std::string &) { server->decide(tunnel, allowed); },
             .connected =
                 [this](const std::string &target, bool connected) {
                     connections.emplace_back(target, connected);
                     return ownPathsWork;
                 }});
        client = std::make_unique<Client>(loop);
    }

    void teardown() override
    {
        client.reset();
        server.reset();
        exchanges.clear();
        endpoint.reset();
    }

    Client::Id start(const Base::Address &target, std::string sent = "question")
    {
        Transfer transfer;
        transfer.method = "POST";
        transfer.url = "http://" + target.text() + "/";
        transfer.body = std::move(sent);
        transfer.tunnelHost = tunnels.text();
        transfer.freshConnection = true;
        TransferEvents events;
        events.onBytes = [this](std::string_view bytes) { body.append(bytes); };
        events.onEnd = [this](const TransferResult &over) {
            result = over;
            ended = true;
        };
        return client->start(std::move(transfer), std::move(events));
    }

    /// Runs the loop until @p condition holds, for 10 s at most.
    bool runUntil(std::function<bool()> condition)
    {
        const Base::Instant end = Base::now() + std::chrono::seconds(10);
        const auto timer = loop.every(std::chrono::milliseconds(5), [&] {
            if (condition() || Base::now() > end) {
                loop.stop();
            }
        });
        loop.run();
        loop.reactor().reset_reactor_event_loop();
        return condition();
    }

    bool runUntilEnd()
    {
        return runUntil([this] { return ended; });
    }
};

TEST(TunnelServer, aRequestAndItsResponsePass)
{
    start(endpoint->address());
    CHECK_TRUE(runUntilEnd());
    CHECK_TRUE(result.stage == TransferStage::Complete);
    CHECK_EQUAL(200, result.status);
    CHECK_EQUAL(std::string("answer to question"), body);
    CHECK_EQUAL(1U, server->opened());
    CHECK_TRUE(connections.front() == std::make_pair(endpoint->address().text(), true));
}

TEST(TunnelServer, largeBodiesPassUnchanged)
{
    const std::string sent(3U << 20U, 'x');
    start(endpoint->address(), sent);
    CHECK_TRUE(runUntilEnd());
    CHECK_TRUE(body == "answer to " + sent);
}

/// Guards against a request that is reported as sent although no endpoint can have received it.
TEST(TunnelServer, aTunnelThatDoesNotComeAboutHasSentNothing)
{
    start(freeAddress());
    CHECK_TRUE(runUntilEnd());
    CHECK_TRUE(result.stage == TransferStage::NotSent);
    CHECK_EQUAL(502, result.tunnelStatus);
    CHECK_EQUAL(0, result.status);
}

TEST(TunnelServer, aHostWithoutPathsSaysSo)
{
    ownPathsWork = false;
    start(freeAddress());
    CHECK_TRUE(runUntilEnd());
    CHECK_TRUE(result.stage == TransferStage::NotSent);
    CHECK_EQUAL(503, result.tunnelStatus);
}

/// Guards against hosts that open connections to addresses which are no endpoints.
TEST(TunnelServer, otherTargetsAreForbidden)
{
    allowed = false;
    start(endpoint->address());
    CHECK_TRUE(runUntilEnd());
    CHECK_TRUE(result.stage == TransferStage::NotSent);
    CHECK_EQUAL(403, result.tunnelStatus);
    CHECK_EQUAL(0U, server->opened());
}

/// Guards against a run that goes on at its endpoint after its caller has left.
TEST(TunnelServer, theEndpointSeesThatTheClientCancelled)
{
    bool closed = false;
    serve = [&](const std::shared_ptr<Exchange> &exchange) {
        exchanges.push_back(exchange);
        exchange->onClosed([&closed] { closed = true; });
    };
    const Client::Id id = start(endpoint->address());
    CHECK_TRUE(runUntil([&] { return !exchanges.empty(); }));
    CHECK_EQUAL(1U, server->busy());
    client->cancel(id);
    CHECK_TRUE(runUntil([&] { return closed; }));
    CHECK_EQUAL(0U, server->busy());
}

/// Guards against a cut response that looks complete because the host of its tunnel ended.
TEST(TunnelServer, aTunnelThatEndsCutsTheResponse)
{
    serve = [&](const std::shared_ptr<Exchange> &exchange) {
        exchanges.push_back(exchange);
        exchange->beginStream(200, {{"connection", "close"}});
        exchange->write("first");
    };
    start(endpoint->address());
    CHECK_TRUE(runUntil([&] { return body == "first"; }));
    server.reset();
    CHECK_TRUE(runUntilEnd());
    CHECK_TRUE(result.stage == TransferStage::ResponseStarted);
}

TEST(TunnelServer, whatIsNoRequestForATunnelIsRejected)
{
    Transfer transfer;
    transfer.url = "http://" + tunnels.text() + "/";
    bool done = false;
    int status = 0;
    fetch(*client, std::move(transfer), [&](const TransferResult &over, const std::string &) {
        status = over.status;
        done = true;
    });
    CHECK_TRUE(runUntil([&] { return done; }));
    CHECK_EQUAL(400, status);
}

TEST(TunnelServer, openTunnelsOutliveTheListener)
{
    serve = [&](const std::shared_ptr<Exchange> &exchange) { exchanges.push_back(exchange); };
    start(endpoint->address());
    CHECK_TRUE(runUntil([&] { return !exchanges.empty(); }));
    server->closeListener();
    exchanges.front()->respond({200, {}, "late"});
    CHECK_TRUE(runUntilEnd());
    CHECK_EQUAL(std::string("late"), body);
    ended = false;
    start(endpoint->address());
    CHECK_TRUE(runUntilEnd());
    CHECK_TRUE(result.stage == TransferStage::NotSent);
}

/// Guards against a relay thread that takes a whole core while there are no file descriptors for a tunnel that waits.
TEST(TunnelServer, aTunnelThatFindsNoDescriptorWaitsWithoutWork)
{
    constexpr auto waitTime = std::chrono::milliseconds(400);
    constexpr auto mostProcessorTime = std::chrono::milliseconds(40); // a tenth of a core
    const int host = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // Without a free descriptor the sanitizer takes objects of types that it has not seen yet for invalid ones.
    CHECK_TRUE(runUntil([] { return true; }));
    rlimit before {};
    getrlimit(RLIMIT_NOFILE, &before);
    const int next = ::dup(host);
    ::close(next);
    const rlimit none {static_cast<rlim_t>(next), before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &none);
    const sockaddr_in address = addressOf(tunnels);
    const int connectResult = ::connect(host, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    const auto began = processorTime();
    const Base::Instant end = Base::now() + waitTime;
    runUntil([end] { return Base::now() > end; });
    const auto used = processorTime() - began;
    setrlimit(RLIMIT_NOFILE, &before);
    CHECK_EQUAL(0, connectResult);
    CHECK_TRUE(used < mostProcessorTime);
    ::close(host);
    start(endpoint->address());
    CHECK_TRUE(runUntilEnd());
    CHECK_TRUE(result.stage == TransferStage::Complete);
}
