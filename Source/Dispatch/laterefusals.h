// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// How many asks may be refused because they would be late.

#pragma once

#include "Base/tokenbucket.h"

#include <map>

namespace Yokepond::Dispatch {

/// Of the tiers above the lowest only few are refused as too late, for the room is being given to the tiers below: the rest is
/// served late.
class LateRefusals
{
public:
    /// An ask of @p rank has come.
    void earn(int rank);

    /// Whether an ask of @p rank may be refused as too late now; if so, that is counted.
    bool spend(int rank, int lowestRank);

private:
    Base::TokenBucket &bucketOf(int rank);

    std::map<int, Base::TokenBucket> m_buckets; ///< by rank
};

} // namespace Yokepond::Dispatch
