// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A small configuration and helpers for tests of the dispatcher.

#pragma once

#include "Configuration/catalogue.h"
#include "Dispatch/queuedask.h"
#include "Dispatch/shardmap.h"
#include "Language/plan.h"

#include <string>

namespace Yokepond::Tests {

inline constexpr std::string_view threeTiers = R"(
create tier high rank 1
create tier middle rank 2
create tier low rank 3
create pool main
create class alert tier high pool main first-token 1s deadline 20s
create class desk tier middle pool main first-token 2s deadline 30s
create class routine tier low pool main first-token 5s deadline 60s starvation-bound 10s
create organisation small key a
create organisation large key b weight 3
create endpoint e1 pool main address 127.0.0.1:1 slots 2
create endpoint e2 pool main address 127.0.0.1:2 slots 2
)";

/// Statements that put each of the two endpoints into a region of its own and bind a class and an organisation to one of them.
inline constexpr std::string_view twoRegions = R"(
create data-centre a region north
create data-centre b region south
set endpoint e1 data-centre a
set endpoint e2 data-centre b
set class alert regions north
set organisation large regions south
)";

/// Returns the configuration objects that @p statements create.
inline Configuration::Objects objectsOf(const std::string &statements)
{
    Configuration::Objects objects;
    const auto mutations = Language::plan(objects, *Language::parseCommands(statements));
    objects.apply({1, "id", 0, "test", "", *mutations});
    return objects;
}

/// Returns the number of the object called @p name.
inline std::uint32_t numberOf(const Configuration::Objects &objects, Configuration::Kind kind, std::string_view name)
{
    return objects.find(kind, name)->number;
}

/// Returns the catalogue of @p objects with resumable classes, whose streams go on only at the software version that began them.
/// The first endpoint runs version v1, the others run v2.
inline std::shared_ptr<const Configuration::Catalogue> catalogueOfTwoVersions(const Configuration::Objects &objects)
{
    Configuration::CatalogueParts parts = Configuration::Catalogue::build(objects)->parts();
    parts.policies.sameVersionStreams = true;
    for (Configuration::RequestClass &requestClass : parts.classes) {
        requestClass.resumable = true;
    }
    for (Configuration::Endpoint &endpoint : parts.endpoints) {
        endpoint.softwareVersion = endpoint.name == "e1" ? "v1" : "v2";
    }
    return Configuration::Catalogue::assemble(std::move(parts));
}

/// Returns the time point @p seconds after the start of a test.
inline Base::Instant at(double seconds)
{
    return Base::Instant(std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(1000 + seconds)));
}

} // namespace Yokepond::Tests
