// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The platform's store as hosts meet it, in simulated time: records with versions from one counter, whole reads and held calls.
/// It may turn single hosts away while it serves the others.

#pragma once

#include "Base/error.h"
#include "Platform/feed.h"

#include <algorithm>
#include <list>
#include <map>
#include <utility>
#include <vector>

namespace Yokepond::Tests {

/// How the store treats a host.
enum class Door {
    Open,
    Refusing, ///< each call fails at once
    Silent, ///< calls get no answer, those under way among them, also not when it opens again
};

class SimulatedStore
{
public:
    static constexpr Base::Duration callTimeout = std::chrono::milliseconds(1500); ///< beyond what a call asks to be held

    void put(Base::Instant now, const Configuration::Record &record)
    {
        m_version = std::max(m_version + 1, record.version);
        m_records[{record.kind, record.key}] = record;
        m_records[{record.kind, record.key}].version = m_version;
        for (Call &call : m_calls) {
            if (call.kind == record.kind && !call.swallowed) {
                call.due = std::min(call.due, now + travel + m_more);
            }
        }
    }

    /// All answers come so much later from now on.
    void setSlow(Base::Duration more)
    {
        m_more = more;
    }

    /// Of each ten calls so many get no answer from now on.
    void setLost(std::size_t ofTen)
    {
        m_lostOfTen = ofTen;
    }

    std::uint64_t version() const
    {
        return m_version;
    }

    void setDoor(Base::Instant now, std::size_t host, Door door)
    {
        m_doors[host] = door;
        for (Call &call : m_calls) {
            if (call.host == host && door == Door::Refusing && !call.swallowed) {
                call.due = std::min(call.due, now + travel);
            } else if (call.host == host && door == Door::Silent) {
                call.swallowed = true;
            }
        }
    }

    /// The process of @p host has ended, and its calls with it.
    void forget(std::size_t host)
    {
        std::erase_if(m_calls, [host](const Call &call) { return call.host == host; });
    }

    void call(Base::Instant now, std::size_t host, Configuration::RecordKind kind, std::uint64_t since, Base::Duration wait,
              Platform::FeedHandler handler)
    {
        ++m_asked;
        const bool answeredAtOnce = m_doors[host] == Door::Refusing || !changed(kind, since).empty();
        const bool lost = m_asked % 10 < m_lostOfTen;
        m_calls.push_back({host, kind, since, answeredAtOnce ? now + travel + m_more : now + wait + travel + m_more,
                           now + wait + callTimeout, m_doors[host] == Door::Silent || lost, std::move(handler)});
    }

    /// Ends the calls that are due. @p runs tells whether a host's process runs; what comes for one that does not waits.
    template<typename Runs>
    void deliver(Base::Instant now, Runs runs)
    {
        std::list<Call> due;
        for (auto call = m_calls.begin(); call != m_calls.end();) {
            const auto next = std::next(call);
            if (now >= (call->swallowed ? call->givenUp : call->due) && runs(call->host)) {
                due.splice(due.end(), m_calls, call);
            }
            call = next;
        }
        for (const Call &call : due) {
            if (call.swallowed || m_doors[call.host] == Door::Refusing) {
                call.handler(Base::makeError(Base::ErrorKind::StoreUnavailable, "turned away"));
            } else {
                call.handler(Platform::FeedPage {changed(call.kind, call.since), m_version});
            }
        }
    }

    std::size_t callsAsked() const
    {
        return m_asked;
    }

private:
    static constexpr Base::Duration travel = std::chrono::milliseconds(5);

    struct Call
    {
        std::size_t host = 0;
        Configuration::RecordKind kind {};
        std::uint64_t since = 0;
        Base::Instant due {};
        Base::Instant givenUp {};
        bool swallowed = false;
        Platform::FeedHandler handler;
    };

    std::vector<Configuration::Record> changed(Configuration::RecordKind kind, std::uint64_t since) const
    {
        std::vector<Configuration::Record> found;
        for (const auto &[key, record] : m_records) {
            if (key.first == kind && record.version > since) {
                found.push_back(record);
            }
        }
        return found;
    }

    std::map<std::pair<Configuration::RecordKind, std::string>, Configuration::Record> m_records;
    std::uint64_t m_version = 0;
    std::map<std::size_t, Door> m_doors;
    std::list<Call> m_calls;
    std::size_t m_asked = 0;
    Base::Duration m_more {};
    std::size_t m_lostOfTen = 0;
};

/// One host's way to the store.
class StoreDoor
{
public:
    StoreDoor(SimulatedStore &store, std::size_t host, const Base::Instant &now)
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
