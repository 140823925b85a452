// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Decides when a host requests configuration changes from another host, and whether all or only those of endpoints.

#pragma once

#include "Base/time.h"

#include <cstdint>
#include <string>

namespace Yokepond::Node {

/// How revisions of two hosts compare.
enum class RevisionOrder {
    Counter, ///< a counter: the host with the higher revision has everything that the other one has
    Digest, ///< a digest over several kinds of records: if two differ, each host may have records that the other lacks
};

/// The changes to request from another host.
enum class Pull {
    None,
    Endpoints, ///< only endpoint records, which are small and urgent, while another host sends all changes
    All, ///< all changes
};

/// Schedules requests to other hosts, called pulls. All changes are requested from one host at a time. Requests to each host that
/// advertises a new revision would fill links of 10 Mbit/s with copies of a large configuration for ten seconds: in a fleet of 78
/// hosts, each host counted 6.3 MB received for two versions.
class PullScheduler
{
public:
    explicit PullScheduler(RevisionOrder order);

    /// Returns what to request now from host @p from, which advertised revision @p advertised, if this host has revision @p own.
    /// The caller must send that request: the scheduler records it as sent.
    Pull selectPull(Base::Instant now, const std::string &from, std::uint64_t advertised, std::uint64_t own);

    /// Records that host @p from has replied to a request for all changes.
    void receiveReply(const std::string &from);

    /// Returns the time since all changes were last requested.
    Base::Duration timeSinceRequest(Base::Instant now) const;

private:
    RevisionOrder m_order;
    Base::Instant m_nextRequestAt {};
    std::string m_pendingHost; ///< host that was asked for all changes and has not replied; empty if none
    Base::Instant m_requestedAt {};
    Base::Duration m_replyTimeout;
};

} // namespace Yokepond::Node
