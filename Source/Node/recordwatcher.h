// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Follows the configuration and the list of endpoints that the platform keeps, through its outages.

#pragma once

#include "Base/error.h"
#include "Configuration/siterecords.h"
#include "Platform/feed.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Yokepond::Node {

/// How long a call may be held by a platform that swallows calls while it is in trouble, of all hosts at once. Such a call hangs
/// until it is given up, @p timeout later, and the next must be answered before the platform counts on the hosts again,
/// @p settledAfter the trouble: all that it acknowledged meanwhile must be in force then.
constexpr Base::Duration maxHoldTime(Base::Duration settledAfter, Base::Duration timeout)
{
    constexpr Base::Duration nextCallTime = std::chrono::milliseconds(300); ///< the first retry, a tick and the answer
    constexpr Base::Duration least = std::chrono::milliseconds(100); ///< calls cost
    constexpr Base::Duration most = std::chrono::milliseconds(2500); ///< beyond this little is spared
    return std::clamp(settledAfter - timeout - nextCallTime, least, most);
}

/// A platform that answers ends a held call at most this long after the time for which it was asked to hold it.
constexpr Base::Duration heldCallMargin = std::chrono::milliseconds(500);
/// The whole of a large configuration takes as long on a link of 10 Mbit/s.
constexpr Base::Duration fullReadTimeout = std::chrono::milliseconds(1000);

/// Pauses and waits of a watch; the defaults are for a platform that bounds changes of endpoints to two seconds.
struct RecordWatcherOptions
{
    /// A held call is asked for this long.
    Base::Duration holdTime = maxHoldTime(std::chrono::milliseconds(3000), std::chrono::milliseconds(1500));
    /// Of @p wait, the least part for which a call is held where hosts spread their calls.
    double minHoldFraction = 0.4;
    /// The same after a failed call: whoever has just been swallowed asks whether the platform is back and is given up soon.
    /// Held calls that began just before the end of an outage hung for 4 s on all hosts at once, and a configuration accepted
    /// meanwhile came into force 0.2 s too late.
    Base::Duration holdTimeAfterFailure = Base::Duration::zero();
    /// Between an answer about endpoints and the next call: heartbeats may end each held call at once, and calls cost.
    Base::Duration endpointPause = std::chrono::milliseconds(400);
    Base::Duration configurationPause = std::chrono::milliseconds(20);
    /// After a failed call, doubled from failure to failure up to the longest.
    Base::Duration initialRetryDelay = std::chrono::milliseconds(150);
    Base::Duration maxRetryDelay = std::chrono::milliseconds(1000);
    /// Endpoints that the platform dropped while it was away are believed gone only after this: those that live come back.
    Base::Duration removalGrace = std::chrono::milliseconds(2800);
    std::function<Base::Instant()> clock = Base::now; ///< when calls begin and answers come
};

/// That the platform began or ceased to answer, by one call.
struct StoreUpdate
{
    bool responds = false;
    Configuration::RecordKind kind {}; ///< of the records that the call was for
    Base::Duration elapsed {}; ///< from the call to its answer or its failure
    absl::Status error; ///< why it failed
};

struct RecordWatcherCallbacks
{
    std::function<void(std::vector<Configuration::Record> records)> records; ///< to be merged
    std::function<void(const Configuration::Record &record)> removalDeferred; ///< known of, not believed yet
    std::function<void(const StoreUpdate &news)> storeStateChanged; ///< when it changes
    std::function<std::vector<Configuration::Record>()> knownEndpoints; ///< those that this host believes in, whoever told it
};

/// Tells what it reads by records(); what is held there already is passed over by its version.
template<Platform::Feed F>
class RecordWatcher
{
public:
    RecordWatcher(F &feed, RecordWatcherOptions options, std::uint64_t seed, RecordWatcherCallbacks callbacks)
        : m_feed(feed)
        , m_options(std::move(options))
        , m_random(seed)
        , m_callbacks(std::move(callbacks))
    {
        m_tables[0].kind = Configuration::RecordKind::Configuration;
        m_tables[0].pause = m_options.configurationPause;
        m_tables[1].kind = Configuration::RecordKind::Endpoint;
        m_tables[1].pause = m_options.endpointPause;
    }

    /// @p active: whether new calls are to be made. One that is under way is waited for in any case.
    void tick(Base::Instant now, bool active = true)
    {
        reportDueRemovals(now);
        for (TableState &table : m_tables) {
            table.reactivated = table.reactivated || !active;
            if (active && !table.calling && now >= table.nextCallAt) {
                call(table);
            }
        }
    }

    /// Whether calls are held for times that differ. Those of several hosts, which a change ends all at once, would else go on to
    /// end together: for the length of a whole hold none would tell that the platform has ceased to answer.
    void staggerCalls(bool stagger)
    {
        m_stagger = stagger;
    }

    /// Whether the platform answers as it should, as far as can be told by now.
    bool isResponding(Base::Instant now) const
    {
        return std::ranges::none_of(
            m_tables, [now](const TableState &table) { return table.failures > 0 || (table.calling && now >= table.overdueAt); });
    }

    /// Whether the platform has answered since @p instant; nothing if that cannot be told yet.
    std::optional<bool> respondedSince(Base::Instant now, Base::Instant instant) const
    {
        if (!isResponding(now) || (m_lastFailure != Base::Instant {} && m_lastFailure >= instant)) {
            return false;
        }
        return m_lastResponse != Base::Instant {} && m_lastResponse >= instant ? std::optional(true) : std::nullopt;
    }

    /// When a call last failed; the start if none did.
    Base::Instant lastFailure() const
    {
        return m_lastFailure;
    }

    bool responds() const
    {
        return m_responds;
    }

    /// When the platform last answered; the start if it never did.
    Base::Instant lastResponse() const
    {
        return m_lastResponse;
    }

private:
    using Record = Configuration::Record;

    struct TableState
    {
        Configuration::RecordKind kind {};
        Base::Duration pause {};
        bool needsFullRead = true; ///< the next call reads the whole table
        std::uint64_t since = 0;
        bool calling = false;
        Base::Instant calledAt {};
        Base::Instant overdueAt {}; ///< of the call under way
        bool reactivated = true; ///< no call has been answered since the watch was last inactive
        unsigned int failures = 0;
        bool retriedImmediately = false; ///< since the last answer
        Base::Instant nextCallAt {};
        std::map<std::string, std::uint64_t> known; ///< versions of the records that are there
    };

    struct Removal
    {
        Record record;
        Base::Instant due {};
    };

    void call(TableState &table)
    {
        table.calling = true;
        table.calledAt = m_options.clock();
        const bool fullRead = table.needsFullRead;
        auto handler = [this, &table, fullRead](absl::StatusOr<Platform::FeedPage> page) {
            handleResult(table, fullRead, std::move(page));
        };
        if (fullRead) {
            table.overdueAt = table.calledAt + fullReadTimeout;
            m_feed.read(table.kind, std::move(handler));
        } else {
            const Base::Duration holdTime = nextHoldTime(table);
            table.overdueAt = table.calledAt + holdTime + heldCallMargin;
            m_feed.follow(table.kind, table.since, holdTime, std::move(handler));
        }
    }

    Base::Duration nextHoldTime(const TableState &table)
    {
        if (table.failures > 0) {
            return m_options.holdTimeAfterFailure;
        }
        if (table.reactivated) {
            // What changed while this host did not follow, and whether the platform answers it, is to be known at once.
            return Base::Duration::zero();
        }
        if (!m_stagger) {
            return m_options.holdTime;
        }
        // Most are held almost as long as they may be, since calls cost; a few of all hosts' end soon, and that is enough.
        const double fraction = std::pow(std::uniform_real_distribution(0.0, 1.0)(m_random), 3);
        return std::chrono::duration_cast<Base::Duration>(m_options.holdTime
                                                          * (1.0 - (1.0 - m_options.minHoldFraction) * fraction));
    }

    void handleResult(TableState &table, bool fullRead, absl::StatusOr<Platform::FeedPage> page)
    {
        const Base::Instant now = m_options.clock();
        table.calling = false;
        if (!page.ok() && Base::errorKind(page.status()) == Base::ErrorKind::HistoryCompacted) {
            table.needsFullRead = true;
            table.nextCallAt = now;
            return;
        }
        if (!page.ok()) {
            callFailed(table, now, page.status());
            return;
        }
        table.failures = 0;
        table.reactivated = false;
        table.retriedImmediately = false;
        table.nextCallAt = now + table.pause;
        table.since = page->version;
        table.needsFullRead = false;
        noteResponse(table, now);
        if (fullRead) {
            addMissingRemovals(table, *page);
        }
        applyRecords(table, now, std::move(page->records));
    }

    void callFailed(TableState &table, Base::Instant now, const absl::Status &error)
    {
        const Base::Duration delay
            = std::min(m_options.maxRetryDelay, m_options.initialRetryDelay * (1U << std::min(table.failures, 8U)));
        ++table.failures;
        const auto jitter = static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(delay.count() / 2 + 1));
        table.nextCallAt = now + delay / 2 + Base::Duration(jitter);
        // The platform swallowed this call and has come back since, as the other call shows: up to a second is spared. Once only,
        // since it may refuse the calls of one kind alone.
        if (m_lastResponse >= table.calledAt && !table.retriedImmediately) {
            table.retriedImmediately = true;
            table.nextCallAt = now;
        }
        m_lastFailure = now;
        if (std::exchange(m_responds, false) || !m_stateReported) {
            m_stateReported = true;
            m_callbacks.storeStateChanged({false, table.kind, now - table.calledAt, error});
        }
    }

    void noteResponse(const TableState &respondingTable, Base::Instant now)
    {
        m_lastResponse = now;
        for (TableState &table : m_tables) {
            // It answers again: what failed before need not wait for its next try.
            table.nextCallAt = table.failures > 0 ? now : table.nextCallAt;
        }
        if (!std::exchange(m_responds, true)) {
            m_stateReported = true;
            m_callbacks.storeStateChanged({true, respondingTable.kind, now - respondingTable.calledAt, absl::OkStatus()});
        }
    }

    /// What a whole read does not list is gone, as of that read; also what only other hosts have told, since the version of the
    /// read is passed on as one up to which nothing is lacking.
    void addMissingRemovals(const TableState &table, Platform::FeedPage &page) const
    {
        std::map<std::string, std::uint64_t> present = table.known;
        if (table.kind == Configuration::RecordKind::Endpoint) {
            for (const Record &record : m_callbacks.knownEndpoints()) {
                if (record.version <= page.version) {
                    present.try_emplace(record.key, record.version);
                }
            }
        }
        std::vector<Record> missing;
        for (const auto &[key, version] : present) {
            if (std::ranges::find(page.records, key, &Record::key) == page.records.end()) {
                missing.push_back({table.kind, key, std::max(version + 1, page.version), true, {}});
            }
        }
        std::ranges::move(missing, std::back_inserter(page.records));
    }

    void applyRecords(TableState &table, Base::Instant now, std::vector<Record> records)
    {
        std::vector<Record> reported;
        for (Record &record : records) {
            if (record.removed) {
                table.known.erase(record.key);
            } else {
                table.known[record.key] = record.version;
                m_removals.erase(record.key);
            }
            const bool afterOutage = m_lastFailure != Base::Instant {} && now - m_lastFailure < m_options.removalGrace;
            if (record.removed && record.kind == Configuration::RecordKind::Endpoint && afterOutage) {
                m_callbacks.removalDeferred(record);
                const std::string key = record.key;
                m_removals[key] = {std::move(record), m_lastFailure + m_options.removalGrace};
            } else {
                reported.push_back(std::move(record));
            }
        }
        if (!reported.empty()) {
            m_callbacks.records(std::move(reported));
        }
    }

    void reportDueRemovals(Base::Instant now)
    {
        std::vector<Record> due;
        for (const auto &[key, removal] : m_removals) {
            if (now >= removal.due) {
                due.push_back(removal.record);
            }
        }
        for (const Record &record : due) {
            m_removals.erase(record.key);
        }
        if (!due.empty()) {
            m_callbacks.records(std::move(due));
        }
    }

    F &m_feed;
    RecordWatcherOptions m_options;
    std::mt19937_64 m_random;
    RecordWatcherCallbacks m_callbacks;
    std::array<TableState, 2> m_tables;
    std::map<std::string, Removal> m_removals; ///< not yet believed
    Base::Instant m_lastResponse {};
    Base::Instant m_lastFailure {};
    bool m_responds = false;
    bool m_stagger = false;
    bool m_stateReported = false;
};

} // namespace Yokepond::Node
