// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A listening address of the fault proxy and the target to which its connections are forwarded.

#pragma once

#include "Base/address.h"
#include "FaultProxy/link.h"

#include <absl/status/statusor.h>
#include <ace/SOCK_Acceptor.h>

#include <list>
#include <memory>
#include <string>

namespace Yokepond::FaultProxy {

/// Accepts connections on one address, opens a connection to the target for each, and forwards bytes between the two with the
/// faults that are set.
class Route : public ACE_Event_Handler
{
public:
    Route(Base::Loop &loop, std::string name, const Base::Address &target);
    ~Route() override;
    Route(const Route &) = delete;
    Route &operator=(const Route &) = delete;

    /// Starts to accept connections on @p address. Fails with ErrorKind::InvalidSettings if the address cannot be used.
    absl::Status listen(const Base::Address &address);

    const std::string &name() const;
    /// Returns the address on which the route listens, with the selected port if port 0 was requested.
    Base::Address address() const;

    const Faults &faults() const;
    void setFaults(const Faults &faults);

    /// Closes all connections at the next tick().
    void closeConnections();

    std::size_t connectionCount() const;
    /// Writes due bytes of all connections and removes the connections that ended. To be called every few milliseconds.
    void tick(Base::Instant now);

    ACE_HANDLE get_handle() const override;
    int handle_input(ACE_HANDLE handle) override;

private:
    Base::Loop &m_loop;
    std::string m_name;
    Base::Address m_target;
    ACE_SOCK_Acceptor m_acceptor;
    Faults m_faults;
    std::list<std::unique_ptr<Link>> m_links;
};

} // namespace Yokepond::FaultProxy
