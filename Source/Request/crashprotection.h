// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Keeps requests that crash endpoints from the endpoints: single requests, and all requests with one part in their prompts.

#pragma once

#include "Configuration/catalogue.h"
#include "Request/partsuspicions.h"
#include "Request/quarantine.h"
#include "Request/types.h"

#include <absl/status/status.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Yokepond::Request {

/// Why a request may not run.
struct QuarantineMatch
{
    std::uint64_t work = 0; ///< the quarantined work, or the key of the quarantined part
    std::optional<Peer::PromptPart> part; ///< the quarantined part; nothing if it is the whole request
};

/// Returns the error of a request that @p match keeps from running. It carries no Retry-After, since a retry would crash another
/// endpoint.
absl::Status quarantineError(const QuarantineMatch &match);

/// A run that broke off.
struct BrokenRun
{
    std::uint32_t pool = 0;
    std::uint32_t endpoint = 0;
    Base::Instant sentAt {};
    Base::Instant firstTokenAt {}; ///< zero if there was none
    bool showsBeginning = false; ///< the response is streamed, and so shows when it begins
    bool headReceived = false;
    bool pathInDoubt = false; ///< see RunReport
    std::uint32_t tokens = 0;
};

/// A run that completed.
struct CompletedRun
{
    std::uint32_t pool = 0;
    Base::Instant firstTokenAt {}; ///< zero if it was not reported
    std::uint32_t tokens = 0;
    bool streamEndsWithConnection = false; ///< the response is a stream whose end was not marked
};

/// One host's part of the protection: the quarantine, and the search for parts to quarantine if the setting asks for it.
class CrashProtection
{
public:
    CrashProtection(const std::string &self, std::uint64_t seed);

    void updateView(Base::Instant now, const std::vector<Peer::Member> &members, const Configuration::Policies &policies);

    /// Returns what keeps @p request from running at @p pool; nothing if it may run.
    std::optional<QuarantineMatch> match(const NewRequest &request, std::uint32_t pool) const;

    /// Returns whether runs of @p request are to report their first tokens.
    bool needsFirstToken(const NewRequest &request) const;

    /// Returns whether a run whose first token came at @p firstTokenAt (zero: none) has gone on for so long that none of its
    /// parts crashes endpoints when a response begins.
    static bool hasGoneOn(Base::Instant now, Base::Instant firstTokenAt);

    void runBroke(Base::Instant now, const NewRequest &request, const BrokenRun &run);
    /// Records that a run was stopped since @p match keeps its request from running. The endpoint may crash all the same.
    void runStopped(Base::Instant now, const NewRequest &request, const BrokenRun &run, const QuarantineMatch &match);
    void runCompleted(Base::Instant now, const NewRequest &request, const CompletedRun &run);
    void runWentOn(Base::Instant now, const NewRequest &request, std::uint32_t pool, Base::Instant firstTokenAt);

    /// Releases what is quarantined under @p id, a work, the key of a part or the part itself, at all hosts. Returns false if
    /// nothing is.
    bool release(Base::Instant now, std::uint64_t id);

    /// Handles a message of another host; @p from is the sender.
    void receive(Base::Instant now, const Peer::Process &from, const Peer::RunBroke &broke);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::QuarantineUpdate &update);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::PromptRunBroke &broke);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::SoundPartsQuery &query);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::SoundPartsReply &reply);

    /// To be called regularly.
    void tick(Base::Instant now);

    /// Returns the messages to send since the last call.
    std::vector<SendToMember> takeMessages();

    /// Returns whether anything has been quarantined since the last call, so that pending requests are to be checked.
    bool takeQuarantined(Base::Instant now);

    const Quarantine &quarantine() const;
    const PartSuspicionCounters &partCounters() const;

private:
    void clearIfSound(Base::Instant now, std::uint64_t work);
    void recordSound(Base::Instant now, const NewRequest &request, std::uint32_t pool, Base::Instant began);
    void applyVerdicts(Base::Instant now);

    Quarantine m_quarantine;
    PartSuspicions m_parts;
};

} // namespace Yokepond::Request
