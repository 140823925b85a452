// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A listening address and the target its connections are joined to.

#pragma once

#include "Base/address.h"
#include "FaultProxy/link.h"

#include <absl/status/statusor.h>
#include <ace/SOCK_Acceptor.h>

#include <list>
#include <memory>
#include <string>

namespace Yokepond::FaultProxy {

class Route : public ACE_Event_Handler
{
public:
    Route(Base::Loop &loop, std::string name, const Base::Address &target);
    ~Route() override;
    Route(const Route &) = delete;
    Route &operator=(const Route &) = delete;

    /// Fails with ErrorKind::InvalidSettings.
    absl::Status listen(const Base::Address &address);

    const std::string &name() const;
    Base::Address address() const;

    const Faults &faults() const;
    void setFaults(const Faults &faults);

    /// Cuts all connections.
    void closeConnections();

    std::size_t connectionCount() const;
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
