// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Makes a host follow the records in the platform's store while it is selected for that or another host has asked it to.

#pragma once

#include "Base/log.h"
#include "Base/text.h"
#include "Configuration/siterecords.h"
#include "Node/delegation.h"
#include "Node/fleet.h"
#include "Node/recordwatcher.h"
#include "Peer/message.h"
#include "Platform/feed.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Yokepond::Node {

struct StoreFollowerOptions
{
    std::string platform; ///< address of the platform, for logs
    RecordWatcherOptions watcher;
    std::uint64_t seed = 0;
    std::function<void(const Peer::Process &to, Peer::Message message)> send;
};

/// Follows the store while Fleet::followReason() or another host's request says so, and passes the records that it reads to
/// Fleet. A selected follower to which the store does not respond asks other hosts to follow in its place.
template<Platform::Feed F>
class StoreFollower
{
public:
    StoreFollower(F &feed, Fleet &fleet, StoreFollowerOptions options)
        : m_fleet(fleet)
        , m_options(std::move(options))
        , m_watcher(
              feed, m_options.watcher, m_options.seed,
              RecordWatcherCallbacks {
                  .recordsRead = [this](const std::vector<Configuration::Record> &records) { m_fleet.mergeRecords(records); },
                  .removalDeferred = [this](const Configuration::Record &record) { m_fleet.markRecordUnconfirmed(record); },
                  .storeStateChanged = [this](const StoreUpdate &update) { storeStateChanged(update); },
                  .knownRecords = [this](Configuration::RecordKind kind) { return m_fleet.presentRecords(kind); },
                  .listBegins = [this](Configuration::RecordKind kind) { m_fleet.beginList(kind); },
                  .listEnds = [this](Configuration::RecordKind kind, std::uint64_t version) { m_fleet.endList(kind, version); },
                  .wantsEndpointList = [this] { return !m_fleet.knowsRemovals(Configuration::RecordKind::Endpoint); },
                  .rowsSkipped =
                      [this](Configuration::RecordKind kind, const std::vector<Configuration::RecordFault> &faults) {
                          m_fleet.skipRows(m_options.watcher.clock(), kind, faults);
                      }})
        , m_delegation(DelegationOptions {}, m_options.seed)
    {
    }

    /// Calls the store if this host is to follow it, replies to requesting hosts, and delegates if necessary. Call several times
    /// a second.
    void tick(Base::Instant now)
    {
        const std::optional<FollowReason> fleetReason = m_fleet.followReason(now);
        setReason(fleetReason || now >= m_requestedUntil ? fleetReason : FollowReason::Requested);
        m_watcher.staggerCalls(!m_fleet.nonFollowers().empty());
        m_watcher.tick(now, m_reason.has_value());
        if (m_reason) {
            m_fleet.updateStoreState(now, m_watcher.responds());
        }
        replyToRequesters(now);
        delegate(now);
    }

    /// Handles a request of host @p from, a selected follower to which the store does not respond, to follow in its place.
    void receive(Base::Instant now, const Peer::Process &from, const Peer::FollowStore &)
    {
        const Base::Instant failure = m_watcher.lastFailure();
        if (failure != Base::Instant {} && now - failure < recentFailureTime) {
            m_options.send(from, Peer::FollowAnswer {false});
            return;
        }
        if (now >= m_requestedUntil) {
            // If this host already follows the store, the last response of the store counts; otherwise the host waits for a new
            // one.
            m_requestedAt = m_reason ? m_watcher.lastResponse() : now;
        }
        m_requestedUntil = now + requestedFollowTime;
        m_requesters.insert(from);
        tick(now);
    }

    /// Handles the reply of host @p from to a request to follow in place of this host.
    void receive(Base::Instant, const Peer::Process &from, const Peer::FollowAnswer &answer)
    {
        m_delegation.receiveReply(from.name, answer.follows);
    }

    /// Returns why this host follows the store, or nothing if it does not.
    std::optional<FollowReason> reason() const
    {
        return m_reason;
    }

private:
    /// How long a host follows on request: two renewal periods of the request, so that one renewal may be lost.
    static constexpr Base::Duration requestedFollowTime = std::chrono::seconds(4);
    /// After a call has failed, the next call is assumed to fail too for this long.
    static constexpr Base::Duration recentFailureTime = std::chrono::seconds(2);

    /// Sets why this host follows the store, and logs a change.
    void setReason(std::optional<FollowReason> reason)
    {
        if (reason == m_reason) {
            return;
        }
        m_reason = reason;
        Base::log(
            Base::LogLevel::Info, Base::LogEvent::FollowsStore,
            {{"follows", reason.has_value()}, {"reason", reason ? Base::nameOf(followReasonNames, *reason) : "not-picked"}});
    }

    /// Replies to the requesting hosts whether the store responds to this host, once that is known.
    void replyToRequesters(Base::Instant now)
    {
        const std::optional<bool> responded = m_watcher.respondedSince(now, m_requestedAt);
        if (m_requesters.empty() || !responded) {
            return;
        }
        for (const Peer::Process &requester : std::exchange(m_requesters, {})) {
            m_options.send(requester, Peer::FollowAnswer {*responded});
        }
        if (!*responded) {
            m_requestedUntil = now;
        }
    }

    /// Asks other hosts to follow if this host is selected and the store does not respond to it. Followers are selected by rank
    /// among the present hosts, and no host knows whether the store responds to another one. Unless a selected follower without
    /// responses delegates its duty, all hosts may keep an old configuration.
    void delegate(Base::Instant now)
    {
        const bool needsNoDelegate = m_reason != FollowReason::Selected || m_watcher.hasNoFailedOrOverdueCall(now);
        for (const std::string &name : m_delegation.tick(now, needsNoDelegate, m_fleet.nonFollowers())) {
            Base::log(Base::LogLevel::Info, Base::LogEvent::FollowDelegated, {{"to", name}});
            m_options.send(name, Peer::FollowStore {});
        }
    }

    /// Logs that the store began or ceased to respond to this host, and reports it to the fleet.
    void storeStateChanged(const StoreUpdate &update)
    {
        Base::log(update.responds ? Base::LogLevel::Info : Base::LogLevel::Warning,
                  update.responds ? Base::LogEvent::StoreRecovered : Base::LogEvent::StoreLost,
                  {{"platform", m_options.platform},
                   {"revision", m_fleet.revision()},
                   {"kind", Base::nameOf(Configuration::recordKindNames, update.kind)},
                   {"out-ms", Base::milliseconds(update.elapsed)},
                   {"reason", Base::messageOf(update.error)}});
        m_fleet.updateStoreState(m_options.watcher.clock(), update.responds);
    }

    Fleet &m_fleet;
    StoreFollowerOptions m_options;
    RecordWatcher<F> m_watcher;
    Delegation m_delegation;
    std::optional<FollowReason> m_reason;
    std::set<Peer::Process> m_requesters; ///< processes that have not been sent a reply yet
    Base::Instant m_requestedAt {}; ///< a response of the store since then is an answer to the requesting hosts
    Base::Instant m_requestedUntil {};
};

} // namespace Yokepond::Node
