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
#include "Node/sitewatch.h"
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
    SiteWatchOptions watch;
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
        , m_watch(feed, m_options.watch, m_options.seed,
                  SiteWatchEvents {.records
                                   = [this](const std::vector<Configuration::Record> &records) { m_fleet.takeRecords(records); },
                                   .heldBack = [this](const Configuration::Record &record) { m_fleet.expectRecord(record); },
                                   .storeAnswers = [this](const StoreNews &news) { storeAnswers(news); },
                                   .endpoints = [this] { return m_fleet.endpointRecords(); }})
        , m_delegation(DelegationOptions {}, m_options.seed)
    {
    }

    void tick(Base::Instant now)
    {
        const std::optional<FollowReason> picked = m_fleet.followsStore(now);
        setReason(picked || now >= m_askedUntil ? picked : FollowReason::Asked);
        m_watch.spreadCalls(!m_fleet.dependants().empty());
        m_watch.tick(now, m_reason.has_value());
        if (m_reason) {
            m_fleet.noteStore(now, m_watch.answers());
        }
        answerAskers(now);
        delegate(now);
    }

    /// Host @p from, which is to follow the store, is not answered.
    void receive(Base::Instant now, const std::string &from, const Peer::FollowStore &)
    {
        const Base::Instant failure = m_watch.lastFailure();
        if (failure != Base::Instant {} && now - failure < failureCounts) {
            m_options.send(from, Peer::FollowAnswer {false});
            return;
        }
        if (now >= m_askedUntil) {
            // One that follows already has its last answer to go by.
            m_askedAt = m_reason ? m_watch.lastAnswer() : now;
        }
        m_askedUntil = now + followsAskedFor;
        m_askers.insert(from);
        tick(now);
    }

    void receive(Base::Instant, const std::string &from, const Peer::FollowAnswer &answer)
    {
        m_delegation.answered(from, answer.follows);
    }

    /// Why this host follows the store, if it does.
    std::optional<FollowReason> reason() const
    {
        return m_reason;
    }

private:
    /// An asked host follows for two renewals of the ask, so that one that is lost does not end it.
    static constexpr Base::Duration followsAskedFor = std::chrono::seconds(4);
    /// A call that failed this short a time ago tells that the next one would fail too.
    static constexpr Base::Duration failureCounts = std::chrono::seconds(2);

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
    void answerAskers(Base::Instant now)
    {
        const std::optional<bool> answered = m_watch.answeredSince(now, m_askedAt);
        if (m_askers.empty() || !answered) {
            return;
        }
        for (const std::string &asker : std::exchange(m_askers, {})) {
            m_options.send(asker, Peer::FollowAnswer {*answered});
        }
        if (!*answered) {
            m_askedUntil = now;
        }
    }

    /// The duty goes by rank among the hosts that live, of which none can tell whether the store answers another one: whoever has
    /// it and is not answered must see to it that somebody who is does it, or all hosts keep an old configuration.
    void delegate(Base::Instant now)
    {
        const bool able = m_reason != FollowReason::Picked || m_watch.isAnswered(now);
        for (const std::string &name : m_delegation.tick(now, able, m_fleet.dependants())) {
            Base::log(Base::LogLevel::Info, Base::LogEvent::FollowDelegated, {{"to", name}});
            m_options.send(name, Peer::FollowStore {});
        }
    }

    void storeAnswers(const StoreNews &news)
    {
        Base::log(news.answers ? Base::LogLevel::Info : Base::LogLevel::Warning,
                  news.answers ? Base::LogEvent::StoreRecovered : Base::LogEvent::StoreLost,
                  {{"platform", m_options.platform},
                   {"revision", m_fleet.revision()},
                   {"kind", Base::nameOf(Configuration::recordKindNames, news.kind)},
                   {"out-ms", Base::milliseconds(news.outFor)},
                   {"reason", Base::messageOf(news.error)}});
        m_fleet.noteStore(m_options.watch.clock(), news.answers);
    }

    Fleet &m_fleet;
    StoreFollowerOptions m_options;
    SiteWatch<F> m_watch;
    Delegation m_delegation;
    std::optional<FollowReason> m_reason;
    std::set<std::string> m_askers; ///< not answered yet
    Base::Instant m_askedAt {}; ///< the first ask since this host last followed for none
    Base::Instant m_askedUntil {};
};

} // namespace Yokepond::Node
