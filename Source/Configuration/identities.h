// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The numbers of the objects of a catalogue. Hosts that know the same names derive the same numbers.

#pragma once

#include "Configuration/catalogue.h"

#include <string>
#include <string_view>

namespace Yokepond::Configuration {

/// These functions return a text that no other object of a catalogue has.
std::string identityOf(const Pool &pool);
std::string identityOf(const RequestClass &requestClass);
std::string identityOf(const Organisation &organisation);
std::string identityOf(const Endpoint &endpoint);

/// Gives the pools, classes, organisations and endpoints of @p parts the numbers that follow from their identities, for a
/// platform that assigns none.
void numberByIdentity(CatalogueParts &parts);

/// Gives objects of @p parts whose numbers are equal, and identities are not, numbers of their own, and records the collisions.
/// Whatever refers to an object by name gets its number. An endpoint whose pool is not configured belongs to no pool that is.
void separateIdentities(CatalogueParts &parts);

} // namespace Yokepond::Configuration
