// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/streamorigins.h"

#include "Base/hash.h"
#include "Membership/duty.h"

#include <algorithm>
#include <utility>

namespace Yokepond::Request {

namespace {

using Base::Duration;
using Base::Instant;
using Peer::StreamOrigin;

/// Number of hosts that keep the origin of a stream. Of streams whose hosts were killed together with half of the fleet, one in
/// eight is then unknown.
constexpr std::size_t replicaCount = 3;
/// A host that does not reply within this time is not waited for. It is longer than the pause of a host that has used up its
/// processor quota for a quota period of 100 ms.
constexpr Duration replyTimeout = std::chrono::milliseconds(200);
/// A caller may come back before the message with the origin of its stream has arrived, so the hosts are asked twice. This is the
/// time between the two, if all of them have replied.
constexpr Duration askAgainDelay = std::chrono::milliseconds(100);
constexpr unsigned int maxRounds = 2;
/// Identity of streams whose callers give none.
constexpr std::uint64_t unnamedStream = 0;
/// Longest time for which another host can have an origin kept here.
constexpr Duration maxKeepTime = std::chrono::hours(1);
/// Streams whose origin a host keeps at most; the oldest are dropped first.
constexpr std::size_t maxKept = 16'384;

} // namespace

StreamOrigins::StreamOrigins(std::string self)
    : m_self(std::move(self))
{
}

void StreamOrigins::updateView(const std::vector<Peer::Member> &members)
{
    m_members = members;
}

std::vector<std::string> StreamOrigins::replicasOf(std::uint64_t stream) const
{
    return Membership::selectMembers(Base::hexadecimal(stream), m_members, replicaCount);
}

void StreamOrigins::record(Instant now, std::uint64_t stream, const StreamOrigin &origin, Duration keepFor)
{
    ++m_counters.recorded;
    keep(now, stream, origin, keepFor);
    for (const std::string &host : replicasOf(stream)) {
        if (host != m_self) {
            m_messages.push_back({host, Peer::StreamBegan {stream, origin, keepFor}});
        }
    }
}

void StreamOrigins::keep(Instant now, std::uint64_t stream, const StreamOrigin &origin, Duration keepFor)
{
    const Instant until = now + std::min(keepFor, maxKeepTime);
    const auto [entry, added] = m_kept.try_emplace(stream, Kept {origin, until});
    if (!added) {
        entry->second.origin = origin;
        entry->second.until = std::max(entry->second.until, until);
        return;
    }
    m_order.push_back(stream);
    if (m_order.size() > maxKept) {
        ++m_counters.dropped;
        m_kept.erase(m_order.front());
        m_order.pop_front();
    }
}

std::optional<StreamOrigin> StreamOrigins::find(Instant now, std::uint64_t stream) const
{
    const auto entry = m_kept.find(stream);
    return entry == m_kept.end() || now >= entry->second.until ? std::nullopt : std::optional(entry->second.origin);
}

void StreamOrigins::lookUp(Instant now, std::uint64_t stream, std::uint64_t request)
{
    ++m_counters.lookedUp;
    LookUp lookUp {.stream = stream, .request = request, .began = now};
    if (const auto known = find(now, stream)) {
        finish(now, lookUp, known, m_self);
        return;
    }
    askReplicas(now, lookUp);
    if (lookUp.asked == 0) {
        finish(now, lookUp, std::nullopt, {});
        return;
    }
    m_lookUps.push_back(std::move(lookUp));
}

void StreamOrigins::askReplicas(Instant now, LookUp &lookUp)
{
    ++lookUp.round;
    lookUp.roundBegan = now;
    lookUp.waitingFor.clear();
    for (const std::string &host : replicasOf(lookUp.stream == unnamedStream ? lookUp.request : lookUp.stream)) {
        if (host != m_self) {
            lookUp.waitingFor.insert(host);
            m_messages.push_back({host, Peer::StreamOriginQuery {lookUp.stream}});
        }
    }
    lookUp.asked = lookUp.waitingFor.size();
}

void StreamOrigins::finish(Instant now, LookUp &lookUp, const std::optional<StreamOrigin> &origin, const std::string &from)
{
    lookUp.ended = true;
    m_counters.unknown += origin ? 0 : 1;
    m_results.push_back(
        {lookUp.request, origin, from, lookUp.asked, lookUp.asked - lookUp.waitingFor.size(), now - lookUp.began});
}

void StreamOrigins::receive(Instant now, const Peer::Process &, const Peer::StreamBegan &began)
{
    keep(now, began.stream, began.origin, began.keepFor);
}

void StreamOrigins::receive(Instant now, const Peer::Process &from, const Peer::StreamOriginQuery &query)
{
    m_messages.push_back({from, Peer::StreamOriginReply {query.stream, find(now, query.stream)}});
}

void StreamOrigins::receive(Instant now, const Peer::Process &from, const Peer::StreamOriginReply &reply)
{
    for (LookUp &lookUp : m_lookUps) {
        const bool replies = lookUp.stream == reply.stream && lookUp.waitingFor.erase(from.name) > 0;
        if (replies && (reply.origin || lookUp.stream == unnamedStream)) {
            finish(now, lookUp, reply.origin, from.name);
        }
    }
    std::erase_if(m_lookUps, &LookUp::ended);
}

void StreamOrigins::tick(Instant now)
{
    for (LookUp &lookUp : m_lookUps) {
        if (const auto known = find(now, lookUp.stream)) {
            finish(now, lookUp, known, m_self);
        } else if (now - lookUp.roundBegan >= (lookUp.waitingFor.empty() ? askAgainDelay : replyTimeout)) {
            if (lookUp.round < maxRounds) {
                askReplicas(now, lookUp);
            } else {
                finish(now, lookUp, std::nullopt, {});
            }
        }
    }
    std::erase_if(m_lookUps, &LookUp::ended);
    removeExpired(now);
}

/// An origin behind one that is kept for longer stays until that one is removed.
void StreamOrigins::removeExpired(Instant now)
{
    while (!m_order.empty() && now >= m_kept.at(m_order.front()).until) {
        m_kept.erase(m_order.front());
        m_order.pop_front();
    }
}

std::vector<SendToMember> StreamOrigins::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::vector<OriginFound> StreamOrigins::takeResults()
{
    return std::exchange(m_results, {});
}

std::size_t StreamOrigins::kept() const
{
    return m_kept.size();
}

const StreamOriginCounters &StreamOrigins::counters() const
{
    return m_counters;
}

} // namespace Yokepond::Request
