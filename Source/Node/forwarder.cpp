// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/forwarder.h"

#include <algorithm>
#include <vector>

namespace Yokepond::Node {

namespace {

/// Time without a response after which a request is resent.
constexpr Base::Duration resendDelay = std::chrono::seconds(5);
/// Delay before a request is resent after the connection to its home was lost; the connection may be restored by then.
constexpr Base::Duration resendDelayAfterLoss = std::chrono::milliseconds(200);

std::vector<Peer::ForwardedHeader> toPeer(const Http::Headers &headers)
{
    std::vector<Peer::ForwardedHeader> converted;
    std::ranges::transform(headers, std::back_inserter(converted), [](const Http::Header &header) {
        return Peer::ForwardedHeader {header.name, header.value};
    });
    return converted;
}

Http::Headers fromPeer(const std::vector<Peer::ForwardedHeader> &headers)
{
    Http::Headers converted;
    std::ranges::transform(headers, std::back_inserter(converted), [](const Peer::ForwardedHeader &header) {
        return Http::Header {header.name, header.value};
    });
    return converted;
}

} // namespace

Forwarder::Forwarder(const Fleet &fleet, std::uint64_t incarnation, ForwarderCallbacks callbacks)
    : m_fleet(fleet)
    , m_callbacks(std::move(callbacks))
    , m_numbers(incarnation)
{
}

bool Forwarder::isPresent(const std::string &member, std::uint64_t incarnation) const
{
    const auto &members = m_fleet.members();
    const auto entry = members.find(member);
    return entry != members.end() && entry->second.incarnation == incarnation && entry->second.state != Peer::MemberState::Dead;
}

void Forwarder::forward(const OperationCall &call, const Http::Request &request, const std::string &member,
                        std::uint64_t incarnation)
{
    const std::uint64_t id = m_numbers.next();
    const std::string path = request.path + (request.query.empty() ? "" : "?" + request.query);
    Peer::Forward message {id, request.method, path, toPeer(request.headers), request.body};
    const PendingForward &pending = m_pending[id] = {call, member, incarnation, std::move(message), Base::now()};
    m_callbacks.send(member, pending.message);
}

void Forwarder::receive(const Peer::Process &from, const Peer::Forward &forward)
{
    Relay::Adopt adopt;
    adopt.token = m_numbers.next();
    m_adopted[adopt.token] = {from, forward.id};
    const std::size_t queryMark = forward.path.find('?');
    adopt.request.method = forward.method;
    adopt.request.path = forward.path.substr(0, queryMark);
    adopt.request.query = queryMark == std::string::npos ? "" : forward.path.substr(queryMark + 1);
    adopt.request.headers = fromPeer(forward.headers);
    adopt.request.body = forward.body;
    m_callbacks.relay(std::move(adopt));
}

void Forwarder::sendAdoptedResponse(const Relay::AdoptedResponse &answer)
{
    const auto entry = m_adopted.find(answer.token);
    if (entry == m_adopted.end()) {
        return;
    }
    const auto status = static_cast<std::uint16_t>(answer.response.status);
    m_callbacks.send(entry->second.process,
                     Peer::Forwarded {entry->second.id, status, toPeer(answer.response.headers), answer.response.body});
    m_adopted.erase(entry);
}

void Forwarder::receive(const Peer::Process &, const Peer::Forwarded &forwarded)
{
    const auto entry = m_pending.find(forwarded.id);
    if (entry == m_pending.end()) {
        return;
    }
    Http::Response response {forwarded.status, fromPeer(forwarded.headers), forwarded.body};
    // The announced trailer field was turned into a header field when the response was forwarded.
    std::erase_if(response.headers, [](const Http::Header &header) { return header.name == "trailer"; });
    const std::uint64_t call = entry->second.call.call;
    m_pending.erase(entry);
    m_callbacks.respond(call, std::move(response));
}

void Forwarder::membersChanged()
{
    std::vector<OperationCall> lost;
    std::erase_if(m_pending, [&](const auto &entry) {
        const bool unavailable = !isPresent(entry.second.member, entry.second.incarnation);
        if (unavailable) {
            lost.push_back(entry.second.call);
        }
        return unavailable;
    });
    std::ranges::for_each(lost, m_callbacks.homeLost);
}

void Forwarder::connectionLost(const std::string &member)
{
    for (auto &[id, pending] : m_pending) {
        if (pending.member == member) {
            pending.sentAt = Base::now() - resendDelay + resendDelayAfterLoss;
        }
    }
}

void Forwarder::resend(PendingForward &pending)
{
    pending.sentAt = Base::now();
    // The home may already be running the request. `Prefer: wait` makes the resent request wait for that run; without it, the
    // home would respond that the operation is in progress.
    std::erase_if(pending.message.headers, [](const Peer::ForwardedHeader &header) { return header.name == "prefer"; });
    pending.message.headers.push_back({"prefer", "wait"});
    m_callbacks.send(pending.member, pending.message);
}

void Forwarder::tick(Base::Instant now)
{
    for (auto &[id, pending] : m_pending) {
        if (now - pending.sentAt >= resendDelay) {
            resend(pending);
        }
    }
}

std::size_t Forwarder::open() const
{
    return m_pending.size() + m_adopted.size();
}

} // namespace Yokepond::Node
