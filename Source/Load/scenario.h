// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The description of a load run, read from an INI file: classes with request rates and lengths, bursts, and scheduled faults.

#pragma once

#include "Base/ini.h"
#include "Base/time.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Yokepond::Load {

/// The share of a class's requests that one organisation sends, as a weight relative to the other organisations.
struct OrganisationShare
{
    std::string name;
    double weight = 1;
};

/// The requests of one class and the latency targets that they are measured against.
struct ClassLoad
{
    std::string name;
    double rate = 1; ///< requests per second
    bool service = false; ///< the requests call a service and not an engine; each first gets a ticket, its idempotency key
    std::string pool; ///< pool whose endpoints run the service, empty for engines
    double meanTokens = 48; ///< mean length of a response; the lengths have a geometric distribution
    std::size_t promptBytes = 400; ///< length of the part of the prompt after the shared prefix; it is unique to the request
    std::size_t prefixBytes = 0; ///< length of the shared prefix of the prompt
    std::uint32_t prefixes = 1; ///< number of different shared prefixes; their popularity is Zipf-distributed
    Base::Duration firstTokenTarget {}; ///< target for the time to the first token
    Base::Duration tokenGapTarget {}; ///< target for the mean inter-token latency of a response
    Base::Duration deadline {}; ///< target for the time to the end of the response
    std::vector<OrganisationShare> organisations;
};

/// A time span in which the rate of one class is multiplied by a factor.
struct Burst
{
    std::string className;
    Base::Duration from {};
    Base::Duration to {};
    double factor = 1;
};

/// A fault that is injected during the run by a POST request to /faults of an endpoint or of the platform.
struct ScheduledFault
{
    Base::Duration at {}; ///< time since the start of the run
    std::string target; ///< name of an endpoint, or `platform`
    std::string body; ///< JSON body of the request
};

/// A load run as described by its INI file. Times count from the start of the run.
struct Scenario
{
    std::string name;
    Base::Duration duration {};
    Base::Duration warmUp {}; ///< requests scheduled before this time are sent but not counted in the results of their class
    Base::Duration drain {}; ///< maximum time to wait for responses after the duration has passed
    std::vector<ClassLoad> classes;
    std::vector<Burst> bursts;
    std::vector<ScheduledFault> faults;
};

/// Reads a scenario from @p ini. Returns ErrorKind::InvalidSettings for a missing, unknown or invalid key.
absl::StatusOr<Scenario> parseScenario(Base::IniFile ini);

} // namespace Yokepond::Load
