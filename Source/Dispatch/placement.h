// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Placement policies, which select an endpoint with free slots for a run.

#pragma once

#include "Dispatch/prefillpauses.h"
#include "Dispatch/queuedask.h"
#include "EngineModel/pendingprefixes.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace Yokepond::Dispatch {

/// An endpoint that could take the run, with its current load and its concurrency limit.
struct Candidate
{
    std::uint32_t endpoint = 0;
    std::uint32_t running = 0;
    std::uint32_t window = 0; ///< runs that it may have at once
    std::uint64_t kvCacheTokens = 0; ///< capacity of its KV cache, 0 if not known
    double transferTokensPerMs = 0; ///< speed of fetching a cached prompt from another endpoint; 0: it cannot
};

/// Returns the share of the window that is in use.
inline double loadOf(const Candidate &candidate)
{
    return static_cast<double>(candidate.running) / std::max(1U, candidate.window);
}

/// The record that a placement policy needs again when the run ends.
struct PlacedRun
{
    std::uint32_t endpoint = 0;
    std::uint64_t kvTokens = 0; ///< KV-cache tokens that the run may need
    std::uint32_t prefillTokens = 0; ///< tokens of its prompt that were not cached
    std::uint64_t prefill = 0; ///< number of its prefill at the endpoint; 0 if it is too short to matter
    bool prefillReported = false; ///< the home is to report the end of the prefill
    std::uint32_t requestClass = 0; ///< number of the class
    std::uint32_t organisation = 0; ///< number of the organisation
    std::uint32_t expectedTokens = 0; ///< the caller's hint of the length of the response; 0 for none
    std::vector<std::uint64_t> prefix; ///< hashes of the prompt's prefixes
    Base::Instant expectedPrefillEnd {};
    std::uint32_t keeper = 0; ///< endpoint from which a cached prefix is fetched, 0 for none
    std::uint32_t reliabilityEpoch = 0; ///< epoch of the endpoint when the run was placed
    Base::Duration allowedPause {}; ///< longest pause between events that the class allows
    bool tightStream = false; ///< no class of the pool allows much shorter pauses
    Base::Instant placedAt {};
};

/// Token times of a run as its home observed them; zero where there were none.
struct ObservedTokens
{
    Base::Duration first {}; ///< time from the start of the run to the first token
    ObservedPauses pauses;
    std::uint32_t completedEvents = 0; ///< number of events; 0 if the response is not complete
};

/// The endpoint with the shortest prefill backlog before a prompt of some rank.
struct MinBacklog
{
    std::uint32_t endpoint = 0;
    Base::Duration time {};
};

template<typename T>
concept PlacementPolicy = requires(T placement, const T &constant, const QueuedAsk &ask, std::span<const Candidate> candidates,
                                   std::uint32_t endpoint, const Candidate &candidate, Base::Instant now, const PlacedRun &run,
                                   const ObservedTokens &seen, const MinBacklog &shortest) {
    /// Returns the endpoint to use now, or nothing if waiting is better. @p candidates is never empty.
    {
        constant.choose(ask, candidates, now)
    } -> std::same_as<std::optional<std::uint32_t>>;
    /// Returns whether one of @p candidates is not set aside for other asks.
    {
        constant.mayUseAny(ask, candidates)
    } -> std::same_as<bool>;
    /// Returns the expected time to the first token if the best of @p candidates is used now; zero if the policy has no estimate.
    {
        constant.expectedFirstToken(ask, candidates, now)
    } -> std::same_as<Base::Duration>;
    /// Returns the candidate with the shortest backlog for prompts of the rank of @p ask.
    {
        constant.minBacklog(ask, candidates, now)
    } -> std::same_as<MinBacklog>;
    /// Returns an upper bound of expectedFirstToken() for the candidates from which @p shortest was found, in constant time.
    {
        constant.firstTokenUpperBound(ask, shortest)
    } -> std::same_as<Base::Duration>;
    /// Returns how long the response takes from its first token; zero if the policy has no estimate.
    {
        constant.expectedResponseTime(ask)
    } -> std::same_as<Base::Duration>;
    /// Returns for how long the prompt of @p ask occupies an endpoint; zero if the policy has no model of engines. The flag tells
    /// whether the ask is on hold while a prefix of the prompt is prefilled.
    {
        constant.expectedPrefillTime(ask, true)
    } -> std::same_as<Base::Duration>;
    /// Returns the prefix of the prompt that an engine is prefilling, if it is better to wait for it than to prefill it
    /// elsewhere.
    {
        constant.prefixToAwait(ask, now)
    } -> std::same_as<std::optional<EngineModel::PendingPrefix>>;
    {
        placement.recordPlacement(ask, candidate, now)
    } -> std::same_as<PlacedRun>;
    /// Records that the first token of a run came, which its home reported.
    placement.recordPrefillEnd(run, now);
    placement.recordEnd(run, seen, now);
    /// Adjusts what depends on the load; to be called regularly with all endpoints that accept work.
    placement.adjust(candidates, now);
    /// Marks an endpoint that fails or leaves: other endpoints can no longer rely on the prompts in its cache.
    placement.markUnreliable(endpoint);
    /// Removes an endpoint permanently.
    placement.removeEndpoint(endpoint);
};

/// Default functions for policies without a model of engines.
class ModelFreePlacement
{
public:
    bool mayUseAny(const QueuedAsk &, std::span<const Candidate>) const
    {
        return true;
    }
    Base::Duration expectedFirstToken(const QueuedAsk &, std::span<const Candidate>, Base::Instant) const
    {
        return {};
    }
    MinBacklog minBacklog(const QueuedAsk &, std::span<const Candidate>, Base::Instant) const
    {
        return {};
    }
    Base::Duration firstTokenUpperBound(const QueuedAsk &, const MinBacklog &) const
    {
        return {};
    }
    Base::Duration expectedPrefillTime(const QueuedAsk &, bool) const
    {
        return {};
    }
    Base::Duration expectedResponseTime(const QueuedAsk &) const
    {
        return {};
    }
    std::optional<EngineModel::PendingPrefix> prefixToAwait(const QueuedAsk &, Base::Instant) const
    {
        return std::nullopt;
    }
    void recordPrefillEnd(const PlacedRun &, Base::Instant)
    {
    }
    void adjust(std::span<const Candidate>, Base::Instant)
    {
    }
    void recordEnd(const PlacedRun &, const ObservedTokens &, Base::Instant)
    {
    }
    void markUnreliable(std::uint32_t)
    {
    }
    void removeEndpoint(std::uint32_t)
    {
    }
};

/// Baseline policy that selects the endpoints in turn.
class RoundRobin : public ModelFreePlacement
{
public:
    std::optional<std::uint32_t> choose(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const;
    PlacedRun recordPlacement(const QueuedAsk &ask, const Candidate &candidate, Base::Instant now);

private:
    std::uint32_t m_last = 0;
};

/// Baseline policy that selects the endpoint with the smallest share of its window in use.
class LeastLoaded : public ModelFreePlacement
{
public:
    std::optional<std::uint32_t> choose(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const;
    PlacedRun recordPlacement(const QueuedAsk &ask, const Candidate &candidate, Base::Instant now);
};

/// Selects the endpoint that recently ran the longest prefix of the prompt, unless its load is too far above that of the least
/// loaded endpoint.
class PrefixAffinity : public ModelFreePlacement
{
public:
    std::optional<std::uint32_t> choose(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const;
    PlacedRun recordPlacement(const QueuedAsk &ask, const Candidate &candidate, Base::Instant now);
    void markUnreliable(std::uint32_t endpoint);
    void removeEndpoint(std::uint32_t endpoint);

private:
    /// Endpoints that ran a prefix, the latest first.
    using Holders = std::vector<std::uint32_t>;

    std::optional<std::uint32_t> holder(const QueuedAsk &ask, std::span<const Candidate> candidates, double maxLoad) const;

    absl::flat_hash_map<std::uint64_t, Holders> m_holders;
    std::deque<std::uint64_t> m_byAge;
};

static_assert(PlacementPolicy<RoundRobin>);
static_assert(PlacementPolicy<LeastLoaded>);
static_assert(PlacementPolicy<PrefixAffinity>);

} // namespace Yokepond::Dispatch
