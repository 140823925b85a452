// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The operators' HTTP interface: health, metrics, dump, queries and commands.

#pragma once

#include "Http/server.h"
#include "Node/fleet.h"
#include "Node/queries.h"
#include "Node/settings.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Yokepond::Node {

/// What the console asks of the daemon.
struct OperatorServerCallbacks
{
    std::function<absl::Status()> readiness;
    std::function<std::string()> metrics;
    std::function<nlohmann::json()> dump;
    std::function<bool(const std::string &request)> cancelRequest; ///< false if it is not under way here
    std::function<bool(std::uint64_t work)> releaseWork; ///< false if it is not held
};

class OperatorServer
{
public:
    OperatorServer(const Settings &settings, Fleet &fleet, const Queries &queries, Gatherer &gatherer,
                   OperatorServerCallbacks callbacks);

    /// Listens. Fails with ErrorKind::InvalidSettings.
    absl::Status start(Base::Loop &loop);

    const Base::Address &address() const;

    void tick(Base::Instant now);

private:
    using Exchange = std::shared_ptr<Http::Exchange>;

    /// A command whose caller waits until all live hosts have it in force.
    struct PendingCommand
    {
        Exchange exchange;
        std::uint64_t revision = 0;
        std::string change;
        Base::Instant deadline {};
        Base::Instant nextPoll {};
        bool polling = false;
    };

    void handle(const Exchange &exchange);
    void query(const Exchange &exchange);
    void command(const Exchange &exchange, const OperatorAccount &account);
    void commit(const Exchange &exchange, const OperatorAccount &account, std::vector<Language::Command> commands);
    void cancelRequest(const Exchange &exchange, const std::string &id);
    void releaseWork(const Exchange &exchange, const std::string &work);
    void waitForHosts(const Exchange &exchange, const Configuration::CommitResult &result);
    void pollRevisions(Base::Instant now, const std::shared_ptr<PendingCommand> &pending);
    const OperatorAccount *authenticate(const Http::Request &request) const;
    std::vector<std::string> otherHosts() const;
    static void respond(const Exchange &exchange, int status, const nlohmann::json &body);
    static void respondWithError(const Exchange &exchange, const absl::Status &error, const std::string &change = {});

    const Settings &m_settings;
    Fleet &m_fleet;
    const Queries &m_queries;
    Gatherer &m_gatherer;
    OperatorServerCallbacks m_callbacks;
    std::unique_ptr<Http::Server> m_server;
    std::vector<std::shared_ptr<PendingCommand>> m_pendingCommands;
};

} // namespace Yokepond::Node
