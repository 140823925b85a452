// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The transport between hosts: a thread with its own event loop that sends and receives typed messages over Cap'n Proto RPC.

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

/// Messages from one peer, in the order in which it sent them.
struct MessagesReceived
{
    Process from;
    std::vector<Message> messages;
    std::uint64_t token = 0; ///< to be passed to Edge::markHandled() afterwards; 0 if that is not needed
};

/// Messages to a peer may have been lost, because the connection broke or could not be made, or too many messages were queued
/// for the peer.
struct MessagesLost
{
    std::string address; ///< ip:port
};

/// Messages for a process were not sent, since its host has another process by now.
struct ProcessReplaced
{
    Process ended;
    std::uint64_t currentIncarnation = 0;
    std::size_t messages = 0; ///< number of the messages
};

using Event = std::variant<MessagesReceived, MessagesLost, ProcessReplaced>;

struct EdgeOptions
{
    Base::Address listen;
    std::string advertised; ///< address that is announced to other hosts, ip:port
    std::string name;
    std::uint64_t incarnation = 0;
};

/// Counters by category of messages. One thread writes them, any thread may read them.
using TrafficCounts = std::array<std::atomic<std::uint64_t>, trafficNames.size()>;

/// Sends messages to other hosts and receives theirs. Each message arrives at most once, and those for one peer arrive in order.
/// Nothing is sent again: a MessagesLost event reports that some messages may not have arrived. A message for one process never
/// reaches another one of its host: the peer names its incarnation when a connection is opened, and a connection leads to one
/// process for as long as it exists.
class Edge
{
public:
    /// Called with each event on the edge's thread. It must only queue the event, so that it does not delay the thread.
    using Handler = std::function<void(Event)>;

    /// Listens and starts the thread. Fails with ErrorKind::InvalidSettings if it cannot listen on the address.
    static absl::StatusOr<std::unique_ptr<Edge>> start(EdgeOptions options, Handler handler);

    ~Edge();
    Edge(const Edge &) = delete;
    Edge &operator=(const Edge &) = delete;

    /// Queues @p message for the host that listens on the recipient's address; callable from any thread.
    void send(Recipient to, Message message);

    /// Returns the RPC call that brought the messages with @p token. Messages that send() got for that peer while the call was
    /// open go back as the call's result, which saves a call in the other direction. Callable from any thread.
    void markHandled(std::uint64_t token);

    /// Returns the port that the edge listens on.
    std::uint16_t port() const;

    const LinkCounters &counters() const;
    const TrafficCounts &sentMessages() const;

    /// Returns the size of the encoded messages by category, before packing and without RPC framing. It serves to divide
    /// counters().bytesSent among the categories.
    const TrafficCounts &sentBytes() const;

    /// Returns the processor time that the edge's thread has used.
    Base::Duration processorTime() const;

private:
    class Implementation;
    explicit Edge(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Yokepond::Peer
