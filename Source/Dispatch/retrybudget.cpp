// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/retrybudget.h"

#include <algorithm>

namespace Yokepond::Dispatch {

namespace {

constexpr double percent = 100.0;
/// Of what it may save up. A dispatcher that takes over does not know what the one before has spent, and in a roll of all hosts a
/// shard changes hands several times within the time over which retries are counted.
constexpr double leftAtFirst = 1.0 / 3.0;

double mostOf(const Configuration::Policies &policies, std::size_t shards)
{
    return policies.mostRetries * dispatchersShare / static_cast<double>(std::max<std::size_t>(1, shards));
}

} // namespace

RetryBudget::RetryBudget(const Configuration::Policies &policies, std::size_t shards)
    : m_shared(policies.retriesAreShared)
    , m_share(policies.retryPercent / percent)
    , m_bucket(mostOf(policies, shards) * leftAtFirst, mostOf(policies, shards))
{
}

void RetryBudget::configure(const Configuration::Policies &policies, std::size_t shards)
{
    m_shared = policies.retriesAreShared;
    m_share = policies.retryPercent / percent;
    m_bucket.resize(mostOf(policies, shards));
}

void RetryBudget::earn()
{
    m_bucket.earn(m_share);
}

bool RetryBudget::spend()
{
    return !m_shared || m_bucket.spend();
}

double RetryBudget::left() const
{
    return m_bucket.left();
}

} // namespace Yokepond::Dispatch
