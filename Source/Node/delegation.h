// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Delegation of a duty to other hosts by a host that cannot perform it itself.

#pragma once

#include "Base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Yokepond::Node {

/// Timeouts and limits of a Delegation.
struct DelegationOptions
{
    /// Timeout for a reply. A host that has not replied by then is down, or cannot find out sooner than this one whether it can
    /// perform the duty.
    Base::Duration replyTimeout = std::chrono::milliseconds(800);
    Base::Duration renewalPeriod = std::chrono::seconds(2); ///< time between two requests to a host that performs the duty
    std::size_t maxRequested = 15; ///< unsuccessful requests after which all hosts count as unable
    Base::Duration retryDelay = std::chrono::seconds(10); ///< time after that until hosts are asked again
};

/// Asks first one host, then two, then four, until one replies that it performs the duty. Pure state machine: it gets time,
/// members and a random seed, and returns the names of the hosts to ask.
class Delegation
{
public:
    Delegation(DelegationOptions options, std::uint64_t seed);

    /// Returns the hosts to ask now. @p canPerform: this host can perform the duty itself. @p candidates: present hosts that do
    /// not have the duty.
    std::vector<std::string> tick(Base::Instant now, bool canPerform, const std::vector<std::string> &candidates);

    /// Handles the reply of host @p from. @p accepted: it performs the duty.
    void receiveReply(const std::string &from, bool accepted);

private:
    /// Requested: no reply yet. Active: the host performs the duty. Unavailable: it cannot, or has not replied.
    enum class State { Requested, Active, Unavailable };

    struct Delegate
    {
        State state = State::Requested;
        Base::Instant requestedAt {};
    };

    bool hasDelegateIn(State state) const;
    /// Returns the active hosts whose request is to be renewed, and marks them as requested.
    std::vector<std::string> renewals(Base::Instant now);
    /// Returns the next hosts to ask, chosen at random: twice as many as before.
    std::vector<std::string> requestMore(Base::Instant now, const std::vector<std::string> &candidates);
    void reset();

    DelegationOptions m_options;
    std::mt19937_64 m_random;
    std::map<std::string, Delegate> m_delegates; ///< by host name
    std::size_t m_nextCount = 1; ///< number of hosts to ask next
    Base::Instant m_lastRequestAt {};
};

} // namespace Yokepond::Node
