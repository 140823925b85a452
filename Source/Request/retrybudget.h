// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// How many retries a class may make.

#pragma once

namespace Yokepond::Request {

/// A token bucket filled by first tries: retries stay a share of them, so that they cannot multiply an overload.
class RetryBudget
{
public:
    /// @p reserve retries can be made before any first try has earned one: a quiet pool may retry too. At most @p most are
    /// saved up.
    explicit RetryBudget(double reserve = 3.0, double most = 50.0);

    /// A first try earns @p share of a retry.
    void earn(double share);

    /// Takes one retry if there is one.
    bool spend();

    double left() const;

private:
    double m_left;
    double m_most;
};

} // namespace Yokepond::Request
