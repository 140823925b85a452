// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// How many requests endpoints began for each organisation, by windows of the fleet's time: at one host, and over all.

#pragma once

#include "Peer/message.h"
#include "Usage/fleetclock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Yokepond::Usage {

/// Windows are numbered from the start of 1970.
using WindowNumber = std::int64_t;

WindowNumber windowOf(FleetTime time, Base::Duration length);
FleetTime endOf(WindowNumber window, Base::Duration length);

/// One window's counts by the organisation's name.
using WindowCounts = std::map<std::string, std::uint64_t>;

/// Of the windows that a host or a collector keeps: a take-over, and an outage of a few windows.
inline constexpr WindowNumber keptWindows = 6;

/// What one host's endpoints began.
class HostCounts
{
public:
    void add(WindowNumber window, const std::string &organisation);

    /// Of the windows after @p fixedUpTo, for a collector: they replace what the host told of them before.
    std::vector<Peer::UsageEntry> entries(WindowNumber fixedUpTo) const;

    /// Drops windows that are too old to be asked for at @p present.
    void removeExpired(WindowNumber present);

    /// The host's clock was moved: its windows are not the fleet's.
    void clear();

private:
    std::map<WindowNumber, WindowCounts> m_windows;
};

/// What all hosts told, at one that may have to report it.
class FleetCounts
{
public:
    /// @p clockOffset: the host's clock less the collector's.
    void update(Base::Instant now, const std::string &host, std::uint64_t incarnation, Base::Duration clockOffset,
                const std::vector<Peer::UsageEntry> &entries);

    WindowCounts total(WindowNumber window) const;

    /// Of the hosts that were heard of lately.
    Base::Duration clockOffset(Base::Instant now) const;

    /// Hosts that were heard of lately.
    std::size_t recentHosts(Base::Instant now) const;

    void removeExpired(WindowNumber present);

private:
    struct Told
    {
        Base::Instant heard {};
        Base::Duration clockOffset {};
        std::map<WindowNumber, WindowCounts> windows;
    };

    /// By host and incarnation: what a process counted stays when it has ended.
    std::map<std::pair<std::string, std::uint64_t>, Told> m_told;
};

} // namespace Yokepond::Usage
