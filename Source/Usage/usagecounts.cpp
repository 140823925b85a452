// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Usage/usagecounts.h"

#include <algorithm>
#include <ranges>

namespace Yokepond::Usage {

namespace {

/// Hosts send their counts each second. The clock of a host that has sent none for longer than this is not used.
constexpr Base::Duration recentTime = std::chrono::seconds(5);

} // namespace

WindowNumber windowOf(FleetTime time, Base::Duration length)
{
    return time / length.count();
}

FleetTime endOf(WindowNumber window, Base::Duration length)
{
    return (window + 1) * length.count();
}

void HostCounts::add(WindowNumber window, const std::string &organisation)
{
    ++m_windows[window][organisation];
}

std::vector<Peer::UsageEntry> HostCounts::entries(WindowNumber fixedUpTo) const
{
    std::vector<Peer::UsageEntry> entries;
    for (auto window = m_windows.upper_bound(fixedUpTo); window != m_windows.end(); ++window) {
        for (const auto &[organisation, count] : window->second) {
            entries.push_back({window->first, organisation, count});
        }
    }
    return entries;
}

void HostCounts::removeExpired(WindowNumber current)
{
    std::erase_if(m_windows, [&](const auto &entry) { return entry.first + keptWindows < current; });
}

void HostCounts::clear()
{
    m_windows.clear();
}

void FleetCounts::update(Base::Instant now, const std::string &host, std::uint64_t incarnation, Base::Duration clockOffset,
                         const std::vector<Peer::UsageEntry> &entries)
{
    ProcessCounts &process = m_processes[{host, incarnation}];
    process.receivedAt = now;
    process.clockOffset = clockOffset;
    std::map<WindowNumber, WindowCounts> windows;
    for (const Peer::UsageEntry &entry : entries) {
        windows[entry.window][entry.organisation] = entry.began;
    }
    // Windows that the host has removed since then keep the counts that it sent last.
    windows.merge(process.windows);
    process.windows = std::move(windows);
}

WindowCounts FleetCounts::total(WindowNumber window) const
{
    WindowCounts sum;
    for (const ProcessCounts &process : m_processes | std::views::values) {
        const auto counts = process.windows.find(window);
        if (counts == process.windows.end()) {
            continue;
        }
        for (const auto &[organisation, count] : counts->second) {
            sum[organisation] += count;
        }
    }
    return sum;
}

Base::Duration FleetCounts::clockOffset(Base::Instant now) const
{
    std::vector<Base::Duration> offsets;
    for (const ProcessCounts &process : m_processes | std::views::values) {
        if (now - process.receivedAt <= recentTime) {
            offsets.push_back(process.clockOffset);
        }
    }
    return medianOffset(offsets);
}

std::size_t FleetCounts::recentHosts(Base::Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_processes | std::views::values, [&](const ProcessCounts &process) { return now - process.receivedAt <= recentTime; }));
}

void FleetCounts::removeExpired(WindowNumber current)
{
    for (ProcessCounts &process : m_processes | std::views::values) {
        std::erase_if(process.windows, [&](const auto &entry) { return entry.first + keptWindows < current; });
    }
    std::erase_if(m_processes, [](const auto &entry) { return entry.second.windows.empty(); });
}

} // namespace Yokepond::Usage
