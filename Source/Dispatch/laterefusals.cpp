// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/laterefusals.h"

#include <algorithm>

namespace Yokepond::Dispatch {

namespace {

/// Of the asks of a tier above the lowest, this share may be refused as too late, and so many at once.
constexpr double share = 0.07;
constexpr double mostSaved = 4.0;

} // namespace

void LateRefusals::earn(int rank)
{
    double &left = m_left[rank];
    left = std::min(mostSaved, left + share);
}

bool LateRefusals::spend(int rank, int lowestRank)
{
    if (rank >= lowestRank) {
        return true;
    }
    double &left = m_left[rank];
    const bool may = left >= 1.0;
    left -= may ? 1.0 : 0.0;
    return may;
}

} // namespace Yokepond::Dispatch
