// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "EngineModel/prefillspeed.h"

#include <algorithm>
#include <cmath>

namespace Yokepond::EngineModel {

namespace {

using Base::Duration;

constexpr double minTokensPerMs = 4.0;
constexpr double maxTokensPerMs = 400.0;
/// Speed of a large model on one accelerator, which counts until an engine of the pool has been observed.
constexpr double initialTokensPerMs = 30.0;
/// The initial value counts little, so that one long prompt replaces most of it.
constexpr Duration poolPrior = std::chrono::milliseconds(50);
constexpr Duration poolMemory = std::chrono::seconds(60);
/// A single prefill of an engine may be disturbed, so the speed of the pool counts as much as a prefill of typical length.
constexpr Duration enginePrior = std::chrono::milliseconds(200);
/// An engine that slows down is believed after this much prefill.
constexpr Duration engineMemory = std::chrono::seconds(2);

} // namespace

PrefillSpeed::PrefillSpeed(double tokensPerMs, Duration priorTime, Duration memory)
    : m_tokens(tokensPerMs * Base::milliseconds(priorTime))
    , m_milliseconds(Base::milliseconds(priorTime))
    , m_memoryMs(Base::milliseconds(memory))
{
}

void PrefillSpeed::add(const CompletedPrefill &prefill)
{
    const double milliseconds = Base::milliseconds(prefill.duration);
    if (milliseconds <= 0) {
        return;
    }
    const double kept = std::exp(-milliseconds / m_memoryMs);
    m_tokens = m_tokens * kept + prefill.tokens;
    m_milliseconds = m_milliseconds * kept + milliseconds;
}

double PrefillSpeed::tokensPerMs() const
{
    return std::clamp(m_tokens / m_milliseconds, minTokensPerMs, maxTokensPerMs);
}

PrefillSpeed poolPrefillSpeed()
{
    return {initialTokensPerMs, poolPrior, poolMemory};
}

PrefillSpeed enginePrefillSpeed(double poolTokensPerMs)
{
    return {poolTokensPerMs, enginePrior, engineMemory};
}

} // namespace Yokepond::EngineModel
