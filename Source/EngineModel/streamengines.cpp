// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "EngineModel/streamengines.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>
#include <vector>

namespace Yokepond::EngineModel {

namespace {

using Base::Duration;
using Base::Instant;

/// Callers notice if more than one stream in thirty is late.
constexpr double tolerableLateShare = 0.03;
/// Weight of the latest stream in the share of late ones.
constexpr double latestWeight = 0.02;
/// Engines stay set aside for this time after the last late streams, which is longer than most streams last. They are then
/// offered to all prompts again, to find out whether the streams still need them.
constexpr Duration retention = std::chrono::seconds(20);
/// Share of an engine's slots that tight streams use when they have the engine to themselves. The others are for bursts, and each
/// further stream makes all tokens slower.
constexpr double usedSlots = 0.4;
/// Share of an engine's time for the prefill of tight streams. Each of these prompts takes a step of the engine at most, so the
/// pauses stay short.
constexpr double prefillTimeShare = 0.5;
/// Period of the moving average of the prefill of tight streams.
constexpr Duration loadPeriod = std::chrono::milliseconds(500);
/// At most this share of the engines is set aside, so that the other classes are served too.
constexpr double maxShare = 0.5;
/// A part of the engines that are not needed returns to the other classes after each such time, since the number of streams
/// varies.
constexpr Duration shrinkPeriod = std::chrono::seconds(1);
constexpr std::size_t shrinkDivisor = 4;

} // namespace

void StreamEngines::streamStarted(Duration prefillTime)
{
    ++m_active;
    m_prefillSinceUpdate += prefillTime;
}

void StreamEngines::streamEnded(std::optional<bool> late, Instant now)
{
    m_active -= std::min(m_active, 1U);
    if (!late) {
        return;
    }
    m_lateShare += latestWeight * ((*late ? 1.0 : 0.0) - m_lateShare);
    if (m_lateShare > tolerableLateShare) {
        m_lastLate = now;
    }
}

void StreamEngines::measurePrefillLoad(Instant now)
{
    const double passed = Base::seconds(now - std::exchange(m_lastUpdate, now));
    const double load = Base::seconds(std::exchange(m_prefillSinceUpdate, Duration::zero())) / std::max(passed, 1e-3);
    const double weight = std::min(1.0, passed / Base::seconds(loadPeriod));
    m_prefillLoad += weight * (load - m_prefillLoad);
}

std::size_t StreamEngines::neededFor(std::span<const StreamEngineCandidate> engines) const
{
    double slots = 0;
    for (const StreamEngineCandidate &engine : engines) {
        slots += engine.slots;
    }
    if (slots <= 0) {
        return 0;
    }
    const double perEngine = usedSlots * slots / static_cast<double>(engines.size());
    return static_cast<std::size_t>(std::ceil(std::max(m_active / perEngine, m_prefillLoad / prefillTimeShare)));
}

void StreamEngines::grow(std::span<const StreamEngineCandidate> engines, std::size_t needed)
{
    std::vector<StreamEngineCandidate> others;
    std::ranges::copy_if(engines, std::back_inserter(others),
                         [this](const StreamEngineCandidate &engine) { return !m_engines.contains(engine.endpoint); });
    // Fast engines have the shortest pauses and need to be the fewest. Those with nothing to prefill are free for streams at
    // once.
    const auto order = [](const StreamEngineCandidate &engine) {
        return std::tuple(engine.backlog > Duration::zero(), -engine.tokensPerMs, engine.endpoint);
    };
    std::ranges::sort(others, {}, order);
    for (const StreamEngineCandidate &engine : others) {
        if (m_engines.size() >= needed) {
            return;
        }
        m_engines.insert(engine.endpoint);
    }
}

void StreamEngines::shrink(std::size_t excess)
{
    for (std::size_t count = (excess + shrinkDivisor - 1) / shrinkDivisor; count > 0; --count) {
        m_engines.erase(std::prev(m_engines.end()));
    }
}

StreamEnginesChange StreamEngines::update(std::span<const StreamEngineCandidate> engines, Instant now)
{
    measurePrefillLoad(now);
    std::erase_if(m_engines, [&](std::uint32_t endpoint) {
        return !std::ranges::binary_search(engines, endpoint, {}, &StreamEngineCandidate::endpoint);
    });
    const auto most = static_cast<std::size_t>(maxShare * static_cast<double>(engines.size()));
    while (m_engines.size() > most) {
        m_engines.erase(std::prev(m_engines.end()));
    }
    if (!m_lastLate || now - *m_lastLate > retention) {
        const bool any = !m_engines.empty();
        m_engines.clear();
        return any ? StreamEnginesChange::Ended : StreamEnginesChange::None;
    }
    const std::size_t needed = std::min(neededFor(engines), most);
    if (needed > m_engines.size()) {
        grow(engines, needed);
        m_lastShrink = now;
        return StreamEnginesChange::Grew;
    }
    // One engine more than needed is kept, so that the number does not change with each stream.
    if (needed + 1 < m_engines.size() && now - m_lastShrink >= shrinkPeriod) {
        shrink(m_engines.size() - needed - 1);
        m_lastShrink = now;
        return StreamEnginesChange::Shrank;
    }
    return StreamEnginesChange::None;
}

void StreamEngines::clear()
{
    m_engines.clear();
}

bool StreamEngines::contains(std::uint32_t endpoint) const
{
    return m_engines.contains(endpoint);
}

bool StreamEngines::empty() const
{
    return m_engines.empty();
}

std::size_t StreamEngines::size() const
{
    return m_engines.size();
}

std::uint32_t StreamEngines::activeStreams() const
{
    return m_active;
}

double StreamEngines::lateShare() const
{
    return m_lateShare;
}

} // namespace Yokepond::EngineModel
