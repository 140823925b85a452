// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/window.h"

#include <algorithm>

namespace Yokepond::Dispatch {

namespace {

constexpr double decreaseFactor = 0.85;
constexpr double maxSizeFactor = 1.5;
constexpr double gapMargin = 1.0;
/// Share of the first-token target that a run may spend at the endpoint. The remaining time is for the dispatcher's queue, which
/// has more information about the requests than the endpoint's own queue.
constexpr double endpointShareOfFirstToken = 0.35;
constexpr Base::Duration decreasePeriod = std::chrono::seconds(1);

bool missesTargets(const Observation &observation)
{
    return observation.failed || observation.gap > observation.gapTarget * gapMargin
        || observation.firstToken > observation.firstTokenTarget * endpointShareOfFirstToken;
}

} // namespace

FixedWindow::FixedWindow(std::uint32_t slots)
    : m_slots(slots)
{
}

void FixedWindow::observe(const Observation &, Base::Instant)
{
}

std::uint32_t FixedWindow::size() const
{
    return m_slots;
}

AdaptiveWindow::AdaptiveWindow(std::uint32_t slots)
    : m_size(slots)
    , m_maxSize(maxSizeFactor * slots)
{
}

void AdaptiveWindow::observe(const Observation &observation, Base::Instant now)
{
    if (missesTargets(observation)) {
        // Runs that started before the last decrease say nothing about the current window.
        if (now - m_lastDecrease >= decreasePeriod) {
            m_lastDecrease = now;
            m_size = std::max(1.0, m_size * decreaseFactor);
        }
        return;
    }
    if (observation.windowWasFull) {
        m_size = std::min(m_maxSize, m_size + 1.0 / m_size);
    }
}

std::uint32_t AdaptiveWindow::size() const
{
    return static_cast<std::uint32_t>(m_size);
}

} // namespace Yokepond::Dispatch
