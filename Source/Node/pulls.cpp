// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/pulls.h"

#include <algorithm>

namespace Yokepond::Node {

namespace {

/// Between two asks: about as long as an answer takes from a host whose processor time is used up for a tenth of a second.
constexpr Base::Duration pullPeriod = std::chrono::milliseconds(200);
/// Another host is asked for all if the first does not answer: it may have gone, or be slow to send much. Doubled each time, so
/// that answers that are all slow do not pile up. Of three that do not answer the third is given up after 1.6 s, and the
/// fourth still answers within the two seconds in which a change must be known.
constexpr Base::Duration firstPatience = std::chrono::milliseconds(400);
constexpr Base::Duration longestPatience = std::chrono::milliseconds(600);

} // namespace

Pulls::Pulls(RevisionOrder order)
    : m_order(order)
    , m_patience(firstPatience)
{
}

Pull Pulls::due(Base::Instant now, const std::string &from, std::uint64_t heard, std::uint64_t own)
{
    // A host that has just started tells 0 and has nothing to give.
    const bool mayHaveMore = m_order == RevisionOrder::Counter ? heard > own : heard != own && heard != 0;
    if (!mayHaveMore) {
        return Pull::None;
    }
    const bool awaited = !m_asked.empty() && now - m_askedAt < m_patience;
    if (now < m_next || (awaited && m_order == RevisionOrder::Counter)) {
        return Pull::None;
    }
    m_next = now + pullPeriod;
    if (awaited) {
        return Pull::Endpoints;
    }
    m_patience = m_asked.empty() ? firstPatience : std::min(longestPatience, m_patience * 2);
    m_asked = from;
    m_askedAt = now;
    return Pull::All;
}

void Pulls::answered(const std::string &from)
{
    if (from == m_asked) {
        m_asked.clear();
    }
}

Base::Duration Pulls::sinceAsked(Base::Instant now) const
{
    return now - m_askedAt;
}

} // namespace Yokepond::Node
