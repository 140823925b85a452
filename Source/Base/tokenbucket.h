// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A token bucket that events fill in place of time: what is spent stays a share of them.

#pragma once

#include <algorithm>

namespace Yokepond::Base {

class TokenBucket
{
public:
    /// @p left tokens can be spent before any has been earned. At most @p most are saved up.
    TokenBucket(double left, double most)
        : m_left(left)
        , m_most(most)
    {
    }

    /// Adds @p share of a token.
    void earn(double share)
    {
        m_left = std::min(m_most, m_left + share);
    }

    /// Takes one token if there is one.
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
    double m_most;
};

} // namespace Yokepond::Base
