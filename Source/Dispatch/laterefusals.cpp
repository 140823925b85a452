// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/laterefusals.h"

namespace Yokepond::Dispatch {

namespace {

/// Share of the asks of an urgency above the least one that may be refused as too late, and the most that may be refused at once.
constexpr double refusableShare = 0.07;
constexpr double maxSavedRefusals = 4.0;

} // namespace

Base::TokenBucket &LateRefusals::bucketOf(const Configuration::Urgency &urgency)
{
    return m_buckets.try_emplace(urgency, 0.0, maxSavedRefusals).first->second;
}

void LateRefusals::earn(const Configuration::Urgency &urgency)
{
    bucketOf(urgency).earn(refusableShare);
}

bool LateRefusals::spend(const Configuration::Urgency &urgency, const Configuration::Urgency &leastUrgent)
{
    return urgency >= leastUrgent || bucketOf(urgency).spend();
}

} // namespace Yokepond::Dispatch
