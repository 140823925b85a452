// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Where streams began, known at more than one host. A caller that takes up a broken stream may reach any host.

#pragma once

#include "Peer/message.h"
#include "Request/types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Yokepond::Request {

/// The end of a look-up.
struct OriginFound
{
    std::uint64_t request = 0;
    std::optional<Peer::StreamOrigin> origin; ///< nothing if no host that answered knows the stream
    std::string from; ///< host that knew it, empty if none did
    std::size_t asked = 0; ///< number of other hosts that were asked
    std::size_t answered = 0; ///< number of those that replied
    Base::Duration took {};
};

struct StreamOriginCounters
{
    std::uint64_t recorded = 0; ///< streams whose first event came through this host
    std::uint64_t lookedUp = 0; ///< look-ups that this host began
    std::uint64_t unknown = 0; ///< look-ups of this host that found nothing
    std::uint64_t dropped = 0; ///< origins that were dropped early since there were too many
};

/// One host's part of the record of where streams began. When the first event of a stream arrives, the host that relays it sends
/// the origin to three hosts, which all hosts derive from the stream's identity. A host where a caller takes the stream up asks
/// these three. What a host keeps and hears thus depends on the streams per host, not on the number of hosts or endpoints. An
/// origin is kept in memory only, until the caller can no longer take up the stream. It is a pure state machine: the caller
/// passes in the time, and takeMessages() and takeResults() return what is to be done.
class StreamOrigins
{
public:
    explicit StreamOrigins(std::string self);

    void updateView(const std::vector<Peer::Member> &members);

    /// Keeps the origin of @p stream for @p keepFor, here and at the hosts that keep it for all.
    void record(Base::Instant now, std::uint64_t stream, const Peer::StreamOrigin &origin, Base::Duration keepFor);

    /// Looks for the origin of @p stream on behalf of @p request; takeResults() returns the result. No host knows a stream
    /// without an identity, 0; its look-up ends when the first host replies, and shows that this host is not cut off.
    void lookUp(Base::Instant now, std::uint64_t stream, std::uint64_t request);

    /// Handles a message of another host; @p from is the sender.
    void receive(Base::Instant now, const Peer::Process &from, const Peer::StreamBegan &began);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::StreamOriginQuery &query);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::StreamOriginReply &reply);

    /// Ends look-ups that have waited long enough, and removes expired origins; to be called regularly.
    void tick(Base::Instant now);

    /// Returns the messages to send since the last call.
    std::vector<SendToMember> takeMessages();

    /// Returns the look-ups that have ended since the last call.
    std::vector<OriginFound> takeResults();

    /// Returns the number of streams whose origin this host keeps.
    std::size_t kept() const;
    const StreamOriginCounters &counters() const;

private:
    struct Kept
    {
        Peer::StreamOrigin origin;
        Base::Instant until {};
    };

    struct LookUp
    {
        std::uint64_t stream = 0;
        std::uint64_t request = 0;
        Base::Instant began {};
        Base::Instant roundBegan {};
        unsigned int round = 0;
        std::size_t asked = 0; ///< hosts that were asked in this round
        std::set<std::string> waitingFor; ///< those that have not replied yet
        bool ended = false;
    };

    std::vector<std::string> replicasOf(std::uint64_t stream) const;
    void keep(Base::Instant now, std::uint64_t stream, const Peer::StreamOrigin &origin, Base::Duration keepFor);
    std::optional<Peer::StreamOrigin> find(Base::Instant now, std::uint64_t stream) const;
    void removeExpired(Base::Instant now);
    void askReplicas(Base::Instant now, LookUp &lookUp);
    void finish(Base::Instant now, LookUp &lookUp, const std::optional<Peer::StreamOrigin> &origin, const std::string &from);

    std::string m_self;
    std::vector<Peer::Member> m_members;
    std::unordered_map<std::uint64_t, Kept> m_kept; ///< by stream
    std::deque<std::uint64_t> m_order; ///< streams of m_kept, in the order in which they came
    std::vector<LookUp> m_lookUps;
    std::vector<SendToMember> m_messages;
    std::vector<OriginFound> m_results;
    StreamOriginCounters m_counters;
};

} // namespace Yokepond::Request
