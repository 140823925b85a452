// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/pullscheduler.h"

#include <algorithm>

namespace Yokepond::Node {

namespace {

/// Minimum time between two requests. A host takes up to about 200 ms to reply if its processor quota is exhausted for 0.1 s.
constexpr Base::Duration pullPeriod = std::chrono::milliseconds(200);
/// Timeout after which another host is asked for all changes: the first one may be down or on a slow link. It is doubled each
/// time up to the maximum, so that slow replies do not pile up. If three hosts in a row do not reply, the third times out
/// after 1.6 s, and a fourth can still reply within the two seconds in which a change must reach all hosts.
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
    // A host that has just started advertises 0 and has nothing to send.
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
