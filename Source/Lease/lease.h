// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The right of one process at a time to act for the whole fleet, kept in one row of the platform's store.

#pragma once

#include "Base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Yokepond::Lease {

/// What the parties hold to. A holder acts for @ref actFor after it sent the write that its right comes from; another takes the
/// row only after it has seen it unchanged for @ref quiet. The difference covers calls that are still on their way, and a
/// process that notices the end late.
struct LeaseOptions
{
    Base::Duration validity = std::chrono::milliseconds(2000);
    Base::Duration takeoverDelay = std::chrono::milliseconds(3500);
};

/// The row as the store tells it.
struct RowState
{
    std::uint64_t version = 0; ///< that the store gave its last write; 0: there is no row
    std::uint64_t holder = 0; ///< incarnation of the process that wrote it
};

/// The row with what its writer kept in it; version 0: there is none.
struct StoredRow
{
    std::uint64_t version = 0;
    std::string value;
};

/// What became of a write under the condition that the row had the expected version.
enum class WriteResult {
    Done,
    VersionMismatch, ///< the row had another version
    NotApplied, ///< the store says that it did nothing
    Undetermined, ///< no answer: done, not done, or done later if the condition still holds then
};

/// Pure state machine of one process. No clock but the process's own steady one is used, and no two are compared.
///
/// Why no two holders act at once: the row changes only under the condition of the version that its writer knew. A holder's
/// right ends actFor after it sent its write, so at the latest actFor after the store took that write; a successor saw the row
/// after that and wrote no sooner than quiet later.
class Lease
{
public:
    /// @p self: the incarnation of this process, which no other ever has.
    Lease(const LeaseOptions &terms, std::uint64_t self);

    /// A read, or a refused write, showed the row; @p now is when the answer came.
    void updateRow(Base::Instant now, const RowState &row);

    /// Whether a write may be sent: the row is known, and it is this process's own, absent, or has been quiet for long enough.
    bool mayWrite(Base::Instant now) const;

    /// The version that the next write must be conditional on.
    std::uint64_t expectedVersion() const;

    /// A write leaves.
    void writeStarted(Base::Instant now);

    /// That write's answer; @p version is the store's for a write that was done. A refused one must be followed by seen().
    void writeFinished(WriteResult result, std::uint64_t version);

    /// Whether the row is this process's own, as far as it knows.
    bool isHeld() const;

    /// The fencing token for a call that leaves now; none while the right has run out. The token is the version of the write
    /// that took the row, so that it grows with each holder and is nobody else's.
    std::optional<std::uint64_t> fence(Base::Instant now) const;

    /// How long a call that leaves now may last; it must have been cut by then.
    Base::Duration remainingTime(Base::Instant now) const;

    /// The row must be read before anything else can be done.
    bool needsRead() const;

private:
    LeaseOptions m_terms;
    std::uint64_t m_self;
    bool m_known = false;
    bool m_own = false;
    bool m_writing = false;
    std::uint64_t m_version = 0;
    std::uint64_t m_fence = 0; ///< 0: not held
    Base::Instant m_firstSeen {}; ///< of m_version
    Base::Instant m_sentAt {}; ///< the write that is under way
    Base::Instant m_actUntil {};
};

} // namespace Yokepond::Lease
