// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Limits the runs that start at one endpoint to the rate that it advertises for all hosts together, and to the rate that it
/// accepts while it is cold.

#pragma once

#include "Base/time.h"
#include "Configuration/catalogue.h"
#include "Rate/ratestate.h"

#include <cstdint>
#include <optional>

namespace Yokepond::Rate {

/// Lowest enforced rate in runs per second. An endpoint that receives no requests cannot advertise that its limit has ended.
/// Therefore one with a lower limit, even 0, still receives runs at this rate.
inline constexpr double minRate = 0.25;

/// Returns the rate that is enforced for @p state, in runs per second; @p state must be limited.
double enforcedRate(const RateState &state);

/// Returns the lower one of the rates that apply at @p now to an endpoint with the advertised rate @p advertised, in runs per
/// second; nothing if neither applies.
std::optional<double> enforcedLimit(const RateState &advertised, const Configuration::ColdPeriod &cold, Base::Instant now);

/// Token bucket that refills at the endpoint's rate. The dispatcher that counts all runs at the endpoint keeps it.
class RateLimiter
{
public:
    /// Until @p sharedUntil another host, such as the previous dispatcher, may still grant runs with a limiter of its own. Until
    /// then only half of the rate is used.
    explicit RateLimiter(Base::Instant sharedUntil = {});

    /// Adopts @p update if it is newer. Returns whether that changes the limit.
    bool applyUpdate(Base::Instant now, const RateState &update);

    /// Sets the cold period of the endpoint, which may be over. Returns whether that changes the limit at @p now.
    bool setColdPeriod(Base::Instant now, const Configuration::ColdPeriod &cold);

    /// Returns the advertised rate.
    const RateState &rate() const;

    /// Returns the enforced rate in runs per second, or nothing if the runs are not limited.
    std::optional<double> limit(Base::Instant now) const;

    /// Returns the number of runs that the rate allows to start now.
    std::uint32_t left(Base::Instant now) const;

    /// Counts the start of a run.
    void spend(Base::Instant now);

private:
    /// Returns the number of runs allowed at @p now; negative after runs that exceeded the rate.
    double balance(Base::Instant now) const;
    /// Returns the number of runs that the rates from @p begin to @p end allow.
    double earned(Base::Instant begin, Base::Instant end) const;
    /// Sets the balance at @p now. A limit that was not enforced before starts with an empty bucket, since the runs that started
    /// before were not counted.
    void restart(Base::Instant now, bool wasLimited, double balanceBefore);

    RateState m_rate;
    Configuration::ColdPeriod m_cold;
    Base::Instant m_sharedUntil;
    double m_balance = 0; ///< number of runs that were allowed at m_updatedAt
    Base::Instant m_updatedAt {};
};

} // namespace Yokepond::Rate
