// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Which endpoint with room gets a run.

#pragma once

#include "Dispatch/promptcache.h"
#include "Dispatch/queuedask.h"

#include <absl/container/flat_hash_map.h>

#include <concepts>
#include <cstdint>
#include <deque>
#include <map>
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
    std::uint64_t memoryTokens = 0; ///< 0 if not known
};

/// What a placement keeps of a run until it ends.
struct PlacedRun
{
    std::uint32_t endpoint = 0;
    std::uint64_t tokens = 0; ///< of memory that the run may come to need
    std::uint32_t unread = 0; ///< of its prompt, that the endpoint had to read
    int rank = 0; ///< with which the endpoint reads it
    Base::Duration reading {}; ///< time that the endpoint needs for it, beside the tokens of others
    Base::Duration expected {}; ///< to the first token
    bool alone = false; ///< the endpoint had no other prompt to read
};

template<typename T>
concept PlacementPolicy = requires(T placement, const T &constant, const QueuedAsk &ask, std::span<const Candidate> candidates,
                                   std::uint32_t endpoint, const Candidate &candidate, Base::Instant now, const PlacedRun &run,
                                   Base::Duration firstToken) {
    /// The endpoint to use now; nothing if waiting is better. @p candidates is never empty.
    {
        constant.choose(ask, candidates, now)
    } -> std::same_as<std::optional<std::uint32_t>>;
    /// How long until the first token if the best of @p candidates were used now, as far as the policy can tell.
    {
        constant.expected(ask, candidates, now)
    } -> std::same_as<Base::Duration>;
    /// How long one endpoint is kept from other prompts by @p ask.
    {
        constant.work(ask)
    } -> std::same_as<Base::Duration>;
    {
        placement.placed(ask, candidate, now)
    } -> std::same_as<PlacedRun>;
    /// @p firstToken is zero if none came.
    placement.ended(run, firstToken);
    placement.forget(endpoint);
};

/// What policies without a model of engines have in common.
class WithoutModel
{
public:
    Base::Duration expected(const QueuedAsk &, std::span<const Candidate>, Base::Instant) const
    {
        return {};
    }
    Base::Duration work(const QueuedAsk &) const
    {
        return {};
    }
    void ended(const PlacedRun &, Base::Duration)
    {
    }
    void forget(std::uint32_t)
    {
    }
};

/// Baseline: each in turn.
class RoundRobin : public WithoutModel
{
public:
    std::optional<std::uint32_t> choose(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const;
    PlacedRun placed(const QueuedAsk &ask, const Candidate &candidate, Base::Instant now);

private:
    std::uint32_t m_last = 0;
};

/// Baseline: the one with the smallest share of its window in use.
class LeastLoaded : public WithoutModel
{
public:
    std::optional<std::uint32_t> choose(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const;
    PlacedRun placed(const QueuedAsk &ask, const Candidate &candidate, Base::Instant now);
};

/// The one that ran the longest known beginning of the prompt, unless its load is too far above the least loaded one's.
class PrefixAffinity : public WithoutModel
{
public:
    std::optional<std::uint32_t> choose(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const;
    PlacedRun placed(const QueuedAsk &ask, const Candidate &candidate, Base::Instant now);
    void forget(std::uint32_t endpoint);

private:
    /// The endpoints that ran a prefix last, the latest first.
    using Holders = std::vector<std::uint32_t>;

    std::optional<std::uint32_t> holder(const QueuedAsk &ask, std::span<const Candidate> candidates, double mostLoad) const;

    absl::flat_hash_map<std::uint64_t, Holders> m_holders;
    std::deque<std::uint64_t> m_byAge;
};

/// The one where the first token is expected soonest, by a model of each engine: the prompts it keeps, the prompts it still
/// has to read, and the memory of its runs. A run waits here rather than behind other prompts at an engine: the less urgent,
/// the earlier.
class SoonestFirstToken
{
public:
    std::optional<std::uint32_t> choose(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const;
    Base::Duration expected(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const;
    Base::Duration work(const QueuedAsk &ask) const;
    PlacedRun placed(const QueuedAsk &ask, const Candidate &candidate, Base::Instant now);
    void ended(const PlacedRun &run, Base::Duration firstToken);
    void forget(std::uint32_t endpoint);

private:
    struct Engine
    {
        PromptCache cache;
        std::map<int, Base::Duration> unread; ///< by rank: time to read what has been sent; the most urgent is read first
        std::map<int, Base::Duration> underWay; ///< by rank: the reading times of all runs that have not ended
        Base::Instant asOf {}; ///< of the times above
        std::uint64_t runningTokens = 0;
    };

    struct Cost
    {
        Base::Duration backlog {};
        Base::Duration own {};
        std::uint32_t kept = 0; ///< tokens of the prompt
        double load = 0;
    };

    const Engine *engineOf(std::uint32_t endpoint) const;
    static std::uint32_t keptOf(const Engine &engine, const QueuedAsk &ask);
    Cost costAt(const QueuedAsk &ask, const Candidate &candidate, bool preferred, Base::Instant now) const;
    bool fits(const QueuedAsk &ask, const Candidate &candidate, std::uint32_t kept) const;
    Base::Duration timeToRead(std::uint32_t tokens) const;
    static Base::Duration backlogOf(const Engine &engine, int rank, Base::Instant now);
    static void readOn(Engine &engine, Base::Instant now);

    void learnSpeed(const PlacedRun &run, Base::Duration firstToken);

    std::map<std::uint32_t, Engine> m_engines;
    double m_tokensPerMs = 30.0; ///< read by an engine; learned, the start is that of a large model on one accelerator
    double m_loggedTokensPerMs = m_tokensPerMs;
};

static_assert(PlacementPolicy<SoonestFirstToken>);
static_assert(PlacementPolicy<RoundRobin>);
static_assert(PlacementPolicy<LeastLoaded>);
static_assert(PlacementPolicy<PrefixAffinity>);

} // namespace Yokepond::Dispatch
