// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Work that ends the endpoints that run it, known by all hosts, so that none begins it again.

#pragma once

#include "Peer/message.h"
#include "Request/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Yokepond::Request {

/// What is held back, or was and is known to be harmless, as operators see it.
struct QuarantineView
{
    std::uint64_t work = 0;
    bool quarantined = false;
    std::uint32_t round = 0; ///< how often it has been held
    Base::Duration remaining {}; ///< until it may run again or is forgotten
};

struct QuarantineCounters
{
    std::uint64_t suspected = 0; ///< runs that broke off and were told to the hosts that count
    std::uint64_t quarantined = 0; ///< works
    std::uint64_t cleared = 0; ///< works that were held and had ended well somewhere
};

/// One host's part. A run that breaks off is told to the two hosts that count the endings of its work; when so many
/// endpoints have ended under one work as the policies allow, these tell all hosts. A host that has seen the work end well
/// shortly before the first of these endings or since clears it everywhere. Pure state machine: time comes in, messages come out
/// of takeMessages().
class Quarantine
{
public:
    Quarantine(std::string self, std::uint64_t seed);

    /// @p mostEndings endpoints may end under one work; 0: nothing is held back.
    void updateView(Base::Instant now, const std::vector<Peer::Member> &members, std::uint32_t mostEndings);

    /// Whether no run of @p work may begin.
    bool holds(std::uint64_t work) const;

    /// The connection of a run of @p work broke before its answer was whole. @p justBegan: its answer had begun, and hardly
    /// more, or does not tell its begin; otherwise it was waiting there, or had run for long.
    void runBroke(Base::Instant now, std::uint64_t work, std::uint32_t endpoint, bool justBegan);

    /// A run of @p work has ended well.
    void runCompleted(Base::Instant now, std::uint64_t work);

    /// An operator lets @p work run again, at all hosts; false if it is not held. It is held anew by as many endings as before.
    bool release(Base::Instant now, std::uint64_t work);

    void receive(Base::Instant now, const std::string &from, const Peer::RunBroke &broke);
    void receive(Base::Instant now, const std::string &from, const Peer::QuarantineUpdate &news);

    void tick(Base::Instant now);

    std::vector<SendToMember> takeMessages();

    /// Work that is held back since the last call.
    std::vector<std::uint64_t> takeHeld();

    std::vector<QuarantineView> view(Base::Instant now) const;
    const QuarantineCounters &counters() const;

private:
    /// An endpoint has ended while it ran the work.
    struct Ending
    {
        std::uint32_t endpoint = 0;
        Base::Instant at {};
        std::uint32_t weight = 0;
    };

    /// At the hosts that count.
    struct Suspicion
    {
        std::vector<Ending> endings; ///< oldest first
    };

    struct Entry
    {
        std::uint32_t round = 0;
        bool quarantined = false;
        Base::Instant firstEnding {};
        Base::Instant until {};
    };

    static bool supersedes(const Peer::QuarantineEntry &news, const Entry &known);
    void suspect(Base::Instant now, const Peer::RunBroke &broke);
    bool endsWell(std::uint64_t work, Base::Instant firstEnding) const;
    void forget(std::uint64_t work);
    void hold(Base::Instant now, std::uint64_t work, const Suspicion &suspicion);
    void clear(Base::Instant now, std::uint64_t work, Entry &entry);
    void take(Base::Instant now, const std::string &from, const Peer::QuarantineEntry &news);
    void tellAll(Base::Instant now, std::uint64_t work);
    void tellNext(Base::Instant now);
    Peer::QuarantineEntry describe(Base::Instant now, std::uint64_t work, const Entry &entry) const;
    Peer::QuarantineUpdate everything(Base::Instant now) const;
    std::uint64_t digest() const;
    void dropOld(Base::Instant now);

    std::string m_self;
    std::uint64_t m_seed;
    std::vector<Peer::Member> m_members;
    std::uint32_t m_mostEndings = 0;
    std::map<std::uint64_t, Entry> m_entries; ///< by work
    std::unordered_map<std::uint64_t, Suspicion> m_suspicions; ///< by work
    std::deque<std::uint64_t> m_suspicionOrder; ///< oldest first
    std::unordered_map<std::uint64_t, Base::Instant> m_completed; ///< by work: when a run of it last ended well here
    std::deque<std::uint64_t> m_completedOrder; ///< oldest first
    std::vector<std::uint64_t> m_newlyHeld;
    std::vector<SendToMember> m_messages;
    QuarantineCounters m_counters;
    std::size_t m_nextMember = 0; ///< in the order in which the others are told
    Base::Instant m_nextNews {};
    Base::Instant m_learnUntil {};
    Base::Instant m_lastTick {};
    Base::Instant m_lastAnswer {};
};

} // namespace Yokepond::Request
