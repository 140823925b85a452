// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The Cap'n Proto RPC edge: a thread with its own event loop that carries typed messages between hosts.

#pragma once

#include "Base/address.h"
#include "Base/error.h"
#include "Peer/message.h"
#include "Peer/packedstream.h"

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Yokepond::Peer {

/// Messages from a peer, in the order it sent them.
struct MessagesReceived
{
    std::string from;
    std::uint64_t incarnation = 0;
    std::vector<Message> messages;
    std::uint64_t token = 0; ///< to be given to Edge::handled(); 0: not awaited
};

/// Messages to a peer may have been lost: the connection broke, could not be made, or its queue overflowed.
struct MessagesLost
{
    std::string address; ///< ip:port
};

using Event = std::variant<MessagesReceived, MessagesLost>;

struct EdgeOptions
{
    Base::Address listen;
    std::string advertised; ///< the address other hosts are told, ip:port
    std::string name;
    std::uint64_t incarnation = 0;
};

/// Counts by kind of traffic; written by one thread, read by any.
using TrafficCounts = std::array<std::atomic<std::uint64_t>, trafficNames.size()>;

/// Delivers each message at most once and in order for each peer. Does not retry: a Lost event tells that some may be gone.
class Edge
{
public:
    /// @p handler is called on the edge's thread; it must only queue the event.
    using Handler = std::function<void(Event)>;

    /// Listens and starts the thread. Fails with ErrorKind::InvalidSettings if the address cannot be had.
    static absl::StatusOr<std::unique_ptr<Edge>> start(EdgeOptions options, Handler handler);

    ~Edge();
    Edge(const Edge &) = delete;
    Edge &operator=(const Edge &) = delete;

    /// Queues @p message for the host listening on @p address (ip:port); callable from any thread.
    void send(std::string address, Message message);

    /// Tells that a Received has been handled: what has been sent to its peer meanwhile goes back with the call's return, which
    /// saves a call of its own.
    void markHandled(std::uint64_t token);

    /// The port listened on.
    std::uint16_t port() const;

    const LinkCounters &counters() const;
    const TrafficCounts &sentMessages() const;

    /// Bytes of the encoded messages by kind, before packing and without RPC framing; to share out counters().bytesSent.
    const TrafficCounts &sentBytes() const;

    /// Processor time the edge's thread has used.
    Base::Duration processorTime() const;

private:
    class Implementation;
    explicit Edge(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Yokepond::Peer
