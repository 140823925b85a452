// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Finds the parts of prompts that crash endpoints, together with the other hosts.

#pragma once

#include "Peer/message.h"
#include "Request/crashattribution.h"
#include "Request/soundparts.h"
#include "Request/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Yokepond::Request {

/// A part that was found to crash endpoints.
struct PartVerdict
{
    Peer::PromptPart part;
    BlamedPart blame; ///< names the work if it is whole requests
};

struct PartSuspicionCounters
{
    std::uint64_t reported = 0; ///< broken runs that this host reported to the hosts that count crashes
    std::uint64_t inquiries = 0; ///< inquiries of this host after suspected parts
    std::uint64_t blamed = 0; ///< parts that this host found to crash endpoints
};

/// One host's part of the search for parts of prompts that crash endpoints. A run that breaks off before its response has gone on
/// is reported to the two hosts that count the crashes of its pool. When these suspect a part, they ask all hosts when a run with
/// it last went on; a host that knows nothing of the part does not reply. What is learned from sound runs thus costs no message
/// until crashes repeat. A part that the replies do not clear is to blame.
///
/// It is a pure state machine: the caller passes in the time; takeMessages() and takeVerdicts() return what is to be done.
class PartSuspicions
{
public:
    explicit PartSuspicions(std::string self);

    /// Sets the members, and the number of crashes after which a part is to blame; 0 disables the search.
    void updateView(const std::vector<Peer::Member> &members, std::uint32_t maxCrashes);

    bool isEnabled() const;

    /// Returns whether this host counts crashes of any pool now.
    bool countsCrashes() const;

    /// Records that a run broke off before its response had gone on.
    void runBroke(Base::Instant now, const Peer::PromptRunBroke &broke);

    /// Records that a run with @p parts, whose response began at @p began, has gone on or completed.
    void runWentOn(std::uint32_t pool, const std::vector<std::uint64_t> &parts, Base::Instant began);

    /// Returns whether this host knows of a run with @p part that began after @p since and went on.
    bool wasSoundSince(const Peer::PromptPart &part, Base::Instant since) const;

    /// Sets what is quarantined: the parts of each pool, and works. Crashes under it count against nothing else.
    void setQuarantined(std::map<std::uint32_t, CrashAttribution::Parts> parts, CrashAttribution::Parts works);

    /// Forgets the crashes under @p part, which was released from quarantine.
    void forget(const Peer::PromptPart &part);

    /// Handles a message of another host; @p from is the sender.
    void receive(Base::Instant now, const Peer::Process &from, const Peer::PromptRunBroke &broke);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::SoundPartsQuery &query);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::SoundPartsReply &reply);

    /// Begins and ends inquiries; to be called regularly.
    void tick(Base::Instant now);

    /// Returns the messages to send since the last call.
    std::vector<SendToMember> takeMessages();

    /// Returns the parts found to blame since the last call.
    std::vector<PartVerdict> takeVerdicts();

    const PartSuspicionCounters &counters() const;

private:
    /// What a host that counts the crashes of a pool knows.
    struct Pool
    {
        CrashAttribution attribution;
        bool changed = false; ///< crashes were recorded since the last look
        CrashAttribution::Parts asked; ///< parts of the current inquiry; empty if there is none
        Base::Instant askedAt {};
        Base::Instant nextInquiry {};
    };

    void beginInquiry(Base::Instant now, std::uint32_t number, Pool &pool);
    void endInquiry(Base::Instant now, std::uint32_t number, Pool &pool);
    QuarantinedIds quarantinedIds(std::uint32_t pool) const;
    std::vector<Peer::SoundPart> soundParts(Base::Instant now, const Peer::SoundPartsQuery &query) const;

    std::string m_self;
    std::vector<Peer::Member> m_members;
    std::uint32_t m_maxCrashes = 0;
    SoundParts m_soundParts;
    std::map<std::uint32_t, Pool> m_pools; ///< by number, at hosts that count their crashes
    std::map<std::uint32_t, CrashAttribution::Parts> m_quarantinedParts; ///< by pool
    CrashAttribution::Parts m_quarantinedWorks;
    std::vector<SendToMember> m_messages;
    std::vector<PartVerdict> m_verdicts;
    PartSuspicionCounters m_counters;
};

} // namespace Yokepond::Request
