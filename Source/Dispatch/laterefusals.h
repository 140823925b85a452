// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Limits how many asks are refused because they would be late.

#pragma once

#include "Base/tokenbucket.h"
#include "Configuration/urgency.h"
#include "Dispatch/queuedask.h"

#include <cstdint>
#include <map>

namespace Yokepond::Dispatch {

/// A token bucket for each class. Only few of the asks that are more urgent than the least urgent ones of the pool are refused as
/// too late, since that gives their slots to less urgent ones; further late asks are served late. The least urgent ones have no
/// limit.
class LateRefusals
{
public:
    /// Adds the refusals that a new ask of the class with number @p requestClass allows.
    void earn(std::uint32_t requestClass);

    /// Returns whether an ask with @p parameters may be refused as too late now, and counts the refusal if so.
    bool spend(const ClassParameters &parameters, const Configuration::Urgency &leastUrgent);

private:
    Base::TokenBucket &bucketOf(std::uint32_t requestClass);

    std::map<std::uint32_t, Base::TokenBucket> m_buckets; ///< by number of the class
};

} // namespace Yokepond::Dispatch
