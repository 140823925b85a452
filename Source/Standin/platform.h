// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The platform's behaviour: a transactional table (the JSON form of etcd's v3 key-value interface) and a host list that lags.

#pragma once

#include "Standin/common.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace Yokepond::Standin {

struct PlatformOptions
{
    CommonOptions common;
    Base::Duration hostListLag = std::chrono::seconds(1);
};

/// Set by POST /faults.
struct PlatformFaults
{
    bool down = false; ///< every connection is cut
    Base::Duration responseDelay {}; ///< added to each answer
    std::uint32_t lostResponsePercent = 0; ///< of transactions are applied, and their answers lost
};

class Platform
{
public:
    Platform(Base::Loop &loop, PlatformOptions options);

    void handle(const std::shared_ptr<Http::Exchange> &exchange);

private:
    using Exchange = std::shared_ptr<Http::Exchange>;

    struct Entry
    {
        std::string value;
        std::int64_t createRevision = 0;
        std::int64_t modRevision = 0;
        std::int64_t version = 0;
    };

    void serveRequest(const Exchange &exchange);
    void handleRange(const Exchange &exchange, const nlohmann::json &body);
    void executeTransaction(const Exchange &exchange, const nlohmann::json &body);
    nlohmann::json rangeResponse(const nlohmann::json &body) const;
    bool comparisonSucceeds(const nlohmann::json &compare) const;
    void applyOperation(const nlohmann::json &operation, nlohmann::json &responses);
    void handleHosts(const Exchange &exchange);
    void setFaults(const Exchange &exchange);
    void respondWithHeader(const Exchange &exchange, nlohmann::json body);
    nlohmann::json responseHeader() const;

    Base::Loop &m_loop;
    PlatformOptions m_options;
    PlatformFaults m_faults;
    std::mt19937_64 m_random;
    std::map<std::string, Entry> m_table;
    std::int64_t m_revision = 1;
    std::map<std::string, nlohmann::json> m_hosts; ///< by name, as last set
    std::deque<std::pair<Base::Instant, nlohmann::json>> m_hostListVersions; ///< states of the list with the time each was set
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_nextDelayId = 1;
    std::map<std::uint64_t, std::unique_ptr<Base::Loop::Registration>> m_delayedRequests;
};

} // namespace Yokepond::Standin
