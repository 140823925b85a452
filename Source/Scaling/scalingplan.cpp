// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Scaling/scalingplan.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace Yokepond::Scaling {

namespace {

/// Of the capacity that was provided: with less than this serving, regular endpoints are ordered in the place of preemptible ones
/// that do not come.
constexpr double leastShareServing = 0.7;

std::uint32_t preemptibleOf(const ScaledPool &pool)
{
    return std::accumulate(pool.counts.begin(), pool.counts.end(), 0U,
                           [](std::uint32_t sum, const DataCentreCounts &counts) { return sum + counts.preemptible; });
}

std::uint32_t dividedUp(std::uint32_t whole, std::size_t parts)
{
    return static_cast<std::uint32_t>((whole + parts - 1) / parts);
}

} // namespace

std::vector<ScaledPool> scaledPools(const Configuration::Catalogue &catalogue)
{
    std::vector<ScaledPool> scaled;
    for (const Configuration::Pool &pool : catalogue.pools()) {
        if (!pool.scaling) {
            continue;
        }
        ScaledPool found {pool.name, *pool.scaling, {}};
        for (const Configuration::DataCentrePrice &price : pool.scaling->prices) {
            DataCentreCounts counts {price.dataCentre, 0, 0};
            for (const Configuration::Endpoint &endpoint : catalogue.endpoints()) {
                if (endpoint.pool == pool.number && endpoint.dataCentre == price.dataCentre && !endpoint.drained) {
                    ++(endpoint.preemptible ? counts.preemptible : counts.regular);
                }
            }
            found.counts.push_back(std::move(counts));
        }
        scaled.push_back(std::move(found));
    }
    return scaled;
}

std::uint32_t totalOf(const ScaledPool &pool)
{
    return std::accumulate(pool.counts.begin(), pool.counts.end(), 0U, [](std::uint32_t sum, const DataCentreCounts &counts) {
        return sum + counts.regular + counts.preemptible;
    });
}

std::vector<Order> planFor(const ScaledPool &pool, std::uint32_t base)
{
    const std::size_t dataCentres = pool.counts.size();
    if (base == 0 || dataCentres < 2) {
        return {};
    }
    const double surplus = static_cast<double>(dataCentres) / static_cast<double>(dataCentres - 1);
    if (pool.terms.preemptiblePrice * surplus >= 1.0) {
        return {};
    }
    const std::uint32_t regularFloor = std::max(1U, pool.terms.minCount);
    const std::uint32_t room = pool.terms.maxCount > regularFloor ? pool.terms.maxCount - regularFloor : 0;
    const std::uint32_t preemptible = std::min(room, dividedUp(base, dataCentres - 1));
    const bool enough = preemptibleOf(pool) >= std::min(base, static_cast<std::uint32_t>(preemptible * dataCentres));
    const bool allThere
        = std::ranges::all_of(pool.counts, [&](const DataCentreCounts &counts) { return counts.preemptible >= preemptible; });
    // The limit counts both kinds: regular endpoints first make room for the rest of the preemptible ones, and go when these
    // serve. When they went at once, a holder that was cut off then left 90 engines without any reserve, and a withdrawal 60.
    const std::uint32_t besideAll = std::max(regularFloor, pool.terms.maxCount - preemptible);
    const bool tooFew = static_cast<double>(totalOf(pool)) < leastShareServing * base;
    std::vector<Order> orders;
    for (const DataCentreCounts &counts : pool.counts) {
        orders.push_back({pool.pool, counts.dataCentre, true, preemptible});
        if (tooFew) {
            orders.push_back({pool.pool, counts.dataCentre, false, dividedUp(base, dataCentres)});
        } else if (enough) {
            const std::uint32_t kept = allThere ? regularFloor : std::max(regularFloor, std::min(counts.regular, besideAll));
            orders.push_back({pool.pool, counts.dataCentre, false, kept});
        }
    }
    return orders;
}

} // namespace Yokepond::Scaling
