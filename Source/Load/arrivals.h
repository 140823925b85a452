// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The requests of a run, drawn ahead from the seed: an open loop, which does not slow down when answers do.

#pragma once

#include "Load/scenario.h"

#include <cstdint>
#include <vector>

namespace Yokepond::Load {

struct Arrival
{
    Base::Duration at {}; ///< since the start of the run
    std::size_t classIndex = 0;
    std::size_t organisationIndex = 0;
    std::uint32_t tokens = 0;
    std::uint32_t prefix = 0;
    std::uint64_t nonce = 0; ///< makes the prompt unique
};

/// All arrivals in order of time; the same for the same seed. @p factor multiplies all rates.
std::vector<Arrival> generateArrivals(const Scenario &scenario, std::uint64_t seed, double factor);

} // namespace Yokepond::Load
