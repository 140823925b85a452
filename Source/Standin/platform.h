// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Simulates the platform on which the hosts run: a transactional table with the JSON form of etcd's v3 key-value interface, and
/// a host list that lags behind its updates.

#pragma once

#include "Standin/common.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace Yokepond::Standin {

/// Options of the platform stand-in.
struct PlatformOptions
{
    CommonOptions common;
    Base::Duration hostListLag = std::chrono::seconds(1); ///< delay before an update of the host list is visible
};

/// Simulated faults, set by POST /faults.
struct PlatformFaults
{
    bool down = false; ///< close the connection of every request for the table or the host list
    Base::Duration processingDelay {}; ///< delay before a request for the table or the host list is processed
    std::uint32_t lostResponsePercent = 0; ///< percentage of transactions that are applied but get no response
};

/// Serves the HTTP interface of the platform stand-in: the table, the host list, counters and faults.
class Platform
{
public:
    Platform(Base::Loop &loop, PlatformOptions options);

    void handle(const std::shared_ptr<Http::Exchange> &exchange);

private:
    using ExchangePointer = std::shared_ptr<Http::Exchange>;

    /// A key's value and revisions, as in etcd.
    struct Entry
    {
        std::string value;
        std::int64_t createRevision = 0;
        std::int64_t modRevision = 0;
        std::int64_t version = 0;
    };

    /// Selects the handler for a request to which no fault applies, or whose delay has passed.
    void dispatchRequest(const ExchangePointer &exchange);
    void handleRange(const ExchangePointer &exchange, const nlohmann::json &body);
    void handleTransaction(const ExchangePointer &exchange, const nlohmann::json &body);
    nlohmann::json rangeResponse(const nlohmann::json &body) const;
    /// Evaluates a comparison of an etcd transaction: whether the create revision, mod revision, version or value of the key
    /// equals the given one.
    bool comparisonSucceeds(const nlohmann::json &compare) const;
    /// Applies a put, delete or range operation to the table and appends its result to @p responses. A delete removes only its
    /// first key; the end of its range is ignored.
    void applyOperation(const nlohmann::json &operation, nlohmann::json &responses);
    /// For POST, adds or updates the hosts in the body and removes those whose state is "gone". For other methods, responds with
    /// the host list as it was hostListLag ago.
    void handleHosts(const ExchangePointer &exchange);
    void setFaults(const ExchangePointer &exchange);
    void respondWithHeader(const ExchangePointer &exchange, nlohmann::json body);
    nlohmann::json responseHeader() const;

    Base::Loop &m_loop;
    PlatformOptions m_options;
    PlatformFaults m_faults;
    std::mt19937_64 m_random;
    std::map<std::string, Entry> m_table;
    std::int64_t m_revision = 1; ///< increases with each transaction whose selected branch has operations
    std::map<std::string, nlohmann::json> m_hosts; ///< latest entry of each host, by name
    std::deque<std::pair<Base::Instant, nlohmann::json>> m_hostListHistory; ///< update times and host lists, oldest first
    std::uint64_t m_rangeRequests = 0; ///< "reads" in /counts: requests to /v3/kv/range
    std::uint64_t m_transactions = 0; ///< "writes" in /counts: all transactions, also those that change nothing
    std::uint64_t m_nextTimerId = 1;
    /// Timers of the requests that processingDelay holds back.
    std::map<std::uint64_t, std::unique_ptr<Base::Loop::Registration>> m_delayTimers;
};

} // namespace Yokepond::Standin
