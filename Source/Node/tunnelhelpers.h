// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Which hosts open connections to endpoints for a host that has lost its own paths to them.

#pragma once

#include "Peer/message.h"
#include "Relay/endpointpaths.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Yokepond::Node {

/// The host that needs helpers.
struct TunnelUser
{
    std::string name;
    std::uint16_t tunnelPort = 0; ///< port at which all hosts accept tunnels
};

/// Chooses helpers for @p user among @p members: a few of each data centre, since the hosts of one may lose their paths together.
/// The number does not grow with the fleet, and each host has others, so that the hosts of a data centre without paths do not all
/// use the same. @p regions has the region of each data centre.
std::vector<Relay::TunnelHelper> chooseTunnelHelpers(const std::vector<Peer::Member> &members,
                                                     const std::map<std::string, std::string> &regions, const TunnelUser &user);

} // namespace Yokepond::Node
