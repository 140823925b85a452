// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/localwindow.h"

#include "Dispatch/preference.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace Yokepond::Request {

void LocalWindow::runStarted(std::uint32_t endpoint)
{
    ++m_running[endpoint];
}

void LocalWindow::runEnded(std::uint32_t endpoint)
{
    const auto entry = m_running.find(endpoint);
    if (entry != m_running.end() && --entry->second == 0) {
        m_running.erase(entry);
    }
}

std::uint32_t LocalWindow::running(std::uint32_t endpoint) const
{
    const auto entry = m_running.find(endpoint);
    return entry == m_running.end() ? 0 : entry->second;
}

std::optional<std::uint32_t> LocalWindow::choose(const Dispatch::ShardInfo &shard, const Configuration::Catalogue &catalogue,
                                                 std::size_t hosts, std::uint64_t prefixHash,
                                                 const std::set<std::uint32_t> &unavailable) const
{
    const auto divisor = static_cast<std::uint32_t>(std::max<std::size_t>(1, hosts));
    const auto hasRoom = [&](std::uint32_t number) {
        const Configuration::Endpoint *endpoint = catalogue.endpointByNumber(number);
        return endpoint != nullptr && endpoint->acceptsRequests() && !unavailable.contains(number)
            && running(number) < std::max(1U, endpoint->slots / divisor);
    };
    auto candidates = shard.endpoints | std::views::filter(hasRoom);
    const auto rank
        = [&](std::uint32_t number) { return std::pair(running(number), ~Dispatch::rendezvousWeight(number, prefixHash)); };
    const auto best = std::ranges::min_element(candidates, {}, rank);
    return best == candidates.end() ? std::nullopt : std::optional(*best);
}

} // namespace Yokepond::Request
