// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Limits how many asks are refused because they would be late.

#pragma once

#include "Base/tokenbucket.h"
#include "Configuration/urgency.h"

#include <map>

namespace Yokepond::Dispatch {

/// A token bucket for each urgency above the least one. Only few of these asks are refused as too late, since that gives their
/// slots to less urgent ones; further late asks are served late. The least urgent ones have no limit.
class LateRefusals
{
public:
    /// Adds the refusals that a new ask of @p urgency allows.
    void earn(const Configuration::Urgency &urgency);

    /// Returns whether an ask of @p urgency may be refused as too late now, and counts the refusal if so.
    bool spend(const Configuration::Urgency &urgency, const Configuration::Urgency &leastUrgent);

private:
    Base::TokenBucket &bucketOf(const Configuration::Urgency &urgency);

    std::map<Configuration::Urgency, Base::TokenBucket> m_buckets;
};

} // namespace Yokepond::Dispatch
