// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Sends the requests of a run to the hosts of a fleet and times the answers.

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

/// What of a fleet.json the runner needs.
struct FleetAccess
{
    std::vector<std::string> hosts; ///< callers' addresses
    std::map<std::string, std::string> keys; ///< by organisation
    std::map<std::string, std::string> targets; ///< addresses that take faults, by name
    std::vector<std::string> engines;
};

/// Fails with ErrorKind::InvalidSettings.
absl::StatusOr<FleetAccess> loadFleet(const std::string &file);

class Runner
{
public:
    Runner(const Scenario &scenario, FleetAccess fleet, std::vector<Arrival> arrivals);

    ~Runner();
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    /// Runs to the end and returns a sample of each request.
    std::vector<Sample> run();

    /// Tokens that the engines have generated since they started.
    std::uint64_t engineTokens();

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
    /// libcurl looks through all connections of a client for one to use again; many clients keep that short.
    std::vector<std::unique_ptr<Http::Client>> m_clients;
    std::vector<Sample> m_samples;
    std::map<std::size_t, std::unique_ptr<OpenRequest>> m_openRequests;
    std::size_t m_next = 0;
    std::size_t m_nextFault = 0;
    Base::Instant m_start {};
};

} // namespace Yokepond::Load
