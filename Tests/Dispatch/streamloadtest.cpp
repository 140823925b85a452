// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The load of tight streams beside long prompts, on a dispatcher and a simple model of engines, without a network. Tight streams
/// are those that allow only short pauses between their events. The patterns are in a table, each named by its comment. The seeds
/// are fixed and printed.

#include "Dispatch/shard.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <utility>
#include <vector>

using namespace Yokepond;
using namespace Yokepond::Dispatch;
using Base::Duration;
using Base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t poolNumber = 1;
constexpr std::uint32_t firstClass = 11;
constexpr std::uint32_t firstEndpoint = 101;
constexpr Duration step = milliseconds(5);
constexpr Duration tickPeriod = milliseconds(50);
/// Before this time the engines are not known and few streams have ended.
constexpr Duration settling = seconds(8);

/// Requests of one class.
struct Callers
{
    int rank = 1;
    Duration firstToken {};
    Duration tokenGap {};
    Duration deadline {};
    std::uint32_t promptTokens = 0;
    std::uint32_t events = 0; ///< of a response
    double perSecond = 0;
};

struct Pattern
{
    std::uint64_t seed = 0;
    Callers tight;
    Callers longer;
    Duration length {};
    double returningShare = 0; ///< share of the refused requests that come again after the time they were told
    std::uint32_t enginesLost = 0; ///< in the middle
};

/// What became of the requests of one class that arrived after a time.
struct Results
{
    std::uint64_t arrived = 0;
    std::uint64_t firstTokenInTime = 0;
    std::uint64_t refused = 0;
    std::uint64_t completed = 0; ///< of all requests, by the time of the end
    std::uint64_t streams = 0; ///< that ended
    std::uint64_t pausesInTime = 0; ///< streams without a pause over the target

    double shareOfFirstTokens() const
    {
        return arrived == 0 ? 1.0 : static_cast<double>(firstTokenInTime) / static_cast<double>(arrived);
    }

    double shareOfPauses() const
    {
        return streams == 0 ? 1.0 : static_cast<double>(pausesInTime) / static_cast<double>(streams);
    }
};

/// Engines that read prompts one after another, the most urgent tier first. While an engine reads, the streams of its runs are
/// slow.
class Simulation
{
public:
    static constexpr std::uint32_t engines = 20;
    static constexpr std::uint32_t slots = 32;
    static constexpr double tokensPerMs = 30;
    static constexpr Duration interval = milliseconds(40); ///< between events
    static constexpr Duration intervalWhileReading = milliseconds(300);

    /// @p countFrom is the time from which requests count for the results.
    Simulation(const Pattern &pattern, Duration countFrom)
        : m_pattern(pattern)
        , m_countFrom(Tests::at(0) + countFrom)
        , m_random(pattern.seed)
    {
        build();
        for (std::size_t index = 0; index < m_callers.size(); ++index) {
            m_nextArrival[index] = m_now + interArrival(index);
        }
    }

    void run()
    {
        const Instant end = m_now + m_pattern.length;
        const Instant middle = m_now + m_pattern.length / 2;
        for (Instant nextTick = m_now; m_now < end; m_now += step) {
            if (m_lost == 0 && m_now >= middle) {
                loseEngines();
            }
            arrive();
            stepEngines();
            if (m_now >= nextTick) {
                m_shard->tick(m_now);
                nextTick = m_now + tickPeriod;
                takeReplies();
            }
        }
        print();
    }

    const Results &tight() const
    {
        return m_results[0];
    }

    const Results &longer() const
    {
        return m_results[1];
    }

    double completedPerSecond() const
    {
        return static_cast<double>(longer().completed) / Base::seconds(m_now - m_countFrom);
    }

private:
    struct Request
    {
        std::size_t kind = 0; ///< index of its callers
        Instant arrived {};
        std::uint8_t attempt = 1;
        std::uint64_t prompt = 0;
        std::uint32_t avoid = 0;
    };

    struct Run
    {
        std::uint64_t request = 0;
        Instant granted {};
        bool reportPrefill = false;
        double unread = 0; ///< tokens of the prompt
        std::uint32_t events = 0;
        double progress = 0; ///< share of the next event
        Instant firstEvent {};
        Instant lastEvent {};
        Duration longestPause {};
    };

    struct Engine
    {
        bool lost = false;
        std::vector<Run> runs; ///< in the order in which they came
    };

    struct Return
    {
        Instant at {};
        std::size_t kind = 0;

        bool operator>(const Return &other) const
        {
            return at > other.at;
        }
    };

    void build()
    {
        Configuration::CatalogueParts parts;
        parts.revision = 1;
        parts.policies.placement = Configuration::PlacementPolicy::SoonestFirstToken;
        parts.policies.window = Configuration::WindowPolicy::Fixed;
        parts.policies.refuseLate = true;
        for (std::size_t index = 0; index < m_callers.size(); ++index) {
            Configuration::RequestClass requestClass;
            requestClass.number = firstClass + static_cast<std::uint32_t>(index);
            requestClass.rank = m_callers[index].rank;
            requestClass.pool = poolNumber;
            requestClass.firstToken = m_callers[index].firstToken;
            requestClass.tokenGap = m_callers[index].tokenGap;
            requestClass.deadline = m_callers[index].deadline;
            requestClass.starvationBound = m_callers[index].deadline / 2;
            requestClass.deadlineEndsRun = true;
            parts.classes.push_back(requestClass);
        }
        ShardInfo info {1, poolNumber, "", 0, {}, "h1"};
        for (std::uint32_t index = 0; index < engines; ++index) {
            Configuration::Endpoint endpoint;
            endpoint.number = firstEndpoint + index;
            endpoint.pool = poolNumber;
            endpoint.slots = slots;
            parts.endpoints.push_back(endpoint);
            info.endpoints.push_back(endpoint.number);
        }
        m_shard = std::make_unique<Shard>(info, Configuration::Catalogue::assemble(std::move(parts)), Tests::at(-10));
    }

    Duration interArrival(std::size_t kind)
    {
        std::exponential_distribution<double> distribution(m_callers[kind].perSecond);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(distribution(m_random)));
    }

    bool counts(const Request &request) const
    {
        return request.arrived >= m_countFrom;
    }

    void arrive()
    {
        for (std::size_t kind = 0; kind < m_callers.size(); ++kind) {
            while (m_nextArrival[kind] <= m_now) {
                m_nextArrival[kind] += interArrival(kind);
                begin(kind);
            }
        }
        while (!m_returns.empty() && m_returns.top().at <= m_now) {
            const std::size_t kind = m_returns.top().kind;
            m_returns.pop();
            begin(kind);
        }
    }

    void begin(std::size_t kind)
    {
        const std::uint64_t number = ++m_lastRequest;
        const Request request {kind, m_now, 1, number, 0};
        m_requests.emplace(number, request);
        m_results[kind].arrived += counts(request) ? 1 : 0;
        ask(number);
    }

    void ask(std::uint64_t number)
    {
        const Request &request = m_requests.at(number);
        Peer::Ask made;
        made.id = {number, request.attempt};
        made.shard = 1;
        made.requestClass = firstClass + static_cast<std::uint32_t>(request.kind);
        made.organisation = 1;
        made.age = m_now - request.arrived;
        made.remaining = request.arrived + m_callers[request.kind].deadline - m_now;
        made.sentAt = m_now;
        made.promptTokens = m_callers[request.kind].promptTokens;
        // No two prompts share a prefix.
        made.prefix = {request.prompt * 2, request.prompt * 2 + 1};
        made.prefixTokens = {made.promptTokens / 2, made.promptTokens};
        made.avoid = request.avoid;
        m_shard->ask(m_now, m_home, made);
        takeReplies();
    }

    void takeReplies()
    {
        for (const Reply &reply : m_shard->takeReplies()) {
            if (const auto *grant = std::get_if<Peer::Grant>(&reply.message)) {
                startRun(*grant);
            } else if (const auto *refusal = std::get_if<Peer::Refusal>(&reply.message)) {
                refuse(*refusal);
            }
        }
    }

    void refuse(const Peer::Refusal &refusal)
    {
        const Request request = m_requests.at(refusal.id.request);
        m_requests.erase(refusal.id.request);
        m_reasons[request.kind][refusal.reason] += counts(request) ? 1 : 0;
        m_results[request.kind].refused += counts(request) ? 1 : 0;
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_pattern.returningShare) {
            m_returns.push({m_now + refusal.retryAfter, request.kind});
        }
    }

    void startRun(const Peer::Grant &grant)
    {
        Engine &engine = m_engines[grant.endpoint - firstEndpoint];
        const Request &request = m_requests.at(grant.id.request);
        Run run;
        run.request = grant.id.request;
        run.granted = m_now;
        run.reportPrefill = grant.reportPrefill;
        run.unread = m_callers[request.kind].promptTokens;
        if (engine.lost) {
            m_broken.push_back({grant.endpoint, run, Peer::RunResult::Unreachable});
        } else {
            engine.runs.push_back(run);
        }
    }

    void release(std::uint32_t endpoint, const Run &run, Peer::RunResult result)
    {
        const Duration streamed = run.lastEvent - run.firstEvent;
        Peer::Release message;
        message.id = {run.request, m_requests.at(run.request).attempt};
        message.shard = 1;
        message.endpoint = endpoint;
        message.result = result;
        message.firstToken = run.events > 0 ? run.firstEvent - run.granted : Duration::zero();
        message.gap = run.events > 1 ? streamed / (run.events - 1) : Duration::zero();
        message.tokens = run.events;
        message.longestGap = run.longestPause;
        m_shard->release(m_now, m_home, message);
    }

    /// Ends the engines' runs, and sends the requests again.
    void loseEngines()
    {
        m_lost = m_pattern.enginesLost;
        for (std::uint32_t index = 0; index < m_lost; ++index) {
            m_engines[index].lost = true;
            for (const Run &run : std::exchange(m_engines[index].runs, {})) {
                m_broken.push_back({firstEndpoint + index, run, Peer::RunResult::Failed});
            }
        }
    }

    void retryBroken()
    {
        while (!m_broken.empty()) {
            const Broken broken = m_broken.front();
            m_broken.pop_front();
            release(broken.endpoint, broken.run, broken.result);
            Request &request = m_requests.at(broken.run.request);
            ++request.attempt;
            request.avoid = broken.endpoint;
            takeReplies();
            ask(broken.run.request);
        }
    }

    void stepEngines()
    {
        retryBroken();
        for (std::uint32_t index = 0; index < engines; ++index) {
            Engine &engine = m_engines[index];
            const bool reading = std::ranges::any_of(engine.runs, [](const Run &run) { return run.unread > 0; });
            stream(engine, reading);
            read(engine);
            endRuns(index);
        }
        takeReplies();
    }

    void stream(Engine &engine, bool reading)
    {
        const double progress = Base::seconds(step) / Base::seconds(reading ? intervalWhileReading : interval);
        for (Run &run : engine.runs) {
            if (run.unread > 0) {
                continue;
            }
            run.progress += progress;
            if (run.progress >= 1) {
                run.progress -= 1;
                ++run.events;
                run.longestPause = std::max(run.longestPause, m_now - run.lastEvent);
                run.lastEvent = m_now;
            }
        }
    }

    void read(Engine &engine)
    {
        double tokens = tokensPerMs * Base::milliseconds(step);
        while (tokens > 0) {
            const auto rank = [&](const Run &run) {
                return run.unread > 0 ? m_callers[m_requests.at(run.request).kind].rank : std::numeric_limits<int>::max();
            };
            const auto next = std::ranges::min_element(engine.runs, {}, rank);
            if (next == engine.runs.end() || next->unread <= 0) {
                return;
            }
            const double now = std::min(tokens, next->unread);
            tokens -= now;
            next->unread -= now;
            if (next->unread <= 0) {
                endPrefill(*next);
            }
        }
    }

    void endPrefill(Run &run)
    {
        const Request &request = m_requests.at(run.request);
        run.events = 1;
        run.firstEvent = m_now;
        run.lastEvent = m_now;
        const bool inTime = m_now - request.arrived <= m_callers[request.kind].firstToken;
        m_results[request.kind].firstTokenInTime += counts(request) && inTime ? 1 : 0;
        if (run.reportPrefill) {
            m_shard->prefillEnded(m_now, m_home, {{run.request, request.attempt}, 1});
        }
    }

    void endRuns(std::uint32_t index)
    {
        Engine &engine = m_engines[index];
        const std::vector<Run> runs = std::exchange(engine.runs, {});
        for (const Run &run : runs) {
            const Request request = m_requests.at(run.request);
            const bool completed = run.events >= m_callers[request.kind].events;
            const bool expired = m_now >= request.arrived + m_callers[request.kind].deadline;
            if (!completed && !expired) {
                engine.runs.push_back(run);
                continue;
            }
            release(firstEndpoint + index, run, completed ? Peer::RunResult::Completed : Peer::RunResult::Cancelled);
            recordEnd(request, run, completed);
            m_requests.erase(run.request);
        }
    }

    void recordEnd(const Request &request, const Run &run, bool completed)
    {
        Results &results = m_results[request.kind];
        results.completed += completed && m_now >= m_countFrom ? 1 : 0;
        if (counts(request)) {
            ++results.streams;
            results.pausesInTime += completed && run.longestPause <= m_callers[request.kind].tokenGap ? 1 : 0;
        }
    }

    void print() const
    {
        for (const auto &reasons : m_reasons) {
            for (const auto &[reason, count] : reasons) {
                fmt::print("  {} {}\n", Base::nameOf(Peer::refusalReasonNames, reason), count);
            }
        }
        for (const Results &results : m_results) {
            fmt::print("seed {}: arrived {}, refused {}, first tokens in time {:.3f}, completed {}, streams {}, without long "
                       "pauses {:.3f}\n",
                       m_pattern.seed, results.arrived, results.refused, results.shareOfFirstTokens(), results.completed,
                       results.streams, results.shareOfPauses());
        }
    }

    struct Broken
    {
        std::uint32_t endpoint = 0;
        Run run;
        Peer::RunResult result {};
    };

    Pattern m_pattern;
    std::array<Callers, 2> m_callers {m_pattern.tight, m_pattern.longer};
    Instant m_now = Tests::at(0);
    Instant m_countFrom;
    std::mt19937_64 m_random;
    Home m_home {"h1", 7};
    std::unique_ptr<Shard> m_shard;
    std::array<Engine, engines> m_engines;
    std::map<std::uint64_t, Request> m_requests;
    std::priority_queue<Return, std::vector<Return>, std::greater<>> m_returns;
    std::deque<Broken> m_broken;
    std::array<Instant, 2> m_nextArrival {};
    std::array<Results, 2> m_results;
    std::uint64_t m_lastRequest = 0;
    std::array<std::map<Peer::RefusalReason, int>, 2> m_reasons;
    std::uint32_t m_lost = 0;
};

constexpr std::uint32_t longPrompt = 15'000; ///< half a second of prefill
constexpr double longPrefillSeconds = longPrompt / Simulation::tokensPerMs / 1000;
constexpr double shareOfTight = 0.95; ///< of tight streams that have no pause over their target
constexpr double shareOfLong = 0.9; ///< of long requests whose first token comes in time

/// Streams of three seconds, forty at a time, with pauses of at most 200 ms.
Callers tightCallers()
{
    return {1, milliseconds(1500), milliseconds(200), seconds(30), 1000, 75, 13};
}

/// Long prompts whose prefill takes @p load of the time of @p engines engines.
Callers longCallers(double load, double engines = Simulation::engines)
{
    return {3, seconds(3), seconds(1), seconds(15), longPrompt, 30, load * engines / longPrefillSeconds};
}

} // namespace

TEST_GROUP(StreamLoad) {};

/// Urgent streams with tight pauses beside long prompts of a low tier: guards against streams that all engines make late, and
/// against long prompts that wait beside engines with room.
TEST(StreamLoad, tightStreamsBesideLongPromptsOfALowTier)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        Simulation simulation({seed, tightCallers(), longCallers(0.6), seconds(40)}, settling);
        simulation.run();
        CHECK_TRUE(simulation.tight().shareOfPauses() >= shareOfTight);
        CHECK_TRUE(simulation.longer().shareOfFirstTokens() >= shareOfLong);
        CHECK_EQUAL(0U, simulation.tight().refused);
        CHECK_EQUAL(0U, simulation.longer().refused);
    }
}

/// Three times the capacity of long prompts, and half of those refused come back after the time that they were told: guards
/// against a collapse, in which engines prefill prompts that end too late, and against refusals of the high tier.
TEST(StreamLoad, threeTimesTheCapacityWithCallersWhoComeBack)
{
    constexpr std::uint64_t seed = 1;
    // The dispatcher learns of late streams when they end, which takes long while all engines read.
    const Duration countFrom = seconds(45);
    const Duration length = seconds(70);
    Simulation full({seed, tightCallers(), longCallers(1.0), length}, countFrom);
    full.run();
    Simulation overload({seed, tightCallers(), longCallers(3.0), length, 0.5}, countFrom);
    overload.run();
    fmt::print("seed {}: completed long requests per second {:.2f} at load 1, {:.2f} at load 3\n", seed,
               full.completedPerSecond(), overload.completedPerSecond());
    CHECK_EQUAL(0U, overload.tight().refused);
    CHECK_TRUE(overload.tight().shareOfFirstTokens() >= shareOfTight);
    CHECK_TRUE(overload.tight().shareOfPauses() >= shareOfTight);
    CHECK_TRUE(overload.completedPerSecond() >= 0.95 * full.completedPerSecond());
}

/// A third of the engines goes in the middle: guards against streams and prompts that the remaining engines could serve. Their
/// load is then that of the first pattern.
TEST(StreamLoad, aThirdOfTheEnginesGoes)
{
    constexpr std::uint32_t lost = 7;
    const Duration length = seconds(60);
    for (const std::uint64_t seed : {1, 2}) {
        Pattern pattern {seed, tightCallers(), longCallers(0.6, Simulation::engines - lost), length, 0, lost};
        Simulation simulation(pattern, length / 2 + settling);
        simulation.run();
        CHECK_EQUAL(0U, simulation.tight().refused);
        CHECK_TRUE(simulation.tight().shareOfPauses() >= shareOfTight);
        CHECK_TRUE(simulation.longer().shareOfFirstTokens() >= shareOfLong);
    }
}
