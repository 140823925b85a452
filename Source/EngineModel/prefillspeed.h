// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Learned prefill speeds of engines.

#pragma once

#include "Base/time.h"

namespace Yokepond::EngineModel {

/// A prefill that has ended.
struct CompletedPrefill
{
    double tokens = 0; ///< prompt tokens that were not cached
    Base::Duration duration {}; ///< time that the engine spent on them
};

/// Prefill speed in tokens per millisecond: tokens per time over the latest prefills, where older ones count less. Slow and fast
/// prefills have the same weight for each millisecond, so the value is neither that of the best nor of the worst ones.
class PrefillSpeed
{
public:
    /// Creates an estimate of @p tokensPerMs that counts like a prefill of @p priorTime; later observations replace it. Those of
    /// about the latest @p memory count.
    PrefillSpeed(double tokensPerMs, Base::Duration priorTime, Base::Duration memory);

    void add(const CompletedPrefill &prefill);

    double tokensPerMs() const;

private:
    double m_tokens;
    double m_milliseconds;
    double m_memoryMs;
};

/// Returns an estimate for the engines of a pool whose own speed is not known.
PrefillSpeed poolPrefillSpeed();

/// Returns an estimate for an engine of which nothing is known but the speed of its pool.
PrefillSpeed enginePrefillSpeed(double poolTokensPerMs);

} // namespace Yokepond::EngineModel
