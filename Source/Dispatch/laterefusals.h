// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Limits how many asks are refused because they would be late.

#pragma once

#include "Base/tokenbucket.h"

#include <map>

namespace Yokepond::Dispatch {

/// A token bucket for each tier above the lowest. Only few asks of these tiers are refused as too late, since that gives their
/// slots to lower tiers; further late asks are served late. The lowest tier has no limit.
class LateRefusals
{
public:
    /// Adds the refusals that a new ask of @p rank allows.
    void earn(int rank);

    /// Returns whether an ask of @p rank may be refused as too late now, and counts the refusal if so.
    bool spend(int rank, int lowestRank);

private:
    Base::TokenBucket &bucketOf(int rank);

    std::map<int, Base::TokenBucket> m_buckets; ///< by rank of the tier
};

} // namespace Yokepond::Dispatch
