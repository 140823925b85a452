// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Membership/gossipqueue.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace Yokepond::Membership {

void GossipQueue::add(const std::string &member)
{
    remove(member);
    const Position position {0, --m_first};
    m_order.emplace(position, member);
    m_positions.emplace(member, position);
}

void GossipQueue::remove(const std::string &member)
{
    const auto entry = m_positions.find(member);
    if (entry != m_positions.end()) {
        m_order.erase(entry->second);
        m_positions.erase(entry);
    }
}

void GossipQueue::clear()
{
    m_order.clear();
    m_positions.clear();
}

bool GossipQueue::contains(const std::string &member) const
{
    return m_positions.contains(member);
}

bool GossipQueue::empty() const
{
    return m_order.empty();
}

std::size_t GossipQueue::size() const
{
    return m_order.size();
}

std::vector<std::string> GossipQueue::take(std::size_t count, unsigned int maxSent)
{
    std::vector<std::string> taken;
    std::ranges::copy(m_order | std::views::values | std::views::take(count), std::back_inserter(taken));
    for (const std::string &member : taken) {
        const unsigned int sent = m_positions.at(member).first + 1;
        remove(member);
        if (sent < maxSent) {
            const Position position {sent, ++m_last};
            m_order.emplace(position, member);
            m_positions.emplace(member, position);
        }
    }
    return taken;
}

std::vector<std::string> GossipQueue::members() const
{
    std::vector<std::string> found;
    std::ranges::copy(m_order | std::views::values, std::back_inserter(found));
    return found;
}

} // namespace Yokepond::Membership
