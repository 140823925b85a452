// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// When a host asks another for what changed, and for how much of it.

#pragma once

#include "Base/time.h"

#include <cstdint>
#include <string>

namespace Yokepond::Node {

/// What a host's revision tells of what it lacks.
enum class RevisionOrder {
    Counter, ///< whoever has the higher one lacks nothing that the other has
    Digest, ///< of several kinds of record: another one may have what this one lacks, or the other way round
};

enum class Pull {
    None,
    Endpoints, ///< all is on its way from another host: only what is small and urgent
    All,
};

/// All is asked of one host at a time: copies of a large configuration, asked of each host that told of it, filled links of
/// 10 Mbit/s for ten seconds, 6.3 MB a host for two versions (78 hosts, the hosts' own count of bytes received).
class PullScheduler
{
public:
    explicit PullScheduler(RevisionOrder order);

    /// What to ask of host @p from, which tells of revision @p heard, now that this one has @p own; that is noted.
    Pull selectPull(Base::Instant now, const std::string &from, std::uint64_t advertised, std::uint64_t own);

    /// Notes that host @p from has answered.
    void receiveReply(const std::string &from);

    /// How long ago all was asked for.
    Base::Duration timeSinceRequest(Base::Instant now) const;

private:
    RevisionOrder m_order;
    Base::Instant m_nextRequestAt {};
    std::string m_pendingHost; ///< the host from which all is awaited, empty if none
    Base::Instant m_requestedAt {};
    Base::Duration m_replyTimeout;
};

} // namespace Yokepond::Node
