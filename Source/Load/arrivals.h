// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Generates the requests of a load run in advance from a seed. The load is an open loop: requests are sent at their scheduled
/// times, however slow the responses are.

#pragma once

#include "Load/scenario.h"

#include <cstdint>
#include <vector>

namespace Yokepond::Load {

struct Arrival
{
    Base::Duration at {}; ///< scheduled send time, since the start of the run
    std::size_t classIndex = 0; ///< index into Scenario::classes
    std::size_t organisationIndex = 0; ///< index into ClassLoad::organisations
    std::uint32_t tokens = 0; ///< requested length of the response
    std::uint32_t prefix = 0; ///< index of the shared prompt prefix
    std::uint64_t nonce = 0; ///< random number that makes the prompt unique
};

/// Returns all arrivals of a run, sorted by time. The same arguments give the same arrivals. @p factor multiplies all rates.
std::vector<Arrival> generateArrivals(const Scenario &scenario, std::uint64_t seed, double factor);

} // namespace Yokepond::Load
