// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/identities.h"

#include "Configuration/namenumbers.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>
#include <unordered_map>
#include <vector>

namespace Yokepond::Configuration {

namespace {

using NumbersByName = std::unordered_map<std::string_view, std::uint32_t>;

/// Returns the things as names with numbers, in the same order.
template<typename Thing>
std::vector<NumberedName> numberedNames(const std::vector<Thing> &things)
{
    std::vector<NumberedName> names;
    std::ranges::transform(things, std::back_inserter(names), [](const Thing &thing) {
        return NumberedName {identityOf(thing), thing.number};
    });
    return names;
}

/// Separates the things of one kind. Returns whether any names collided.
template<typename Thing>
bool separateKind(std::vector<Thing> &things, std::vector<NameCollision> &collisions)
{
    std::vector<std::uint32_t> numbers;
    std::ranges::transform(things, std::back_inserter(numbers), &Thing::number);
    if (!haveEqualNumbers(std::move(numbers))) {
        return false;
    }
    std::vector<NumberedName> names = numberedNames(things);
    std::vector<NameCollision> found = separate(names);
    for (std::size_t index = 0; index < things.size(); ++index) {
        things[index].number = names[index].number;
    }
    std::ranges::move(found, std::back_inserter(collisions));
    return !found.empty();
}

template<typename Thing>
NumbersByName numbersByName(const std::vector<Thing> &things)
{
    NumbersByName numbers;
    std::ranges::for_each(things, [&](const Thing &thing) { numbers.emplace(thing.name, thing.number); });
    return numbers;
}

std::string poolIdentity(std::string_view name)
{
    return fmt::format("pool/{}", name);
}

/// Finds the numbers of pools by their names.
class PoolNumbers
{
public:
    PoolNumbers(const std::vector<Pool> &pools, const std::vector<NameCollision> &collisions)
        : m_numbers(numbersByName(pools))
    {
        std::ranges::transform(pools, std::inserter(m_taken, m_taken.end()), &Pool::number);
        std::ranges::transform(collisions, std::inserter(m_taken, m_taken.end()), &NameCollision::number);
    }

    /// Returns the number of the pool @p name. One that is not configured has the number of its name, or 0 if that is taken.
    std::uint32_t numberOf(std::string_view name) const
    {
        const auto configured = m_numbers.find(name);
        if (configured != m_numbers.end()) {
            return configured->second;
        }
        const std::uint32_t number = nameNumber(poolIdentity(name));
        return m_taken.contains(number) ? 0 : number;
    }

private:
    NumbersByName m_numbers;
    std::set<std::uint32_t> m_taken;
};

/// Sets the pool of things that name theirs.
template<typename Thing>
void referToPools(std::vector<Thing> &things, const PoolNumbers &pools)
{
    for (Thing &thing : things) {
        thing.pool = thing.poolName.empty() ? thing.pool : pools.numberOf(thing.poolName);
    }
}

void referToClasses(std::vector<Route> &routes, const NumbersByName &classes)
{
    for (Route &route : routes) {
        for (RouteShare &share : route.shares) {
            share.requestClass = share.className.empty() ? share.requestClass : classes.at(share.className);
        }
    }
}

template<typename Thing>
void numberKind(std::vector<Thing> &things)
{
    std::ranges::for_each(things, [](Thing &thing) { thing.number = nameNumber(identityOf(thing)); });
}

/// Returns the software versions of the endpoints. Thousands of endpoints have few.
std::vector<std::string_view> versionsOf(const std::vector<Endpoint> &endpoints)
{
    std::vector<std::string_view> versions;
    for (const Endpoint &endpoint : endpoints) {
        if (std::ranges::find(versions, endpoint.softwareVersion) == versions.end()) {
            versions.emplace_back(endpoint.softwareVersion);
        }
    }
    return versions;
}

/// Separates the software versions of the endpoints, which have no objects of their own.
void separateVersions(CatalogueParts &parts)
{
    const std::vector<std::string_view> versions = versionsOf(parts.endpoints);
    std::vector<NumberedName> names;
    std::ranges::transform(versions, std::back_inserter(names), [](std::string_view version) {
        return NumberedName {std::string(version), softwareVersionNumber(version)};
    });
    const std::vector<NameCollision> found = separate(names);
    for (const NumberedName &name : names) {
        if (name.number != softwareVersionNumber(name.text)) {
            parts.separatedVersions[name.text] = name.number;
        }
    }
    std::ranges::copy(found, std::back_inserter(parts.nameCollisions));
}

} // namespace

std::string identityOf(const Pool &pool)
{
    return poolIdentity(pool.name);
}

std::string identityOf(const RequestClass &requestClass)
{
    return fmt::format("class/{}", requestClass.name);
}

std::string identityOf(const Organisation &organisation)
{
    return fmt::format("organisation/{}", organisation.name);
}

std::string identityOf(const Endpoint &endpoint)
{
    return endpoint.born == 0 ? fmt::format("endpoint/{}", endpoint.name)
                              : fmt::format("endpoint/{}/{}", endpoint.name, endpoint.born);
}

void numberByIdentity(CatalogueParts &parts)
{
    numberKind(parts.pools);
    numberKind(parts.classes);
    numberKind(parts.organisations);
    numberKind(parts.endpoints);
    referToClasses(parts.routes, numbersByName(parts.classes));
}

void separateIdentities(CatalogueParts &parts)
{
    parts.nameCollisions.clear();
    parts.separatedVersions.clear();
    separateKind(parts.pools, parts.nameCollisions);
    const PoolNumbers pools(parts.pools, parts.nameCollisions);
    referToPools(parts.classes, pools);
    referToPools(parts.endpoints, pools);
    if (separateKind(parts.classes, parts.nameCollisions)) {
        referToClasses(parts.routes, numbersByName(parts.classes));
    }
    separateKind(parts.organisations, parts.nameCollisions);
    separateKind(parts.endpoints, parts.nameCollisions);
    separateVersions(parts);
}

} // namespace Yokepond::Configuration
