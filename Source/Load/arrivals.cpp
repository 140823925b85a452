// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Load/arrivals.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <ranges>

namespace Yokepond::Load {

namespace {

double rateAt(const Scenario &scenario, const ClassLoad &load, Base::Duration at)
{
    double rate = load.rate;
    for (const Burst &burst : scenario.bursts) {
        const bool applies = burst.className == load.name && at >= burst.from && at < burst.to;
        rate *= applies ? burst.factor : 1;
    }
    return rate;
}

double maxRate(const Scenario &scenario, const ClassLoad &load)
{
    double maximum = load.rate;
    for (const Burst &burst : scenario.bursts) {
        maximum = std::max(maximum, rateAt(scenario, load, burst.from));
    }
    return maximum;
}

/// Index drawn with a probability that falls as one over the rank.
std::uint32_t zipf(std::uint32_t count, std::mt19937_64 &random)
{
    const double logRange = std::log(static_cast<double>(count) + 1);
    const double drawn = std::exp(std::uniform_real_distribution<double>(0, logRange)(random)) - 1;
    return std::min(count - 1, static_cast<std::uint32_t>(drawn));
}

/// A Poisson process whose rate changes, by thinning one of the highest rate (Lewis and Shedler, 1979).
void generateClassArrivals(const Scenario &scenario, std::size_t index, double factor, std::mt19937_64 &random,
                           std::vector<Arrival> &arrivals)
{
    const ClassLoad &load = scenario.classes[index];
    const double maximum = maxRate(scenario, load) * factor;
    if (maximum <= 0) {
        return;
    }
    std::vector<double> weights;
    std::ranges::transform(load.organisations, std::back_inserter(weights), &OrganisationShare::weight);
    std::discrete_distribution<std::size_t> organisation(weights.begin(), weights.end());
    std::exponential_distribution<double> gap(maximum);
    std::geometric_distribution<std::uint32_t> length(1.0 / std::max(1.0, load.meanTokens));
    std::uniform_real_distribution<double> acceptance(0, 1);
    double seconds = 0;
    while ((seconds += gap(random)) < Base::seconds(scenario.duration)) {
        const auto at = std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(seconds));
        const bool accepted = acceptance(random) * maximum < rateAt(scenario, load, at) * factor;
        const Arrival arrival {at, index, organisation(random), 1 + length(random), zipf(load.prefixes, random), random()};
        if (accepted) {
            arrivals.push_back(arrival);
        }
    }
}

} // namespace

std::vector<Arrival> generateArrivals(const Scenario &scenario, std::uint64_t seed, double factor)
{
    std::vector<Arrival> arrivals;
    for (std::size_t index = 0; index < scenario.classes.size(); ++index) {
        std::mt19937_64 random(seed * 1000 + index);
        generateClassArrivals(scenario, index, factor, random, arrivals);
    }
    std::ranges::stable_sort(arrivals, {}, &Arrival::at);
    return arrivals;
}

} // namespace Yokepond::Load
