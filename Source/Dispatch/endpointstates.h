// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What a dispatcher knows of the endpoints of one shard.

#pragma once

#include "Base/time.h"
#include "Dispatch/cooldowns.h"
#include "Dispatch/health.h"
#include "Dispatch/placement.h"
#include "Dispatch/window.h"
#include "Rate/ratelimiter.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace Yokepond::Dispatch {

using Window = std::variant<FixedWindow, AdaptiveWindow>;

/// What an operator sees of an endpoint.
struct EndpointView
{
    std::uint32_t endpoint = 0;
    std::uint32_t running = 0;
    std::uint32_t window = 0;
    HealthState health = HealthState::Healthy;
    bool drained = false;
    bool announcedLeaving = false;
    bool coolingDown = false; ///< for all homes
    double firstTokenMs = 0;
    double interTokenLatencyMs = 0;
    std::optional<double> ratePerSecond; ///< that it says it takes from all hosts together, if it limits that
};

struct EndpointState
{
    Window window = FixedWindow(1);
    Health health;
    std::uint32_t running = 0;
    std::uint32_t slots = 0;
    std::uint64_t kvCacheTokens = 0;
    double transferTokensPerMs = 0;
    bool drained = false;
    bool leaving = false;
    bool replaced = false; ///< another endpoint answers at its address; its name does not come back
    Base::Instant leavingUntil {}; ///< as its answers say
    bool announcedLeaving = false;
    Rate::RateLimiter rateLimiter;
    Cooldowns cooldowns;

    /// Whether it may get work, whatever its health.
    bool isUsable() const;

    /// Whether it may get work now, room aside.
    bool acceptsWork() const;

    /// Runs that it may have at once.
    std::uint32_t windowSize() const;
};

/// Of endpoints that all limit their rate, together.
struct PooledRate
{
    std::uint32_t left = 0; ///< runs that may begin now
    double perSecond = 0;

    /// Until @p before runs have begun and one more may.
    Base::Duration waitBehind(std::size_t ahead) const;
};

/// By number.
using EndpointStates = std::map<std::uint32_t, EndpointState>;

/// Windows of all that may get work.
std::size_t totalWindow(const EndpointStates &endpoints);

std::size_t totalRunning(const EndpointStates &endpoints);

std::size_t ejectedCount(const EndpointStates &endpoints);

/// Of those that are healthy; none if fewer than three have one to compare.
std::optional<Base::Duration> medianInterTokenLatency(const EndpointStates &endpoints);

/// Of those that are healthy; none if no run has told it yet.
std::optional<Base::Duration> medianFirstToken(const EndpointStates &endpoints);

/// Of those that are healthy; none if fewer than three have one to compare.
std::optional<double> medianErrorShare(const EndpointStates &endpoints);

/// All that take work, with all their slots free to choose; those whose rate is used up, or that rest, only if there are no
/// others.
std::vector<Candidate> usableCandidates(const EndpointStates &endpoints, Base::Instant now);

/// Whether each that takes work rests for some home.
bool allHaveCooldowns(const EndpointStates &endpoints, Base::Instant now);

/// How long all that take work rest for @p home; zero if one does not.
Base::Duration remainingCooldown(const EndpointStates &endpoints, Base::Instant now, std::uint64_t home);

/// Nothing if some endpoint that takes work does not limit its rate.
std::optional<PooledRate> pooledRate(const EndpointStates &endpoints, Base::Instant now);

std::vector<EndpointView> viewsOf(const EndpointStates &endpoints);

} // namespace Yokepond::Dispatch
