// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The data path: a thread that receives callers' requests, sends them to the endpoints that the daemon's main thread selects,
/// and passes each event of the response on as soon as it is received.

#pragma once

#include "Base/address.h"
#include "Http/server.h"
#include "Relay/call.h"
#include "Relay/endpointtransfers.h"
#include "Relay/responsebuffers.h"

#include <array>
#include <atomic>
#include <functional>
#include <memory>

namespace Yokepond::Relay {

struct RelayOptions
{
    Base::Address listen;
    Http::ServerLimits limits;
    Base::Duration connectTimeout = std::chrono::milliseconds(500);
    std::string sourceAddress; ///< IP address from which connections to endpoints are opened; empty: the system chooses
    Base::Address tunnelListen; ///< where tunnels for other hosts are accepted; port 0: nowhere
    ResponseBufferLimits buffers; ///< limits on what is held for callers that read slowly
    std::uint64_t incarnation = 0; ///< of this process; the numbers of its calls begin behind it, see Peer::ProcessNumbers
    bool reportRunStarts = false; ///< whether to send RunStarted
    std::size_t maxReportedResponseBytes = 1U << 20U; ///< largest response that is reported for Run::reportResponse
};

/// Counters of the relay. They are written by the relay's thread and may be read by any thread.
///
/// All but `open`, `unsent`, `bodyBytes`, `heldBytes`, `pausedStreams`, `tunnels` and `paths.lostPaths` are totals since the
/// start.
struct RelayCounters
{
    std::atomic<std::uint64_t> calls = 0; ///< callers' requests received
    std::atomic<std::uint64_t> runs = 0; ///< runs started at endpoints
    std::atomic<std::uint64_t> resumes = 0; ///< interrupted streams that were requested again from their endpoint
    std::atomic<std::uint64_t> events = 0; ///< server-sent events passed on
    std::atomic<std::uint64_t> open = 0; ///< calls received completely and not yet ended
    std::atomic<std::uint64_t> unsent = 0; ///< requests, also incomplete ones, whose responses have not been sent to the kernel
    std::atomic<std::uint64_t> idleClosed = 0; ///< see Http::ConnectionCounters
    std::atomic<std::uint64_t> turnedAway = 0; ///< see Http::ConnectionCounters
    std::atomic<std::uint64_t> bodyBytes = 0; ///< see Http::Server::bodyBytes()
    std::atomic<std::uint64_t> bodiesRefused = 0; ///< see Http::BodyMemoryCounters
    std::atomic<std::uint64_t> bodiesCut = 0; ///< see Http::BodyMemoryCounters
    std::atomic<std::uint64_t> heldBytes = 0; ///< bytes held for callers: requests, and responses that they have not read
    std::atomic<std::uint64_t> pausedStreams = 0; ///< streams whose endpoint is not read now
    std::atomic<std::uint64_t> cutUnread = 0; ///< callers cut for CutReason::Unread
    std::atomic<std::uint64_t> cutForMemory = 0; ///< callers cut for CutReason::Memory
    std::atomic<std::uint64_t> tunnels = 0; ///< tunnels that may carry another host's request now
    std::atomic<std::uint64_t> tunnelsOpened = 0; ///< tunnels opened for other hosts
    std::array<std::atomic<std::uint64_t>, Request::responseLimitNames.size()>
        overLimit {}; ///< runs ended for each ResponseLimit
    std::array<std::atomic<std::uint64_t>, Http::responseFaultNames.size()> malformed {}; ///< runs ended for each ResponseFault
    PathCounters paths;
    std::atomic<std::int64_t> processorMicroseconds = 0; ///< processor time of the relay's thread
};

/// Returns the body of an error response.
using ErrorBodyFormatter = std::function<std::string(const absl::Status &)>;

/// Interface of the data path for the daemon's main thread. relaythread.h has the only implementation.
class Relay
{
public:
    /// Receives an event on the relay's thread. It must only queue the event and return.
    using Handler = std::function<void(Event)>;

    virtual ~Relay() = default;

    /// Queues a command for the relay's thread. It may be called from any thread.
    virtual void command(Command command) = 0;

    /// Stops accepting connections.
    virtual void closeListener() = 0;

    /// Closes each connection after its next response, from now on.
    virtual void closeAfterResponses() = 0;

    virtual std::uint16_t port() const = 0;
    virtual const RelayCounters &counters() const = 0;
};

} // namespace Yokepond::Relay
