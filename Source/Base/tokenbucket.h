// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A token bucket that is refilled by events instead of by time, so that the tokens spent are at most a share of the events.

#pragma once

#include <algorithm>

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

    double left() const
    {
        return m_left;
    }

private:
    double m_left;
    double m_capacity;
};

} // namespace Yokepond::Base
