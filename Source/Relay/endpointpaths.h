// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What this host knows of the network between itself and the endpoints, and the order in which a run tries the ways to its
/// endpoint: directly, or through other hosts.

#pragma once

#include "Base/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Yokepond::Relay {

/// Another host that opens connections to endpoints for this host.
struct TunnelHelper
{
    std::string address; ///< where it accepts tunnels, ip:port
    std::string region; ///< region of its data centre; empty if no regions are configured

    bool operator==(const TunnelHelper &) const = default;
};

/// A way to an endpoint. An empty helper stands for a connection that this host opens itself.
struct Way
{
    std::string helper; ///< address of the helper's tunnel listener

    bool isDirect() const
    {
        return helper.empty();
    }
};

/// Why no connection came about on one way.
enum class WayFailure {
    NoConnection, ///< the endpoint, for a direct way, or the helper could not be reached
    EndpointUnreachable, ///< the helper's own connection to the endpoint failed, while its others work
    HelperUnable, ///< the helper has no paths itself, does not know the endpoint, or has too many tunnels
};

/// A pure state machine; the caller passes in the time.
///
/// A failed connection alone does not tell whether the endpoint or the path to it failed, so another host is asked to connect. As
/// soon as connections to several endpoints have failed and none has succeeded in between, this host's own paths are in doubt.
/// Endpoints that could not be reached are tried through helpers first. This host probes them until it reaches them again.
class EndpointPaths
{
public:
    /// Replaces the hosts that accept tunnels. The one that was used last stays preferred.
    void setHelpers(std::vector<TunnelHelper> helpers);

    bool hasHelpers() const;

    /// Returns the ways to @p endpoint (ip:port) in the order in which a run tries them. Helpers are in @p region.
    std::vector<Way> ways(Base::Instant now, const std::string &endpoint, const std::string &region);

    /// Records that a connection to @p endpoint came about on @p way. Returns whether the direct path was lost until now.
    bool recordConnection(const std::string &endpoint, const Way &way);

    /// Records that no connection to @p endpoint came about on @p way. Returns whether the direct path was not lost until now.
    /// Without helpers nothing is recorded.
    bool recordFailure(Base::Instant now, const std::string &endpoint, const Way &way, WayFailure failure);

    /// Returns whether direct connections to @p endpoint failed last.
    bool isLost(const std::string &endpoint) const;

    /// Returns whether this host's own paths may have failed, so that its failures say nothing of the endpoints.
    bool inDoubt() const;

    /// Returns the endpoint that is to be probed next, or nothing if all paths work as far as this host knows.
    std::optional<std::string> nextProbe(Base::Instant now);

    std::size_t lostCount() const;

private:
    /// Moves a helper to the end of the list.
    void demote(const std::string &helper);

    std::vector<TunnelHelper> m_helpers; ///< the preferred ones first
    std::map<std::string, Base::Instant>
        m_lost; ///< endpoints that are tried through helpers first, and when a run last needed them
    std::set<std::string>
        m_failedInARow; ///< endpoints that could not be reached since the last direct connection to any endpoint
    std::string m_lastProbed;
};

} // namespace Yokepond::Relay
