// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Transfers to endpoints. If this host cannot connect to an endpoint, the transfer goes through a tunnel of another host that
/// can. A request is sent at most once: another way is tried only while no connection has come about.

#pragma once

#include "Base/loop.h"
#include "Http/client.h"
#include "Relay/endpointpaths.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Yokepond::Relay {

/// Counters of EndpointTransfers, which any thread may read. `lostPaths` is the present number, the others are totals.
struct PathCounters
{
    std::atomic<std::uint64_t> tunnelled = 0; ///< transfers that went through another host
    std::atomic<std::uint64_t> lostPaths = 0; ///< endpoints that this host could not reach last
    std::atomic<std::uint64_t> probes = 0; ///< connections opened only to find out whether a path works
};

/// The endpoint of a transfer.
struct TransferTarget
{
    std::string address; ///< ip:port
    std::string region; ///< its region; empty if no regions are configured
};

/// The result of a transfer to an endpoint.
struct EndpointTransferResult
{
    Http::TransferResult http;
    /// Whether the path rather than the endpoint may have failed: no other host that has paths could not reach the endpoint
    /// either.
    bool pathInDoubt = false;
};

struct EndpointTransferEvents
{
    std::function<void(int status, const Http::Headers &headers)> onHeaders;
    std::function<void(std::string_view bytes)> onBytes;
    std::function<void(const EndpointTransferResult &result)> onEnd;
};

struct EndpointTransferOptions
{
    Base::Duration connectTimeout {}; ///< time for connecting on all ways together
    std::string sourceAddress; ///< see Http::Transfer
    std::size_t maxHeadBytes = Http::Transfer {}.maxHeadBytes; ///< see Http::Transfer
};

class EndpointTransfers
{
public:
    using Id = std::uint64_t;
    /// Builds the transfer. It is called once for each way that is tried.
    using Builder = std::function<Http::Transfer()>;

    EndpointTransfers(Base::Loop &loop, Http::Client &client, EndpointTransferOptions options, PathCounters &counters);

    void setHelpers(std::vector<TunnelHelper> helpers);

    /// Starts a transfer. No callback is called before this function returns.
    Id start(TransferTarget target, Builder build, EndpointTransferEvents events);

    /// Cancels a transfer and closes its connection. None of its callbacks is called afterwards.
    void cancel(Id id);

    void pause(Id id, bool paused);

    /// Records whether a connection that this host opened for another one came about. Returns whether this host's own paths work,
    /// as far as it knows.
    bool recordDirect(const std::string &endpoint, bool connected);

private:
    struct Active
    {
        TransferTarget target;
        Builder build;
        EndpointTransferEvents events;
        std::vector<Way> ways; ///< ways that have not been tried; the first is tried next
        Way way; ///< the current way
        Base::Instant connectBy {};
        Http::Client::Id transfer = 0;
        bool hasHelpers = false; ///< helpers are among its ways
        bool witnessed = false; ///< a helper with paths could not reach the endpoint either
        /// Result of a transfer whose connection broke. It is reported once it is known whether the path still works.
        std::unique_ptr<Http::TransferResult> broken;
    };

    std::shared_ptr<Active> find(Id id) const;
    void tryNextWay(Id id, Active &active);
    void startHttp(Id id, Active &active, Http::Transfer transfer, bool reportsBytes);
    void connectionOpened(const Active &active);
    void connectionFailed(Active &active, const Http::TransferResult &result);
    void ended(Id id, const Http::TransferResult &result);
    /// Handles the end of a connection that was opened only to find out why an earlier one broke.
    void checkEnded(Id id, Active &active, const Http::TransferResult &result);
    void report(Id id, const Http::TransferResult &result, bool pathInDoubt);
    void scheduleProbe(Base::Duration delay);
    void probe();
    void logPath(const std::string &endpoint, bool lost, const std::string &reason) const;
    void updateLost();

    Base::Loop &m_loop;
    Http::Client &m_client;
    EndpointTransferOptions m_options;
    PathCounters &m_counters;
    EndpointPaths m_paths;
    Id m_nextId = 1;
    std::unordered_map<Id, std::shared_ptr<Active>> m_active; ///< shared, since a callback may cancel its own transfer
    std::unique_ptr<Base::Loop::Registration> m_probeTimer;
    bool m_probing = false;
};

} // namespace Yokepond::Relay
