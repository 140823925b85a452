// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/loop.h"
#include "Http/client.h"
#include "Http/server.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Http;

namespace {

constexpr auto timeLimit = std::chrono::seconds(20);
constexpr std::size_t bodyBytes = 400'000;
constexpr std::size_t bound = 4 * bodyBytes;

} // namespace

/// A server with a bound for bodies, whose handler keeps each request until the test responds.
TEST_GROUP(Bodies)
{
    Base::Loop loop;
    Client client {loop};
    std::unique_ptr<Server> server;
    std::vector<std::shared_ptr<Exchange>> waiting;
    std::map<int, int> statuses; ///< number of responses by status
    std::vector<std::string> retryAfter; ///< of the refused requests
    std::size_t responses = 0;
    std::size_t expected = 0;

    void setup() override
    {
        ServerLimits limits;
        limits.bodyBytes = bodyBytes;
        limits.bodyMemoryBytes = bound;
        auto listening = Server::listen(
            loop, {"127.0.0.1", 0}, limits, [this](const std::shared_ptr<Exchange> &exchange) { received(exchange); },
            [](const absl::Status &error) { return std::string(error.message()); });
        CHECK_TRUE(listening.ok());
        server = std::move(*listening);
    }

    void received(const std::shared_ptr<Exchange> &exchange)
    {
        CHECK_TRUE(exchange->request().body == std::string(bodyBytes, 'x'));
        waiting.push_back(exchange);
        stopWhenAllAreSettled();
    }

    void send(const Headers &headers = {})
    {
        Transfer transfer;
        transfer.method = "POST";
        transfer.url = fmt::format("http://{}/x", server->address().text());
        transfer.headers = headers;
        transfer.sharedBody = std::make_shared<const std::string>(bodyBytes, 'x');
        transfer.totalTimeout = timeLimit;
        TransferEvents events;
        events.onHeaders = [this](int status, const Headers &received) {
            ++statuses[status];
            if (const auto value = headerValue(received, "retry-after")) {
                retryAfter.emplace_back(*value);
            }
        };
        events.onBytes = [](std::string_view) {};
        events.onEnd = [this](const TransferResult &) {
            ++responses;
            stopWhenAllAreSettled();
        };
        ++expected;
        client.start(std::move(transfer), std::move(events));
    }

    void stopWhenAllAreSettled()
    {
        if (responses + waiting.size() == expected) {
            loop.stop();
        }
    }

    void runLoop()
    {
        loop.run();
        loop.reactor().reset_reactor_event_loop();
    }

    void respondToAll()
    {
        for (const auto &exchange : std::exchange(waiting, {})) {
            exchange->releaseBody();
            exchange->respond({200, {}, "done"});
        }
        runLoop();
    }
};

/// Guards against bodies that together take more than a host's memory, and against refused callers that get no answer.
TEST(Bodies, requestsWhoseBodiesFindNoRoomAreRefusedAndNotRun)
{
    for (int number = 0; number < 20; ++number) {
        send();
    }
    runLoop();
    const std::size_t admitted = waiting.size();
    CHECK_TRUE(admitted > 0 && admitted * bodyBytes <= bound);
    CHECK_EQUAL(20 - admitted, static_cast<std::size_t>(statuses[429]));
    CHECK_EQUAL(20 - admitted, retryAfter.size());
    CHECK_TRUE(std::ranges::all_of(retryAfter, [](const std::string &value) { return std::stoi(value) > 0; }));
    CHECK_EQUAL(20 - admitted, server->bodyCounters().refused);
    CHECK_EQUAL(admitted * bodyBytes, server->bodyBytes());
    respondToAll();
    CHECK_EQUAL(admitted, static_cast<std::size_t>(statuses[200]));
    CHECK_EQUAL(0U, server->bodyBytes());
}

/// Guards against a caller that waits for leave to send its body, which never comes.
TEST(Bodies, aCallerThatAsksFirstIsRefusedBeforeItSendsItsBody)
{
    while (static_cast<std::size_t>(statuses[429]) == 0) {
        send();
        runLoop();
    }
    send({{"expect", "100-continue"}});
    runLoop();
    CHECK_EQUAL(2, statuses[429]);
    respondToAll();
}

/// Guards against room that is kept for callers whose responses have been sent.
TEST(Bodies, roomIsGivenBackForTheNextRequest)
{
    for (int number = 0; number < 10; ++number) {
        send();
        runLoop();
        CHECK_EQUAL(1U, waiting.size());
        respondToAll();
    }
    CHECK_EQUAL(10, statuses[200]);
    CHECK_EQUAL(0U, server->bodyCounters().refused);
}
