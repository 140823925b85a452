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
#include "Relay/responsebuffers.h"
#include "Request/operations.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <vector>

namespace Yokepond::Node {

enum class OperatorRight { Query, Command };

inline constexpr Base::NameTable<OperatorRight, 2> operatorRightNames = {{
    {OperatorRight::Query, "query"},
    {OperatorRight::Command, "command"},
}};

/// An operator who may use the operators' HTTP interface.
struct OperatorAccount
{
    std::string name;
    std::string keyDigest; ///< SHA-256 in hexadecimal digits
    OperatorRight right = OperatorRight::Query;
};

/// How the platform stores the configuration and the list of endpoints.
enum class PlatformForm {
    Table, ///< in a table that the hosts write on behalf of operators
    Records, ///< as records that its operators and endpoints write and the hosts only read
};

inline constexpr Base::NameTable<PlatformForm, 2> platformFormNames = {{
    {PlatformForm::Table, "table"},
    {PlatformForm::Records, "records"},
}};

/// Whether hosts order endpoints from the platform, for pools whose number of endpoints it lets them set.
enum class ScalingMode {
    Off,
    Dry, ///< orders are only logged
    On,
};

inline constexpr Base::NameTable<ScalingMode, 3> scalingModeNames = {{
    {ScalingMode::Off, "off"},
    {ScalingMode::Dry, "dry"},
    {ScalingMode::On, "on"},
}};

/// Settings of one host.
struct Settings
{
    std::string name;
    std::string dataCentre;
    std::uint32_t milliCores = 0; ///< thousandths of a processor core that this host may use; 0 if not known
    std::uint64_t memoryBytes = 0; ///< memory that this host may use; 0 if not known
    Base::Address callerListen;
    Base::Address operatorListen;
    Base::Address peerListen;
    std::string endpointSource; ///< IP address from which connections to endpoints are opened; empty: the system chooses
    std::uint16_t tunnelPort = 0; ///< port at which every host of the fleet accepts tunnels to endpoints; 0: none does
    std::string advertisedPeer; ///< peer address that is announced to other hosts, ip:port
    std::vector<std::string> seeds; ///< peer addresses, ip:port
    PlatformForm platformForm = PlatformForm::Table;
    Base::Address platform; ///< address of the platform's table service or store
    Base::Duration platformTimeout {};
    Base::Duration platformSettledAfter {}; ///< time after a disruption at which the platform relies on the hosts again
    Base::Duration configurationPoll {}; ///< minimum period of reading the table
    std::size_t storeFollowers = 8; ///< number of hosts that follow the platform's store; the others request changes from them
    Base::Address dutyAddress; ///< address of the platform for usage reports and orders; port 0: usage is not reported
    Base::Duration usageWindow {};
    ScalingMode scaling = ScalingMode::Off;
    Base::Duration dutyTakeoverDelay {}; ///< minimum time between actions of two successive holders of a duty
    Base::Duration notReadyAfter {}; ///< time without contact to the table and all peers after which the host is not ready
    Http::ServerLimits callerLimits;
    Relay::ResponseBufferLimits responseBuffers;
    Membership::SwimOptions membership;
    Request::OperationLimits operations;
    std::string ticketSecret;
    Base::Duration balancerLag {}; ///< how long connections are still accepted after a planned stop has begun
    Base::Duration stopLimit {}; ///< maximum duration of a planned stop; zero: unlimited
    std::map<std::string, std::string> regions; ///< region of each data centre; with PlatformForm::Records
    Configuration::Policies policies; ///< policies for which the platform's records have no values
    std::vector<OperatorAccount> operators;
    Base::LogLevel logLevel = Base::LogLevel::Info;
    bool fatalInvariants = false; ///< a violated invariant ends the process; for tests
};

/// Reads the settings from @p ini. Fails with ErrorKind::InvalidSettings; the message has the file, the line, the key and the
/// expected value.
absl::StatusOr<Settings> parseSettings(Base::IniFile ini);

} // namespace Yokepond::Node
