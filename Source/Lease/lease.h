// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A lease that allows one process at a time to act for the whole fleet. It is kept in one row of the platform's store.

#pragma once

#include "Base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Yokepond::Lease {

/// Durations on which all processes must agree. A holder may act for @ref validity after it sent the write that took or renewed
/// the lease. Another process takes the row only after it has seen the row unchanged for @ref takeoverDelay. The difference
/// covers calls that are still in transit, and a holder that notices the end of its lease late.
struct LeaseOptions
{
    Base::Duration validity = std::chrono::milliseconds(2000);
    Base::Duration takeoverDelay = std::chrono::milliseconds(3500);
};

/// The row as read from the store.
struct RowState
{
    std::uint64_t version = 0; ///< version that the store gave to the last write; 0 if there is no row
    std::uint64_t holder = 0; ///< incarnation of the process that wrote it
};

/// The row with the value that its writer stored in it. The version is 0 if there is no row.
struct StoredRow
{
    std::uint64_t version = 0;
    std::string value;
};

/// Result of a write that was conditional on the expected version of the row.
enum class WriteResult {
    Done,
    VersionMismatch, ///< the row had another version
    NotApplied, ///< the write was not sent, or the store reports that it did nothing
    Undetermined, ///< no response: the write was applied, was not, or will be later if its condition still holds then
};

/// The lease as seen by one process; a pure state machine. It uses only the monotonic clock of its own process, and never
/// compares times of two processes.
///
/// Two holders never act at the same time: a write succeeds only if the row still has the version that the writer read. A
/// holder's lease ends @ref LeaseOptions::validity after it sent its write, which is at the latest that long after the store
/// applied the write. A successor read the row after that, and wrote no earlier than @ref LeaseOptions::takeoverDelay later.
class Lease
{
public:
    /// @p self is the incarnation of this process, which no other process ever has.
    Lease(const LeaseOptions &options, std::uint64_t self);

    /// Applies the row that the response to a read, or to a write with a version mismatch, contained. @p now is the time of the
    /// response.
    void updateRow(Base::Instant now, const RowState &row);

    /// Returns whether a write may be sent: the row has been read, no write is in progress, and the row belongs to this process,
    /// does not exist, or has been unchanged for the takeover delay.
    bool mayWrite(Base::Instant now) const;

    /// Returns the version on which the next write must be conditional.
    std::uint64_t expectedVersion() const;

    /// Records that a write is sent at @p now.
    void writeStarted(Base::Instant now);

    /// Applies the result of that write. @p version is the version that the store gave to a write that was done. After any other
    /// result but NotApplied, the row must be read again before the next write.
    void writeFinished(WriteResult result, std::uint64_t version);

    /// Returns whether the row belongs to this process according to the last read or write.
    bool isHeld() const;

    /// Returns the fencing token for a call that is sent at @p now; nothing if the lease is not valid. The token is the version
    /// of the write that took the row, so each holder has a token of its own, larger than those of all earlier holders.
    std::optional<std::uint64_t> fence(Base::Instant now) const;

    /// Returns how long a call that is sent at @p now may take. The caller must abort the call after that.
    Base::Duration remainingTime(Base::Instant now) const;

    /// Returns whether the row must be read before anything else can be done.
    bool needsRead() const;

private:
    LeaseOptions m_options;
    std::uint64_t m_self;
    bool m_known = false;
    bool m_own = false;
    bool m_writing = false;
    std::uint64_t m_version = 0;
    std::uint64_t m_fence = 0; ///< version of the write that took the row; 0 if not held
    Base::Instant m_firstRead {}; ///< when m_version was first read
    Base::Instant m_sentAt {}; ///< when the write in progress, or the last one, was sent
    Base::Instant m_validUntil {};
};

} // namespace Yokepond::Lease
