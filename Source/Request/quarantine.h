// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Quarantine of work that crashes the endpoints that run it. All hosts share it, so that none runs the work again.

#pragma once

#include "Peer/message.h"
#include "Request/types.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Yokepond::Request {

/// A quarantined work, or one that has been cleared, as the operators' queries show it.
struct QuarantineView
{
    std::uint64_t work = 0; ///< for a part of prompts, its key
    std::optional<Peer::PromptPart> part; ///< nothing if the work is whole requests
    bool quarantined = false;
    std::uint32_t round = 0; ///< how often the work has been quarantined
    Base::Duration remaining {}; ///< until the quarantine ends, or the entry of a cleared work is removed
};

/// A quarantined part of prompts.
struct QuarantinedPart
{
    Peer::PromptPart part;
    Base::Instant firstCrash {};
};

struct QuarantineCounters
{
    std::uint64_t suspected = 0; ///< runs that broke off and were reported to the hosts that count crashes
    std::uint64_t quarantined = 0; ///< quarantined works
    std::uint64_t cleared = 0; ///< works cleared by this host, after a completed run or by an operator
};

/// One host's part of the quarantine. A work is what a request asks for, identified by a hash of its organisation, path and body
/// (NewRequest::work): all requests with the same content have the same work. A run that breaks off is reported to the two hosts
/// that count the crashes of its work. When the number of endpoints that crashed under one work reaches the configured limit,
/// these two quarantine it at all hosts. A host that has seen the work complete, shortly before the first of these crashes or
/// later, clears it at all hosts. A part of prompts may be quarantined too, under a key that stands for it; PartSuspicions finds
/// it. It is a pure state machine: the caller passes in the time, and takeMessages() returns the
/// messages to send.
class Quarantine
{
public:
    Quarantine(std::string self, std::uint64_t seed);

    /// Sets the members and the number of crashed endpoints at which a work is quarantined; 0 disables the quarantine.
    void updateView(Base::Instant now, const std::vector<Peer::Member> &members, std::uint32_t maxCrashes);

    /// Returns whether no run of @p work may start.
    bool isQuarantined(std::uint64_t work) const;

    /// Records that the connection of a run of @p work broke before the response was complete. @p justBegan is true if the
    /// response had just begun. It is also true for a response that is not streamed, since that does not show when the run began.
    /// Otherwise the request may have been queued at the endpoint, or had run for long.
    void runBroke(Base::Instant now, std::uint64_t work, std::uint32_t endpoint, bool justBegan);

    /// Records that a run of @p work has completed.
    void runCompleted(Base::Instant now, std::uint64_t work);

    /// Returns the key of @p part, which takes the place of a work.
    static std::uint64_t keyOf(const Peer::PromptPart &part);

    /// Quarantines @p part at all hosts, since @p endpoints crashed under it: for a shorter time if it was sound before.
    void quarantinePart(Base::Instant now, const Peer::PromptPart &part, Base::Instant firstCrash,
                        const std::vector<std::uint32_t> &endpoints, bool wasSound);

    /// Returns the part that is quarantined under @p key; nothing if none is.
    std::optional<QuarantinedPart> quarantinedPart(std::uint64_t key) const;

    /// Quarantines @p work at all hosts, since @p endpoints crashed under it.
    void quarantineWork(Base::Instant now, std::uint64_t work, Base::Instant firstCrash,
                        const std::vector<std::uint32_t> &endpoints);

    /// Returns all quarantined parts, by pool.
    std::map<std::uint32_t, std::unordered_set<std::uint64_t>> quarantinedParts() const;

    /// Returns all quarantined works that stand for whole requests.
    std::unordered_set<std::uint64_t> quarantinedWorks() const;

    /// Clears @p work at all hosts, by an operator or since it was shown not to crash endpoints. Returns false if it is not
    /// quarantined. The same number of crashes quarantines it again.
    bool releaseWork(Base::Instant now, std::uint64_t work);

    /// Handles a message of another host's quarantine; @p from is the sender.
    void receive(Base::Instant now, const Peer::Process &from, const Peer::RunBroke &broke);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::QuarantineUpdate &update);

    /// Removes expired entries and sends digests to other hosts; to be called regularly.
    void tick(Base::Instant now);

    /// Returns the messages to send since the last call.
    std::vector<SendToMember> takeMessages();

    /// Returns the work that has been quarantined since the last call.
    std::vector<std::uint64_t> takeNewlyQuarantined();

    std::vector<QuarantineView> view(Base::Instant now) const;
    const QuarantineCounters &counters() const;

private:
    /// A crash of an endpoint while it ran the work.
    struct Crash
    {
        std::uint32_t endpoint = 0;
        Base::Instant at {};
        std::uint32_t weight = 0; ///< full or half
    };

    /// The crashes of one work, kept by the hosts that count them.
    struct Suspicion
    {
        std::vector<Crash> crashes; ///< in order of time
    };

    /// State of a work that is or was quarantined; the entries of all hosts are to become equal.
    struct Entry
    {
        std::uint32_t round = 0; ///< how often the work has been quarantined
        bool quarantined = false;
        Base::Instant firstCrash {};
        Base::Instant until {}; ///< time at which the entry is removed
        Peer::PromptPart part {}; ///< see Peer::QuarantineEntry
    };

    static bool supersedes(const Peer::QuarantineEntry &update, const Entry &current);
    void recordCrash(Base::Instant now, const Peer::RunBroke &broke);
    bool recentlyCompleted(std::uint64_t work, Base::Instant firstCrash) const;
    void forget(std::uint64_t work);
    /// Quarantines a work or the key of a part.
    void quarantineEntry(Base::Instant now, std::uint64_t work, Base::Instant firstCrash,
                         const std::vector<std::uint32_t> &endpoints, const Peer::PromptPart &part, Base::Duration duration);
    static nlohmann::json logFields(std::uint64_t work, std::uint32_t round, const Peer::PromptPart &part);
    void clear(Base::Instant now, std::uint64_t work, Entry &entry);
    void applyEntry(Base::Instant now, const std::string &from, const Peer::QuarantineEntry &update);
    void sendToAll(Base::Instant now, std::uint64_t work);
    void sendToNextMember(Base::Instant now);
    Peer::QuarantineEntry messageEntry(Base::Instant now, std::uint64_t work, const Entry &entry) const;
    Peer::QuarantineUpdate allEntries(Base::Instant now) const;
    std::uint64_t digest() const;
    void removeExpired(Base::Instant now);

    std::string m_self;
    std::uint64_t m_seed;
    std::vector<Peer::Member> m_members;
    std::uint32_t m_maxCrashes = 0;
    std::map<std::uint64_t, Entry> m_entries; ///< by work
    std::unordered_map<std::uint64_t, Suspicion> m_suspicions; ///< by work, at hosts that count its crashes
    std::deque<std::uint64_t> m_suspicionOrder; ///< works of m_suspicions, in the order of their first crashes
    /// Time point at which a run of each work last completed at this host, by work.
    std::unordered_map<std::uint64_t, Base::Instant> m_completed;
    std::deque<std::uint64_t> m_completedOrder; ///< works of m_completed, in the order of their first completions
    std::vector<std::uint64_t> m_newlyQuarantined;
    std::vector<SendToMember> m_messages;
    QuarantineCounters m_counters;
    std::size_t m_lastMember = 0; ///< index in m_members of the member that received the last digest
    Base::Instant m_nextGossip {};
    Base::Instant m_catchUpUntil {};
    Base::Instant m_lastTick {};
    Base::Instant m_lastFullReply {};
};

} // namespace Yokepond::Request
