// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The dispatcher's state of the endpoints of one shard.

#pragma once

#include "Base/time.h"
#include "Dispatch/cooldowns.h"
#include "Dispatch/health.h"
#include "Dispatch/placement.h"
#include "Dispatch/window.h"
#include "Peer/message.h"
#include "Rate/ratelimiter.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Yokepond::Dispatch {

using Window = std::variant<FixedWindow, AdaptiveWindow>;

/// The state of an endpoint that is shown to operators.
struct EndpointView
{
    std::uint32_t endpoint = 0;
    std::uint32_t running = 0;
    std::uint32_t window = 0;
    HealthState health = HealthState::Healthy;
    bool drained = false; ///< not usable, for any reason
    bool announcedLeaving = false;
    bool coolingDown = false; ///< in cooldown for all homes
    double firstTokenMs = 0;
    double interTokenLatencyMs = 0;
    std::optional<double> ratePerSecond; ///< advertised limit on the runs from all hosts together, if there is one
};

struct EndpointState
{
    Window window = FixedWindow(1);
    Health health;
    std::uint32_t running = 0;
    std::uint32_t slots = 0;
    std::uint64_t kvCacheTokens = 0; ///< see Configuration::Endpoint
    double transferTokensPerMs = 0; ///< see Configuration::Endpoint
    bool drained = false; ///< drained by an operator, or moved to another shard
    bool leaving = false; ///< listed by the platform as leaving
    bool replaced = false; ///< another endpoint has its address; this one is never used again
    Base::Instant leavingUntil {}; ///< end of the period in which it announced that it is leaving
    bool announcedLeaving = false;
    Rate::RateLimiter rateLimiter;
    Cooldowns cooldowns;
    std::string lastFailureFrom; ///< home of the last run that failed, for logs
    Peer::RunResult lastFailure = Peer::RunResult::Completed; ///< result of that run, for logs

    /// Returns whether the endpoint may get work, apart from its health.
    bool isUsable() const;

    /// Returns whether the endpoint may get work now, apart from free slots.
    bool acceptsWork() const;

    /// Returns the concurrency limit of the endpoint.
    std::uint32_t windowSize() const;
};

/// The combined rate limit of several endpoints that all limit their rate.
struct PooledRate
{
    std::uint32_t left = 0; ///< runs that may start now
    double perSecond = 0;

    /// Returns the time until one more run may start after @p ahead other runs have started.
    Base::Duration waitBehind(std::size_t ahead) const;
};

/// The endpoints by number.
using EndpointStates = std::map<std::uint32_t, EndpointState>;

/// Returns the sum of the windows of all usable endpoints that are not in cooldown for all homes.
std::size_t totalWindow(const EndpointStates &endpoints);

/// Returns the number of active runs on all endpoints.
std::size_t totalRunning(const EndpointStates &endpoints);

std::size_t ejectedCount(const EndpointStates &endpoints);

/// Returns the median over the healthy endpoints, or nothing if fewer than three of them have a value.
std::optional<Base::Duration> medianInterTokenLatency(const EndpointStates &endpoints);

/// Returns the median over the healthy endpoints, or nothing if no run has been observed yet.
std::optional<Base::Duration> medianFirstToken(const EndpointStates &endpoints);

/// Returns the median over the healthy endpoints, or nothing if fewer than three of them have a value.
std::optional<double> medianErrorShare(const EndpointStates &endpoints);

/// Returns all endpoints that accept work as candidates with all their slots. Returns those that have reached their rate limit or
/// are in cooldown only if there are no others.
std::vector<Candidate> usableCandidates(const EndpointStates &endpoints, Base::Instant now);

/// Returns whether each endpoint that accepts work has a cooldown for at least one home.
bool allHaveCooldowns(const EndpointStates &endpoints, Base::Instant now);

/// Returns the time until the first endpoint accepts requests of @p home again; zero if one does so now.
Base::Duration remainingCooldown(const EndpointStates &endpoints, Base::Instant now, std::uint64_t home);

/// Returns the combined rate limit, or nothing if an endpoint that accepts work has none.
std::optional<PooledRate> pooledRate(const EndpointStates &endpoints, Base::Instant now);

std::vector<EndpointView> viewsOf(const EndpointStates &endpoints);

} // namespace Yokepond::Dispatch
