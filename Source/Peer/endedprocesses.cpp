// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Peer/endedprocesses.h"

namespace Yokepond::Peer {

bool EndedProcesses::add(const Process &process)
{
    if (!m_ended.insert(process).second) {
        return false;
    }
    m_order.push_back(process);
    if (m_order.size() > maxKept) {
        m_ended.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

bool EndedProcesses::contains(const Process &process) const
{
    return m_ended.contains(process);
}

std::size_t EndedProcesses::size() const
{
    return m_ended.size();
}

} // namespace Yokepond::Peer
