// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Follows the configuration and the list of endpoints in the platform's store, also through outages of the store.
///
/// A call is "held" by the store until a record has changed or the requested time is over (long polling).

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
#include <utility>
#include <vector>

namespace Yokepond::Node {

/// Returns the time for which calls may ask to be held. During a disruption the store may lose the calls of all hosts, without
/// an error. A lost call hangs until it times out, @p timeout after the end of its hold time. The platform expects hosts to have
/// applied all changes that it acknowledged during the disruption once the time @p settledAfter has passed since its end. The
/// call after the lost one must be answered before that.
constexpr Base::Duration maxHoldTime(Base::Duration settledAfter, Base::Duration timeout)
{
    constexpr Base::Duration nextCallTime = std::chrono::milliseconds(300); ///< first retry delay, one tick and the response
    constexpr Base::Duration minimum = std::chrono::milliseconds(100); ///< limits the number of calls
    constexpr Base::Duration maximum = std::chrono::milliseconds(2500); ///< a longer time would save few calls
    return std::clamp(settledAfter - timeout - nextCallTime, minimum, maximum);
}

/// A held call counts as overdue this long after the end of its hold time; a working store ends it before.
constexpr Base::Duration heldCallMargin = std::chrono::milliseconds(500);
/// A full read counts as overdue after this time, which is the time that a large configuration takes on a link of 10 Mbit/s.
constexpr Base::Duration fullReadTimeout = std::chrono::milliseconds(1000);

/// Times and delays of a RecordWatcher. The defaults suit a platform that requires changes of endpoints to be applied within two
/// seconds.
struct RecordWatcherOptions
{
    /// Time for which a call asks to be held.
    Base::Duration holdTime = maxHoldTime(std::chrono::milliseconds(3000), std::chrono::milliseconds(1500));
    /// Minimum hold time as a fraction of @ref holdTime when calls are staggered.
    double minHoldFraction = 0.4;
    /// Hold time after a failed call. It is zero, because such a call only checks whether the store works again, and a lost call
    /// without hold time times out soon. With the usual hold time, calls that began just before the end of an outage hung for 4 s
    /// on all hosts at once, and hosts applied a configuration that the store had accepted meanwhile 0.2 s after the platform's
    /// limit.
    Base::Duration holdTimeAfterFailure = Base::Duration::zero();
    /// Delay between a response about endpoints and the next call. It limits the number of calls, since heartbeats of endpoints
    /// may end each held call at once.
    Base::Duration endpointPause = std::chrono::milliseconds(400);
    Base::Duration configurationPause = std::chrono::milliseconds(20);
    /// Delay after a failed call; doubled with each further failure up to the maximum.
    Base::Duration initialRetryDelay = std::chrono::milliseconds(150);
    Base::Duration maxRetryDelay = std::chrono::milliseconds(1000);
    /// Removals of endpoints that arrive within this time after a failed call are deferred until it is over. The store may drop
    /// records of endpoints that still run during an outage, and such endpoints create their records again.
    Base::Duration removalDelay = std::chrono::milliseconds(2800);
    std::function<Base::Instant()> clock = Base::now; ///< current time, read when calls begin and end
};

/// The store began or ceased to respond, as the result of one call showed.
struct StoreUpdate
{
    bool responds = false;
    Configuration::RecordKind kind {}; ///< kind of the records that the call was for
    Base::Duration elapsed {}; ///< time from the call to its response or failure
    absl::Status error; ///< why the call failed
};

/// Callbacks of RecordWatcher; all are called on the event loop's thread.
struct RecordWatcherCallbacks
{
    std::function<void(std::vector<Configuration::Record> records)> recordsRead; ///< gets records to be merged
    /// Gets a removal that will be passed to recordsRead later.
    std::function<void(const Configuration::Record &record)> removalDeferred;
    std::function<void(const StoreUpdate &update)> storeStateChanged; ///< the store began or ceased to respond
    /// Returns the records of a kind that this host has, from the store or from other hosts.
    std::function<std::vector<Configuration::Record>(Configuration::RecordKind kind)> knownRecords;
    /// A list of all records of a kind was read; recordsRead gets them next, if there are any. RecordKind::Configuration stands
    /// for both kinds of its table.
    std::function<void(Configuration::RecordKind kind)> listBegins;
    /// The records of the list were passed on, and the store has responded for so long that endpoints that are missing have left.
    std::function<void(Configuration::RecordKind kind, std::uint64_t version)> listEnds;
    /// Returns whether another list of the endpoints is wanted, since none that was read before was followed by listEnds.
    std::function<bool()> wantsEndpointList;
    /// Gets what is wrong with the rows of a response that no record can be made of; never empty. RecordKind::Configuration
    /// stands for both kinds of its table.
    std::function<void(Configuration::RecordKind kind, const std::vector<Configuration::RecordFault> &faults)> rowsSkipped;
};

/// Watches the configuration, together with the evacuations, and the endpoints by one call each: a full read first, then held
/// calls for changes. Passes all records that it
/// reads to RecordWatcherCallbacks::recordsRead, also those that this host has already; the receiver skips them by their version.
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
        m_states[0].kind = RecordKind::Configuration;
        m_states[0].pause = m_options.configurationPause;
        m_states[1].kind = RecordKind::Endpoint;
        m_states[1].pause = m_options.endpointPause;
    }

    /// @p active: whether to make new calls. The result of a call in progress is handled in any case.
    void tick(Base::Instant now, bool active = true)
    {
        reportDueRemovals(now);
        KindState &endpoints = m_states[1];
        endpoints.needsFullRead = endpoints.needsFullRead || (active && isSettled(now) && m_callbacks.wantsEndpointList());
        for (KindState &state : m_states) {
            state.reactivated = state.reactivated || !active;
            if (active && !state.calling && now >= state.nextCallAt) {
                call(state);
            }
        }
    }

    /// Sets whether hold times are randomised. A change ends the held calls of all hosts at once, so with equal hold times they
    /// would also end together from then on, and for a whole hold time no host would notice that the store has ceased to
    /// respond.
    void staggerCalls(bool stagger)
    {
        m_stagger = stagger;
    }

    /// Returns whether, for each kind of record, the last call succeeded and the call in progress is not overdue. Unlike
    /// responds(), this includes calls that have not ended.
    bool hasNoFailedOrOverdueCall(Base::Instant now) const
    {
        return std::ranges::none_of(
            m_states, [now](const KindState &state) { return state.failures > 0 || (state.calling && now >= state.overdueAt); });
    }

    /// Returns whether the store has responded since @p instant without a failure, or nothing if that is not known yet.
    std::optional<bool> respondedSince(Base::Instant now, Base::Instant instant) const
    {
        if (!hasNoFailedOrOverdueCall(now) || (m_lastFailure != Base::Instant {} && m_lastFailure >= instant)) {
            return false;
        }
        return m_lastResponse != Base::Instant {} && m_lastResponse >= instant ? std::optional(true) : std::nullopt;
    }

    /// Returns when a call last failed, or the zero time point if none has.
    Base::Instant lastFailure() const
    {
        return m_lastFailure;
    }

    /// Returns whether the last call that ended got a response.
    bool responds() const
    {
        return m_responds;
    }

    /// Returns when the store last responded, or the zero time point if it never has.
    Base::Instant lastResponse() const
    {
        return m_lastResponse;
    }

private:
    using Record = Configuration::Record;
    using RecordKind = Configuration::RecordKind;
    using RecordKey = std::pair<RecordKind, std::string>;

    /// State of the calls for the configuration and the evacuations, or for the endpoints.
    struct KindState
    {
        RecordKind kind {}; ///< RecordKind::Configuration stands for both kinds that its calls return
        Base::Duration pause {};
        bool needsFullRead = true; ///< the next call reads all records
        std::uint64_t since = 0; ///< version up to which the records are known
        bool calling = false;
        Base::Instant calledAt {};
        Base::Instant overdueAt {}; ///< when the call in progress counts as overdue
        bool reactivated = true; ///< no call has succeeded since the start or since the watcher was last inactive
        unsigned int failures = 0; ///< consecutive failed calls
        bool retriedImmediately = false; ///< a failed call was retried without delay since the last response
        Base::Instant nextCallAt {};
        std::map<RecordKey, std::uint64_t> knownVersions; ///< versions of the present records
    };

    /// The removal of an endpoint whose report is deferred.
    struct Removal
    {
        Record record;
        Base::Instant due {};
    };

    /// Starts a full read or a held call.
    void call(KindState &state)
    {
        state.calling = true;
        state.calledAt = m_options.clock();
        const bool fullRead = state.needsFullRead;
        auto handler = [this, &state, fullRead](absl::StatusOr<Platform::FeedPage> page) {
            handleResult(state, fullRead, std::move(page));
        };
        if (fullRead) {
            state.overdueAt = state.calledAt + fullReadTimeout;
            m_feed.read(state.kind, std::move(handler));
        } else {
            const Base::Duration holdTime = nextHoldTime(state);
            state.overdueAt = state.calledAt + holdTime + heldCallMargin;
            m_feed.follow(state.kind, state.since, holdTime, std::move(handler));
        }
    }

    /// Returns the time for which the next call asks to be held.
    Base::Duration nextHoldTime(const KindState &state)
    {
        if (state.failures > 0) {
            return m_options.holdTimeAfterFailure;
        }
        if (state.reactivated) {
            // This host must learn at once what changed while it did not follow, and whether the store responds to it.
            return Base::Duration::zero();
        }
        if (!m_stagger) {
            return m_options.holdTime;
        }
        // Most hold times are close to the maximum, which keeps the number of calls low. Among all hosts, some calls still end
        // early and show whether the store responds.
        const double fraction = std::pow(std::uniform_real_distribution(0.0, 1.0)(m_random), 3);
        return std::chrono::duration_cast<Base::Duration>(m_options.holdTime
                                                          * (1.0 - (1.0 - m_options.minHoldFraction) * fraction));
    }

    void handleResult(KindState &state, bool fullRead, absl::StatusOr<Platform::FeedPage> page)
    {
        const Base::Instant now = m_options.clock();
        state.calling = false;
        if (!page.ok() && Base::errorKind(page.status()) == Base::ErrorKind::HistoryCompacted) {
            state.needsFullRead = true;
            state.nextCallAt = now;
            return;
        }
        if (!page.ok()) {
            callFailed(state, now, page.status());
            return;
        }
        m_respondsSince = state.reactivated || !m_responds ? now : m_respondsSince;
        state.failures = 0;
        state.reactivated = false;
        state.retriedImmediately = false;
        state.nextCallAt = now + state.pause;
        state.since = page->version;
        state.needsFullRead = false;
        callSucceeded(state, now);
        if (fullRead) {
            m_callbacks.listBegins(state.kind);
            addRemovals(state, *page);
        }
        if (!page->skipped.empty()) {
            m_callbacks.rowsSkipped(state.kind, page->skipped);
        }
        applyRecords(state, now, std::move(page->records));
        if (fullRead && (state.kind == RecordKind::Configuration || isSettled(now))) {
            m_callbacks.listEnds(state.kind, state.since);
        }
    }

    /// Returns whether the store has responded for so long that endpoints whose records it lost in an outage have written them
    /// again.
    bool isSettled(Base::Instant now) const
    {
        return m_responds && now - m_respondsSince >= m_options.removalDelay;
    }

    /// Schedules the retry of a failed call.
    void callFailed(KindState &state, Base::Instant now, const absl::Status &error)
    {
        const Base::Duration delay
            = std::min(m_options.maxRetryDelay, m_options.initialRetryDelay * (1U << std::min(state.failures, 8U)));
        ++state.failures;
        const auto jitter = static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(delay.count() / 2 + 1));
        state.nextCallAt = now + delay / 2 + Base::Duration(jitter);
        // The other call has had a response since this one began, so the store lost this call but works again. A retry without
        // delay saves up to a second. It is done only once, since the store may reject only the calls of one kind.
        if (m_lastResponse >= state.calledAt && !state.retriedImmediately) {
            state.retriedImmediately = true;
            state.nextCallAt = now;
        }
        m_lastFailure = now;
        if (std::exchange(m_responds, false) || !m_stateReported) {
            m_stateReported = true;
            m_callbacks.storeStateChanged({false, state.kind, now - state.calledAt, error});
        }
    }

    /// Updates the state of all calls after a response.
    void callSucceeded(const KindState &respondingState, Base::Instant now)
    {
        m_lastResponse = now;
        for (KindState &state : m_states) {
            // The store responds again, so calls that failed before are retried at once.
            state.nextCallAt = state.failures > 0 ? now : state.nextCallAt;
        }
        if (!std::exchange(m_responds, true)) {
            m_stateReported = true;
            m_callbacks.storeStateChanged({true, respondingState.kind, now - respondingState.calledAt, absl::OkStatus()});
        }
    }

    /// Adds removals of the known records that a full read does not list, with the version of the read. Endpoints and evacuations
    /// that this host knows only from other hosts are included: after the read, this copy is advertised as complete up to the
    /// version of the read, so no host would learn of their removal otherwise.
    void addRemovals(const KindState &state, Platform::FeedPage &page) const
    {
        std::map<RecordKey, std::uint64_t> missing = state.knownVersions;
        const RecordKind known = state.kind == RecordKind::Endpoint ? RecordKind::Endpoint : RecordKind::Evacuation;
        for (const Record &record : m_callbacks.knownRecords(known)) {
            if (record.version <= page.version) {
                missing.try_emplace({record.kind, record.key}, record.version);
            }
        }
        for (const Record &listed : page.records) {
            missing.erase({listed.kind, listed.key});
        }
        for (const auto &[key, version] : missing) {
            page.records.push_back({key.first, key.second, std::max(version + 1, page.version), true, {}});
        }
    }

    /// Passes the records of a response on, except removals of endpoints shortly after a failed call, which are deferred.
    void applyRecords(KindState &state, Base::Instant now, std::vector<Record> records)
    {
        std::vector<Record> reported;
        for (Record &record : records) {
            if (record.removed) {
                state.knownVersions.erase({record.kind, record.key});
            } else {
                state.knownVersions[{record.kind, record.key}] = record.version;
                if (record.kind == RecordKind::Endpoint) {
                    m_removals.erase(record.key);
                }
            }
            const bool afterOutage = m_lastFailure != Base::Instant {} && now - m_lastFailure < m_options.removalDelay;
            if (record.removed && record.kind == RecordKind::Endpoint && afterOutage) {
                m_callbacks.removalDeferred(record);
                const std::string key = record.key;
                m_removals[key] = {std::move(record), m_lastFailure + m_options.removalDelay};
            } else {
                reported.push_back(std::move(record));
            }
        }
        if (!reported.empty()) {
            m_callbacks.recordsRead(std::move(reported));
        }
    }

    /// Passes on the deferred removals whose delay is over.
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
            m_callbacks.recordsRead(std::move(due));
        }
    }

    F &m_feed;
    RecordWatcherOptions m_options;
    std::mt19937_64 m_random;
    RecordWatcherCallbacks m_callbacks;
    std::array<KindState, 2> m_states;
    std::map<std::string, Removal> m_removals; ///< deferred removals of endpoints, by key
    Base::Instant m_lastResponse {};
    Base::Instant m_lastFailure {};
    Base::Instant m_respondsSince {}; ///< when calls began to succeed, after a failure or after this host began to follow
    bool m_responds = false;
    bool m_stagger = false;
    bool m_stateReported = false; ///< storeStateChanged has been called at least once
};

} // namespace Yokepond::Node
