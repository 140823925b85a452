// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/pullscheduler.h"

#include <algorithm>

namespace Yokepond::Node {

namespace {

/// Between two asks: about as long as an answer takes from a host whose processor time is used up for a tenth of a second.
constexpr Base::Duration pullPeriod = std::chrono::milliseconds(200);
/// Another host is asked for all if the first does not answer: it may have gone, or be slow to send much. Doubled each time, so
/// that answers that are all slow do not pile up. Of three that do not answer the third is given up after 1.6 s, and the
/// fourth still answers within the two seconds in which a change must be known.
constexpr Base::Duration initialReplyTimeout = std::chrono::milliseconds(400);
constexpr Base::Duration maxReplyTimeout = std::chrono::milliseconds(600);

} // namespace

PullScheduler::PullScheduler(RevisionOrder order)
    : m_order(order)
    , m_replyTimeout(initialReplyTimeout)
{
}

Pull PullScheduler::selectPull(Base::Instant now, const std::string &from, std::uint64_t advertised, std::uint64_t own)
{
    // A host that has just started tells 0 and has nothing to give.
    const bool mayHaveNewer = m_order == RevisionOrder::Counter ? advertised > own : advertised != own && advertised != 0;
    if (!mayHaveNewer) {
        return Pull::None;
    }
    const bool replyPending = !m_pendingHost.empty() && now - m_requestedAt < m_replyTimeout;
    if (now < m_nextRequestAt || (replyPending && m_order == RevisionOrder::Counter)) {
        return Pull::None;
    }
    m_nextRequestAt = now + pullPeriod;
    if (replyPending) {
        return Pull::Endpoints;
    }
    m_replyTimeout = m_pendingHost.empty() ? initialReplyTimeout : std::min(maxReplyTimeout, m_replyTimeout * 2);
    m_pendingHost = from;
    m_requestedAt = now;
    return Pull::All;
}

void PullScheduler::receiveReply(const std::string &from)
{
    if (from == m_pendingHost) {
        m_pendingHost.clear();
    }
}

Base::Duration PullScheduler::timeSinceRequest(Base::Instant now) const
{
    return now - m_requestedAt;
}

} // namespace Yokepond::Node
