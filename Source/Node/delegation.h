// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The hosts that a host asks to do a duty of all in its place.

#pragma once

#include "Base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Yokepond::Node {

struct DelegationOptions
{
    /// A host that has not answered by then is gone, or finds out no sooner than this one that it cannot either.
    Base::Duration replyTimeout = std::chrono::milliseconds(800);
    Base::Duration renewalPeriod = std::chrono::seconds(2); ///< between two asks of a host that does the duty
    std::size_t maxRequested = 15; ///< hosts asked in vain before all are taken to be unable
    Base::Duration retryDelay = std::chrono::seconds(10); ///< after that, before hosts are asked again
};

/// One host is asked first, then two, then four, until one says that it does the duty. Pure: time, members and randomness come
/// in, the names of those to ask go out.
class Delegation
{
public:
    Delegation(DelegationOptions options, std::uint64_t seed);

    /// The hosts to be asked now. @p able: this host can do the duty itself. @p candidates: live hosts that do not have the duty.
    std::vector<std::string> tick(Base::Instant now, bool canServe, const std::vector<std::string> &candidates);

    /// Host @p from says whether it does the duty.
    void receiveReply(const std::string &from, bool accepted);

private:
    enum class State { Requested, Active, Unavailable };

    struct Delegate
    {
        State state = State::Requested;
        Base::Instant requestedAt {};
    };

    bool hasDelegateIn(State state) const;
    std::vector<std::string> renewals(Base::Instant now);
    std::vector<std::string> requestMore(Base::Instant now, const std::vector<std::string> &candidates);
    void reset();

    DelegationOptions m_options;
    std::mt19937_64 m_random;
    std::map<std::string, Delegate> m_delegates; ///< by host
    std::size_t m_nextCount = 1; ///< hosts to ask next
    Base::Instant m_lastRequestAt {};
};

} // namespace Yokepond::Node
