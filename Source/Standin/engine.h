// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Simulates a model engine: continuous batching with a priority queue, a prefix cache, and streams that can be resumed.
/// A client cancels a run by closing its connection. No model runs. The text of a response is derived from the hash of the
/// prompt, so that a test can check that a response belongs to its request.

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

/// Options of the engine stand-in. CommonOptions::speed shortens the durations of steps, but not publishInterval and
/// resumeRetention.
struct EngineOptions
{
    CommonOptions common;
    std::uint32_t slots = 8; ///< maximum number of runs in the batch
    Base::Duration decodeBase = std::chrono::milliseconds(12); ///< duration of a step, before the additions below
    Base::Duration decodePerRun = std::chrono::microseconds(600); ///< added to the duration of a step for each run in the batch
    Base::Duration prefillPerToken = std::chrono::microseconds(60); ///< added for each prompt token that is prefilled
    std::uint32_t meanTokens = 48; ///< mean response length for requests without max_tokens
    std::size_t cacheBlocks = 4096; ///< capacity of the prefix cache
    Base::Duration publishInterval = std::chrono::seconds(2); ///< interval between updates of /load and /cache-events
    Base::Duration resumeRetention = std::chrono::seconds(10); ///< how long a finished or disconnected run can be resumed
};

/// Simulated faults and advertisements, set by POST /faults. The JSON fields have other names, see Engine::setFaults().
struct EngineFaults
{
    double slowdown = 1; ///< factor by which each step takes longer
    bool stall = false; ///< steps neither prefill prompts nor generate tokens
    bool rejectRuns = false; ///< reject new runs with status 503
    std::uint32_t errorPercent = 0; ///< percentage of new runs that get status 500
    std::uint32_t disconnectPercent = 0; ///< percentage of new runs whose connection is closed after a random token
    /// Header value: requests per second that the engine accepts from all hosts together; empty omits the header.
    std::string advertisedRate;
    std::string advertisedLeaving; ///< header value with which the engine announces that it will shut down; empty omits it
    std::string retryAfter; ///< value of the retry-after header when runs are rejected; empty omits it
    /// The process exits when the first response token for a prompt with this text is due; empty disables it.
    std::string crashOnText;
    std::uint32_t eventBytes = 0; ///< padding of each event of a stream; 0 means none
};

/// Serves the HTTP interface of the engine stand-in and simulates its batch in steps. A step takes a time that depends on the
/// batch. At its end each run whose prompt is prefilled gets one more token.
class Engine
{
public:
    Engine(Base::Loop &loop, EngineOptions options);

    /// Handles one HTTP request: starts or resumes a run, shows counters, or sets faults.
    void handle(const std::shared_ptr<Http::Exchange> &exchange);

private:
    enum class State { Waiting, Active, Suspended, Done };

    struct Run
    {
        std::string requestId; ///< value of the yokepond-request header; may be empty
        std::uint64_t promptHash = 0; ///< hash of the prompt, part of the text of each token
        bool crashesEngine = false; ///< whether its first token ends the process
        int priority = 0; ///< lower values are admitted first
        std::uint64_t arrivalNumber = 0; ///< order within a priority; a resumed run keeps its number
        bool stream = false;
        std::uint32_t responseTokens = 0; ///< length of the complete response
        std::uint32_t generated = 0; ///< tokens generated so far
        std::uint32_t prefillLeft = 0; ///< prompt tokens that are not prefilled yet
        std::uint32_t disconnectAtToken = 0; ///< the connection is closed after this token; 0 means never
        State state = State::Waiting;
        std::shared_ptr<Http::Exchange> exchange; ///< null while no client is connected
        std::size_t runLogIndex = 0;
        Base::Instant inactiveSince {}; ///< time of the last suspension or of the end
    };

    using RunPointer = std::shared_ptr<Run>;

    void startRun(const std::shared_ptr<Http::Exchange> &exchange);
    /// Continues the stream of the run with this request ID after the event that the last-event-id header names. A connection
    /// that still receives the stream is closed. Responds with status 404 if the run cannot be resumed.
    void resumeStream(const std::shared_ptr<Http::Exchange> &exchange, const std::string &requestId);
    /// Makes @p exchange the connection of the run. For a stream, sends the generated tokens after @p lastSentToken. The ID of a
    /// token's event is the number of the token, counted from 1; the final [DONE] event has the next number.
    void attachExchange(const RunPointer &run, const std::shared_ptr<Http::Exchange> &exchange, std::uint32_t lastSentToken);
    Http::Headers advertisementHeaders() const;
    void setFaults(const std::shared_ptr<Http::Exchange> &exchange);
    /// Admits waiting runs and starts the timer of the next step. Does nothing if that timer is already running or if there are
    /// no runs.
    void scheduleStep();
    /// Moves waiting runs into free slots, by priority and then by arrival.
    void admitWaitingRuns();
    void runStep();
    Base::Duration stepDuration() const;
    void generateToken(const RunPointer &run);
    void finishRun(const RunPointer &run);
    /// Frees the slot of a run whose connection was lost. The tokens generated so far are kept, so that a stream can be resumed.
    void suspendRun(const RunPointer &run);
    /// Updates the results of /load and /cache-events, and removes the request IDs of runs that can no longer be resumed.
    void runPeriodicTasks();
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
    std::uint64_t m_generatedTokens = 0; ///< tokens of all runs since the start
    std::unique_ptr<Base::Loop::Registration> m_stepTimer;
    std::unique_ptr<Base::Loop::Registration> m_periodicTimer;
    nlohmann::json m_publishedLoad; ///< result of GET /load, up to publishInterval old
    std::deque<nlohmann::json> m_cacheEvents; ///< result of GET /cache-events; randomly chosen events are left out
};

} // namespace Yokepond::Standin
