// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The data path: a thread that takes callers' requests, carries them to the endpoints that the decisions name, and passes
/// each event on as it comes.

#pragma once

#include "Base/address.h"
#include "Http/server.h"
#include "Relay/call.h"

#include <atomic>
#include <functional>
#include <memory>

namespace Yokepond::Relay {

struct RelayOptions
{
    Base::Address listen;
    Http::ServerLimits limits;
    Base::Duration connectTimeout = std::chrono::milliseconds(500);
    std::size_t streamBufferBytes = 256U << 10U; ///< held for a slow caller before its endpoint is held back
    bool reportRunStarts = false; ///< send RunBegan
    std::size_t maxReportedResponseBytes = 1U << 20U; ///< largest answer kept whole
};

/// Totals since the start; written by the relay's thread, read by any.
struct RelayCounters
{
    std::atomic<std::uint64_t> calls = 0;
    std::atomic<std::uint64_t> runs = 0;
    std::atomic<std::uint64_t> resumes = 0;
    std::atomic<std::uint64_t> events = 0;
    std::atomic<std::uint64_t> open = 0;
    std::atomic<std::uint64_t> unsent = 0; ///< requests whose answers have not been handed to the kernel whole
    std::atomic<std::int64_t> processorMicroseconds = 0;
};

/// Makes the body of an error answer.
using ErrorBody = std::function<std::string(const absl::Status &)>;

/// The data path as the decisions see it; relaythread.h has its one implementation.
class Relay
{
public:
    /// Called on the relay's thread; it must only queue the event.
    using Handler = std::function<void(Event)>;

    virtual ~Relay() = default;

    /// Callable from any thread.
    virtual void command(Command command) = 0;

    /// Stops accepting connections.
    virtual void closeListener() = 0;

    /// From now on each answer ends its connection.
    virtual void closeAfterResponses() = 0;

    virtual std::uint16_t port() const = 0;
    virtual const RelayCounters &counters() const = 0;
};

} // namespace Yokepond::Relay
