// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A host's part in following the records that the platform's store keeps.

#pragma once

#include "Base/log.h"
#include "Base/text.h"
#include "Configuration/siterecords.h"
#include "Node/fleet.h"
#include "Node/sitewatch.h"
#include "Platform/feed.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Yokepond::Node {

struct StoreFollowerOptions
{
    std::string platform; ///< for logs
    SiteWatchOptions watch;
    std::uint64_t seed = 0;
};

/// Follows the store while the fleet says that this host is to, and tells the fleet what it reads.
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
    {
    }

    void tick(Base::Instant now)
    {
        const std::optional<FollowReason> reason = m_fleet.followsStore(now);
        if (reason != m_reason) {
            m_reason = reason;
            Base::log(
                Base::LogLevel::Info, Base::LogEvent::FollowsStore,
                {{"follows", reason.has_value()}, {"reason", reason ? Base::nameOf(followReasonNames, *reason) : "not-picked"}});
        }
        m_watch.tick(now, reason.has_value());
        if (reason) {
            m_fleet.noteStore(now, m_watch.answers());
        }
    }

    /// Why this host follows the store, if it does.
    std::optional<FollowReason> reason() const
    {
        return m_reason;
    }

private:
    void storeAnswers(const StoreNews &news)
    {
        Base::log(news.answers ? Base::LogLevel::Info : Base::LogLevel::Warning,
                  news.answers ? Base::LogEvent::StoreBack : Base::LogEvent::StoreLost,
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
    std::optional<FollowReason> m_reason;
};

} // namespace Yokepond::Node
