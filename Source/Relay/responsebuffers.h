// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Decides what a host holds for callers that read slowly: when reading from the endpoint of a stream is paused, and which
/// callers are cut. Pure decision code: docs/design/slow-callers.md gives the reasons.

#pragma once

#include "Base/names.h"
#include "Base/time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Yokepond::Relay {

/// Without a bound of its own, a host uses one part in this many of its memory to hold requests and responses. The rest is for
/// the daemon itself, whose lists and connections between hosts take most of a small host's memory in a large fleet, for the
/// spare capacity of the buffers, and for the kernel's buffers.
inline constexpr std::uint64_t memoryPerResponseBuffers = 4;

/// Limits on what a host holds for callers.
struct ResponseBufferLimits
{
    std::size_t totalBytes = 0; ///< bound for all callers together; 0: none, and no caller is cut
    std::size_t streamBytes = 256U << 10U; ///< largest allowance of one stream
    /// How long a caller may read nothing while its stream is paused. An endpoint cuts off a response that sits unread for some
    /// seconds, so waiting for longer would not save the response, and would hold the endpoint's slot for nothing.
    Base::Duration unreadLimit = std::chrono::seconds(5);
};

/// Why a caller was cut.
enum class CutReason {
    Unread, ///< it read nothing for ResponseBufferLimits::unreadLimit while its stream was paused
    Memory, ///< the total was over ResponseBufferLimits::totalBytes
};

inline constexpr Base::NameTable<CutReason, 2> cutReasonNames = {{
    {CutReason::Unread, "unread"},
    {CutReason::Memory, "memory"},
}};

/// What a host holds for one caller, in bytes.
struct HeldBytes
{
    std::size_t unread = 0; ///< of the response: written to the caller's connection and not read
    std::size_t collected = 0; ///< of the response: collected and not written yet
    std::size_t request = 0; ///< the request's body
};

/// The decision to cut a caller, with what it was based on.
struct CallerCut
{
    std::uint64_t call = 0;
    CutReason reason = CutReason::Unread;
    std::size_t bytes = 0; ///< held of the caller's response
    std::size_t total = 0; ///< held for all callers before the cut
    Base::Duration withoutProgress {}; ///< time since the caller's last progress
};

/// Accounts what the host holds for each caller, and decides on pauses and cuts. A call is known from its first update until it
/// is removed.
class ResponseBuffers
{
public:
    explicit ResponseBuffers(ResponseBufferLimits limits);

    /// Sets what is held for a call. A caller that had nothing to read has made progress at @p now.
    void update(std::uint64_t call, const HeldBytes &held, Base::Instant now);

    /// Records what a caller has read, as a measure of which only the growth matters; see Http::Exchange::delivered().
    void recordDelivered(std::uint64_t call, std::int64_t delivered, Base::Instant now);

    /// Records that a call cannot be cut any more, because its caller is gone while its run continues.
    void callerLeft(std::uint64_t call);

    void remove(std::uint64_t call);

    /// Records whether reading from the endpoint of a call's stream is paused.
    void setPaused(std::uint64_t call, bool paused, Base::Instant now);

    /// Returns how many unread bytes a stream may have before reading from its endpoint is paused. It is an eighth of the free
    /// part of the bound, so that a few slow streams get all they need, while many of them leave room for the others.
    std::size_t allowance() const;

    /// Returns the number of unread bytes at which a paused stream continues. It is close to the allowance, so that the pauses of
    /// a caller that reads slowly but steadily stay shorter than endpoints bear.
    std::size_t continueMark() const;

    /// Returns whether reading from the endpoint of the call's stream is to be paused now.
    bool shouldPause(std::uint64_t call) const;

    /// Returns whether the responses that are held exceed their part of the bound.
    bool overBound() const;

    /// Returns the callers to cut now, in the order in which they are to be cut.
    std::vector<CallerCut> cuts(Base::Instant now) const;

    std::size_t totalBytes() const;
    std::size_t pausedStreams() const;

private:
    struct Account
    {
        HeldBytes held;
        std::int64_t delivered = 0;
        Base::Instant lastProgress {};
        Base::Instant pausedAt {};
        bool paused = false;
        bool hasCaller = true;
    };

    /// A caller that may be cut, with the keys of the order of cuts.
    struct Candidate
    {
        std::uint64_t call = 0;
        int rank = 0;
        std::int64_t secondsWithoutProgress = 0;
        std::size_t bytes = 0;
    };

    static std::size_t responseBytes(const Account &account);
    static bool readsNothing(const Account &account, Base::Duration limit, Base::Instant now);
    std::size_t responseBound() const;
    Candidate candidateFor(std::uint64_t call, const Account &account, Base::Instant now) const;
    CallerCut cutOf(std::uint64_t call, CutReason reason, Base::Instant now) const;

    ResponseBufferLimits m_limits;
    std::unordered_map<std::uint64_t, Account> m_accounts;
    std::size_t m_responseBytes = 0;
    std::size_t m_requestBytes = 0;
    std::size_t m_paused = 0;
};

} // namespace Yokepond::Relay
