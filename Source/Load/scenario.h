// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What a load run sends, read from an INI file: classes with rates and lengths, bursts, and faults at times.

#pragma once

#include "Base/ini.h"
#include "Base/time.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Yokepond::Load {

/// A share of a class's requests that one organisation sends.
struct OrganisationShare
{
    std::string name;
    double weight = 1;
};

struct ClassLoad
{
    std::string name;
    double rate = 1; ///< requests a second
    bool service = false; ///< calls to a plain service, each with a ticket of its own
    std::string pool; ///< of a service
    double meanTokens = 48; ///< of an answer; lengths are geometric
    std::size_t promptBytes = 400; ///< of a prompt's own part
    std::size_t prefixBytes = 0; ///< of the part shared with others
    std::uint32_t prefixes = 1; ///< different shared parts, the first the most used (Zipf)
    Base::Duration firstToken {}; ///< target
    Base::Duration tokenGap {}; ///< target for the mean gap of an answer
    Base::Duration deadline {}; ///< target for the whole answer
    std::vector<OrganisationShare> organisations;
};

/// A class's rate is multiplied for a while.
struct Burst
{
    std::string className;
    Base::Duration from {};
    Base::Duration to {};
    double factor = 1;
};

/// A body sent to an endpoint's or the platform's /faults.
struct ScheduledFault
{
    Base::Duration at {};
    std::string target; ///< name of an endpoint, or `platform`
    std::string body; ///< JSON
};

struct Scenario
{
    std::string name;
    Base::Duration duration {};
    Base::Duration warmUp {}; ///< requests scheduled before this are sent and not counted
    Base::Duration drain {}; ///< answers are awaited this long after the last request
    std::vector<ClassLoad> classes;
    std::vector<Burst> bursts;
    std::vector<ScheduledFault> faults;
};

/// Fails with ErrorKind::InvalidSettings.
absl::StatusOr<Scenario> parseScenario(Base::IniFile ini);

} // namespace Yokepond::Load
