// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A simulation of a dispatcher before simple engines, without a network, for tests of load: callers of several classes send
/// streamed requests, and engines read prompts one after another while their streams are slow. The seeds are fixed and printed.

#pragma once

#include "Dispatch/shard.h"

#include "Dispatch/fixtures.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace Yokepond::Tests {

inline constexpr std::uint32_t poolNumber = 1;
inline constexpr std::uint32_t firstClass = 11;
inline constexpr std::uint32_t firstOrganisation = 31;
inline constexpr std::uint32_t firstEndpoint = 101;
inline constexpr Base::Duration step = std::chrono::milliseconds(5);
inline constexpr Base::Duration tickPeriod = std::chrono::milliseconds(50);
/// Before this time the engines are not known and few streams have ended.
inline constexpr Base::Duration settling = std::chrono::seconds(8);

/// Requests of one class.
struct Callers
{
    int rank = 1;
    Base::Duration firstToken {};
    Base::Duration tokenGap {};
    Base::Duration deadline {};
    std::uint32_t promptTokens = 0;
    std::uint32_t events = 0; ///< of a response
    double perSecond = 0;
};

struct LoadPattern
{
    std::uint64_t seed = 0;
    std::vector<Callers> callers;
    Base::Duration length {};
    double returningShare = 0; ///< share of the refused requests that come again after the time they were told
    std::uint32_t enginesLost = 0; ///< in the middle
    std::uint32_t engines = 20;
    std::vector<int> organisationRanks {}; ///< each request is of one of these organisations; without any, of none
};

/// What became of the requests of one class that arrived after a time.
struct LoadResults
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
class LoadSimulation
{
public:
    static constexpr std::uint32_t slots = 32;
    static constexpr double tokensPerMs = 30;
    static constexpr Base::Duration interval = std::chrono::milliseconds(40); ///< between events
    static constexpr Base::Duration intervalWhileReading = std::chrono::milliseconds(300);

    /// @p countFrom is the time from which requests count for the results.
    LoadSimulation(const LoadPattern &pattern, Base::Duration countFrom)
        : m_pattern(pattern)
        , m_countFrom(at(0) + countFrom)
        , m_random(pattern.seed)
        , m_engines(pattern.engines)
        , m_nextArrival(pattern.callers.size())
        , m_results(pattern.callers.size())
        , m_reasons(pattern.callers.size())
    {
        build();
        for (std::size_t index = 0; index < m_pattern.callers.size(); ++index) {
            m_nextArrival[index] = m_now + interArrival(index);
        }
    }

    void run()
    {
        const Base::Instant end = m_now + m_pattern.length;
        const Base::Instant middle = m_now + m_pattern.length / 2;
        for (Base::Instant nextTick = m_now; m_now < end; m_now += step) {
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

    /// Returns what became of the requests of the callers at @p index of the pattern.
    const LoadResults &results(std::size_t index) const
    {
        return m_results[index];
    }

    double completedPerSecond(std::size_t index) const
    {
        return static_cast<double>(m_results[index].completed) / Base::seconds(m_now - m_countFrom);
    }

private:
    struct Request
    {
        std::size_t kind = 0; ///< index of its callers
        std::size_t organisation = 0; ///< index of its organisation
        Base::Instant arrived {};
        std::uint8_t attempt = 1;
        std::uint64_t prompt = 0;
        std::uint32_t avoid = 0;
    };

    struct Run
    {
        std::uint64_t request = 0;
        Base::Instant granted {};
        bool reportPrefill = false;
        double unread = 0; ///< tokens of the prompt
        std::uint32_t events = 0;
        double progress = 0; ///< share of the next event
        Base::Instant firstEvent {};
        Base::Instant lastEvent {};
        Base::Duration longestPause {};
    };

    struct Engine
    {
        bool lost = false;
        std::vector<Run> runs; ///< in the order in which they came
    };

    struct Return
    {
        Base::Instant at {};
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
        for (std::size_t index = 0; index < m_pattern.callers.size(); ++index) {
            Configuration::RequestClass requestClass;
            requestClass.number = firstClass + static_cast<std::uint32_t>(index);
            requestClass.rank = m_pattern.callers[index].rank;
            requestClass.pool = poolNumber;
            requestClass.firstToken = m_pattern.callers[index].firstToken;
            requestClass.tokenGap = m_pattern.callers[index].tokenGap;
            requestClass.deadline = m_pattern.callers[index].deadline;
            requestClass.starvationBound = m_pattern.callers[index].deadline / 2;
            requestClass.deadlineEndsRun = true;
            parts.classes.push_back(requestClass);
        }
        for (std::size_t index = 0; index < m_pattern.organisationRanks.size(); ++index) {
            Configuration::Organisation organisation;
            organisation.number = firstOrganisation + static_cast<std::uint32_t>(index);
            organisation.rank = m_pattern.organisationRanks[index];
            parts.organisations.push_back(organisation);
        }
        Dispatch::ShardInfo info {1, poolNumber, "", 0, {}, "h1"};
        for (std::uint32_t index = 0; index < m_pattern.engines; ++index) {
            Configuration::Endpoint endpoint;
            endpoint.number = firstEndpoint + index;
            endpoint.pool = poolNumber;
            endpoint.slots = slots;
            parts.endpoints.push_back(endpoint);
            info.endpoints.push_back(endpoint.number);
        }
        m_shard = std::make_unique<Dispatch::Shard>(info, Configuration::Catalogue::assemble(std::move(parts)), at(-10));
    }

    Base::Duration interArrival(std::size_t kind)
    {
        std::exponential_distribution<double> distribution(m_pattern.callers[kind].perSecond);
        return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(distribution(m_random)));
    }

    std::size_t drawOrganisation()
    {
        return m_pattern.organisationRanks.empty() ? 0 : m_random() % m_pattern.organisationRanks.size();
    }

    int organisationRank(const Request &request) const
    {
        return m_pattern.organisationRanks.empty() ? 0 : m_pattern.organisationRanks[request.organisation];
    }

    /// Returns the order in which an engine reads the request's prompt: the organisation's rank goes first.
    std::pair<int, int> readingOrder(const Request &request) const
    {
        const int rank = m_pattern.callers[request.kind].rank;
        const int organisation = organisationRank(request);
        return {organisation == 0 ? rank : organisation, rank};
    }

    bool counts(const Request &request) const
    {
        return request.arrived >= m_countFrom;
    }

    void arrive()
    {
        for (std::size_t kind = 0; kind < m_pattern.callers.size(); ++kind) {
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
        const Request request {kind, drawOrganisation(), m_now, 1, number, 0};
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
        made.organisation = firstOrganisation + static_cast<std::uint32_t>(request.organisation);
        made.rank = organisationRank(request);
        made.age = m_now - request.arrived;
        made.remaining = request.arrived + m_pattern.callers[request.kind].deadline - m_now;
        made.sentAt = m_now;
        made.promptTokens = m_pattern.callers[request.kind].promptTokens;
        // No two prompts share a prefix.
        made.prefix = {request.prompt * 2, request.prompt * 2 + 1};
        made.prefixTokens = {made.promptTokens / 2, made.promptTokens};
        made.avoid = request.avoid;
        m_shard->ask(m_now, m_home, made);
        takeReplies();
    }

    void takeReplies()
    {
        for (const Dispatch::Reply &reply : m_shard->takeReplies()) {
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
        run.unread = m_pattern.callers[request.kind].promptTokens;
        if (engine.lost) {
            m_broken.push_back({grant.endpoint, run, Peer::RunResult::Unreachable});
        } else {
            engine.runs.push_back(run);
        }
    }

    void release(std::uint32_t endpoint, const Run &run, Peer::RunResult result)
    {
        const Base::Duration streamed = run.lastEvent - run.firstEvent;
        Peer::Release message;
        message.id = {run.request, m_requests.at(run.request).attempt};
        message.shard = 1;
        message.endpoint = endpoint;
        message.result = result;
        message.firstToken = run.events > 0 ? run.firstEvent - run.granted : Base::Duration::zero();
        message.gap = run.events > 1 ? streamed / (run.events - 1) : Base::Duration::zero();
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
        for (std::uint32_t index = 0; index < m_pattern.engines; ++index) {
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
            const auto order = [&](const Run &run) {
                constexpr int last = std::numeric_limits<int>::max();
                return run.unread > 0 ? readingOrder(m_requests.at(run.request)) : std::pair(last, last);
            };
            const auto next = std::ranges::min_element(engine.runs, {}, order);
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
        const bool inTime = m_now - request.arrived <= m_pattern.callers[request.kind].firstToken;
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
            const bool completed = run.events >= m_pattern.callers[request.kind].events;
            const bool expired = m_now >= request.arrived + m_pattern.callers[request.kind].deadline;
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
        LoadResults &results = m_results[request.kind];
        results.completed += completed && m_now >= m_countFrom ? 1 : 0;
        if (counts(request)) {
            ++results.streams;
            results.pausesInTime += completed && run.longestPause <= m_pattern.callers[request.kind].tokenGap ? 1 : 0;
        }
    }

    void print() const
    {
        for (const auto &reasons : m_reasons) {
            for (const auto &[reason, count] : reasons) {
                fmt::print("  {} {}\n", Base::nameOf(Peer::refusalReasonNames, reason), count);
            }
        }
        for (const LoadResults &results : m_results) {
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

    LoadPattern m_pattern;
    Base::Instant m_now = at(0);
    Base::Instant m_countFrom;
    std::mt19937_64 m_random;
    Dispatch::Home m_home {"h1", 7};
    std::unique_ptr<Dispatch::Shard> m_shard;
    std::vector<Engine> m_engines;
    std::map<std::uint64_t, Request> m_requests;
    std::priority_queue<Return, std::vector<Return>, std::greater<>> m_returns;
    std::deque<Broken> m_broken;
    std::vector<Base::Instant> m_nextArrival;
    std::vector<LoadResults> m_results;
    std::uint64_t m_lastRequest = 0;
    std::vector<std::map<Peer::RefusalReason, int>> m_reasons;
    std::uint32_t m_lost = 0;
};

} // namespace Yokepond::Tests
