// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Determines the class and the organisation of a request in a configuration with routes.

#pragma once

#include "Configuration/catalogue.h"
#include "Relay/call.h"

#include <absl/status/statusor.h>

namespace Yokepond::Node {

/// The class and the organisation of a request. Both pointers refer to objects of the catalogue.
struct RoutedRequest
{
    const Configuration::RequestClass *requestClass = nullptr;
    const Configuration::Organisation *organisation = nullptr; ///< null on a public route
};

/// Selects the route of @p call by its host and path, authenticates the caller's key, and selects a class by the weights of the
/// route. Fails with ErrorKind::NotReady if there is no configuration, ErrorKind::NotFound if no route matches, or
/// ErrorKind::Unauthenticated.
absl::StatusOr<RoutedRequest> routeRequest(const Configuration::Catalogue &catalogue, const Relay::CallArrived &call);

} // namespace Yokepond::Node
