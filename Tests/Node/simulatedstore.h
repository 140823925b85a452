// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The platform's store in simulated time: records with versions from one counter, full reads, and calls that are held until a
/// record changes. It can reject or ignore the calls of some hosts while it serves the others.

#pragma once

#include "Base/error.h"
#include "Platform/feed.h"

#include <algorithm>
#include <list>
#include <map>
#include <ranges>
#include <utility>
#include <vector>

namespace Yokepond::Tests {

/// How the store handles the calls of a host.
enum class StoreAccess {
    Available,
    Rejecting, ///< each call fails at once
    Unresponsive, ///< calls, those in progress included, never get a response, even if the store becomes available again
};

/// Holds the records and the calls in progress of all hosts.
class SimulatedStore
{
public:
    static constexpr Base::Duration callTimeout
        = std::chrono::milliseconds(1500); ///< time after the end of its hold time at which a call times out

    void put(Base::Instant now, const Configuration::Record &record)
    {
        m_version = std::max(m_version + 1, record.version);
        m_records[{record.kind, record.key}] = record;
        m_records[{record.kind, record.key}].version = m_version;
        for (Call &call : m_calls) {
            const bool ofEndpoints = record.kind == Configuration::RecordKind::Endpoint;
            if ((call.kind == Configuration::RecordKind::Endpoint) == ofEndpoints && !call.unanswered) {
                call.due = std::min(call.due, now + networkDelay + m_extraDelay);
            }
        }
    }

    /// Removes the record of @p kind called @p key, if there is one.
    void remove(Base::Instant now, Configuration::RecordKind kind, const std::string &key)
    {
        if (m_records.contains({kind, key})) {
            put(now, {kind, key, 0, true, ""});
        }
    }

    /// Returns what a copy holds that has all present records.
    Configuration::RecordHashes hashes() const
    {
        Configuration::SiteRecords copy;
        for (const Configuration::Record &record : m_records | std::views::values) {
            copy.merge(record);
        }
        return copy.hashes();
    }

    /// Delays all further responses by @p extraDelay.
    void setSlow(Base::Duration extraDelay)
    {
        m_extraDelay = extraDelay;
    }

    /// Makes @p ofTen of each ten further calls get no response.
    void setLostCalls(std::size_t ofTen)
    {
        m_lostOfTen = ofTen;
    }

    std::uint64_t version() const
    {
        return m_version;
    }

    void setAccess(Base::Instant now, std::size_t host, StoreAccess access)
    {
        m_access[host] = access;
        for (Call &call : m_calls) {
            if (call.host == host && access == StoreAccess::Rejecting && !call.unanswered) {
                call.due = std::min(call.due, now + networkDelay);
            } else if (call.host == host && access == StoreAccess::Unresponsive) {
                call.unanswered = true;
            }
        }
    }

    /// Drops the calls of @p host, whose process has ended.
    void dropCalls(std::size_t host)
    {
        std::erase_if(m_calls, [host](const Call &call) { return call.host == host; });
    }

    void call(Base::Instant now, std::size_t host, Configuration::RecordKind kind, std::uint64_t since, Base::Duration wait,
              Platform::FeedHandler handler)
    {
        ++m_callCount;
        const bool answeredAtOnce = m_access[host] == StoreAccess::Rejecting || !changedRecords(kind, since).empty();
        const bool lost = m_callCount % 10 < m_lostOfTen;
        m_calls.push_back({host, kind, since,
                           answeredAtOnce ? now + networkDelay + m_extraDelay : now + wait + networkDelay + m_extraDelay,
                           now + wait + callTimeout, m_access[host] == StoreAccess::Unresponsive || lost, std::move(handler)});
    }

    /// Ends the calls that are due. @p isRunning returns whether a host's process runs; responses for other hosts wait.
    template<typename IsRunning>
    void deliver(Base::Instant now, IsRunning isRunning)
    {
        std::list<Call> due;
        for (auto call = m_calls.begin(); call != m_calls.end();) {
            const auto next = std::next(call);
            if (now >= (call->unanswered ? call->timesOutAt : call->due) && isRunning(call->host)) {
                due.splice(due.end(), m_calls, call);
            }
            call = next;
        }
        for (const Call &call : due) {
            if (call.unanswered || m_access[call.host] == StoreAccess::Rejecting) {
                call.handler(Base::makeError(Base::ErrorKind::StoreUnavailable, "rejected"));
            } else {
                call.handler(Platform::FeedPage {changedRecords(call.kind, call.since), m_version});
            }
        }
    }

    std::size_t callCount() const
    {
        return m_callCount;
    }

private:
    static constexpr Base::Duration networkDelay = std::chrono::milliseconds(5);

    struct Call
    {
        std::size_t host = 0;
        Configuration::RecordKind kind {};
        std::uint64_t since = 0;
        Base::Instant due {};
        Base::Instant timesOutAt {};
        bool unanswered = false;
        Platform::FeedHandler handler;
    };

    std::vector<Configuration::Record> changedRecords(Configuration::RecordKind kind, std::uint64_t since) const
    {
        std::vector<Configuration::Record> found;
        for (const auto &[key, record] : m_records) {
            // The calls for the configuration return the evacuations, too.
            const bool counts
                = (key.first == Configuration::RecordKind::Endpoint) == (kind == Configuration::RecordKind::Endpoint);
            const bool listed = since > 0 || !record.removed; // a full read lists no removals
            if (counts && listed && record.version > since) {
                found.push_back(record);
            }
        }
        return found;
    }

    std::map<std::pair<Configuration::RecordKind, std::string>, Configuration::Record> m_records;
    std::uint64_t m_version = 0;
    std::map<std::size_t, StoreAccess> m_access;
    std::list<Call> m_calls;
    std::size_t m_callCount = 0;
    Base::Duration m_extraDelay {};
    std::size_t m_lostOfTen = 0;
};

/// The store as one host calls it; a Platform::Feed.
class StoreClient
{
public:
    StoreClient(SimulatedStore &store, std::size_t host, const Base::Instant &now)
        : m_store(store)
        , m_host(host)
        , m_now(now)
    {
    }

    void read(Configuration::RecordKind kind, Platform::FeedHandler handler)
    {
        m_store.call(m_now, m_host, kind, 0, Base::Duration::zero(), std::move(handler));
    }

    void follow(Configuration::RecordKind kind, std::uint64_t since, Base::Duration wait, Platform::FeedHandler handler)
    {
        m_store.call(m_now, m_host, kind, since, wait, std::move(handler));
    }

private:
    SimulatedStore &m_store;
    std::size_t m_host;
    const Base::Instant &m_now;
};

} // namespace Yokepond::Tests
