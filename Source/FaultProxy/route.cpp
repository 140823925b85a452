// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "FaultProxy/route.h"

#include "Base/error.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>

namespace Yokepond::FaultProxy {

namespace {

ACE_INET_Addr toAceAddress(const Base::Address &address)
{
    return ACE_INET_Addr(address.port, address.ip.c_str());
}

constexpr int connectTimeoutSeconds = 1;

} // namespace

Route::Route(Base::Loop &loop, std::string name, const Base::Address &target)
    : m_loop(loop)
    , m_name(std::move(name))
    , m_target(target)
{
}

Route::~Route()
{
    if (m_acceptor.get_handle() != ACE_INVALID_HANDLE) {
        m_loop.reactor().remove_handler(this, ACE_Event_Handler::ACCEPT_MASK | ACE_Event_Handler::DONT_CALL);
        m_acceptor.close();
    }
}

absl::Status Route::listen(const Base::Address &address)
{
    if (m_acceptor.open(toAceAddress(address), 1) != 0) {
        return makeError(
            Base::ErrorKind::InvalidSettings,
            fmt::format("cannot listen on {}; check that the address belongs to this machine and is free", address.text()));
    }
    m_acceptor.enable(ACE_NONBLOCK);
    m_loop.reactor().register_handler(this, ACE_Event_Handler::ACCEPT_MASK);
    return absl::OkStatus();
}

const std::string &Route::name() const
{
    return m_name;
}

Base::Address Route::address() const
{
    ACE_INET_Addr local;
    m_acceptor.get_local_addr(local);
    return {local.get_host_addr(), local.get_port_number()};
}

const Faults &Route::faults() const
{
    return m_faults;
}

void Route::setFaults(const Faults &faults)
{
    m_faults = faults;
}

void Route::closeConnections()
{
    std::ranges::for_each(m_links, [](const auto &link) { link->requestClose(); });
}

std::size_t Route::connectionCount() const
{
    return m_links.size();
}

void Route::tick(Base::Instant now)
{
    std::erase_if(m_links, [&](const auto &link) { return !link->tick(now); });
}

ACE_HANDLE Route::get_handle() const
{
    return m_acceptor.get_handle();
}

int Route::handle_input(ACE_HANDLE)
{
    ACE_SOCK_Stream client;
    if (m_acceptor.accept(client) != 0) {
        return 0;
    }
    if (m_faults.refuse) {
        client.close();
        return 0;
    }
    ACE_SOCK_Stream target;
    ACE_SOCK_Connector connector;
    const ACE_Time_Value timeout(connectTimeoutSeconds);
    // The connect blocks the loop, which is acceptable: the target is on this machine and accepts or refuses immediately.
    if (connector.connect(target, toAceAddress(m_target), &timeout) != 0) {
        client.close();
        return 0;
    }
    int on = 1;
    client.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    target.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    m_links.push_back(std::make_unique<Link>(m_loop, m_faults, client, target));
    return 0;
}

} // namespace Yokepond::FaultProxy
