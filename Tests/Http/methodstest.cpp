// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/loop.h"
#include "Http/client.h"
#include "Http/server.h"

#include <fmt/format.h>

#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Http;

TEST_GROUP(Methods)
{
    Base::Loop loop;
    Client client {loop};
    std::unique_ptr<Server> server;
    Request received;
    int status = 0;

    void setup() override
    {
        auto listening = Server::listen(
            loop, {"127.0.0.1", 0}, {},
            [this](const std::shared_ptr<Exchange> &exchange) {
                received = exchange->request();
                exchange->respond({200, {}, "body"});
            },
            [](const absl::Status &error) { return std::string(error.message()); });
        CHECK_TRUE(listening.ok());
        server = std::move(*listening);
    }

    void send(const std::string &method, const std::string &body)
    {
        Transfer transfer;
        transfer.method = method;
        transfer.url = fmt::format("http://{}/x", server->address().text());
        transfer.body = body;
        transfer.totalTimeout = std::chrono::seconds(20);
        fetch(client, std::move(transfer), [this](const TransferResult &result, const std::string &) {
            status = result.status;
            loop.stop();
        });
        loop.run();
        loop.reactor().reset_reactor_event_loop();
    }
};

/// Guards against a request of a method that seldom has a body, which is run without its body.
TEST(Methods, theBodyOfARequestArrivesWhateverItsMethod)
{
    for (const std::string method : {"GET", "POST", "PUT", "DELETE", "PATCH"}) {
        send(method, "payload");
        CHECK_EQUAL(200, status);
        STRCMP_EQUAL(method.c_str(), received.method.c_str());
        STRCMP_EQUAL("payload", received.body.c_str());
    }
}

TEST(Methods, aRequestWithoutABodyHasNone)
{
    send("GET", "");
    CHECK_EQUAL(200, status);
    CHECK_FALSE(headerValue(received.headers, "content-length").has_value());
    CHECK_TRUE(received.body.empty());
}
