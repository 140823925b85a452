// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The retries of a pool where one budget counts over all hosts, as its shards' dispatchers keep them.

#pragma once

#include "Base/tokenbucket.h"
#include "Configuration/catalogue.h"

#include <cstddef>

namespace Yokepond::Dispatch {

/// Of the reserve that all hosts share, what the dispatchers of a pool may save up together. The rest is the homes' own, for the
/// time in which they do without a dispatcher.
inline constexpr double dispatchersShare = 0.75;

class RetryBudget
{
public:
    /// One of @p shards shards of the pool.
    RetryBudget(const Configuration::Policies &policies, std::size_t shards);

    /// The policies or the number of shards may have changed; what is left is kept.
    void configure(const Configuration::Policies &policies, std::size_t shards);

    /// An ask for a first try has come.
    void earn();

    /// Whether a retry may be made; if so, it is counted. Always, where each home has a budget of its own.
    bool spend();

    double left() const;

private:
    bool m_shared = false;
    double m_share = 0;
    Base::TokenBucket m_bucket;
};

} // namespace Yokepond::Dispatch
