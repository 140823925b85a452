// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/laterefusals.h"

namespace Yokepond::Dispatch {

namespace {

/// Share of the asks of a class that may be refused as too late, and the most that may be refused at once.
constexpr double refusableShare = 0.07;
constexpr double maxSavedRefusals = 1.0;

} // namespace

Base::TokenBucket &LateRefusals::bucketOf(std::uint32_t requestClass)
{
    return m_buckets.try_emplace(requestClass, 0.0, maxSavedRefusals).first->second;
}

void LateRefusals::earn(std::uint32_t requestClass)
{
    bucketOf(requestClass).earn(refusableShare);
}

bool LateRefusals::spend(const ClassParameters &parameters, const Configuration::Urgency &leastUrgent)
{
    return parameters.urgency >= leastUrgent || bucketOf(parameters.number).spend();
}

} // namespace Yokepond::Dispatch
