// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Whether asks can still be on time, as far as it can be told of one moment.

#pragma once

#include "Dispatch/endpointstates.h"
#include "Dispatch/queuedask.h"
#include "Dispatch/soonestfirsttoken.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace Yokepond::Dispatch {

using Placement = std::variant<RoundRobin, LeastLoaded, PrefixAffinity, SoonestFirstToken>;

/// What is to be served before an ask.
struct QueueAhead
{
    Base::Duration prefillTime {};
    std::size_t asks = 0;
};

struct WaitEstimate
{
    Base::Duration lateness {}; ///< by which the first token must be expected to miss its target; zero if it need not
    bool missesDeadline = false; ///< it cannot begin before its deadline
    Base::Duration cooldown {}; ///< until an endpoint takes requests of its home
};

/// Of one shard at one moment; what several asks have in common is found once, when it is first needed.
class WaitEstimates
{
public:
    /// @p refuseLate: whether asks are to be judged by their targets, and not by their deadlines alone.
    WaitEstimates(Base::Instant now, const EndpointStates &endpoints, const Placement &placement, bool refuseLate);

    /// Whether what is ahead of an ask tells anything about it.
    bool needQueueAhead();

    WaitEstimate forAsk(const QueuedAsk &ask, const QueueAhead &ahead);

private:
    Base::Duration latenessOf(const QueuedAsk &ask, const QueueAhead &ahead);
    const std::optional<PooledRate> &rate();
    /// How long the rates of the endpoints keep an ask behind @p asks; zero if some endpoint limits none.
    Base::Duration rateLimitWait(std::size_t asks);
    /// How long no endpoint takes requests of @p home, as they have asked it.
    Base::Duration remainingCooldown(std::uint64_t home);

    Base::Instant m_now;
    const EndpointStates &m_endpoints;
    const Placement &m_placement;
    bool m_refuseLate;
    std::vector<Candidate> m_usable;
    std::optional<bool> m_allHaveCooldowns; ///< for some home
    std::map<std::uint64_t, Base::Duration> m_cooldowns; ///< by home
    std::map<int, LeastBacklog> m_leastBacklogs; ///< by rank
    std::optional<std::optional<PooledRate>> m_rate;
};

} // namespace Yokepond::Dispatch
