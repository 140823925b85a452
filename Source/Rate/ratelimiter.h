// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// How many runs may begin at one endpoint now, by the rate that it takes from all hosts together.

#pragma once

#include "Base/time.h"
#include "Rate/ratestate.h"

#include <cstdint>

namespace Yokepond::Rate {

/// An endpoint that gets nothing cannot say that its limit has ended, so that one whose limit is lower still gets a run now and
/// then.
inline constexpr double leastRate = 0.25; ///< a second

/// The rate of @p known that runs are begun by, a second; it must be limited.
double enforcedRate(const RateState &known);

/// Kept by the one who counts all runs that begin at the endpoint.
class RateLimiter
{
public:
    /// Until @p sharedUntil another may still let runs begin by a count of its own, so that half of a limit is used.
    explicit RateLimiter(Base::Instant sharedUntil = {});

    /// Takes in what is newer; returns whether that changes what is known.
    bool applyUpdate(Base::Instant now, const RateState &news);

    const RateState &rate() const;
    bool isLimited() const;

    /// Runs that may begin now, as far as the rate goes.
    std::uint32_t left(Base::Instant now) const;

    /// A run begins.
    void spend(Base::Instant now);

private:
    double saved(Base::Instant now) const;
    double most() const;

    RateState m_known;
    Base::Instant m_sharedUntil;
    double m_saved = 0; ///< runs, at m_savedAt
    Base::Instant m_savedAt {};
};

} // namespace Yokepond::Rate
