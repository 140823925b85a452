// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Computes how many regular and how many preemptible endpoints a pool should have in each data centre.

#pragma once

#include "Configuration/catalogue.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Yokepond::Scaling {

/// Number of endpoints that serve in one data centre according to the platform's records. Drained ones are not counted.
struct DataCentreCounts
{
    std::string dataCentre;
    std::uint32_t regular = 0;
    std::uint32_t preemptible = 0;
    bool evacuated = false; ///< its endpoints get no requests, so nothing is ordered for it

    bool operator==(const DataCentreCounts &) const = default;
};

/// A pool whose number of endpoints can be set.
struct ScaledPool
{
    std::string pool;
    Configuration::ScalingParameters terms;
    std::vector<DataCentreCounts> counts; ///< one entry for each data centre that has a price
};

/// Request to the platform to change the number of endpoints of one kind in one data centre to @ref count, which may be more or
/// fewer than now.
struct Order
{
    std::string pool;
    std::string dataCentre;
    bool preemptible = false;
    std::uint32_t count = 0;

    bool operator==(const Order &) const = default;
};

/// Returns all pools of @p catalogue that can be scaled.
std::vector<ScaledPool> scaledPools(const Configuration::Catalogue &catalogue);

/// Returns the number of endpoints of both kinds in all data centres.
std::uint32_t totalOf(const ScaledPool &pool);

/// Returns the orders that bring @p pool to the numbers it should have, given that its operators provided @p baseline endpoints.
/// Returns none if preemptible endpoints save nothing, or cannot be spread over several data centres.
///
/// The pool keeps the capacity that was provided, at the lower price of preemptible endpoints. There are enough of them that the
/// other data centres still have that capacity when all preemptible endpoints of any one data centre are withdrawn. Each data
/// centre also keeps one regular endpoint, or the configured minimum. Further regular endpoints are given up only when the
/// preemptible ones serve, and are ordered again when preemptible ones are not available.
std::vector<Order> planOrders(const ScaledPool &pool, std::uint32_t baseline);

} // namespace Yokepond::Scaling
