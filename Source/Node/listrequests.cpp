// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/listrequests.h"

#include <algorithm>

namespace Yokepond::Node {

namespace {

/// Time between the first two requests; doubled with each further request up to the maximum.
constexpr Base::Duration initialPeriod = std::chrono::seconds(1);

} // namespace

ListRequests::ListRequests(Base::Duration maxPeriod)
    : m_maxPeriod(maxPeriod)
{
}

bool ListRequests::take(Base::Instant now, bool wanted)
{
    if (!wanted) {
        m_period = Base::Duration::zero();
        return false;
    }
    if (now < m_nextAt) {
        return false;
    }
    m_period = std::clamp(m_period * 2, initialPeriod, m_maxPeriod);
    m_nextAt = now + m_period;
    return true;
}

bool ListRequests::isFirst() const
{
    return m_period == initialPeriod;
}

} // namespace Yokepond::Node
