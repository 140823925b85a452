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
    bool checksFences = false; ///< refuse orders without a fence, or with one that is not newer than the last for the key
};

/// Set by POST /faults.
struct ServiceFaults
{
    double slowdown = 1; ///< factor on the latency
    bool stall = false; ///< run, and never answer
    std::uint32_t disconnectPercent = 0; ///< of runs whose answer is cut after the run
};

class Service
{
public:
    Service(Base::Loop &loop, ServiceOptions options);

    void handle(const std::shared_ptr<Http::Exchange> &exchange);

private:
    void startCall(const std::shared_ptr<Http::Exchange> &exchange);
    bool acceptFence(const Http::Request &request, const std::string &key);
    void setFaults(const std::shared_ptr<Http::Exchange> &exchange);
    void completeCall(std::uint64_t id);

    struct OpenCall
    {
        std::shared_ptr<Http::Exchange> exchange;
        std::size_t runLogIndex = 0;
        std::string key;
        std::unique_ptr<Base::Loop::Registration> timer;
    };

    Base::Loop &m_loop;
    ServiceOptions m_options;
    ServiceFaults m_faults;
    std::mt19937_64 m_random;
    RunLog m_log;
    std::map<std::string, std::string> m_lastFences; ///< the last accepted for each key
    std::map<std::string, std::uint32_t> m_runCounts; ///< runs by key
    std::map<std::uint64_t, OpenCall> m_openCalls;
    std::uint64_t m_nextCallId = 1;
};

} // namespace Yokepond::Standin
