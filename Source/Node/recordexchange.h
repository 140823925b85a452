// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Keeps a host's copy of the platform's records equal to those of the other hosts.

#pragma once

#include "Configuration/changescodec.h"
#include "Configuration/siterecords.h"
#include "Node/listrequests.h"
#include "Node/pullscheduler.h"
#include "Node/recordagreement.h"
#include "Peer/message.h"

#include <functional>
#include <set>
#include <string>

namespace Yokepond::Node {

/// Asks hosts whose records differ for what this host lacks, and tells others what they lack.
class RecordExchange
{
public:
    using Send = std::function<void(const Peer::Process &to, Peer::Message message)>;

    /// @p records is this host's copy and must outlive this object.
    RecordExchange(Configuration::SiteRecords &records, Send send);

    /// Handles the digest @p advertised of the records of host @p from: asks it for changes if the records differ.
    void receiveDigest(Base::Instant now, const std::string &from, std::uint64_t advertised);

    /// Handles a request for changes.
    void receive(const Peer::Process &from, const Peer::ChangesRequest &request);

    /// Merges changes of another host. Returns whether the state of any record changed.
    bool receive(Base::Instant now, const Peer::Process &from, const Peer::Changes &changes);

    /// Sends the list of endpoints to the hosts that asked before this host knew what was removed, once it does.
    void sendWaitingLists();

    /// Returns for how long no other host has had the same records; see RecordAgreement.
    Base::Duration differsFor(Base::Instant now) const;

private:
    void send(const Peer::Process &to, const Configuration::RecordRevisions &since, Configuration::RecordKind kind);
    /// Exchanges records with host @p from, which holds @p other, if it holds other ones at the same revision.
    void compare(Base::Instant now, const Peer::Process &from, const Configuration::CopyState &other);
    /// Sends all records to host @p with, and asks for its own: either host may be the one whose records are amiss.
    void exchange(const Peer::Process &with, bool configuration, bool endpoints);

    Configuration::SiteRecords &m_records;
    Send m_send;
    Configuration::ChangesCodec m_codec;
    PullScheduler m_pulls {RevisionOrder::Digest};
    RecordAgreement m_agreement;
    bool m_baseMissing = false; ///< the last changes were a delta to a configuration that this host does not have
    ListRequests m_firstEndpointList;
    ListRequests m_endpointLists;
    ListRequests m_configurationLists;
    std::set<Peer::Process> m_waitingForList; ///< hosts that asked for the list of endpoints before this host had all of it
};

} // namespace Yokepond::Node
