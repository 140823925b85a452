// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The platform's list of hosts and endpoints that are live or leaving. The list lags behind the actual state.

#pragma once

#include "Base/address.h"
#include "Http/client.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

namespace Yokepond::Platform {

enum class ListedState { Live, Leaving };

struct ListedHost
{
    std::string name;
    std::string address; ///< ip:port; the peer address of a host, or the service address of an endpoint
    std::string role; ///< `router` for the hosts of yokepond, `endpoint` for endpoints
    ListedState state = ListedState::Live;
};

using HostListHandler = std::function<void(absl::StatusOr<std::vector<ListedHost>>)>;

/// Parses the response to `GET /hosts`. Fails with ErrorKind::InvalidValue.
absl::StatusOr<std::vector<ListedHost>> parseHostList(std::string_view json);

/// Fetches the list. Fails with ErrorKind::StoreUnavailable or ErrorKind::InvalidValue.
void fetchHostList(Http::Client &client, const Base::Address &platform, Base::Duration timeout, HostListHandler handler);

} // namespace Yokepond::Platform
