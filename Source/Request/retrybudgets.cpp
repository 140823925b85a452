// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/retrybudgets.h"

#include <algorithm>

namespace Yokepond::Request {

namespace {

constexpr double percent = 100.0;

} // namespace

void RetryBudgets::setHosts(std::size_t hosts)
{
    m_hosts = hosts;
}

void RetryBudgets::earn(const Configuration::Policies &policies, std::uint32_t pool)
{
    budgetOf(policies, pool).earn(policies.retryPercent / percent);
}

bool RetryBudgets::take(const Configuration::Policies &policies, std::uint32_t pool, std::mt19937_64 &random)
{
    Base::TokenBucket &budget = budgetOf(policies, pool);
    return policies.retryBudgetIsShared ? budget.spendOrStake(std::uniform_real_distribution(0.0, 1.0)(random)) : budget.spend();
}

double RetryBudgets::left(const Configuration::Policies &policies, std::uint32_t pool)
{
    return budgetOf(policies, pool).left();
}

Base::TokenBucket &RetryBudgets::budgetOf(const Configuration::Policies &policies, std::uint32_t pool)
{
    const double hosts = policies.retryBudgetIsShared ? static_cast<double>(std::max(m_hosts, minSharingHosts)) : 1.0;
    return m_budgets.try_emplace(pool, policies.initialRetryBudget / hosts, policies.maxRetryBudget / hosts).first->second;
}

} // namespace Yokepond::Request
