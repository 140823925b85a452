// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The processes that were replaced by another process of their host.

#pragma once

#include "Peer/process.h"

#include <cstddef>
#include <deque>
#include <set>

namespace Yokepond::Peer {

/// Remembers the processes of which it is certain that they have ended: another process of their host has been seen since. What
/// they sent may still arrive. A host that is only considered dead is not among them, since it may turn out to be alive.
class EndedProcesses
{
public:
    /// Returns whether @p process was not known to have ended.
    bool add(const Process &process);

    bool contains(const Process &process) const;

    std::size_t size() const;

    static constexpr std::size_t maxKept = 1024; ///< the latest ones; messages are in transit for seconds at most

private:
    std::set<Process> m_ended;
    std::deque<Process> m_order; ///< the oldest first
};

} // namespace Yokepond::Peer
