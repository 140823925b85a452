// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A host's part in following the records that the platform's store keeps.

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
    std::string platform; ///< for logs
    RecordWatcherOptions watcher;
    std::uint64_t seed = 0;
    std::function<void(const std::string &member, Peer::Message message)> send;
};

/// Follows the store while this host is to, and tells the fleet what it reads. A host that is picked and not answered asks others
/// to follow in its place.
template<Platform::Feed F>
class StoreFollower
{
public:
    StoreFollower(F &feed, Fleet &fleet, StoreFollowerOptions options)
        : m_fleet(fleet)
        , m_options(std::move(options))
        , m_watcher(feed, m_options.watcher, m_options.seed,
                    RecordWatcherCallbacks {
                        .records = [this](const std::vector<Configuration::Record> &records) { m_fleet.mergeRecords(records); },
                        .removalDeferred = [this](const Configuration::Record &record) { m_fleet.markRecordPending(record); },
                        .storeStateChanged = [this](const StoreUpdate &news) { storeStateChanged(news); },
                        .knownEndpoints = [this] { return m_fleet.endpointRecords(); }})
        , m_delegation(DelegationOptions {}, m_options.seed)
    {
    }

    void tick(Base::Instant now)
    {
        const std::optional<FollowReason> selected = m_fleet.followReason(now);
        setReason(selected || now >= m_requestedUntil ? selected : FollowReason::Requested);
        m_watcher.staggerCalls(!m_fleet.nonFollowers().empty());
        m_watcher.tick(now, m_reason.has_value());
        if (m_reason) {
            m_fleet.updateStoreState(now, m_watcher.responds());
        }
        replyToRequesters(now);
        delegate(now);
    }

    /// Host @p from, which is to follow the store, is not answered.
    void receive(Base::Instant now, const std::string &from, const Peer::FollowStore &)
    {
        const Base::Instant failure = m_watcher.lastFailure();
        if (failure != Base::Instant {} && now - failure < recentFailureTime) {
            m_options.send(from, Peer::FollowAnswer {false});
            return;
        }
        if (now >= m_requestedUntil) {
            // One that follows already has its last answer to go by.
            m_requestedAt = m_reason ? m_watcher.lastResponse() : now;
        }
        m_requestedUntil = now + requestedFollowTime;
        m_requesters.insert(from);
        tick(now);
    }

    void receive(Base::Instant, const std::string &from, const Peer::FollowAnswer &answer)
    {
        m_delegation.receiveReply(from, answer.follows);
    }

    /// Why this host follows the store, if it does.
    std::optional<FollowReason> reason() const
    {
        return m_reason;
    }

private:
    /// An asked host follows for two renewals of the ask, so that one that is lost does not end it.
    static constexpr Base::Duration requestedFollowTime = std::chrono::seconds(4);
    /// A call that failed this short a time ago tells that the next one would fail too.
    static constexpr Base::Duration recentFailureTime = std::chrono::seconds(2);

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

    /// Tells those that asked whether the store answers this host, once that is known.
    void replyToRequesters(Base::Instant now)
    {
        const std::optional<bool> responded = m_watcher.respondedSince(now, m_requestedAt);
        if (m_requesters.empty() || !responded) {
            return;
        }
        for (const std::string &requester : std::exchange(m_requesters, {})) {
            m_options.send(requester, Peer::FollowAnswer {*responded});
        }
        if (!*responded) {
            m_requestedUntil = now;
        }
    }

    /// The duty goes by rank among the hosts that live, of which none can tell whether the store answers another one: whoever has
    /// it and is not answered must see to it that somebody who is does it, or all hosts keep an old configuration.
    void delegate(Base::Instant now)
    {
        const bool canFollow = m_reason != FollowReason::Selected || m_watcher.isResponding(now);
        for (const std::string &name : m_delegation.tick(now, canFollow, m_fleet.nonFollowers())) {
            Base::log(Base::LogLevel::Info, Base::LogEvent::FollowDelegated, {{"to", name}});
            m_options.send(name, Peer::FollowStore {});
        }
    }

    void storeStateChanged(const StoreUpdate &news)
    {
        Base::log(news.responds ? Base::LogLevel::Info : Base::LogLevel::Warning,
                  news.responds ? Base::LogEvent::StoreRecovered : Base::LogEvent::StoreLost,
                  {{"platform", m_options.platform},
                   {"revision", m_fleet.revision()},
                   {"kind", Base::nameOf(Configuration::recordKindNames, news.kind)},
                   {"out-ms", Base::milliseconds(news.elapsed)},
                   {"reason", Base::messageOf(news.error)}});
        m_fleet.updateStoreState(m_options.watcher.clock(), news.responds);
    }

    Fleet &m_fleet;
    StoreFollowerOptions m_options;
    RecordWatcher<F> m_watcher;
    Delegation m_delegation;
    std::optional<FollowReason> m_reason;
    std::set<std::string> m_requesters; ///< not answered yet
    Base::Instant m_requestedAt {}; ///< the first ask since this host last followed for none
    Base::Instant m_requestedUntil {};
};

} // namespace Yokepond::Node
