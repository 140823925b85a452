// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Accepts tunnels by the CONNECT method of HTTP (RFC 9110, section 9.3.6): opens a connection to an endpoint for another host
/// and passes the bytes of both on unchanged.

#pragma once

#include "Base/address.h"
#include "Base/loop.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Yokepond::Http {

struct TunnelServerOptions
{
    Base::Address listen;
    std::string sourceAddress; ///< IP address from which connections to endpoints are opened; empty: the system chooses
    std::size_t maxTunnels = 512;
    /// Time to connect to an endpoint. The other host waits for it as part of its own time for connecting.
    Base::Duration connectTimeout = std::chrono::milliseconds(150);
};

/// Callbacks of a TunnelServer, on the loop's thread.
struct TunnelServerCallbacks
{
    /// Asks whether a tunnel to @p target (ip:port) is allowed; the answer is passed to TunnelServer::decide().
    std::function<void(std::uint64_t tunnel, const std::string &target)> requested;
    /// Reports whether the connection to @p target came about. Returns whether this host's own paths work, as far as it knows.
    std::function<bool(const std::string &target, bool connected)> connected;
};

/// Responds to CONNECT with 200 if the connection to the target is open, 403 if the target is not allowed, 502 if the target
/// could not be reached although this host's paths work, and 503 if this host's paths do not work or it has too many tunnels.
class TunnelServer
{
public:
    /// Fails with ErrorKind::InvalidSettings if the address is not available.
    static absl::StatusOr<std::unique_ptr<TunnelServer>> listen(Base::Loop &loop, TunnelServerOptions options,
                                                                TunnelServerCallbacks callbacks);

    TunnelServer(Base::Loop &loop, TunnelServerOptions options, TunnelServerCallbacks callbacks, int listener);
    ~TunnelServer();
    TunnelServer(const TunnelServer &) = delete;
    TunnelServer &operator=(const TunnelServer &) = delete;

    /// Answers a call of TunnelServerCallbacks::requested.
    void decide(std::uint64_t tunnel, bool allowed);

    /// Stops accepting tunnels. Open ones stay open.
    void closeListener();

    /// Returns the number of tunnels that may carry a request: all but those on which nothing was sent lately and no response is
    /// awaited.
    std::size_t busy() const;

    /// Returns the number of tunnels opened since the start.
    std::uint64_t opened() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Yokepond::Http
