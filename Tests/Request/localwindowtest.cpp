// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/localwindow.h"

#include "Dispatch/fixtures.h"

#include <fmt/format.h>

#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;

TEST_GROUP(LocalWindow)
{
    std::shared_ptr<const Configuration::Catalogue> catalogue;
    Dispatch::ShardInfo shard;

    void setup() override
    {
        std::string statements = "create pool main\n";
        for (int index = 0; index < 20; ++index) {
            statements += fmt::format("create endpoint e{} pool main address 127.0.0.1:{} slots 64\n", index, 1000 + index);
        }
        catalogue = Configuration::Catalogue::build(Tests::objectsOf(statements));
        for (const Configuration::Endpoint &endpoint : catalogue->endpoints()) {
            shard.endpoints.push_back(endpoint.number);
        }
    }
};

TEST(LocalWindow, independentHomesSpreadTheirRuns)
{
    std::map<std::uint32_t, int> chosen;
    for (std::uint64_t home = 1; home <= 70; ++home) {
        const Request::LocalWindow window;
        ++chosen[window.choose(shard, *catalogue, 70, home * 7919).value()];
    }
    CHECK_TRUE(chosen.size() >= 15);
    for (const auto &[endpoint, runs] : chosen) {
        CHECK_TRUE(runs <= 14);
    }
}

TEST(LocalWindow, homesChooseTheSameEndpointForACommonPrefix)
{
    const Request::LocalWindow one;
    const Request::LocalWindow other;
    CHECK_TRUE(one.choose(shard, *catalogue, 70, 42) == other.choose(shard, *catalogue, 70, 42));
}

TEST(LocalWindow, theFairShareLimitsTheRunsAtEachEndpoint)
{
    Request::LocalWindow window;
    for (int run = 0; run < 20; ++run) {
        window.runStarted(window.choose(shard, *catalogue, 70, 42).value());
    }
    CHECK_FALSE(window.choose(shard, *catalogue, 70, 42).has_value());
    window.runEnded(shard.endpoints.front());
    CHECK_EQUAL(shard.endpoints.front(), window.choose(shard, *catalogue, 70, 42).value());
}
