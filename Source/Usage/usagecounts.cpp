// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Usage/usagecounts.h"

#include <algorithm>
#include <ranges>

namespace Yokepond::Usage {

namespace {

/// Hosts tell their counts each second; one that has been silent for so long says nothing of the time of day.
constexpr Base::Duration lately = std::chrono::seconds(5);

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

void HostCounts::removeExpired(WindowNumber present)
{
    std::erase_if(m_windows, [&](const auto &entry) { return entry.first + keptWindows < present; });
}

void HostCounts::clear()
{
    m_windows.clear();
}

void FleetCounts::update(Base::Instant now, const std::string &host, std::uint64_t incarnation, Base::Duration clockOffset,
                         const std::vector<Peer::UsageEntry> &entries)
{
    Told &told = m_told[{host, incarnation}];
    told.heard = now;
    told.clockOffset = clockOffset;
    std::map<WindowNumber, WindowCounts> windows;
    for (const Peer::UsageEntry &entry : entries) {
        windows[entry.window][entry.organisation] = entry.began;
    }
    // Windows that the host has dropped meanwhile stay as they were told last.
    windows.merge(told.windows);
    told.windows = std::move(windows);
}

WindowCounts FleetCounts::total(WindowNumber window) const
{
    WindowCounts sum;
    for (const Told &told : m_told | std::views::values) {
        const auto counts = told.windows.find(window);
        if (counts == told.windows.end()) {
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
    for (const Told &told : m_told | std::views::values) {
        if (now - told.heard <= lately) {
            offsets.push_back(told.clockOffset);
        }
    }
    return medianOffset(offsets);
}

std::size_t FleetCounts::recentHosts(Base::Instant now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_told | std::views::values, [&](const Told &told) { return now - told.heard <= lately; }));
}

void FleetCounts::removeExpired(WindowNumber present)
{
    for (Told &told : m_told | std::views::values) {
        std::erase_if(told.windows, [&](const auto &entry) { return entry.first + keptWindows < present; });
    }
    std::erase_if(m_told, [](const auto &entry) { return entry.second.windows.empty(); });
}

} // namespace Yokepond::Usage
