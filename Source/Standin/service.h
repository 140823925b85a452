// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Simulates a plain service whose calls must not be repeated. It counts the runs for each idempotency key.

#pragma once

#include "Standin/common.h"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace Yokepond::Standin {

/// Options of the service stand-in.
struct ServiceOptions
{
    CommonOptions common;
    Base::Duration latency = std::chrono::milliseconds(20); ///< time from a call to its response
    bool checksFences = false; ///< reject calls whose fencing token is missing or not newer than the last for the key
};

/// Simulated faults, set by POST /faults.
struct ServiceFaults
{
    double slowdown = 1; ///< factor on the latency
    bool stall = false; ///< calls are run but never get a response
    std::uint32_t disconnectPercent = 0; ///< percentage of calls whose connection is closed after the run, instead of a response
};

/// Serves the HTTP interface of the service stand-in. Every path other than GET /runs and POST /faults is a call.
class Service
{
public:
    Service(Base::Loop &loop, ServiceOptions options);

    void handle(const std::shared_ptr<Http::Exchange> &exchange);

private:
    void startCall(const std::shared_ptr<Http::Exchange> &exchange);
    /// Returns whether the fencing token in the yokepond-fence header is newer than the last one for @p key. If so, stores it.
    /// Always returns true if checksFences is off.
    bool acceptFence(const Http::Request &request, const std::string &key);
    void setFaults(const std::shared_ptr<Http::Exchange> &exchange);
    void completeCall(std::uint64_t id);

    /// A call that has run and awaits its response.
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
    std::map<std::string, std::string> m_lastFences; ///< last accepted fencing token of each key
    std::map<std::string, std::uint32_t> m_runCounts; ///< number of runs of each key
    std::map<std::uint64_t, OpenCall> m_openCalls;
    std::uint64_t m_nextCallId = 1;
};

} // namespace Yokepond::Standin
