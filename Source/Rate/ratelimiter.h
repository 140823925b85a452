// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Limits the runs that start at one endpoint to the rate that it advertises for all hosts together.

#pragma once

#include "Base/time.h"
#include "Rate/ratestate.h"

#include <cstdint>

namespace Yokepond::Rate {

/// Lowest enforced rate in runs per second. An endpoint that receives no requests cannot advertise that its limit has ended.
/// Therefore one with a lower limit, even 0, still receives runs at this rate.
inline constexpr double minRate = 0.25;

/// Returns the rate that is enforced for @p state, in runs per second; @p state must be limited.
double enforcedRate(const RateState &state);

/// Token bucket that refills at the endpoint's rate. The dispatcher that counts all runs at the endpoint keeps it.
class RateLimiter
{
public:
    /// Until @p sharedUntil another host, such as the previous dispatcher, may still grant runs with a limiter of its own. Until
    /// then only half of the rate is used.
    explicit RateLimiter(Base::Instant sharedUntil = {});

    /// Adopts @p update if it is newer. Returns whether that changes the limit.
    bool applyUpdate(Base::Instant now, const RateState &update);

    const RateState &rate() const;
    bool isLimited() const;

    /// Returns the number of runs that the rate allows to start now.
    std::uint32_t left(Base::Instant now) const;

    /// Counts the start of a run.
    void spend(Base::Instant now);

private:
    /// Returns the number of runs allowed at @p now; negative after runs that exceeded the rate.
    double balance(Base::Instant now) const;
    /// Returns the size of the bucket.
    double capacity() const;

    RateState m_rate;
    Base::Instant m_sharedUntil;
    double m_balance = 0; ///< number of runs that were allowed at m_updatedAt
    Base::Instant m_updatedAt {};
};

} // namespace Yokepond::Rate
