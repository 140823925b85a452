// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Accounts what the bodies of all requests take together, and decides which of them may take more. Pure decision code:
/// docs/design/slow-callers.md gives the reasons.

#pragma once

#include "Base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Yokepond::Http {

/// Limits on the bodies of requests.
struct BodyMemoryLimits
{
    std::size_t totalBytes = 0; ///< bound for all bodies together, at least two of the largest; 0: none
    Base::Duration receive = std::chrono::seconds(30); ///< time limit for receiving a body
};

/// What became of bodies for which there was no room.
struct BodyMemoryCounters
{
    std::uint64_t refused = 0; ///< requests refused, since their bodies found no room
    std::uint64_t cut = 0; ///< requests refused while their bodies came too slowly, to make room for others
};

/// Accounts the bodies of a host's requests. A body is known from the first grow() until it is released.
class BodyMemory
{
public:
    explicit BodyMemory(const BodyMemoryLimits &limits);

    /// Lets the body take @p bytes in all, the whole of its length if that is known. Returns false, and changes nothing, if that
    /// is more than half of what is free without it: many large bodies leave room for smaller ones, and no body ever waits for
    /// another.
    bool grow(std::uint64_t body, std::size_t bytes, Base::Instant now);

    /// Records how much of the body has arrived.
    void received(std::uint64_t body, std::size_t bytes, Base::Instant now);

    /// Records that the body has arrived completely. It is not slow any more.
    void completed(std::uint64_t body);

    /// Gives the room of the body back.
    void release(std::uint64_t body, Base::Instant now);

    /// Returns the body to cut in order to make room, if there is one: the largest of those that are still arriving and that have
    /// either stalled or would not be complete within the limit at their pace so far.
    std::optional<std::uint64_t> slowBody(Base::Instant now) const;

    /// Returns an estimate of the time until @p bytes are free: how fast room comes back is known from what is held and for how
    /// long bodies were held of late.
    Base::Duration timeUntilFree(std::size_t bytes) const;

    std::size_t heldBytes() const;

private:
    struct Account
    {
        std::size_t bytes = 0;
        std::size_t receivedBytes = 0;
        Base::Instant startedAt {};
        Base::Instant lastReceivedAt {};
        bool arriving = true;
    };

    bool isSlow(const Account &account, Base::Instant now) const;

    BodyMemoryLimits m_limits;
    std::unordered_map<std::uint64_t, Account> m_accounts;
    std::size_t m_heldBytes = 0;
    Base::Duration m_meanHeldTime;
};

} // namespace Yokepond::Http
