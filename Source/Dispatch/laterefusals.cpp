// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/laterefusals.h"

namespace Yokepond::Dispatch {

namespace {

/// Of the asks of a tier above the lowest, this share may be refused as too late, and so many at once.
constexpr double refusableShare = 0.07;
constexpr double maxSavedRefusals = 4.0;

} // namespace

Base::TokenBucket &LateRefusals::bucketOf(int rank)
{
    return m_buckets.try_emplace(rank, 0.0, maxSavedRefusals).first->second;
}

void LateRefusals::earn(int rank)
{
    bucketOf(rank).earn(refusableShare);
}

bool LateRefusals::spend(int rank, int lowestRank)
{
    return rank >= lowestRank || bucketOf(rank).spend();
}

} // namespace Yokepond::Dispatch
