// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Sends the requests of a load run to the hosts of a fleet and measures the response times.

#pragma once

#include "Base/loop.h"
#include "Http/client.h"
#include "Load/arrivals.h"
#include "Load/report.h"
#include "Load/scenario.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Yokepond::Load {

/// The parts of a fleet.json file that the runner needs: addresses and keys.
struct FleetAccess
{
    std::vector<std::string> hosts; ///< addresses that accept callers' requests
    std::map<std::string, std::string> keys; ///< callers' keys, by name of the organisation
    std::map<std::string, std::string>
        faultTargets; ///< addresses that accept fault injection, by endpoint name; the platform's name is `platform`
    std::vector<std::string> engines; ///< addresses of the engines
};

/// Reads a fleet.json file. Returns ErrorKind::InvalidSettings if the file cannot be read or lacks a JSON field.
absl::StatusOr<FleetAccess> loadFleet(const std::string &file);

/// Runs one load scenario: sends each request at its scheduled time, injects the scheduled faults and measures the responses.
class Runner
{
public:
    Runner(const Scenario &scenario, FleetAccess fleet, std::vector<Arrival> arrivals);

    ~Runner();
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    /// Sends all requests and returns one sample for each. Returns when the scenario's duration has passed and all responses have
    /// ended, but waits for them at most Scenario::drain after the duration. Requests still open then are aborted and count as
    /// Result::NoResponse.
    std::vector<Sample> run();

    /// Asks all engines for the number of tokens that they have generated since they started, and returns the sum.
    std::uint64_t fetchEngineTokenTotal();

private:
    struct OpenRequest;

    void sendDueRequests();
    void sendCompletion(std::size_t index);
    void sendServiceCall(std::size_t index);
    void startTransfer(std::size_t index, Http::Transfer transfer);
    void processBytes(OpenRequest &request, std::string_view bytes);
    void requestFinished(std::size_t index, const Http::TransferResult &result);
    Result classifyResult(const OpenRequest &request, const Http::TransferResult &result) const;
    void injectFaults();
    std::string prompt(const Arrival &arrival) const;
    Http::Headers headers(const Arrival &arrival) const;
    const std::string &host(std::size_t index) const;
    Http::Client &client(std::size_t index);

    const Scenario &m_scenario;
    FleetAccess m_fleet;
    std::vector<Arrival> m_arrivals;
    Base::Loop m_loop;
    /// libcurl searches all connections of a client for one to reuse. Requests are distributed over several clients, so that
    /// each client has fewer connections and its search is short.
    std::vector<std::unique_ptr<Http::Client>> m_clients;
    std::vector<Sample> m_samples;
    std::map<std::size_t, std::unique_ptr<OpenRequest>> m_openRequests; ///< by index of the arrival
    std::size_t m_next = 0; ///< index of the next arrival to send
    std::size_t m_nextFault = 0; ///< index of the next fault to inject
    Base::Instant m_start {};
};

} // namespace Yokepond::Load
