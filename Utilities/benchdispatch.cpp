// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Measures the time of a dispatcher's decision. One decision is an incoming ask (a host's request for an endpoint) and
/// the release of a permit (a granted slot of an endpoint). The time is measured for several queue lengths and numbers of
/// endpoints of the shard, and for bursts of asks with long prompts.

#include "Dispatch/shard.h"
#include "Language/plan.h"

#include <fmt/format.h>

#include <array>
#include <optional>
#include <queue>
#include <random>
#include <utility>

using namespace Yokepond;

namespace {

constexpr std::size_t decisions = 20'000;
constexpr std::uint32_t organisations = 940;
constexpr std::size_t defaultEndpoints = 32;

Configuration::Objects makeObjects(std::string_view placement, std::size_t endpoints)
{
    std::string text = fmt::format("create setting queue-limit value 1000000\ncreate setting placement value {}\n", placement);
    text += "create pool main\n";
    for (int tier = 1; tier <= 5; ++tier) {
        text += fmt::format("create tier t{0} rank {0}\ncreate class c{0} tier t{0} pool main deadline 1h starvation-bound 1h\n",
                            tier);
    }
    for (std::size_t index = 0; index < endpoints; ++index) {
        text += fmt::format("create endpoint e{} pool main address 10.0.0.1:{} slots 8\n", index, index + 1);
    }
    Configuration::Objects objects;
    objects.apply({1, "id", 0, "bench", "", *Language::plan(objects, *Language::parseCommands(text))});
    return objects;
}

Peer::Ask makeAsk(std::uint64_t number, const Configuration::Objects &objects, std::mt19937_64 &random)
{
    Peer::Ask ask;
    ask.id = {number, 1};
    ask.requestClass = objects.find(Configuration::Kind::Class, fmt::format("c{}", 1 + random() % 5))->number;
    ask.organisation = static_cast<std::uint32_t>(random() % organisations);
    ask.remaining = std::chrono::hours(1);
    ask.promptTokens = 100;
    ask.prefix = {random() % 100, random() % 1000, random() % 10'000};
    ask.prefixTokens = {40, 70, 100};
    return ask;
}

/// Returns the mean time of one decision in microseconds for a shard with @p endpoints endpoints and @p queued queued asks.
double measure(std::string_view placement, std::size_t endpoints, std::size_t queued)
{
    const Configuration::Objects objects = makeObjects(placement, endpoints);
    const auto catalogue = Configuration::Catalogue::build(objects);
    Dispatch::ShardInfo info {1, 0, "", 0, {}, "h"};
    for (const Configuration::Endpoint &endpoint : catalogue->endpoints()) {
        info.endpoints.push_back(endpoint.number);
    }
    std::mt19937_64 random(1);
    Base::Instant now = Base::now();
    Dispatch::Shard shard(info, catalogue, now - std::chrono::seconds(10));
    const Dispatch::Home home {"h", 1};
    std::vector<Peer::Grant> running;
    const auto collectGrants = [&] {
        for (const Dispatch::Reply &reply : shard.takeReplies()) {
            if (const auto *grant = std::get_if<Peer::Grant>(&reply.message)) {
                running.push_back(*grant);
            }
        }
    };
    std::uint64_t next = 1;
    while (shard.queued() < queued) {
        shard.ask(now, home, makeAsk(next++, objects, random));
        collectGrants();
    }
    std::vector<Peer::Ask> asks;
    for (std::size_t index = 0; index < decisions; ++index) {
        asks.push_back(makeAsk(next++, objects, random));
    }
    const Base::Instant begin = Base::now();
    for (const Peer::Ask &ask : asks) {
        now += std::chrono::milliseconds(1);
        shard.ask(now, home, ask);
        collectGrants();
        const std::size_t index = random() % running.size();
        const Peer::Grant finished = running[index];
        running[index] = running.back();
        running.pop_back();
        shard.release(now, home,
                      {finished.id, 1, finished.endpoint, Peer::RunResult::Completed, std::chrono::milliseconds(80),
                       std::chrono::milliseconds(18), 40});
        collectGrants();
    }
    return Base::seconds(Base::now() - begin) * 1e6 / decisions;
}

/// Cost of a burst for a dispatcher whose endpoints have free slots, but so much prefill to do that they get no more runs.
struct BurstCost
{
    double microsecondsPerAsk = 0; ///< time of all calls to the shard, per ask
    double processorShare = 0; ///< share of one core that the calls take at the offered rate of asks
    std::size_t maxQueued = 0;
    double grantedShare = 0;
};

/// Simulates 8 s of asks at @p asksPerSecond with long prompts that have 596 different shared prefixes. The engines run 64
/// requests at once and prefill 36.7 tokens per ms; the operators of a deployment gave these figures. A run takes its prefill
/// time and then 3 s of decoding.
BurstCost measureBurst(std::size_t endpoints, double asksPerSecond)
{
    constexpr std::uint64_t sharedPrefixes = 596;
    constexpr std::uint32_t sharedTokens = 13'300;
    constexpr std::uint32_t ownTokens = 3720;
    constexpr Base::Duration decodeTime = std::chrono::seconds(3);
    constexpr Base::Duration tickPeriod = std::chrono::milliseconds(50);
    constexpr Base::Duration simulatedTime = std::chrono::seconds(8);
    constexpr double prefillTokensPerMs = 36.7;
    std::string text = "create setting queue-limit value 1000000\ncreate setting placement value soonest-first-token\n"
                       "create setting refuse-late value yes\ncreate pool main\n"
                       "create tier t1 rank 1\ncreate tier t2 rank 2\n"
                       "create class c1 tier t1 pool main deadline 12s first-token 1500ms token-gap 300ms\n"
                       "create class c2 tier t2 pool main deadline 12s first-token 2500ms token-gap 1200ms\n";
    for (std::size_t index = 0; index < endpoints; ++index) {
        text += fmt::format("create endpoint e{} pool main address 10.0.0.1:{} slots 64\n", index, index + 1);
    }
    Configuration::Objects objects;
    objects.apply({1, "id", 0, "bench", "", *Language::plan(objects, *Language::parseCommands(text))});
    const auto catalogue = Configuration::Catalogue::build(objects);
    Dispatch::ShardInfo info {1, 0, "", 0, {}, "h"};
    for (const Configuration::Endpoint &endpoint : catalogue->endpoints()) {
        info.endpoints.push_back(endpoint.number);
    }
    const Base::Instant begin = Base::now();
    Base::Instant now = begin;
    Dispatch::Shard shard(info, catalogue, now - std::chrono::seconds(10));
    const Dispatch::Home home {"h", 1};
    std::mt19937_64 random(1);
    using RunEnd = std::pair<Base::Instant, std::uint64_t>;
    std::priority_queue<RunEnd, std::vector<RunEnd>, std::greater<>> runEnds;
    struct Run
    {
        Peer::Grant grant;
        Base::Duration firstToken {};
    };
    std::map<std::uint64_t, Run> running;
    std::map<std::uint32_t, Base::Instant> prefillEnds;
    BurstCost cost;
    std::size_t askCount = 0;
    std::size_t grantCount = 0;
    double busySeconds = 0;
    const auto measureCall = [&](const auto &call) {
        const Base::Instant from = Base::now();
        call();
        busySeconds += Base::seconds(Base::now() - from);
        cost.maxQueued = std::max(cost.maxQueued, shard.queued());
        for (const Dispatch::Reply &reply : shard.takeReplies()) {
            if (const auto *grant = std::get_if<Peer::Grant>(&reply.message)) {
                ++grantCount;
                const auto prefillTime = std::chrono::duration_cast<Base::Duration>(
                    std::chrono::duration<double, std::milli>((ownTokens + 0.2 * sharedTokens) / prefillTokensPerMs));
                Base::Instant &prefillEnd = prefillEnds[grant->endpoint];
                prefillEnd = std::max(prefillEnd, now) + prefillTime;
                running[grant->id.request] = {*grant, prefillEnd - now};
                runEnds.emplace(prefillEnd + decodeTime, grant->id.request);
            }
        }
    };
    Base::Instant nextTick = now + tickPeriod;
    std::exponential_distribution<double> gap(asksPerSecond);
    for (; now < begin + simulatedTime;
         now += std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(gap(random)))) {
        for (; nextTick <= now; nextTick += tickPeriod) {
            measureCall([&] { shard.tick(nextTick); });
        }
        while (!runEnds.empty() && runEnds.top().first <= now) {
            const Run finished = running.at(runEnds.top().second);
            running.erase(runEnds.top().second);
            runEnds.pop();
            measureCall([&] {
                shard.release(now, home,
                              {finished.grant.id, 1, finished.grant.endpoint, Peer::RunResult::Completed, finished.firstToken,
                               std::chrono::milliseconds(18), 40});
            });
        }
        Peer::Ask ask;
        ask.id = {++askCount, 1};
        ask.requestClass = objects.find(Configuration::Kind::Class, random() % 3 == 0 ? "c1" : "c2")->number;
        ask.remaining = std::chrono::seconds(12);
        ask.promptTokens = sharedTokens + ownTokens;
        ask.expectedTokens = 120;
        ask.prefix = {1, 2 + random() % sharedPrefixes, 1'000'000 + askCount};
        ask.prefixTokens = {400, sharedTokens, sharedTokens + ownTokens};
        measureCall([&] { shard.ask(now, home, ask); });
    }
    cost.microsecondsPerAsk = busySeconds * 1e6 / static_cast<double>(askCount);
    cost.processorShare = busySeconds / Base::seconds(simulatedTime);
    cost.grantedShare = static_cast<double>(grantCount) / static_cast<double>(askCount);
    return cost;
}

} // namespace

/// Prints the measurements. The optional first argument is the placement policy; the default is `affinity`.
int main(int argc, char **argv)
{
    const std::string_view placement = argc > 1 ? argv[1] : "affinity";
    constexpr std::array<std::size_t, 4> lengths = {0, 100, 1000, 10'000};
    const double empty = measure(placement, defaultEndpoints, lengths.front());
    for (const std::size_t length : lengths) {
        const double time = measure(placement, defaultEndpoints, length);
        fmt::print("{:>6} asks queued: {:.2f} us for an ask and a release, {:.2f} times the empty queue's\n", length, time,
                   time / empty);
    }
    constexpr std::array<std::size_t, 5> sizes = {32, 90, 160, 320, 600};
    for (const std::size_t size : sizes) {
        const double time = measure(placement, size, 0);
        fmt::print("{:>6} endpoints: {:.2f} us for an ask and a release, {:.3f} us an endpoint\n", size, time,
                   time / static_cast<double>(size));
    }
    struct Burst
    {
        std::size_t endpoints;
        double asksPerSecond;
    };
    // An engine can prefill about 6 asks per second: 540 asks per second are about the limit of 90 engines, and 900 for 90
    // engines and 5600 for 600 engines exceed the limit.
    constexpr std::array<Burst, 5> bursts = {{{90, 270}, {90, 540}, {90, 900}, {320, 1600}, {600, 5600}}};
    for (const Burst &burst : bursts) {
        const BurstCost cost = measureBurst(burst.endpoints, burst.asksPerSecond);
        fmt::print("{:>6} endpoints, {} asks a second: {:.1f} us an ask, {:.3f} of a core, {} queued at most, {:.2f} granted\n",
                   burst.endpoints, burst.asksPerSecond, cost.microsecondsPerAsk, cost.processorShare, cost.maxQueued,
                   cost.grantedShare);
    }
    return 0;
}
