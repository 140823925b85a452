// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/pulls.h"

namespace Yokepond::Node {

namespace {

/// Between two asks: about as long as an answer takes from a host whose processor time is used up for a tenth of a second.
constexpr Base::Duration pullPeriod = std::chrono::milliseconds(200);

} // namespace

Pulls::Pulls(RevisionOrder order)
    : m_order(order)
{
}

bool Pulls::due(Base::Instant now, std::uint64_t heard, std::uint64_t own)
{
    const bool mayHaveMore = m_order == RevisionOrder::Counter ? heard > own : heard != own;
    if (!mayHaveMore || now < m_next) {
        return false;
    }
    m_next = now + pullPeriod;
    return true;
}

} // namespace Yokepond::Node
