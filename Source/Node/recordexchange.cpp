// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/recordexchange.h"

#include "Base/error.h"
#include "Base/log.h"
#include "Base/text.h"

#include <algorithm>
#include <utility>

namespace Yokepond::Node {

namespace {

using Configuration::RecordKind;
using Configuration::RecordRevisions;

/// Period at which a host asks for the endpoints that others have, until one of them knows all of them.
constexpr Base::Duration firstListPeriod = std::chrono::seconds(1);
/// Longest period at which a host asks for whole lists while others at its revision hold other records.
constexpr Base::Duration maxListPeriod = std::chrono::seconds(30);
/// Number of hosts that are sent the list of endpoints as soon as this host has all of it.
constexpr std::size_t maxWaitingForList = 16;

} // namespace

RecordExchange::RecordExchange(Configuration::SiteRecords &records, Send send)
    : m_records(records)
    , m_send(std::move(send))
    , m_firstEndpointList(firstListPeriod)
    , m_endpointLists(maxListPeriod)
    , m_configurationLists(maxListPeriod)
{
}

void RecordExchange::receiveDigest(Base::Instant now, const std::string &from, std::uint64_t advertised)
{
    m_agreement.receiveDigest(now, from, advertised, m_records.digest());
    const Pull pull = m_pulls.selectPull(now, from, advertised, m_records.digest());
    const bool listsEndpoints = m_firstEndpointList.take(now, !m_records.knowsRemovals(RecordKind::Endpoint));
    if (pull == Pull::None && !listsEndpoints) {
        return;
    }
    const RecordRevisions current = m_records.revisions();
    m_send(from,
           Peer::ChangesRequest {m_baseMissing ? 0 : current.configuration, listsEndpoints ? 0 : current.endpoints,
                                 pull != Pull::All});
}

void RecordExchange::receive(const Peer::Process &from, const Peer::ChangesRequest &request)
{
    const RecordRevisions since {request.since, request.endpointsSince};
    if (m_records.revisions().endpoints > since.endpoints) {
        send(from, since, RecordKind::Endpoint);
    }
    const bool asksForList = since.endpoints == 0;
    if (asksForList && !m_records.knowsRemovals(RecordKind::Endpoint) && m_waitingForList.size() < maxWaitingForList) {
        m_waitingForList.insert(from);
    }
    if (!request.endpointsOnly) {
        // Sent even if nothing is new, since the requester waits for a reply.
        send(from, since, RecordKind::Configuration);
    }
}

bool RecordExchange::receive(Base::Instant now, const Peer::Process &from, const Peer::Changes &changes)
{
    const auto records = Configuration::ChangesCodec::unpack(m_records, {changes.packed, changes.base});
    if (!records.ok()) {
        // The next request asks for the whole configuration.
        m_baseMissing = true;
        m_pulls.receiveReply(from.name);
        Base::log(Base::LogLevel::Warning, Base::LogEvent::ConfigurationIgnored,
                  {{"from", from.name}, {"reason", Base::messageOf(records.status())}});
        return false;
    }
    // The reply to a request for all changes ends with a message of the configuration, even if that has no records. Only this
    // one completes the request.
    const bool ofConfiguration = records->configuration.scope != Configuration::ChangesScope::None;
    if (ofConfiguration) {
        m_baseMissing = false;
        m_pulls.receiveReply(from.name);
    }
    const bool changed = m_records.merge(*records);
    Base::log(Base::LogLevel::Info, Base::LogEvent::ChangesReceived,
              {{"from", from.name},
               {"configuration-version", records->configuration.revision},
               {"endpoints-version", records->endpoints.revision},
               {"scope",
                Base::nameOf(Configuration::changesScopeNames,
                             ofConfiguration ? records->configuration.scope : records->endpoints.scope)},
               {"records", records->records.size()},
               {"bytes", changes.packed.size()},
               {"ms-since-asked", Base::milliseconds(m_pulls.timeSinceRequest(now))},
               {"changed", changed}});
    sendWaitingLists();
    compare(now, from, records->sender);
    return changed;
}

void RecordExchange::sendWaitingLists()
{
    if (!m_records.knowsRemovals(RecordKind::Endpoint)) {
        return;
    }
    for (const Peer::Process &host : std::exchange(m_waitingForList, {})) {
        send(host, {}, RecordKind::Endpoint);
    }
}

Base::Duration RecordExchange::differsFor(Base::Instant now) const
{
    return m_agreement.differsFor(now);
}

void RecordExchange::send(const Peer::Process &to, const RecordRevisions &since, RecordKind kind)
{
    auto packed = m_codec.pack(m_records, since, kind);
    if (!packed.ok()) {
        Base::log(Base::LogLevel::Error, Base::LogEvent::ConfigurationIgnored,
                  {{"to", to.name}, {"reason", Base::messageOf(packed.status())}});
        return;
    }
    Base::log(Base::LogLevel::Info, Base::LogEvent::ChangesSent,
              {{"to", to.name},
               {"kind", Base::nameOf(Configuration::recordKindNames, kind)},
               {"since", since.forKind(kind)},
               {"version", m_records.revisions().forKind(kind)},
               {"base", packed->base},
               {"bytes", packed->bytes.size()}});
    m_send(to, Peer::Changes {{}, {}, std::move(packed->bytes), packed->base});
}

void RecordExchange::compare(Base::Instant now, const Peer::Process &from, const Configuration::CopyState &other)
{
    const Configuration::CopyState own = m_records.state();
    const bool sameConfiguration = other.hashes.configuration == own.hashes.configuration;
    const bool sameEndpoints = other.hashes.endpoints == own.hashes.endpoints;
    const bool exchangesConfiguration = own.revisions.configuration == other.revisions.configuration
        && m_configurationLists.take(now, own.revisions.configuration != 0 && !sameConfiguration);
    const bool exchangesEndpoints = own.revisions.endpoints == other.revisions.endpoints
        && m_endpointLists.take(now, own.revisions.endpoints != 0 && !sameEndpoints);
    if (!exchangesConfiguration && !exchangesEndpoints) {
        return;
    }
    Base::log(Base::LogLevel::Warning, Base::LogEvent::RecordsDiffer,
              {{"from", from.name},
               {"configuration", exchangesConfiguration},
               {"endpoints", exchangesEndpoints},
               {"configuration-version", own.revisions.configuration},
               {"endpoints-version", own.revisions.endpoints}});
    exchange(from, exchangesConfiguration, exchangesEndpoints);
}

void RecordExchange::exchange(const Peer::Process &with, bool configuration, bool endpoints)
{
    RecordRevisions since = m_records.revisions();
    if (endpoints) {
        since.endpoints = 0;
        send(with, since, RecordKind::Endpoint);
    }
    if (configuration) {
        // From before the configuration in force on, which is much smaller than the whole, unless that did not help.
        since.configuration
            = m_configurationLists.isFirst() ? std::max<std::uint64_t>(m_records.configurationChangedAt(), 1) - 1 : 0;
        send(with, since, RecordKind::Configuration);
    }
    m_send(with, Peer::ChangesRequest {since.configuration, since.endpoints, !configuration});
}

} // namespace Yokepond::Node
