// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/listrequests.h"

namespace Yokepond::Node {

namespace {

/// Minimum time between two requests. A list of 10,000 endpoints takes about a tenth of a second on a link of 10 Mbit/s.
constexpr Base::Duration listPeriod = std::chrono::seconds(1);

} // namespace

bool ListRequests::take(Base::Instant now, bool wanted)
{
    if (!wanted || now < m_nextAt) {
        return false;
    }
    m_nextAt = now + listPeriod;
    return true;
}

} // namespace Yokepond::Node
