// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Forwards requests to the home that their idempotency key belongs to, and accepts requests that other hosts forward.

#pragma once

#include "Http/message.h"
#include "Node/fleet.h"
#include "Peer/message.h"
#include "Relay/call.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Yokepond::Node {

/// A caller's request with the idempotency key of an operation of another home.
struct OperationCall
{
    std::uint64_t call = 0; ///< the relay's call number
    std::uint32_t organisation = 0;
    std::string key;
    std::string bodyDigest;
};

/// Callbacks of Forwarder; all are called on the event loop's thread.
struct ForwarderCallbacks
{
    std::function<void(Relay::Command)> relay;
    std::function<void(const Peer::Process &to, Peer::Message message)> send;
    std::function<void(std::uint64_t call, Http::Response response)> respond;
    std::function<void(const OperationCall &call)> homeLost; ///< the call's home died or restarted and cannot respond
};

/// Forwards requests and resends those that may have been lost. Resending is safe since the home runs an operation only once,
/// however often it is forwarded.
class Forwarder
{
public:
    /// @p incarnation is that of this process.
    Forwarder(const Fleet &fleet, std::uint64_t incarnation, ForwarderCallbacks callbacks);

    /// Returns whether @p member is present with this incarnation.
    bool isPresent(const std::string &member, std::uint64_t incarnation) const;

    /// Forwards @p request to @p member. The call fails with ForwarderCallbacks::homeLost if that incarnation of it is lost.
    void forward(const OperationCall &call, const Http::Request &request, const std::string &member, std::uint64_t incarnation);

    void receive(const Peer::Process &from, const Peer::Forward &forward);
    void receive(const Peer::Process &from, const Peer::Forwarded &forwarded);
    void sendAdoptedResponse(const Relay::AdoptedResponse &answer);

    void membersChanged();

    /// Resends the requests forwarded to @p member after a short delay, since messages to it may have been lost.
    void connectionLost(const std::string &member);

    void tick(Base::Instant now);

    /// Returns the number of requests, forwarded in either direction, that have no response yet.
    std::size_t open() const;

private:
    struct PendingForward
    {
        OperationCall call;
        std::string member;
        std::uint64_t incarnation = 0;
        Peer::Forward message;
        Base::Instant sentAt {};
    };

    /// The process that forwarded a request to this host, and its number for the request.
    struct Requester
    {
        Peer::Process process;
        std::uint64_t id = 0;
    };

    void resend(PendingForward &pending);

    const Fleet &m_fleet;
    ForwarderCallbacks m_callbacks;
    std::map<std::uint64_t, PendingForward> m_pending;
    std::map<std::uint64_t, Requester> m_adopted;
    Peer::ProcessNumbers m_numbers;
};

} // namespace Yokepond::Node
