// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Budgets of the retries that this host may make in each pool.

#pragma once

#include "Base/tokenbucket.h"
#include "Configuration/catalogue.h"

#include <cstdint>
#include <map>
#include <random>

namespace Yokepond::Request {

/// Smallest number of hosts among which a budget of all hosts is divided. A host that has just started may not know the others
/// yet and must not take their shares.
inline constexpr std::size_t minSharingHosts = 6;

/// One budget for each pool. First attempts fill it, so that retries cannot multiply an overload.
class RetryBudgets
{
public:
    /// Sets the number of hosts that share the budgets. It counts for pools that have no budget yet.
    void setHosts(std::size_t hosts);

    /// Adds the share of a retry that a first attempt in @p pool allows.
    void earn(const Configuration::Policies &policies, std::uint32_t pool);

    /// Takes a retry from the budget of @p pool. Returns false if it has none. In a large fleet the share of each host in the
    /// common budget is less than one retry, so hosts draw lots.
    bool take(const Configuration::Policies &policies, std::uint32_t pool, std::mt19937_64 &random);

    /// Returns the retries that are left in @p pool.
    double left(const Configuration::Policies &policies, std::uint32_t pool);

private:
    Base::TokenBucket &budgetOf(const Configuration::Policies &policies, std::uint32_t pool);

    std::size_t m_hosts = 1;
    std::map<std::uint32_t, Base::TokenBucket> m_budgets; ///< by pool
};

} // namespace Yokepond::Request
