// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The daemon's settings, read from an INI file. docs/man/yokepondd.md lists the keys.

#pragma once

#include "Base/address.h"
#include "Base/ini.h"
#include "Base/log.h"
#include "Base/time.h"
#include "Configuration/catalogue.h"
#include "Http/server.h"
#include "Membership/swim.h"
#include "Request/operations.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace Yokepond::Node {

enum class OperatorRight { Query, Command };

inline constexpr Base::NameTable<OperatorRight, 2> operatorRightNames = {{
    {OperatorRight::Query, "query"},
    {OperatorRight::Command, "command"},
}};

struct OperatorAccount
{
    std::string name;
    std::string keyDigest; ///< SHA-256 in hexadecimal digits
    OperatorRight right = OperatorRight::Query;
};

/// How the platform keeps what must last.
enum class PlatformForm {
    Table, ///< a table of ours, written by operators through the hosts
    Records, ///< records of its own, written by its operators and endpoints, which the hosts only read
};

inline constexpr Base::NameTable<PlatformForm, 2> platformFormNames = {{
    {PlatformForm::Table, "table"},
    {PlatformForm::Records, "records"},
}};

/// Whether endpoints are ordered where the platform lets their number be set.
enum class ScalingMode {
    Off,
    Dry, ///< what would be ordered is logged
    On,
};

inline constexpr Base::NameTable<ScalingMode, 3> scalingModeNames = {{
    {ScalingMode::Off, "off"},
    {ScalingMode::Dry, "dry"},
    {ScalingMode::On, "on"},
}};

struct Settings
{
    std::string name;
    std::string dataCentre;
    std::uint32_t milliCores = 0; ///< of processor that this host may use; 0 if not known
    Base::Address callerListen;
    Base::Address operatorListen;
    Base::Address peerListen;
    std::string advertisedPeer; ///< what other hosts are told, ip:port
    std::vector<std::string> seeds; ///< peer addresses, ip:port
    PlatformForm platformForm = PlatformForm::Table;
    Base::Address platform;
    Base::Duration platformTimeout {};
    Base::Duration platformSettledAfter {}; ///< after a disruption the platform counts on the hosts again
    Base::Duration configurationPoll {};
    std::size_t storeFollowers = 8; ///< hosts that follow the platform's records; the others ask them
    Base::Address dutyAddress; ///< of the platform, where usage is reported; no port: it is not
    Base::Duration usageWindow {};
    ScalingMode scaling = ScalingMode::Off;
    Base::Duration dutyTakeoverDelay {}; ///< between the acts of two holders of a duty
    Base::Duration notReadyAfter {}; ///< cut off from the table and all peers
    Http::ServerLimits callerLimits;
    Membership::SwimOptions membership;
    Request::OperationLimits operations;
    std::string ticketSecret;
    Base::Duration balancerLag {}; ///< connections are still answered this long after a planned stop has begun
    Base::Duration stopLimit {}; ///< a planned stop ends after this, zero: never
    Configuration::Policies policies; ///< where the platform's records say nothing of them
    std::vector<OperatorAccount> operators;
    Base::LogLevel logLevel = Base::LogLevel::Info;
    bool fatalInvariants = false;
};

/// Reads the settings from @p ini. Fails with ErrorKind::InvalidSettings naming file, line, key and what was expected.
absl::StatusOr<Settings> parseSettings(Base::IniFile ini);

} // namespace Yokepond::Node
