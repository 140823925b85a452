// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Which class and organisation a request belongs to, where the configuration has routes.

#pragma once

#include "Configuration/catalogue.h"
#include "Relay/call.h"

#include <absl/status/statusor.h>

namespace Yokepond::Node {

/// Both point into the catalogue.
struct RoutedRequest
{
    const Configuration::RequestClass *requestClass = nullptr;
    const Configuration::Organisation *organisation = nullptr; ///< null on a public route
};

/// Fails with ErrorKind::NotReady while there is no configuration, ErrorKind::NotFound without a route, or
/// ErrorKind::Unauthenticated.
absl::StatusOr<RoutedRequest> routeRequest(const Configuration::Catalogue &catalogue, const Relay::CallArrived &call);

} // namespace Yokepond::Node
