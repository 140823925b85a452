// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A token bucket that is refilled by events instead of by time, so that the tokens spent are at most a share of the events.

#pragma once

#include <algorithm>
#include <utility>

namespace Yokepond::Base {

class TokenBucket
{
public:
    /// The bucket starts with @p left tokens and holds at most @p capacity.
    TokenBucket(double left, double capacity)
        : m_left(left)
        , m_capacity(capacity)
    {
    }

    /// Adds @p share of a token.
    void earn(double share)
    {
        m_left = std::min(m_capacity, m_left + share);
    }

    /// Removes one token. Returns false if there is none.
    bool spend()
    {
        if (m_left < 1.0) {
            return false;
        }
        m_left -= 1.0;
        return true;
    }

    /// Removes one token. If less than one is left, removes what is left and succeeds with that probability; @p draw is a random
    /// number from 0 to 1. Many buckets that share a budget thus spend all of it together, however small their shares are.
    /// Returns false if it fails.
    bool spendOrStake(double draw)
    {
        if (m_left >= 1.0) {
            return spend();
        }
        return draw < std::exchange(m_left, 0.0);
    }

    double left() const
    {
        return m_left;
    }

private:
    double m_left;
    double m_capacity;
};

} // namespace Yokepond::Base
