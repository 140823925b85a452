// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Which part of their prompts the crashes of a pool's endpoints are due to.

#pragma once

#include "Base/time.h"
#include "Peer/message.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Yokepond::Request {

/// What is quarantined already. The crashes under it are explained.
struct QuarantinedIds
{
    std::unordered_set<std::uint64_t> parts; ///< of the pool
    std::unordered_set<std::uint64_t> works;
};

/// A part that crashes endpoints, or a whole request, with what shows it.
struct BlamedPart
{
    std::uint64_t part = 0;
    std::uint64_t work = 0; ///< if the part stands for whole requests: their work; otherwise 0
    Base::Instant firstCrash {}; ///< the first crash that counts against it
    std::vector<std::uint32_t> endpoints; ///< the endpoints whose crashes count
    bool wasSound = false; ///< a run with it went on shortly before the crashes
};

/// Records the crashes of the endpoints of one pool, with the parts of the prompts that the endpoint was about to answer, and
/// finds the part that the crashes have in common. An endpoint that crashes takes all its runs with it, so sound parts stand
/// beside the one that is to blame: what tells that one is that no run with it goes on, while the others' runs do.
///
/// A host that cannot reach the endpoint any more cannot tell a crash from a lost path. What it reports counts once a second host
/// reports a run that broke off there.
///
/// A crash counts against a part
/// - if no run with the part has begun since that went on,
/// - if it came some time after the crash counted before, since what ends many endpoints at once is not one request,
/// - and, for a part that was sound shortly before, if the run was sent after the crash counted before, since the endpoint may
///   have been lost already when it got an earlier one, and if no more than one other endpoint crashed at the same time.
/// A part that was sound shortly before needs three times as many crashes: they may be due to another part, which runs at hosts
/// that do not report.
///
/// What is quarantined explains the crashes under it. They go on counting against another part only if that part stands under two
/// crashes that nothing explains: two parts may crash endpoints at the same time.
class CrashAttribution
{
public:
    using Parts = std::unordered_set<std::uint64_t>;

    /// Records a run that broke off at the host @p from.
    void recordBroken(Base::Instant now, const std::string &from, const Peer::PromptRunBroke &broke);

    /// Records that a run with @p part that began at @p began went on.
    void recordSound(std::uint64_t part, Base::Instant began);

    /// Returns the parts that may be to blame, so that hosts are to be asked about them: those against which at least half as
    /// much counts as @p maxCrashes crashes, if at least one of them is suspected in full; otherwise none. Those against
    /// which most counts come first.
    std::vector<std::uint64_t> suspects(std::uint32_t maxCrashes, const QuarantinedIds &quarantined) const;

    /// Returns the part among @p candidates that is to blame, once the hosts were asked; nothing if there is none. Of several
    /// parts it is the one that has been sound least recently, then the one with the most crashes, then the last in the prompt.
    std::optional<BlamedPart> blame(std::uint32_t maxCrashes, const QuarantinedIds &quarantined, const Parts &candidates) const;

    /// Forgets what counts against @p part.
    void forget(std::uint64_t part);

    /// Removes old crashes.
    void removeExpired(Base::Instant now);

    bool isEmpty() const;
    std::size_t crashes() const;

private:
    /// A part of the prompt of a run that broke when its endpoint crashed.
    struct SuspectPart
    {
        std::uint64_t part = 0;
        std::uint64_t work = 0; ///< see BlamedPart
        std::size_t position = 0; ///< in the prompt
        std::uint32_t weight = 0; ///< full or half
        Base::Instant sentAt {}; ///< when the latest run with it was sent
    };

    struct Crash
    {
        std::uint32_t endpoint = 0;
        Base::Instant at {};
        std::string reportedBy; ///< the first host that reported it
        std::size_t atOnce = 0; ///< number of other crashes at the same time
        bool confirmed = false; ///< whether it was the endpoint that failed, and not one host's path to it
        std::vector<SuspectPart> parts;
    };

    /// What counts against one part.
    struct Charge
    {
        std::uint32_t weight = 0;
        bool wasSound = false; ///< see BlamedPart
        std::uint32_t unexplained = 0; ///< number of crashes with the part that nothing quarantined explains
        std::uint64_t work = 0; ///< see BlamedPart
        std::size_t position = 0;
        Base::Instant first {};
        Base::Instant last {};
        std::vector<std::uint32_t> endpoints;
    };

    /// Returns whether anything that is quarantined was to run when the endpoint crashed.
    static bool isExplained(const Crash &crash, const QuarantinedIds &quarantined);
    static bool isInFull(const Charge &charge, std::uint32_t maxCrashes);
    Crash &addCrash(Base::Instant now, std::uint32_t endpoint, const std::string &from);
    Charge chargeAgainst(std::uint64_t part, const QuarantinedIds &quarantined) const;
    std::optional<Base::Instant> lastSound(std::uint64_t part) const;

    std::deque<Crash> m_crashes; ///< in order of time
    std::unordered_map<std::uint64_t, Base::Instant> m_sound; ///< by part: when the last run began that went on
};

} // namespace Yokepond::Request
