// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Which endpoint with room gets a run.

#pragma once

#include "Dispatch/prefillpauses.h"
#include "Dispatch/queuedask.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace Yokepond::Dispatch {

/// An endpoint that could take the run: its load now and how many it may run at once.
struct Candidate
{
    std::uint32_t endpoint = 0;
    std::uint32_t running = 0;
    std::uint32_t window = 0;
    std::uint64_t kvCacheTokens = 0; ///< 0 if not known
    double transferTokensPerMs = 0; ///< of a kept prompt, from another endpoint; 0: none can be moved
};

/// Part of its window that is in use.
inline double loadOf(const Candidate &candidate)
{
    return static_cast<double>(candidate.running) / std::max(1U, candidate.window);
}

/// What a placement keeps of a run until it ends.
struct PlacedRun
{
    std::uint32_t endpoint = 0;
    std::uint64_t kvTokens = 0; ///< of memory that the run may come to need
    std::uint32_t prefillTokens = 0; ///< of its prompt, that the endpoint had to read
    int rank = 0; ///< with which the endpoint reads it
    Base::Duration prefillTime {}; ///< time that the endpoint needs for it, beside the tokens of others
    Base::Duration expectedFirstToken {}; ///< to the first token
    bool wasOnlyPrefill = false; ///< the endpoint had no other prompt to read
    std::uint32_t keeper = 0; ///< endpoint from which it takes what is kept of the prompt, 0 for none
    std::uint32_t reliabilityEpoch = 0; ///< the endpoint's when the run was placed
    Base::Duration allowedPause {}; ///< between its events
    Base::Instant placedAt {};
};

/// What a run's home saw of its tokens; zero where there were none.
struct ObservedTokens
{
    Base::Duration first {}; ///< after the run's start
    ObservedPauses pauses;
};

/// The endpoint with least to read before a prompt of some rank.
struct LeastBacklog
{
    std::uint32_t endpoint = 0;
    Base::Duration time {};
};

template<typename T>
concept PlacementPolicy = requires(T placement, const T &constant, const QueuedAsk &ask, std::span<const Candidate> candidates,
                                   std::uint32_t endpoint, const Candidate &candidate, Base::Instant now, const PlacedRun &run,
                                   const ObservedTokens &seen, const LeastBacklog &least) {
    /// The endpoint to use now; nothing if waiting is better. @p candidates is never empty.
    {
        constant.choose(ask, candidates, now)
    } -> std::same_as<std::optional<std::uint32_t>>;
    /// How long until the first token if the best of @p candidates were used now, as far as the policy can tell.
    {
        constant.expectedFirstToken(ask, candidates, now)
    } -> std::same_as<Base::Duration>;
    /// Of @p candidates for prompts of one rank.
    {
        constant.leastBacklog(1, candidates, now)
    } -> std::same_as<LeastBacklog>;
    /// No less than expected() for the candidates that @p least was found among; costs the same for any number of them.
    {
        constant.maxExpectedFirstToken(ask, least)
    } -> std::same_as<Base::Duration>;
    /// How long one endpoint is kept from other prompts by @p ask.
    {
        constant.prefillTime(ask)
    } -> std::same_as<Base::Duration>;
    {
        placement.recordPlacement(ask, candidate, now)
    } -> std::same_as<PlacedRun>;
    placement.recordEnd(run, seen);
    /// The endpoint fails or leaves: others can no longer rely on what it keeps.
    placement.markUnreliable(endpoint);
    /// The endpoint is gone for good.
    placement.removeEndpoint(endpoint);
};

/// What policies without a model of engines have in common.
class ModelFreePlacement
{
public:
    Base::Duration expectedFirstToken(const QueuedAsk &, std::span<const Candidate>, Base::Instant) const
    {
        return {};
    }
    LeastBacklog leastBacklog(int, std::span<const Candidate>, Base::Instant) const
    {
        return {};
    }
    Base::Duration maxExpectedFirstToken(const QueuedAsk &, const LeastBacklog &) const
    {
        return {};
    }
    Base::Duration prefillTime(const QueuedAsk &) const
    {
        return {};
    }
    void recordEnd(const PlacedRun &, const ObservedTokens &)
    {
    }
    void markUnreliable(std::uint32_t)
    {
    }
    void removeEndpoint(std::uint32_t)
    {
    }
};

/// Baseline: each in turn.
class RoundRobin : public ModelFreePlacement
{
public:
    std::optional<std::uint32_t> choose(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const;
    PlacedRun recordPlacement(const QueuedAsk &ask, const Candidate &candidate, Base::Instant now);

private:
    std::uint32_t m_last = 0;
};

/// Baseline: the one with the smallest share of its window in use.
class LeastLoaded : public ModelFreePlacement
{
public:
    std::optional<std::uint32_t> choose(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const;
    PlacedRun recordPlacement(const QueuedAsk &ask, const Candidate &candidate, Base::Instant now);
};

/// The one that ran the longest known beginning of the prompt, unless its load is too far above the least loaded one's.
class PrefixAffinity : public ModelFreePlacement
{
public:
    std::optional<std::uint32_t> choose(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const;
    PlacedRun recordPlacement(const QueuedAsk &ask, const Candidate &candidate, Base::Instant now);
    void markUnreliable(std::uint32_t endpoint);
    void removeEndpoint(std::uint32_t endpoint);

private:
    /// The endpoints that ran a prefix last, the latest first.
    using Holders = std::vector<std::uint32_t>;

    std::optional<std::uint32_t> holder(const QueuedAsk &ask, std::span<const Candidate> candidates, double maxLoad) const;

    absl::flat_hash_map<std::uint64_t, Holders> m_holders;
    std::deque<std::uint64_t> m_byAge;
};

static_assert(PlacementPolicy<RoundRobin>);
static_assert(PlacementPolicy<LeastLoaded>);
static_assert(PlacementPolicy<PrefixAffinity>);

} // namespace Yokepond::Dispatch
