// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/shard.h"

#include "Dispatch/fixtures.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Dispatch;
using Configuration::Kind;
using Tests::at;

namespace {

/// A burst of long prompts that begin alike in groups.
struct Burst
{
    std::string name;
    std::size_t groups = 0;
    double load = 0; ///< tokens of all prompts, in proportion to what the engines can prefill during the burst
    std::vector<double> speeds; ///< true speeds of the engines in turn, in proportion to the initial estimate
};

struct BurstCounts
{
    std::size_t asked = 0;
    std::size_t granted = 0;
    std::size_t inTime = 0; ///< first token within the target, counted from the arrival of the request
    std::size_t prefills = 0; ///< prefills of shared prefixes
    std::size_t duplicates = 0; ///< grants for a prefill of a shared prefix while another engine had it to prefill
    std::size_t maxUnread = 0; ///< largest number of prompts at an engine whose shared prefix it has to prefill
    Base::Duration longestFirstToken {}; ///< from the grant
};

/// Runs a burst with the dispatcher of one shard and engines that read one prompt after another, in the order of the grants.
class BurstSimulation
{
public:
    static constexpr Base::Duration firstTokenTarget = std::chrono::milliseconds(2500);

    BurstSimulation(const Burst &burst, std::uint64_t seed)
        : m_burst(burst)
        , m_random(seed)
    {
        std::string text = "create setting placement value soonest-first-token\ncreate pool main\n"
                           "create tier t1 rank 1\ncreate tier t2 rank 2\n"
                           "create class short tier t1 pool main deadline 12s first-token 1500ms token-gap 300ms\n"
                           "create class long tier t2 pool main deadline 60s first-token 2500ms token-gap 1200ms\n";
        for (std::size_t index = 0; index < engineCount; ++index) {
            text += fmt::format("create endpoint e{} pool main address 10.0.0.1:{} slots 64\n", index, index + 1);
        }
        const Configuration::Objects objects = Tests::objectsOf(text);
        const auto catalogue = Configuration::Catalogue::build(objects);
        m_class = Tests::numberOf(objects, Kind::Class, "long");
        ShardInfo info {1, Tests::numberOf(objects, Kind::Pool, "main"), "", 0, {}, "h1"};
        double tokensPerMs = 0;
        for (std::size_t index = 0; index < engineCount; ++index) {
            const std::uint32_t endpoint = Tests::numberOf(objects, Kind::Endpoint, fmt::format("e{}", index));
            info.endpoints.push_back(endpoint);
            m_engines[endpoint].tokensPerMs = initialTokensPerMs * burst.speeds[index % burst.speeds.size()];
            tokensPerMs += m_engines[endpoint].tokensPerMs;
        }
        m_shard = std::make_unique<Shard>(info, catalogue, at(-10));
        addArrivals(tokensPerMs);
    }

    const BurstCounts &run()
    {
        constexpr double end = 40;
        for (double tick = 0; tick < end; tick += 0.01) {
            m_events.emplace(at(tick), [this] { m_shard->tick(m_now); });
        }
        while (!m_events.empty()) {
            const auto first = m_events.begin();
            m_now = first->first;
            const auto action = std::move(first->second);
            m_events.erase(first);
            action();
            takeGrants();
        }
        return m_counts;
    }

private:
    static constexpr std::size_t engineCount = 10;
    static constexpr double initialTokensPerMs = 30.0;
    static constexpr double burstSeconds = 6.0;
    static constexpr std::uint32_t sharedTokens = 18'000;
    static constexpr std::uint32_t ownTokens = 1'000;
    static constexpr Base::Duration streamTime = std::chrono::seconds(1); ///< from the first token to the end of a run

    struct Request
    {
        std::uint64_t group = 0;
        Base::Instant arrived {};
        Base::Instant granted {};
    };

    struct Prompt
    {
        Peer::AttemptId id;
        std::uint64_t group = 0;
        bool readsShared = false; ///< no prompt before it at the engine has the same shared prefix
    };

    struct Engine
    {
        double tokensPerMs = 0;
        std::deque<Prompt> unread; ///< the first one is being read
        std::set<std::uint64_t> cached; ///< groups whose shared prefix it has read
    };

    void addArrivals(double tokensPerMs)
    {
        constexpr double msPerSecond = 1000;
        const double tokens = m_burst.load * tokensPerMs * burstSeconds * msPerSecond;
        m_counts.asked = static_cast<std::size_t>(tokens / (sharedTokens + ownTokens));
        for (std::uint64_t request = 1; request <= m_counts.asked; ++request) {
            const double arrival = burstSeconds * static_cast<double>(request) / static_cast<double>(m_counts.asked);
            m_requests[request].group = 1 + m_random() % m_burst.groups;
            m_events.emplace(at(arrival), [this, request] { ask(request); });
        }
    }

    void ask(std::uint64_t request)
    {
        m_requests[request].arrived = m_now;
        Peer::Ask made;
        made.id = {request, 1};
        made.shard = 1;
        made.requestClass = m_class;
        made.remaining = std::chrono::seconds(60);
        made.promptTokens = sharedTokens + ownTokens;
        made.prefix = {m_requests[request].group, 1'000'000 + request};
        made.prefixTokens = {sharedTokens, made.promptTokens};
        made.sentAt = m_now;
        m_shard->ask(m_now, m_home, made);
    }

    void takeGrants()
    {
        for (const Reply &reply : m_shard->takeReplies()) {
            if (const auto *grant = std::get_if<Peer::Grant>(&reply.message)) {
                start(*grant);
            }
        }
    }

    static bool hasToRead(const Engine &engine, std::uint64_t group)
    {
        return std::ranges::any_of(engine.unread,
                                   [&](const Prompt &prompt) { return prompt.readsShared && prompt.group == group; });
    }

    void start(const Peer::Grant &grant)
    {
        ++m_counts.granted;
        Request &request = m_requests[grant.id.request];
        request.granted = m_now;
        Engine &engine = m_engines.at(grant.endpoint);
        const bool readsShared = !engine.cached.contains(request.group) && !hasToRead(engine, request.group);
        if (readsShared) {
            ++m_counts.prefills;
            const bool isPending
                = std::ranges::any_of(m_engines, [&](const auto &entry) { return hasToRead(entry.second, request.group); });
            m_counts.duplicates += isPending ? 1 : 0;
        }
        engine.unread.push_back({grant.id, request.group, readsShared});
        const auto unread = std::ranges::count_if(engine.unread, &Prompt::readsShared);
        m_counts.maxUnread = std::max(m_counts.maxUnread, static_cast<std::size_t>(unread));
        if (engine.unread.size() == 1) {
            read(grant.endpoint);
        }
    }

    void read(std::uint32_t endpoint)
    {
        const Engine &engine = m_engines.at(endpoint);
        const double tokens = ownTokens + (engine.unread.front().readsShared ? sharedTokens : 0);
        const auto time
            = std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double, std::milli>(tokens / engine.tokensPerMs));
        m_events.emplace(m_now + time, [this, endpoint] { endPrefill(endpoint); });
    }

    void endPrefill(std::uint32_t endpoint)
    {
        Engine &engine = m_engines.at(endpoint);
        const Prompt prompt = engine.unread.front();
        engine.unread.pop_front();
        engine.cached.insert(prompt.group);
        const Request &request = m_requests.at(prompt.id.request);
        m_counts.longestFirstToken = std::max(m_counts.longestFirstToken, m_now - request.granted);
        m_counts.inTime += m_now - request.arrived <= firstTokenTarget ? 1 : 0;
        if (!engine.unread.empty()) {
            read(endpoint);
        }
        m_shard->prefillEnded(m_now, m_home, {prompt.id, 1});
        m_events.emplace(m_now + streamTime, [this, prompt, endpoint, firstToken = m_now - request.granted] {
            m_shard->release(m_now, m_home,
                             {prompt.id, 1, endpoint, Peer::RunResult::Completed, firstToken, std::chrono::milliseconds(50), 20});
        });
    }

    Burst m_burst;
    std::mt19937_64 m_random;
    std::uint32_t m_class = 0;
    Home m_home {"h1", 7};
    std::unique_ptr<Shard> m_shard;
    std::map<std::uint32_t, Engine> m_engines;
    std::map<std::uint64_t, Request> m_requests;
    std::multimap<Base::Instant, std::function<void()>> m_events;
    Base::Instant m_now = at(0);
    BurstCounts m_counts;
};

void print(const Burst &burst, std::uint64_t seed, const BurstCounts &counts)
{
    fmt::print("{}, seed {}: {} asked, {} granted, {} in time, {} prefills of shared prefixes, {} of them duplicates, "
               "{} unread at most, first token after at most {:.2f} s\n",
               burst.name, seed, counts.asked, counts.granted, counts.inTime, counts.prefills, counts.duplicates,
               counts.maxUnread, Base::seconds(counts.longestFirstToken));
}

} // namespace

/// The load is a burst of long prompts that begin alike in groups, three times what the engines can prefill if each reads
/// everything, on engines that are slower and faster than their initial estimate.
TEST_GROUP(PrefillLoad)
{
    const std::vector<Burst> bursts {
        {"60 groups, engines of unequal speed", 60, 3.0, {0.5, 1.5}},
        {"60 groups, engines as fast as estimated", 60, 3.0, {1.0}},
        {"12 groups, engines of unequal speed", 12, 3.0, {0.5, 1.5}},
    };

    /// Runs each of the bursts with several seeds and prints the results.
    std::vector<BurstCounts> simulate() const
    {
        constexpr std::uint64_t seeds = 3;
        std::vector<BurstCounts> results;
        for (const Burst &burst : bursts) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                results.push_back(BurstSimulation(burst, seed).run());
                print(burst, seed, results.back());
            }
        }
        return results;
    }
};

/// Guards against slow engines that get more prompts than they can prefill, so that no stream there ends in time.
TEST(PrefillLoad, noEngineGetsMorePromptsThanItCanPrefillInTime)
{
    constexpr std::size_t maxUnread = 2;
    for (const BurstCounts &counts : simulate()) {
        CHECK_EQUAL(counts.asked, counts.granted);
        CHECK_TRUE(counts.maxUnread <= maxUnread);
        // A run must not spend more than its target at the engine, where no other engine can take it.
        CHECK_TRUE(counts.longestFirstToken <= BurstSimulation::firstTokenTarget);
    }
}

/// Guards against engines that prefill the same prefix at the same time, so that the pool prefills everything several times.
TEST(PrefillLoad, noPrefixIsPrefilledTwiceAtATime)
{
    for (const BurstCounts &counts : simulate()) {
        CHECK_EQUAL(0U, counts.duplicates);
    }
}
