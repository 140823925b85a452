// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Placement by a model of each engine.

#pragma once

#include "Dispatch/placement.h"
#include "Dispatch/promptcache.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <utility>

namespace Yokepond::Dispatch {

/// The one where the first token is expected soonest, by a model of each engine: the prompts it keeps, the prompts it still
/// has to read, and the memory of its runs. A run waits here rather than behind other prompts at an engine: the less urgent,
/// the earlier.
class SoonestFirstToken
{
public:
    std::optional<std::uint32_t> choose(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const;
    Base::Duration expectedFirstToken(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const;
    LeastBacklog leastBacklog(int rank, std::span<const Candidate> candidates, Base::Instant now) const;
    Base::Duration maxExpectedFirstToken(const QueuedAsk &ask, const LeastBacklog &least) const;
    Base::Duration prefillTime(const QueuedAsk &ask) const;
    PlacedRun recordPlacement(const QueuedAsk &ask, const Candidate &candidate, Base::Instant now);
    void recordEnd(const PlacedRun &run, const ObservedTokens &seen);
    void markUnreliable(std::uint32_t endpoint);
    void removeEndpoint(std::uint32_t endpoint);

private:
    struct Engine
    {
        explicit Engine(std::shared_ptr<LongestPause> poolLongestPause)
            : pauses(std::move(poolLongestPause))
        {
        }

        PromptCache cache;
        bool lendsPrompts = true; ///< others may take prompts that it keeps
        std::uint32_t reliabilityEpoch = 0; ///< grows each time that it is lost; runs placed since then can win it back
        Base::Instant transfersUntil {}; ///< end of the moves that others were told to make
        std::map<int, Base::Duration> pendingPrefill; ///< by rank: time to read what has been sent; the most urgent is read first
        std::map<int, Base::Duration> activePrefill; ///< by rank: the reading times of all runs that have not ended
        Base::Instant updatedAt {}; ///< of the times above
        std::uint64_t runningTokens = 0;
        PrefillPauses pauses;
        double tokensPerMs = 0; ///< read; learned, 0 before the first run that tells
    };

    /// Who keeps the longest beginning of a prompt that others can take now.
    struct Keeper
    {
        std::uint32_t endpoint = 0; ///< 0: none
        std::uint32_t tokens = 0;
        Base::Duration linkBusy {};
    };

    /// What an engine would have to do before the first token.
    struct PrefillPlan
    {
        std::uint32_t cachedTokens = 0; ///< tokens of the prompt, once those taken from the keeper have come
        std::uint32_t keeper = 0; ///< endpoint to take them from, 0 for none
        std::uint32_t transferredTokens = 0; ///< tokens
        Base::Duration transferTime {};
        Base::Duration prefillTime {};
    };

    /// What the engine costs before the streams that reading makes late are weighed, which takes longest to work out.
    struct Cost
    {
        Base::Duration backlog {};
        Base::Duration ownTime {};
        std::uint32_t cachedTokens = 0; ///< tokens of the prompt
        std::uint64_t kvTokens = 0; ///< tokens that the run would take up
        Base::Duration prefillTime {};
        double baseMs = 0; ///< apart from late streams
    };

    const Engine *engineOf(std::uint32_t endpoint) const;
    static std::uint32_t cachedTokensAt(const Engine &engine, const QueuedAsk &ask);
    Keeper keeperOf(const QueuedAsk &ask, Base::Instant now) const;
    PrefillPlan prefillPlanAt(const QueuedAsk &ask, const Candidate &candidate, const Keeper &keeper) const;
    Cost costAt(const QueuedAsk &ask, const Candidate &candidate, const Keeper &keeper, bool preferred, Base::Instant now) const;
    Base::Duration timeToFirstToken(const QueuedAsk &ask, const Candidate &candidate, const Keeper &keeper,
                                    Base::Instant now) const;
    static std::uint64_t kvTokensFor(const QueuedAsk &ask, const PrefillPlan &plan);
    bool fits(const QueuedAsk &ask, const Candidate &candidate, std::uint64_t kvTokens) const;
    /// By an engine of which nothing is known apart from the others.
    Base::Duration timeToPrefill(std::uint32_t tokens) const;
    Base::Duration timeToPrefill(const Engine *engine, std::uint32_t tokens) const;
    static Base::Duration backlogOf(const Engine &engine, int rank, Base::Instant now);
    /// Time until all that was sent has been read.
    static Base::Duration backlogOf(const Engine &engine, Base::Instant now);
    double expectedLateRuns(const QueuedAsk &ask, const Engine *engine, Base::Duration prefillTime, Base::Instant now) const;
    Base::Duration backlogAt(std::uint32_t endpoint, int rank, Base::Instant now) const;
    static void advance(Engine &engine, Base::Instant now);

    void logLongestPause(const PlacedRun &run, const ObservedTokens &seen);
    void updatePrefillSpeed(Engine &engine, const PlacedRun &run, Base::Duration firstToken);

    std::map<std::uint32_t, Engine> m_engines;
    std::shared_ptr<LongestPause> m_longestPause = std::make_shared<LongestPause>();
    /// Read by an engine that has not shown its own speed; learned from all, the start is that of a large model on one
    /// accelerator.
    double m_tokensPerMs = 30.0;
    Base::Duration m_loggedLongestPause {};
    double m_loggedTokensPerMs = m_tokensPerMs;
};

static_assert(PlacementPolicy<SoonestFirstToken>);

} // namespace Yokepond::Dispatch
