// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Estimates of the time that asks have to wait, and of whether they can still be on time.

#pragma once

#include "Dispatch/endpointstates.h"
#include "Dispatch/queuedask.h"
#include "Dispatch/soonestfirsttoken.h"

#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace Yokepond::Dispatch {

using Placement = std::variant<RoundRobin, LeastLoaded, PrefixAffinity, SoonestFirstToken>;

/// The asks that are to be served before an ask.
struct QueueAhead
{
    Base::Duration prefillTime {}; ///< sum over these asks
    std::size_t asks = 0;
};

/// The estimate for one ask.
struct WaitEstimate
{
    Base::Duration lateness {}; ///< expected time by which the first token misses its target; zero if it can be on time
    bool missesDeadline = false; ///< the run cannot start before the deadline, or its response cannot end before it
    Base::Duration cooldown {}; ///< time until an endpoint accepts requests of the home
};

/// Computes wait estimates for the asks of one shard at one time point. Values that several asks need are computed once, when
/// they are first needed, so an object must not be used after the state of the shard has changed.
class WaitEstimates
{
public:
    /// With @p refuseLate the estimates consider the first-token targets; otherwise only the deadlines.
    WaitEstimates(Base::Instant now, const EndpointStates &endpoints, const Placement &placement, bool refuseLate);

    /// Returns whether the estimates depend on the asks ahead in the queue.
    bool needQueueAhead();

    WaitEstimate forAsk(const QueuedAsk &ask, const QueueAhead &ahead);

private:
    Base::Duration latenessOf(const QueuedAsk &ask, const QueueAhead &ahead);
    Base::Duration prefillWait(const QueuedAsk &ask, const QueueAhead &ahead);
    const std::vector<Candidate> &usable();
    Base::Duration leastResponseTime(const QueuedAsk &ask) const;
    const std::optional<PooledRate> &rate();
    /// Returns how long the rate limits of the endpoints delay an ask behind @p asks others; zero if an endpoint has no limit.
    Base::Duration rateLimitWait(std::size_t asks);
    /// Returns the time until an endpoint accepts requests of @p home.
    Base::Duration remainingCooldown(std::uint64_t home);

    Base::Instant m_now;
    const EndpointStates &m_endpoints;
    const Placement &m_placement;
    bool m_refuseLate;
    std::vector<Candidate> m_usable;
    std::optional<bool> m_allHaveCooldowns; ///< for at least one home
    std::map<std::uint64_t, Base::Duration> m_cooldowns; ///< by home
    std::map<std::pair<Configuration::Urgency, bool>, MinBacklog>
        m_minBacklogs; ///< by urgency, and whether the class has the tightest gap
    std::optional<std::optional<PooledRate>> m_rate;
};

} // namespace Yokepond::Dispatch
