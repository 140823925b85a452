// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A plain service whose calls may not be repeated: it counts each run by its operation key.

#pragma once

#include "Standin/common.h"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace Yokepond::Standin {

struct ServiceOptions
{
    CommonOptions common;
    Base::Duration latency = std::chrono::milliseconds(20);
    bool checksOrders = false; ///< refuse orders without a fence, or with one that is not newer than the last for the key
};

/// Set by POST /faults.
struct ServiceFaults
{
    double slow = 1; ///< factor on the latency
    bool stall = false; ///< run, and never answer
    std::uint32_t cutPercent = 0; ///< of runs whose answer is cut after the run
};

class Service
{
public:
    Service(Base::Loop &loop, ServiceOptions options);

    void handle(const std::shared_ptr<Http::Exchange> &exchange);

private:
    void run(const std::shared_ptr<Http::Exchange> &exchange);
    bool fenceAccepted(const Http::Request &request, const std::string &key);
    void setFaults(const std::shared_ptr<Http::Exchange> &exchange);
    void answer(std::uint64_t id);

    struct Open
    {
        std::shared_ptr<Http::Exchange> exchange;
        std::size_t logIndex = 0;
        std::string key;
        std::unique_ptr<Base::Loop::Registration> timer;
    };

    Base::Loop &m_loop;
    ServiceOptions m_options;
    ServiceFaults m_faults;
    std::mt19937_64 m_random;
    RunLog m_log;
    std::map<std::string, std::string> m_fences; ///< the last accepted for each key
    std::map<std::string, std::uint32_t> m_counts; ///< runs by key
    std::map<std::uint64_t, Open> m_open;
    std::uint64_t m_nextId = 1;
};

} // namespace Yokepond::Standin
