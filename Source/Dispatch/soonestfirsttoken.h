// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A placement policy that estimates the first-token time at each engine.

#pragma once

#include "Dispatch/placement.h"
#include "Dispatch/promptcache.h"
#include "EngineModel/pendingprefixes.h"
#include "EngineModel/prefillqueue.h"
#include "EngineModel/prefillspeed.h"
#include "EngineModel/responselengths.h"
#include "EngineModel/streamengines.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace Yokepond::Dispatch {

/// Selects the endpoint where the first token costs least. The cost is mainly the expected time to the first token; it also
/// counts the delay that the prefill causes for other runs. The estimate comes from a model of each engine: the prompts in its KV
/// cache, its prefill backlog, and the memory of its runs. An ask stays in the dispatcher's queue when the backlog of all engines
/// is too long for it; the limit is lower for less urgent tiers. The name is that of the setting's value `soonest-first-token`.
/// An engine is an endpoint that runs a language model.
class SoonestFirstToken
{
public:
    /// What the configuration can switch off.
    struct Options
    {
        bool sharePrefills = true;
        bool streamEngines = true;
    };

    void setOptions(Options options);

    /// Returns the engines that are set aside for tight streams.
    const EngineModel::StreamEngines &streamEngines() const;

    std::optional<std::uint32_t> choose(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const;
    bool mayUseAny(const QueuedAsk &ask, std::span<const Candidate> candidates) const;
    Base::Duration expectedFirstToken(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const;
    MinBacklog minBacklog(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const;
    Base::Duration firstTokenUpperBound(const QueuedAsk &ask, const MinBacklog &shortest) const;
    Base::Duration expectedPrefillTime(const QueuedAsk &ask, bool isHeld) const;
    Base::Duration expectedResponseTime(const QueuedAsk &ask) const;
    std::optional<EngineModel::PendingPrefix> prefixToAwait(const QueuedAsk &ask, Base::Instant now) const;
    PlacedRun recordPlacement(const QueuedAsk &ask, const Candidate &candidate, Base::Instant now);
    void recordPrefillEnd(const PlacedRun &run, Base::Instant now);
    void recordEnd(const PlacedRun &run, const ObservedTokens &seen, Base::Instant now);
    void adjust(std::span<const Candidate> candidates, Base::Instant now);
    void markUnreliable(std::uint32_t endpoint);
    void removeEndpoint(std::uint32_t endpoint);

private:
    struct Engine
    {
        Engine(std::shared_ptr<LongestPause> poolLongestPause, double poolTokensPerMs)
            : pauses(std::move(poolLongestPause))
            , speed(EngineModel::enginePrefillSpeed(poolTokensPerMs))
        {
        }

        PromptCache cache;
        bool allowsTransfers = true; ///< other engines may fetch prompts from it
        std::uint32_t reliabilityEpoch
            = 0; ///< grows each time that the engine is marked unreliable; only runs placed later can make it reliable again
        Base::Instant transfersUntil {}; ///< expected end of the transfers from this engine
        EngineModel::PrefillQueue prefills;
        Base::Instant restUntil {}; ///< until then it is left to the tokens of its runs, after it did nothing but prefill
        std::uint64_t runningTokens = 0; ///< KV-cache tokens of its active runs
        PrefillPauses pauses;
        EngineModel::PrefillSpeed speed;
    };

    /// The keeper of a prompt: the engine from which others can now fetch the longest cached prefix.
    struct Keeper
    {
        std::uint32_t endpoint = 0; ///< 0 for none
        std::uint32_t tokens = 0; ///< length of the prefix
        Base::Duration transferDelay {}; ///< time until its current transfers end
    };

    /// The work that an engine has to do before the first token of a run.
    struct PrefillPlan
    {
        std::uint32_t cachedTokens = 0; ///< tokens of the prompt in its cache after the transfer from the keeper
        std::uint32_t keeperTokens = 0; ///< longest prefix that another engine has cached, whether it is fetched or not
        std::uint32_t keeper = 0; ///< endpoint to fetch a prefix from, 0 for none
        std::uint32_t transferredTokens = 0; ///< tokens fetched from the keeper
        Base::Duration transferTime {}; ///< time until the transfer is complete
        Base::Duration prefillTime {}; ///< time of the prefill if the engine did nothing else
    };

    /// The cost of placing a run at an engine, without the streams that its prefill makes late. Those are counted last, because
    /// estimating them takes the most time.
    struct Cost
    {
        Base::Duration backlog {}; ///< prefill time before the run's own
        Base::Duration ownTime {}; ///< transfer and prefill of the run's prompt
        std::uint32_t cachedTokens = 0; ///< tokens of the prompt that need no prefill
        std::uint64_t kvTokens = 0; ///< KV-cache tokens that the run needs
        Base::Duration effectivePrefillTime {}; ///< prefill time slowed by the tokens of other runs
        double baseMs = 0; ///< cost in milliseconds, without late streams
    };

    /// Returns whether @p endpoint is on the side of the ask: the engines for tight streams, or the others.
    bool isOnSideOf(const QueuedAsk &ask, std::uint32_t endpoint) const;
    /// Returns the candidates on the side of the ask, or all if there are none.
    std::vector<Candidate> sideOf(const QueuedAsk &ask, std::span<const Candidate> candidates) const;
    std::optional<std::uint32_t> chooseFrom(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const;
    const Engine *engineOf(std::uint32_t endpoint) const;
    static std::uint32_t cachedTokensAt(const Engine &engine, const QueuedAsk &ask);
    Keeper keeperOf(const QueuedAsk &ask, Base::Instant now) const;
    PrefillPlan prefillPlanAt(const QueuedAsk &ask, const Candidate &candidate, const Keeper &keeper) const;
    Cost costAt(const QueuedAsk &ask, const Candidate &candidate, const Keeper &keeper, bool preferred, Base::Instant now) const;
    Base::Duration timeToFirstToken(const QueuedAsk &ask, const Candidate &candidate, const Keeper &keeper,
                                    Base::Instant now) const;
    static std::uint64_t kvTokensFor(const QueuedAsk &ask, const PrefillPlan &plan);
    bool fits(const QueuedAsk &ask, const Candidate &candidate, std::uint64_t kvTokens) const;
    /// Returns the prefill time at the average speed of the pool.
    Base::Duration timeToPrefill(std::uint32_t tokens) const;
    Base::Duration timeToPrefill(const Engine *engine, std::uint32_t tokens) const;
    /// Returns the time before the engine begins a new prefill for the class.
    static Base::Duration backlogOf(const Engine &engine, const ClassParameters &parameters, Base::Instant now);
    /// Returns the time until the engine has prefilled all prompts sent to it.
    static Base::Duration backlogOf(const Engine &engine, Base::Instant now);
    double expectedLateRuns(const QueuedAsk &ask, const Engine *engine, Base::Duration prefillTime, Base::Instant now) const;
    Base::Duration backlogAt(std::uint32_t endpoint, const ClassParameters &parameters, Base::Instant now) const;
    /// Adds the prompt of a new run to the prefill queue of its engine.
    void addPrefill(const QueuedAsk &ask, const PrefillPlan &plan, Engine &engine, PlacedRun &run, Base::Instant now);
    void addPendingPrefixes(const QueuedAsk &ask, const PlacedRun &run, std::uint32_t cachedTokens, Base::Instant expectedEnd);
    void observeLength(const PlacedRun &run, const ObservedTokens &seen);
    void logLongestPause(const PlacedRun &run, const ObservedTokens &seen);
    void updatePrefillSpeed(Engine &engine, const PlacedRun &run, const EngineModel::CompletedPrefill &completed);

    Options m_options;
    std::map<std::uint32_t, Engine> m_engines;
    std::shared_ptr<LongestPause> m_longestPause = std::make_shared<LongestPause>();
    /// Prefill speed of engines whose own speed is not known yet, learned from all engines of the pool.
    EngineModel::PrefillSpeed m_poolSpeed = EngineModel::poolPrefillSpeed();
    EngineModel::PendingPrefixes m_pendingPrefixes;
    EngineModel::StreamEngines m_streamEngines;
    EngineModel::ResponseLengths m_lengths;
    Base::Duration m_eventInterval {}; ///< moving average of the time between the events of a stream
    std::uint64_t m_lastPrefill = 0; ///< number of the latest prefill
    Base::Duration m_loggedLongestPause {};
    double m_loggedTokensPerMs = m_poolSpeed.tokensPerMs();
};

static_assert(PlacementPolicy<SoonestFirstToken>);

} // namespace Yokepond::Dispatch
