// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Scaling/scalingplan.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace Yokepond::Scaling {

namespace {

/// Share of the provided capacity. When less than this serves, regular endpoints are ordered in place of the preemptible ones
/// that are not available.
constexpr double minServingShare = 0.7;

std::uint32_t countPreemptible(const ScaledPool &pool)
{
    return std::accumulate(pool.counts.begin(), pool.counts.end(), 0U,
                           [](std::uint32_t sum, const DataCentreCounts &counts) { return sum + counts.preemptible; });
}

std::uint32_t divideRoundingUp(std::uint32_t whole, std::size_t parts)
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
            DataCentreCounts counts {price.dataCentre, 0, 0, catalogue.isEvacuated(price.dataCentre)};
            for (const Configuration::Endpoint &endpoint : catalogue.endpoints()) {
                if (endpoint.pool == pool.number && endpoint.dataCentre == price.dataCentre && endpoint.acceptsRequests()) {
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

std::vector<Order> planOrders(const ScaledPool &pool, std::uint32_t baseline)
{
    const std::size_t dataCentres = pool.counts.size();
    if (baseline == 0 || dataCentres < 2) {
        return {};
    }
    const double surplusFactor = static_cast<double>(dataCentres) / static_cast<double>(dataCentres - 1);
    if (pool.terms.preemptiblePrice * surplusFactor >= 1.0) {
        return {};
    }
    const std::uint32_t regularFloor = std::max(1U, pool.terms.minCount);
    const std::uint32_t room = pool.terms.maxCount > regularFloor ? pool.terms.maxCount - regularFloor : 0;
    const std::uint32_t preemptible = std::min(room, divideRoundingUp(baseline, dataCentres - 1));
    const bool enough = countPreemptible(pool) >= std::min(baseline, static_cast<std::uint32_t>(preemptible * dataCentres));
    const bool allServe
        = std::ranges::all_of(pool.counts, [&](const DataCentreCounts &counts) { return counts.preemptible >= preemptible; });
    // The pool's limit counts both kinds. Regular endpoints are first given up only as far as the missing preemptible ones need
    // room, and further when these serve. When all were given up at once and the holder was cut off right then, 90 engines
    // remained without any reserve, and 60 after a withdrawal.
    const std::uint32_t regularBesidePreemptible = std::max(regularFloor, pool.terms.maxCount - preemptible);
    const bool tooFew = static_cast<double>(totalOf(pool)) < minServingShare * baseline;
    std::vector<Order> orders;
    for (const DataCentreCounts &counts : pool.counts) {
        if (counts.evacuated) {
            continue;
        }
        orders.push_back({pool.pool, counts.dataCentre, true, preemptible});
        if (tooFew) {
            orders.push_back({pool.pool, counts.dataCentre, false, divideRoundingUp(baseline, dataCentres)});
        } else if (enough) {
            const std::uint32_t regular
                = allServe ? regularFloor : std::max(regularFloor, std::min(counts.regular, regularBesidePreemptible));
            orders.push_back({pool.pool, counts.dataCentre, false, regular});
        }
    }
    return orders;
}

} // namespace Yokepond::Scaling
