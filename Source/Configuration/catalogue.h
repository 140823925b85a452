// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The configuration as typed values for routing and scheduling. A catalogue is immutable; each revision has its own.

#pragma once

#include "Base/address.h"
#include "Base/names.h"
#include "Base/time.h"
#include "Configuration/namenumbers.h"
#include "Configuration/objects.h"
#include "Configuration/urgency.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Yokepond::Configuration {

enum class PoolKind { Engine, Service };

/// A class of requests: where they are served, and in what time.
struct RequestClass
{
    std::uint32_t number = 0;
    std::string name;
    std::string tier;
    int rank = 0; ///< rank of the tier; 1 is the highest
    std::uint32_t pool = 0;
    std::string poolName; ///< decides which pool it is; the number stands for it within this catalogue
    bool repeatable = true; ///< a request may be sent again even if an endpoint may have executed it
    Base::Duration firstToken {}; ///< target for the time to first token
    Base::Duration tokenGap {}; ///< target for the time between tokens
    Base::Duration deadline {};
    Base::Duration starvationBound {}; ///< queueing time after which Policies::guaranteedPercent applies
    bool streams = false; ///< every response is a stream that begins when its run begins
    bool resumable = false; ///< an interrupted stream may continue at another endpoint after its last event
    bool deadlineEndsRun = false; ///< a run ends at the deadline; if false, the deadline only limits when it may start
    std::uint32_t maxRuns = 8; ///< maximum number of endpoints that one request may be sent to
    std::vector<std::string> regions; ///< the only regions whose endpoints may serve its requests; empty: all
};

struct Organisation
{
    std::uint32_t number = 0;
    std::string name;
    std::vector<std::string> keyDigests; ///< SHA-256 of each key in hexadecimal digits; each key identifies the organisation
    std::uint32_t weight = 1; ///< share of the endpoints relative to other organisations
    std::string defaultClass; ///< class of requests that do not name one
    std::optional<int> rank; ///< goes before the rank of the tier, see Urgency; 1 is the highest
    std::vector<std::string> regions; ///< the only regions whose endpoints may serve its requests; empty: all
};

/// Price of one second of an endpoint in one data centre, as a fraction of the platform's usual price.
struct DataCentrePrice
{
    std::string dataCentre;
    double price = 1.0;

    bool operator==(const DataCentrePrice &) const = default;
};

/// Limits within which the number of a pool's endpoints can be set on the platform, and the prices of endpoints.
struct ScalingParameters
{
    std::uint32_t minCount = 0; ///< per data centre, regular and preemptible endpoints together
    std::uint32_t maxCount = 0; ///< per data centre, regular and preemptible endpoints together
    Base::Duration startupTime {}; ///< time until a new endpoint serves requests
    double preemptiblePrice = 1.0; ///< price of a preemptible endpoint as a fraction of a regular one's
    std::vector<DataCentrePrice> prices;

    bool operator==(const ScalingParameters &) const = default;
};

/// Properties that all endpoints of a pool have, with a platform that does not tell them of each.
struct EndpointDefaults
{
    std::uint64_t kvCacheTokens = 0; ///< see Endpoint
    double transferTokensPerMs = 0; ///< see Endpoint
    double coldPerSecond = 0; ///< see ColdPeriod

    bool operator==(const EndpointDefaults &) const = default;
};

struct Pool
{
    std::uint32_t number = 0;
    std::string name;
    PoolKind kind = PoolKind::Engine;
    std::string model;
    EndpointDefaults endpointDefaults;
    std::optional<ScalingParameters> scaling; ///< nothing if yokepond does not set the number of endpoints

    bool operator==(const Pool &) const = default;
};

/// A period in which an endpoint accepts requests only at a low rate, usually after its start.
struct ColdPeriod
{
    Base::Instant until {};
    double perSecond = 0; ///< requests per second from all hosts together; 0 if the endpoint needs no such limit

    bool isActive(Base::Instant now) const
    {
        return perSecond > 0 && now < until;
    }

    bool operator==(const ColdPeriod &) const = default;
};

struct Endpoint
{
    std::uint32_t number = 0;
    std::string name; ///< some platforms give an endpoint a new name each time it starts
    std::int64_t born = 0; ///< differs between processes of one name; 0 if the platform does not tell
    std::uint32_t pool = 0; ///< 0 if the catalogue has no pool of this name
    std::string poolName;
    Base::Address address;
    std::string dataCentre;
    std::string region; ///< region of the data centre; empty if it is not configured
    std::uint32_t slots = 0;
    bool checksFence = false; ///< verifies the fencing token that it gets with each request
    bool drained = false; ///< gets no new requests, by its own record
    bool evacuated = false; ///< gets no new requests, because its data centre is evacuated
    std::uint64_t kvCacheTokens = 0; ///< capacity for prompts and responses in progress; 0 if unknown
    double transferTokensPerMs = 0; ///< rate at which it fetches a cached prompt from another engine; 0 if it cannot
    ColdPeriod cold;
    bool preemptible = false; ///< the platform may withdraw all preemptible endpoints of a data centre together
    std::string softwareVersion; ///< version of the program that it runs, not of its model's weights; empty if not known
    std::uint64_t recordVersion = 0; ///< version at which its record changed last; 0 if it has none

    /// Returns whether it gets new requests.
    bool acceptsRequests() const
    {
        return !drained && !evacuated;
    }

    bool operator==(const Endpoint &) const = default;
};

/// An endpoint record that cannot be used, and the reason.
struct RejectedRecord
{
    std::string key;
    std::string reason;

    bool operator==(const RejectedRecord &) const = default;
};

/// One of the classes that the requests of a route are divided among. The classes of a route differ in their pool.
struct RouteShare
{
    std::uint32_t requestClass = 0;
    std::uint32_t weight = 1; ///< relative to the weights of the route's other shares
    std::string className; ///< decides which class it is; the number stands for it within this catalogue
};

/// Matches requests to @ref host whose path begins with @ref pathPrefix. If several routes match, the longest prefix wins.
struct Route
{
    std::string name;
    std::string host; ///< value of the Host header in lower case, without a port
    std::string pathPrefix;
    std::vector<RouteShare> shares; ///< never empty
    bool isPublic = false; ///< requests need no key
};

/// The order in which a dispatcher serves the queued requests for endpoints.
enum class OrderPolicy { Tiered, Fifo };
/// How a dispatcher chooses the endpoint for a request.
enum class PlacementPolicy { Affinity, LeastLoaded, RoundRobin, SoonestFirstToken };
/// How the window of an endpoint, its concurrency limit, is set.
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

/// Values of the objects of kind `setting`, with defaults. An ask is a host's request to a dispatcher for an endpoint, a grant is
/// the reply that assigns one, and a shard is the group of endpoints that one dispatcher schedules.
struct Policies
{
    OrderPolicy order = OrderPolicy::Tiered;
    PlacementPolicy placement = PlacementPolicy::Affinity;
    WindowPolicy window = WindowPolicy::Adaptive;
    bool ejectSlow = true; ///< take endpoints out of use that are much slower than the median of their shard
    bool hopelessShedding = true; ///< refuse asks at once that can no longer start before their deadline
    bool refuseLate = false; ///< refuse asks at once that are estimated to miss their target
    bool sharePrefills = true; ///< let asks wait while an engine prefills a prefix of their prompt (SoonestFirstToken)
    bool streamEngines = true; ///< set engines aside for tight streams while these end late (SoonestFirstToken)
    std::uint32_t queueLimit = 4096; ///< maximum number of queued asks of one shard
    std::uint32_t shardSize = 0; ///< endpoints per shard; 0 for as many as the largest hosts can dispatch
    std::uint32_t guaranteedPercent = 5; ///< percentage of grants that are reserved for classes past their starvation bound
    std::uint32_t retryPercent = 10; ///< retries in one pool as a percentage of first attempts
    double initialRetryBudget = 3.0; ///< retries per pool and host before any first attempt has added to the budget
    double maxRetryBudget = 50.0; ///< upper limit of the retries per pool that a host may save up
    bool retryBudgetIsShared = false; ///< the budget and its limit are divided among all hosts, not given to each
    /// Number of endpoints that may crash while they run requests with the same content, recognised by the hash called work.
    /// After that no host runs such requests. 0 for no limit.
    std::uint32_t maxCrashes = 3;
    bool quarantineParts = false; ///< quarantine parts of prompts under which that many endpoints crashed, too
    /// Time for which an endpoint gets no requests after it has announced that it will shut down.
    Base::Duration leavingTimeout = std::chrono::seconds(60);
    bool sameVersionStreams = false; ///< a stream goes on only at endpoints of the software version that began it
    /// Time after its beginning within which a caller may take a stream up, if no caller has given more. A new process has not
    /// heard of the callers whose streams it may get.
    Base::Duration longestTakenUpStream {};
    bool wholePoolShards = false; ///< shards are formed from the whole pool, not separately for each data centre
};

/// Everything that a catalogue consists of.
struct CatalogueParts
{
    std::uint64_t revision = 0;
    std::uint64_t configurationVersion = 0; ///< version of the platform's configuration; 0 if it is not a record
    Policies policies;
    std::vector<RequestClass> classes;
    std::vector<Organisation> organisations;
    std::vector<Pool> pools;
    std::vector<Endpoint> endpoints;
    std::vector<Route> routes;
    std::vector<RejectedRecord> rejected; ///< endpoint records that cannot be used
    std::set<std::string> evacuatedDataCentres; ///< their endpoints get no new requests
    std::map<std::string, std::string> regions; ///< region of each data centre
    std::vector<NameCollision> nameCollisions; ///< objects whose numbers collided and are separate now; see identities.h
    std::map<std::string, std::uint32_t, std::less<>>
        separatedVersions; ///< software versions whose numbers collided, and their separate numbers
};

/// Returns a number for a version of the endpoints' software, which is the same at all hosts and never 0. The empty text, for
/// endpoints whose version is not known, has a number too. Within a catalogue, see Catalogue::versionNumber().
std::uint32_t softwareVersionNumber(std::string_view version);

/// What decides which endpoints may serve a request, besides its pool.
struct EndpointCriteria
{
    std::uint32_t requestClass = 0; ///< number of the class
    std::uint32_t organisation = 0; ///< number of the organisation
    std::uint32_t softwareVersion = 0; ///< see Catalogue::versionNumber(); 0 if any will do
};

/// A setting that operators can create: its name and the schema of its value.
struct SettingSchema
{
    std::string_view name;
    FieldSchema value;
};

/// Returns the schemas of all settings.
std::span<const SettingSchema> settingSchemas();

/// The typed configuration of one revision, with look-ups.
class Catalogue
{
public:
    /// Builds a catalogue from @p objects, which were validated when they were accepted.
    static std::shared_ptr<const Catalogue> build(const Objects &objects);

    /// Builds a catalogue from parts that come from another source of configuration.
    static std::shared_ptr<const Catalogue> assemble(CatalogueParts parts);

    std::uint64_t revision() const;
    const Policies &policies() const;

    /// Returns what the catalogue was built from.
    const CatalogueParts &parts() const;

    const std::vector<RequestClass> &classes() const;
    const std::vector<Organisation> &organisations() const;
    const std::vector<Pool> &pools() const;
    const std::vector<Endpoint> &endpoints() const;
    const std::vector<Route> &routes() const;

    /// Returns the data centres whose endpoints get no new requests, and whether @p dataCentre is one of them.
    const std::set<std::string> &evacuatedDataCentres() const;
    bool isEvacuated(const std::string &dataCentre) const;

    /// Returns the route of @p host with the longest prefix that @p path begins with, or null.
    const Route *routeFor(std::string_view host, std::string_view path) const;

    /// These functions return null if there is no such object.
    const RequestClass *classByName(std::string_view name) const;
    const RequestClass *classByNumber(std::uint32_t number) const;
    const Organisation *organisationByNumber(std::uint32_t number) const;
    const Organisation *organisationByName(std::string_view name) const;
    const Pool *poolByName(std::string_view name) const;
    const Pool *poolByNumber(std::uint32_t number) const;
    const Endpoint *endpointByNumber(std::uint32_t number) const;

    /// Returns the number of a software version, which no other version of the endpoints has.
    std::uint32_t versionNumber(std::string_view version) const;

    /// Returns whether some endpoints of a pool may not serve a request with @p criteria: its class or its organisation names
    /// regions in which alone it is served, or it needs a software version.
    bool restrictsEndpoints(const EndpointCriteria &criteria) const;

    /// Returns whether @p endpoint is in a region that both the class and the organisation of @p criteria allow, and has the
    /// software version. An endpoint whose region is not configured is in none.
    bool mayServe(const Endpoint &endpoint, const EndpointCriteria &criteria) const;

    /// Returns the urgencies that the requests of the pool with number @p pool can have; none if it has no classes.
    const UrgencyScale &urgencyScale(std::uint32_t pool) const;

    /// Returns the organisation that has a key with @p digest, or null. The time of the comparison does not depend on how much of
    /// the digest matches.
    const Organisation *organisationByKey(std::string_view digest) const;

private:
    CatalogueParts m_parts;
    std::unordered_map<std::uint32_t, std::size_t> m_classByNumber;
    std::unordered_map<std::uint32_t, std::size_t> m_organisationByNumber;
    std::unordered_map<std::uint32_t, std::size_t> m_endpointByNumber;
    std::unordered_map<std::string, std::size_t> m_organisationByKey;
    std::unordered_map<std::uint32_t, UrgencyScale> m_urgencyScales; ///< by the number of the pool
};

} // namespace Yokepond::Configuration
