// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/laterefusals.h"

namespace Yokepond::Dispatch {

namespace {

/// Of the asks of a tier above the lowest, this share may be refused as too late, and so many at once.
constexpr double share = 0.07;
constexpr double mostSaved = 4.0;

} // namespace

Base::TokenBucket &LateRefusals::bucketOf(int rank)
{
    return m_buckets.try_emplace(rank, 0.0, mostSaved).first->second;
}

void LateRefusals::earn(int rank)
{
    bucketOf(rank).earn(share);
}

bool LateRefusals::spend(int rank, int lowestRank)
{
    return rank >= lowestRank || bucketOf(rank).spend();
}

} // namespace Yokepond::Dispatch
