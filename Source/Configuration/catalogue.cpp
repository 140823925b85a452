// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/catalogue.h"

#include "Base/hash.h"
#include "Base/text.h"
#include "Configuration/identities.h"

#include <algorithm>

namespace Yokepond::Configuration {

namespace {

/// The names are keys of the configuration; `most-endings` sets maxCrashes, and `leaving-kept` sets leavingTimeout in seconds.
constexpr std::array settings = {
    SettingSchema {"order", {.name = "value", .type = FieldType::Choice, .choices = "tiered fifo"}},
    SettingSchema {
        "placement",
        {.name = "value", .type = FieldType::Choice, .choices = "affinity least-loaded round-robin soonest-first-token"}},
    SettingSchema {"window", {.name = "value", .type = FieldType::Choice, .choices = "adaptive fixed"}},
    SettingSchema {"eject-slow", {.name = "value", .type = FieldType::Flag}},
    SettingSchema {"hopeless-shedding", {.name = "value", .type = FieldType::Flag}},
    SettingSchema {"refuse-late", {.name = "value", .type = FieldType::Flag}},
    SettingSchema {"share-prefills", {.name = "value", .type = FieldType::Flag}},
    SettingSchema {"stream-engines", {.name = "value", .type = FieldType::Flag}},
    SettingSchema {"queue-limit", {.name = "value", .type = FieldType::Integer, .minimum = 1, .maximum = 1'000'000}},
    SettingSchema {"shard-size", {.name = "value", .type = FieldType::Integer, .minimum = 1, .maximum = 1024}},
    SettingSchema {"guaranteed-percent", {.name = "value", .type = FieldType::Integer, .minimum = 1, .maximum = 50}},
    SettingSchema {"retry-percent", {.name = "value", .type = FieldType::Integer, .minimum = 0, .maximum = 100}},
    SettingSchema {"most-endings", {.name = "value", .type = FieldType::Integer, .minimum = 0, .maximum = 100}},
    SettingSchema {"quarantine-parts", {.name = "value", .type = FieldType::Flag}},
    SettingSchema {"leaving-kept", {.name = "value", .type = FieldType::Integer, .minimum = 1, .maximum = 86'400}},
};

std::int64_t integer(const Object &object, std::string_view field)
{
    std::int64_t value = 0;
    return Base::parseInteger(object.value(field), &value) ? value : 0;
}

Base::Duration duration(const Object &object, std::string_view field)
{
    return std::chrono::milliseconds(integer(object, field));
}

bool flag(const Object &object, std::string_view field)
{
    return object.value(field) == "yes";
}

std::uint32_t numberOf(const Objects &objects, Kind kind, std::string_view name)
{
    const Object *object = objects.find(kind, name);
    return object == nullptr ? 0 : object->number;
}

/// Returns the words of a field that are separated by spaces.
std::vector<std::string> words(const Object &object, std::string_view field)
{
    std::vector<std::string> found;
    for (const std::string_view word : Base::split(object.value(field), ' ')) {
        if (!word.empty()) {
            found.emplace_back(word);
        }
    }
    return found;
}

RequestClass parseClass(const Objects &objects, const Object &object)
{
    const Object *tier = objects.find(Kind::Tier, object.value("tier"));
    return {.number = object.number,
            .name = object.name,
            .tier = std::string(object.value("tier")),
            .rank = tier == nullptr ? 0 : static_cast<int>(integer(*tier, "rank")),
            .pool = numberOf(objects, Kind::Pool, object.value("pool")),
            .poolName = std::string(object.value("pool")),
            .repeatable = flag(object, "repeatable"),
            .firstToken = duration(object, "first-token"),
            .tokenGap = duration(object, "token-gap"),
            .deadline = duration(object, "deadline"),
            .starvationBound = duration(object, "starvation-bound"),
            .regions = words(object, "regions")};
}

Organisation parseOrganisation(const Object &object)
{
    return {.number = object.number,
            .name = object.name,
            .keyDigests = {std::string(object.value("key"))},
            .weight = static_cast<std::uint32_t>(integer(object, "weight")),
            .defaultClass = std::string(object.value("default-class")),
            .regions = words(object, "regions")};
}

Pool parsePool(const Object &object)
{
    return {.number = object.number,
            .name = object.name,
            .kind = object.value("kind") == "service" ? PoolKind::Service : PoolKind::Engine,
            .model = std::string(object.value("model"))};
}

/// Reads an endpoint. Its field `checks-orders` sets checksFence.
Endpoint parseEndpoint(const Objects &objects, const Object &object)
{
    return {.number = object.number,
            .name = object.name,
            .pool = numberOf(objects, Kind::Pool, object.value("pool")),
            .poolName = std::string(object.value("pool")),
            .address = Base::parseAddress(object.value("address")).value_or(Base::Address {}),
            .dataCentre = std::string(object.value("data-centre")),
            .slots = static_cast<std::uint32_t>(integer(object, "slots")),
            .checksFence = flag(object, "checks-orders"),
            .drained = flag(object, "drained")};
}

Policies parsePolicies(const Objects &objects)
{
    Policies policies;
    const auto value = [&](std::string_view name) {
        const Object *object = objects.find(Kind::Setting, name);
        return object == nullptr ? std::string_view() : object->value("value");
    };
    const auto count = [&](std::string_view name, std::uint32_t fallback) {
        std::uint32_t number = 0;
        return Base::parseInteger(value(name), &number) ? number : fallback;
    };
    policies.order = Base::valueOf(orderNames, value("order")).value_or(policies.order);
    policies.placement = Base::valueOf(placementNames, value("placement")).value_or(policies.placement);
    policies.window = Base::valueOf(windowNames, value("window")).value_or(policies.window);
    policies.ejectSlow = value("eject-slow") != "no";
    policies.hopelessShedding = value("hopeless-shedding") != "no";
    policies.refuseLate = value("refuse-late") == "yes";
    policies.sharePrefills = value("share-prefills") != "no";
    policies.streamEngines = value("stream-engines") != "no";
    policies.queueLimit = count("queue-limit", policies.queueLimit);
    policies.shardSize = count("shard-size", policies.shardSize);
    policies.guaranteedPercent = count("guaranteed-percent", policies.guaranteedPercent);
    policies.retryPercent = count("retry-percent", policies.retryPercent);
    policies.maxCrashes = count("most-endings", policies.maxCrashes);
    policies.quarantineParts = value("quarantine-parts") == "yes";
    policies.leavingTimeout = std::chrono::seconds(count(
        "leaving-kept", static_cast<std::uint32_t>(std::chrono::floor<std::chrono::seconds>(policies.leavingTimeout).count())));
    return policies;
}

/// Returns the first element whose member equals @p value, or null.
template<typename Element, typename Member, typename Value>
const Element *findBy(const std::vector<Element> &elements, Member member, const Value &value)
{
    const auto element = std::ranges::find(elements, value, member);
    return element == elements.end() ? nullptr : &*element;
}

/// Returns the element whose position @p index has at @p key, or null.
template<typename Element, typename Map, typename Key>
const Element *findIndexed(const std::vector<Element> &elements, const Map &index, const Key &key)
{
    const auto entry = index.find(key);
    return entry == index.end() ? nullptr : &elements[entry->second];
}

} // namespace

std::uint32_t softwareVersionNumber(std::string_view version)
{
    return nameNumber(version);
}

std::span<const SettingSchema> settingSchemas()
{
    return settings;
}

std::shared_ptr<const Catalogue> Catalogue::build(const Objects &objects)
{
    CatalogueParts parts;
    parts.revision = objects.revision();
    parts.policies = parsePolicies(objects);
    for (const Object *object : objects.all(Kind::Class)) {
        parts.classes.push_back(parseClass(objects, *object));
    }
    for (const Object *object : objects.all(Kind::Organisation)) {
        parts.organisations.push_back(parseOrganisation(*object));
    }
    for (const Object *object : objects.all(Kind::Pool)) {
        parts.pools.push_back(parsePool(*object));
    }
    for (const Object *object : objects.all(Kind::Endpoint)) {
        parts.endpoints.push_back(parseEndpoint(objects, *object));
    }
    for (const Object *object : objects.all(Kind::DataCentre)) {
        if (flag(*object, "evacuated")) {
            parts.evacuatedDataCentres.insert(object->name);
        }
        if (const std::string_view region = object->value("region"); !region.empty()) {
            parts.regions.emplace(object->name, region);
        }
    }
    return assemble(std::move(parts));
}

std::shared_ptr<const Catalogue> Catalogue::assemble(CatalogueParts parts)
{
    auto catalogue = std::make_shared<Catalogue>();
    separateIdentities(parts);
    catalogue->m_parts = std::move(parts);
    for (Endpoint &endpoint : catalogue->m_parts.endpoints) {
        endpoint.evacuated = catalogue->isEvacuated(endpoint.dataCentre);
        const auto region = catalogue->m_parts.regions.find(endpoint.dataCentre);
        endpoint.region = region == catalogue->m_parts.regions.end() ? std::string() : region->second;
    }
    const CatalogueParts &kept = catalogue->m_parts;
    for (std::size_t index = 0; index < kept.classes.size(); ++index) {
        catalogue->m_classByNumber.emplace(kept.classes[index].number, index);
    }
    for (std::size_t index = 0; index < kept.organisations.size(); ++index) {
        catalogue->m_organisationByNumber.emplace(kept.organisations[index].number, index);
        for (const std::string &digest : kept.organisations[index].keyDigests) {
            catalogue->m_organisationByKey.emplace(digest, index);
        }
    }
    for (std::size_t index = 0; index < kept.endpoints.size(); ++index) {
        catalogue->m_endpointByNumber.emplace(kept.endpoints[index].number, index);
    }
    catalogue->m_urgencyScales = urgencyScales(kept);
    return catalogue;
}

const UrgencyScale &Catalogue::urgencyScale(std::uint32_t pool) const
{
    static const UrgencyScale none;
    const auto scale = m_urgencyScales.find(pool);
    return scale == m_urgencyScales.end() ? none : scale->second;
}

std::uint64_t Catalogue::revision() const
{
    return m_parts.revision;
}

const CatalogueParts &Catalogue::parts() const
{
    return m_parts;
}

const Policies &Catalogue::policies() const
{
    return m_parts.policies;
}

const std::set<std::string> &Catalogue::evacuatedDataCentres() const
{
    return m_parts.evacuatedDataCentres;
}

bool Catalogue::isEvacuated(const std::string &dataCentre) const
{
    return m_parts.evacuatedDataCentres.contains(dataCentre);
}

const std::vector<RequestClass> &Catalogue::classes() const
{
    return m_parts.classes;
}

const std::vector<Organisation> &Catalogue::organisations() const
{
    return m_parts.organisations;
}

const std::vector<Pool> &Catalogue::pools() const
{
    return m_parts.pools;
}

const std::vector<Endpoint> &Catalogue::endpoints() const
{
    return m_parts.endpoints;
}

const std::vector<Route> &Catalogue::routes() const
{
    return m_parts.routes;
}

const Route *Catalogue::routeFor(std::string_view host, std::string_view path) const
{
    const Route *longest = nullptr;
    for (const Route &route : m_parts.routes) {
        const bool matches = route.host == host && path.starts_with(route.pathPrefix);
        if (matches && (longest == nullptr || route.pathPrefix.size() > longest->pathPrefix.size())) {
            longest = &route;
        }
    }
    return longest;
}

const RequestClass *Catalogue::classByName(std::string_view name) const
{
    return findBy(m_parts.classes, &RequestClass::name, name);
}

const RequestClass *Catalogue::classByNumber(std::uint32_t number) const
{
    return findIndexed(m_parts.classes, m_classByNumber, number);
}

const Organisation *Catalogue::organisationByNumber(std::uint32_t number) const
{
    return findIndexed(m_parts.organisations, m_organisationByNumber, number);
}

const Organisation *Catalogue::organisationByName(std::string_view name) const
{
    return findBy(m_parts.organisations, &Organisation::name, name);
}

const Pool *Catalogue::poolByName(std::string_view name) const
{
    return findBy(m_parts.pools, &Pool::name, name);
}

const Pool *Catalogue::poolByNumber(std::uint32_t number) const
{
    return findBy(m_parts.pools, &Pool::number, number);
}

const Endpoint *Catalogue::endpointByNumber(std::uint32_t number) const
{
    return findIndexed(m_parts.endpoints, m_endpointByNumber, number);
}

const Organisation *Catalogue::organisationByKey(std::string_view digest) const
{
    // Clients cannot control the digest of the key that they send; the final comparison takes constant time all the same.
    const auto entry = m_organisationByKey.find(std::string(digest));
    const bool equal = entry != m_organisationByKey.end() && Base::equalInConstantTime(entry->first, digest);
    return equal ? &m_parts.organisations[entry->second] : nullptr;
}

std::uint32_t Catalogue::versionNumber(std::string_view version) const
{
    const auto separated = m_parts.separatedVersions.find(version);
    return separated == m_parts.separatedVersions.end() ? softwareVersionNumber(version) : separated->second;
}

bool Catalogue::restrictsEndpoints(const EndpointCriteria &criteria) const
{
    const RequestClass *requestClass = classByNumber(criteria.requestClass);
    const Organisation *organisation = organisationByNumber(criteria.organisation);
    return criteria.softwareVersion != 0 || (requestClass != nullptr && !requestClass->regions.empty())
        || (organisation != nullptr && !organisation->regions.empty());
}

bool Catalogue::mayServe(const Endpoint &endpoint, const EndpointCriteria &criteria) const
{
    if (criteria.softwareVersion != 0 && versionNumber(endpoint.softwareVersion) != criteria.softwareVersion) {
        return false;
    }
    const auto allows = [&endpoint](const std::vector<std::string> &regions) {
        return regions.empty() || std::ranges::find(regions, endpoint.region) != regions.end();
    };
    const RequestClass *requestClass = classByNumber(criteria.requestClass);
    const Organisation *organisation = organisationByNumber(criteria.organisation);
    return (requestClass == nullptr || allows(requestClass->regions))
        && (organisation == nullptr || allows(organisation->regions));
}

} // namespace Yokepond::Configuration
