// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A model engine's behaviour: continuous batching with a priority queue, a prefix cache, streams that resume and cancel.
/// It computes nothing: the text of an answer is made from the prompt, so that anyone can check that it is the right one.

#pragma once

#include "Standin/common.h"
#include "Standin/prefixcache.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Yokepond::Standin {

struct EngineOptions
{
    CommonOptions common;
    std::uint32_t slots = 8; ///< runs in the batch at once
    Base::Duration decodeBase = std::chrono::milliseconds(12); ///< of a step with no runs
    Base::Duration decodePerRun = std::chrono::microseconds(600); ///< added to a step by each run
    Base::Duration prefillPerToken = std::chrono::microseconds(60); ///< for prompt tokens that are not cached
    std::uint32_t meanTokens = 48; ///< of an answer, where the request does not say
    std::size_t cacheBlocks = 4096;
    Base::Duration publishInterval = std::chrono::seconds(2);
    Base::Duration resumeRetention = std::chrono::seconds(10); ///< a cut run is remembered this long
};

/// Set by POST /faults.
struct EngineFaults
{
    double slowdown = 1; ///< factor on all times
    bool stall = false; ///< produce nothing
    bool rejectRuns = false; ///< answer 503 to new runs
    std::uint32_t errorPercent = 0; ///< of new runs are answered 500
    std::uint32_t disconnectPercent = 0; ///< of streams are cut at some token
    std::string advertisedRate; ///< that its answers name, as text; empty: none
    std::string advertisedLeaving; ///< what its answers say of whether it leaves; empty: nothing
    std::string retryAfter; ///< that its refusals name, as text; empty: none
    std::string crashOnText; ///< the process ends as it begins a prompt that holds this text; empty: on none
};

class Engine
{
public:
    Engine(Base::Loop &loop, EngineOptions options);

    void handle(const std::shared_ptr<Http::Exchange> &exchange);

private:
    enum class State { Waiting, Active, Suspended, Done };

    struct Run
    {
        std::string requestId;
        std::uint64_t promptHash = 0; ///< hash of the prompt; every token names it
        bool crashesEngine = false;
        int priority = 0;
        std::uint64_t arrivalNumber = 0;
        bool stream = false;
        std::uint32_t tokens = 0; ///< of the whole answer
        std::uint32_t produced = 0;
        std::uint32_t prefillLeft = 0; ///< prompt tokens
        std::uint32_t disconnectAtToken = 0; ///< 0: never
        State state = State::Waiting;
        std::shared_ptr<Http::Exchange> exchange;
        std::size_t runLogIndex = 0;
        Base::Instant inactiveSince {};
    };

    using RunPointer = std::shared_ptr<Run>;

    void startRun(const std::shared_ptr<Http::Exchange> &exchange);
    void resumeStream(const std::shared_ptr<Http::Exchange> &exchange, const std::string &requestId);
    void attachExchange(const RunPointer &run, const std::shared_ptr<Http::Exchange> &exchange, std::uint32_t lastSentToken);
    Http::Headers advertisementHeaders() const;
    void setFaults(const std::shared_ptr<Http::Exchange> &exchange);
    void scheduleStep();
    void admitWaitingRuns();
    void runStep();
    Base::Duration stepDuration() const;
    void produceToken(const RunPointer &run);
    void finishRun(const RunPointer &run);
    void suspendRun(const RunPointer &run);
    void publishLoadAndCacheEvents();
    std::string tokenEvent(const Run &run, std::uint32_t token) const;
    nlohmann::json completeResponse(const Run &run) const;

    Base::Loop &m_loop;
    EngineOptions m_options;
    EngineFaults m_faults;
    std::mt19937_64 m_random;
    PrefixCache m_cache;
    RunLog m_log;
    std::vector<RunPointer> m_waiting;
    std::vector<RunPointer> m_active;
    std::map<std::string, RunPointer> m_runsByRequestId;
    std::uint64_t m_nextArrivalNumber = 1;
    std::uint64_t m_generatedTokens = 0; ///< generated since the start
    std::unique_ptr<Base::Loop::Registration> m_stepTimer;
    std::unique_ptr<Base::Loop::Registration> m_publishTimer;
    nlohmann::json m_publishedLoad; ///< what GET /load shows: older than the truth by the lag
    std::deque<nlohmann::json> m_cacheEvents; ///< published late, some are lost
};

} // namespace Yokepond::Standin
