// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Counts of the requests that endpoints began for each organisation, in windows of the fleet's time: those of one host, and
/// those of all hosts together.

#pragma once

#include "Peer/message.h"
#include "Usage/fleetclock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Yokepond::Usage {

/// Number of a window; window 0 begins at the Unix epoch.
using WindowNumber = std::int64_t;

/// Returns the window that @p time falls into.
WindowNumber windowOf(FleetTime time, Base::Duration length);

FleetTime endOf(WindowNumber window, Base::Duration length);

/// Counts of one window by the name of the organisation.
using WindowCounts = std::map<std::string, std::uint64_t>;

/// Number of windows that a host or a collector keeps. They cover a change of the holder and an outage of a few windows.
inline constexpr WindowNumber keptWindows = 6;

/// Counts of the requests that endpoints began for one host.
class HostCounts
{
public:
    void add(WindowNumber window, const std::string &organisation);

    /// Returns the counts of all windows after @p fixedUpTo. A collector replaces the host's earlier counts of these windows.
    std::vector<Peer::UsageEntry> entries(WindowNumber fixedUpTo) const;

    /// Removes windows that are older than the last keptWindows before @p current.
    void removeExpired(WindowNumber current);

    /// Removes all counts, because the host's clock was corrected and they do not belong to the fleet's windows.
    void clear();

private:
    std::map<WindowNumber, WindowCounts> m_windows;
};

/// Counts received from all hosts, kept by a host that may have to report them.
class FleetCounts
{
public:
    /// Takes the counts that a host sent. @p clockOffset is the host's clock minus the collector's.
    void update(Base::Instant now, const std::string &host, std::uint64_t incarnation, Base::Duration clockOffset,
                const std::vector<Peer::UsageEntry> &entries);

    /// Returns the sum over all hosts.
    WindowCounts total(WindowNumber window) const;

    /// Returns the median clock offset of the hosts that sent counts recently.
    Base::Duration clockOffset(Base::Instant now) const;

    /// Returns the number of hosts that sent counts recently.
    std::size_t recentHosts(Base::Instant now) const;

    /// Removes windows that are older than the last keptWindows before @p current.
    void removeExpired(WindowNumber current);

private:
    struct ProcessCounts
    {
        Base::Instant receivedAt {};
        Base::Duration clockOffset {};
        std::map<WindowNumber, WindowCounts> windows;
    };

    /// Counts by host and incarnation, so that those of a process are kept when it has ended.
    std::map<std::pair<std::string, std::uint64_t>, ProcessCounts> m_processes;
};

} // namespace Yokepond::Usage
