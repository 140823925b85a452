// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Passes requests on to the home that their operation key names, and takes in those that other hosts pass on.

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

/// A caller's request that names an operation of another home.
struct OperationCall
{
    std::uint64_t call = 0; ///< the relay's number
    std::uint32_t organisation = 0;
    std::string key;
    std::string bodyDigest;
};

/// What Forwarder calls; all on the loop's thread.
struct ForwarderCallbacks
{
    std::function<void(Relay::Command)> relay;
    std::function<void(const std::string &member, Peer::Message message)> send;
    std::function<void(std::uint64_t call, Http::Response response)> answer;
    std::function<void(const OperationCall &call)> homeLost; ///< nobody can answer any more
};

/// Repeats what may have been lost: the home runs an operation once, however often it is passed on.
class Forwarder
{
public:
    Forwarder(const Fleet &fleet, ForwarderCallbacks callbacks);

    /// Whether the member is there in this incarnation.
    bool isPresent(const std::string &member, std::uint64_t incarnation) const;

    void forward(const OperationCall &call, const Http::Request &request, const std::string &member, std::uint64_t incarnation);

    void receive(const std::string &from, const Peer::Forward &forward);
    void receive(const std::string &from, const Peer::Forwarded &forwarded);
    void sendAdoptedResponse(const Relay::AdoptedResponse &answer);

    void membersChanged();

    /// Messages to @p member may have been lost.
    void memberLost(const std::string &member);

    void tick(Base::Instant now);

    /// Requests passed on or taken in that have not been answered.
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

    /// Whom the answer to a request taken in goes to.
    struct Requester
    {
        std::string member;
        std::uint64_t id = 0;
    };

    void resend(PendingForward &pending);

    const Fleet &m_fleet;
    ForwarderCallbacks m_callbacks;
    std::map<std::uint64_t, PendingForward> m_pending;
    std::map<std::uint64_t, Requester> m_adopted;
    std::uint64_t m_nextId = 1;
};

} // namespace Yokepond::Node
