// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The configuration in the typed form that decisions read. Immutable; each revision has its own.

#pragma once

#include "Base/address.h"
#include "Base/names.h"
#include "Base/time.h"
#include "Configuration/objects.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Yokepond::Configuration {

enum class PoolKind { Engine, Service };

struct RequestClass
{
    std::uint32_t number = 0;
    std::string name;
    std::string tier;
    int rank = 0; ///< of the tier; 1 is the highest
    std::uint32_t pool = 0;
    bool repeatable = true;
    Base::Duration firstToken {}; ///< target
    Base::Duration tokenGap {}; ///< target
    Base::Duration deadline {};
    Base::Duration starvationBound {};
    bool streams = false; ///< all its answers are streams, which begin with their runs
    bool resumable = false; ///< a stream that broke off may go on at another endpoint from its last event
    bool deadlineEndsRun = false; ///< else the deadline only bounds when a run may start
    std::uint32_t maxRuns = 8; ///< endpoints that one request may be sent to
};

struct Organisation
{
    std::uint32_t number = 0;
    std::string name;
    std::vector<std::string> keyDigests; ///< SHA-256 in hexadecimal digits; any of them names the organisation
    std::uint32_t weight = 1;
    std::string defaultClass;
    std::optional<int> rank; ///< its requests have this rank, whatever their class's tier
};

/// What a second of an endpoint costs in one data centre, as a part of the platform's usual price.
struct DataCentrePrice
{
    std::string dataCentre;
    double price = 1.0;

    bool operator==(const DataCentrePrice &) const = default;
};

/// How the platform lets the number of a pool's endpoints be set, and what they cost.
struct ScalingParameters
{
    std::uint32_t minCount = 0; ///< endpoints in each data centre, of both kinds together
    std::uint32_t maxCount = 0;
    Base::Duration startupTime {}; ///< until a new one serves
    double preemptiblePrice = 1.0; ///< of one that may be withdrawn, as a part of the others'
    std::vector<DataCentrePrice> prices;

    bool operator==(const ScalingParameters &) const = default;
};

struct Pool
{
    std::uint32_t number = 0;
    std::string name;
    PoolKind kind = PoolKind::Engine;
    std::string model;
    std::optional<ScalingParameters> scaling; ///< none: the number is not ours to set
};

struct Endpoint
{
    std::uint32_t number = 0;
    std::string name; ///< new with each of its starts, where the platform says so
    std::uint32_t pool = 0;
    Base::Address address;
    std::string dataCentre;
    std::uint32_t slots = 0;
    bool checksFence = false;
    bool drained = false;
    std::uint64_t kvCacheTokens = 0; ///< room for prompts and answers under way, 0 if not known
    double transferTokensPerMs = 0; ///< of a kept prompt that it takes from another engine; 0: it cannot
    bool preemptible = false; ///< the platform may withdraw it, with all others of its kind in its data centre
};

/// A record of an endpoint that cannot be used.
struct RejectedRecord
{
    std::string key;
    std::string reason;

    bool operator==(const RejectedRecord &) const = default;
};

/// One of the classes a route's requests may be of, by the pool that is to serve them.
struct RouteShare
{
    std::uint32_t requestClass = 0;
    std::uint32_t weight = 1; ///< part of the route's requests, against the other shares' weights
};

/// Requests to @p host whose path begins with @p pathPrefix. Of several that fit, the one with the longest prefix counts.
struct Route
{
    std::string name;
    std::string host; ///< as the Host header names it, lower case, without a port
    std::string pathPrefix;
    std::vector<RouteShare> shares; ///< never empty
    bool isPublic = false; ///< needs no key
};

enum class OrderPolicy { Tiered, Fifo };
enum class PlacementPolicy { Affinity, LeastLoaded, RoundRobin, SoonestFirstToken };
enum class WindowPolicy { Adaptive, Fixed };

inline constexpr Base::NameTable<OrderPolicy, 2> orderNames = {{{OrderPolicy::Tiered, "tiered"}, {OrderPolicy::Fifo, "fifo"}}};
inline constexpr Base::NameTable<PlacementPolicy, 4> placementNames = {{
    {PlacementPolicy::Affinity, "affinity"},
    {PlacementPolicy::LeastLoaded, "least-loaded"},
    {PlacementPolicy::RoundRobin, "round-robin"},
    {PlacementPolicy::SoonestFirstToken, "soonest-first-token"},
}};
inline constexpr Base::NameTable<WindowPolicy, 2> windowNames
    = {{{WindowPolicy::Adaptive, "adaptive"}, {WindowPolicy::Fixed, "fixed"}}};

/// The objects of kind `setting`, with the defaults for those not there.
struct Policies
{
    OrderPolicy order = OrderPolicy::Tiered;
    PlacementPolicy placement = PlacementPolicy::Affinity;
    WindowPolicy window = WindowPolicy::Adaptive;
    bool ejectSlow = true;
    bool hopelessShedding = true; ///< refuse at once what can no longer start before its deadline
    bool refuseLate = false; ///< refuse at once what cannot meet its target by the placement's expectation
    std::uint32_t queueLimit = 4096; ///< asks of one shard
    std::uint32_t shardSize = 0; ///< endpoints of one shard; 0: as many as the largest hosts can dispatch
    std::uint32_t guaranteedPercent = 5; ///< of grants, for classes past their starvation bound
    std::uint32_t retryPercent = 10; ///< of first tries, for retries in one pool
    double initialRetryBudget = 3.0; ///< retries in one pool that each host may make before first tries have earned any
    double maxRetryBudget = 50.0; ///< retries in one pool that each host may save up
    bool retryBudgetIsShared = false; ///< the two numbers above are for all hosts together, not for each
    std::uint32_t maxCrashes = 3; ///< endpoints that may end under one work before no host runs it; 0: no limit
    Base::Duration leavingTimeout = std::chrono::seconds(60); ///< for which an endpoint that has said that it leaves gets nothing
    bool wholePoolShards = false; ///< shards do not stop at the borders of data centres
};

/// All that a catalogue is made of.
struct CatalogueParts
{
    std::uint64_t revision = 0;
    Policies policies;
    std::vector<RequestClass> classes;
    std::vector<Organisation> organisations;
    std::vector<Pool> pools;
    std::vector<Endpoint> endpoints;
    std::vector<Route> routes;
    std::vector<RejectedRecord> rejected; ///< records that are no endpoints
};

/// One setting that operators can create: its name, and what its value must be.
struct SettingSchema
{
    std::string_view name;
    FieldSchema value;
};

/// All settings that there are.
std::span<const SettingSchema> settingSchemas();

class Catalogue
{
public:
    /// Builds the typed form of @p objects, which have been checked when they were accepted.
    static std::shared_ptr<const Catalogue> build(const Objects &objects);

    /// Builds the typed form from parts that another source of configuration has made.
    static std::shared_ptr<const Catalogue> assemble(CatalogueParts parts);

    std::uint64_t revision() const;
    const Policies &policies() const;

    const std::vector<RequestClass> &classes() const;
    const std::vector<Organisation> &organisations() const;
    const std::vector<Pool> &pools() const;
    const std::vector<Endpoint> &endpoints() const;
    const std::vector<Route> &routes() const;

    /// The route with the longest prefix that begins @p path on @p host, or null.
    const Route *routeFor(std::string_view host, std::string_view path) const;

    /// Each of these returns null if there is no such object.
    const RequestClass *classByName(std::string_view name) const;
    const RequestClass *classByNumber(std::uint32_t number) const;
    const Organisation *organisationByNumber(std::uint32_t number) const;
    const Pool *poolByName(std::string_view name) const;
    const Pool *poolByNumber(std::uint32_t number) const;
    const Endpoint *endpointByNumber(std::uint32_t number) const;

    /// The organisation whose key has @p digest. Compares in a time that does not depend on how much of the digest agrees.
    const Organisation *organisationByKey(std::string_view digest) const;

private:
    CatalogueParts m_parts;
    std::unordered_map<std::uint32_t, std::size_t> m_organisationByNumber;
    std::unordered_map<std::uint32_t, std::size_t> m_endpointByNumber;
    std::unordered_map<std::string, std::size_t> m_organisationByKey;
};

} // namespace Yokepond::Configuration
