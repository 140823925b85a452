// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// How many endpoints of which kind a pool should have in each data centre.

#pragma once

#include "Configuration/catalogue.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Yokepond::Scaling {

/// What serves in one data centre, as the platform's records tell it; leaving endpoints do not count.
struct DataCentreCounts
{
    std::string dataCentre;
    std::uint32_t regular = 0;
    std::uint32_t preemptible = 0;

    bool operator==(const DataCentreCounts &) const = default;
};

/// One pool whose number of endpoints can be set.
struct ScaledPool
{
    std::string pool;
    Configuration::ScalingParameters terms;
    std::vector<DataCentreCounts> counts; ///< of each data centre that has a price
};

/// An absolute number for one kind in one data centre.
struct Order
{
    std::string pool;
    std::string dataCentre;
    bool preemptible = false;
    std::uint32_t count = 0;

    bool operator==(const Order &) const = default;
};

/// All pools of @p catalogue that can be scaled.
std::vector<ScaledPool> scaledPools(const Configuration::Catalogue &catalogue);

std::uint32_t totalOf(const ScaledPool &pool);

/// What @p pool should have, given that its operators provided @p base endpoints; nothing where their numbers stay theirs.
///
/// The capacity that was provided is kept at the lower price: as many preemptible endpoints that, when all of any one data centre
/// are withdrawn, the others make up for it, and one regular endpoint a data centre. Regular ones beyond that go only when the
/// preemptible ones serve, and come back when those cannot be had.
std::vector<Order> planFor(const ScaledPool &pool, std::uint32_t base);

} // namespace Yokepond::Scaling
