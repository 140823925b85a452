// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/shard.h"

#include "Base/hash.h"
#include "Base/invariant.h"
#include "Base/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <ranges>

namespace Yokepond::Dispatch {

namespace {

using Base::Duration;
using Base::Instant;
using Configuration::Catalogue;
using Configuration::Endpoint;
using Configuration::Policies;
using Configuration::RequestClass;
using Peer::RefusalReason;
using Peer::RunResult;

/// Factor on the median first-token time, and allowance for network delays, in the time to the first token that the queue
/// expects. The queue prefers asks that can still be on time with it.
constexpr double firstTokenMargin = 1.5;
constexpr Duration expectedNetworkDelay = std::chrono::milliseconds(20);
/// A home must start the run within this time after the grant.
constexpr Duration startTimeout = std::chrono::seconds(2);
/// After a takeover the new dispatcher waits this long for the homes' reports of running permits. Meanwhile it uses half of each
/// window.
constexpr Duration takeoverPeriod = std::chrono::milliseconds(300);
/// For this time after an endpoint has come to this dispatcher, half of its advertised rate limit is used. Its previous
/// dispatcher may still grant runs up to the limit until all hosts have the new assignment, and its last grants arrive even
/// later.
constexpr Duration sharedRatePeriod = std::chrono::seconds(4);
/// Period over which the rate of grants is measured, and the weight of the latest period in its moving average.
constexpr Duration ratePeriod = std::chrono::seconds(1);
constexpr double latestRateWeight = 0.4;
constexpr Duration minRetryAfter = std::chrono::milliseconds(500);
/// Margin added to the retry time of an ask that is refused as late. Without it the next attempt would find the same state.
constexpr Duration lateRetryMargin = std::chrono::milliseconds(100);
constexpr Duration maxRetryAfter = std::chrono::seconds(30);
/// Asks that were refused because of cooldowns are retried at random times within this period.
constexpr Duration cooldownRetryJitter = std::chrono::milliseconds(500);
/// A home's report that lacks a permit drops it only if the permit is older than this, since the grant may still be on its way.
constexpr Duration reportGrace = std::chrono::seconds(3);
constexpr Duration maxEjection = std::chrono::seconds(30);
constexpr Duration maxEjectionOfLastEndpoint = std::chrono::seconds(2);
/// Limits on the asks that are evaluated and skipped because no endpoint can take them. The limit is low for each ask and
/// release, because hundreds of them arrive in a second and each evaluation costs about 0.5 us per endpoint. It is higher for a
/// tick, so that asks further back in the queue find the engine that keeps their prompts. With a limit of 24 for each event, the
/// dispatcher of 90 engines used up its processor time on evaluations in a burst of long prompts, and many requests were late.
constexpr std::size_t maxSkippedPerEvent = 3;
constexpr std::size_t maxSkippedPerTick = 64;
/// Asks that are skipped because no endpoint with a free slot is for them, for each ask that is evaluated and skipped. They need
/// no evaluation. Without a limit of their own, a full region would hold up requests for the others.
constexpr std::size_t skippedWithoutEvaluation = 16;
constexpr std::size_t maxEjectedDivisor = 3; ///< at most a third of the endpoints are ejected because the others are better
/// Period with which the placement adjusts to the load. It is short beside the time in which the load changes.
constexpr Duration adjustmentPeriod = std::chrono::milliseconds(200);
/// A prefill that takes longer than expected is looked at again after this time.
constexpr Duration minHold = std::chrono::milliseconds(20);
/// A permit is kept this long after the deadline of its request, since the release may still be on its way.
constexpr Duration expiryGrace = std::chrono::milliseconds(500);

/// Returns the name that the home uses for the request in its own log.
std::string requestName(const Home &home, const AskKey &key)
{
    return Peer::requestName(home, key.id.request);
}

/// Returns why none of @p endpoints, pairs of a number and a state, takes work; nothing if one does.
template<std::ranges::input_range Endpoints>
std::optional<RefusalReason> reasonForNone(Endpoints &&endpoints)
{
    if (std::ranges::none_of(endpoints, [](const auto &entry) { return entry.second.isUsable(); })) {
        return RefusalReason::NoEndpoint;
    }
    const bool allDown = std::ranges::none_of(endpoints, [](const auto &entry) { return entry.second.acceptsWork(); });
    return allDown ? std::optional(RefusalReason::EndpointsDown) : std::nullopt;
}

} // namespace

Shard::Shard(const ShardInfo &info, std::shared_ptr<const Catalogue> catalogue, Instant now)
    : m_info(info)
    , m_catalogue(std::move(catalogue))
    , m_takeoverAt(now)
    , m_queue(m_catalogue->policies())
    , m_periodBegan(now)
{
    buildPolicies();
    configureEndpoints(now);
}

Placement Shard::makePlacement(const Policies &policies)
{
    switch (policies.placement) {
    case Configuration::PlacementPolicy::RoundRobin:
        return RoundRobin();
    case Configuration::PlacementPolicy::LeastLoaded:
        return LeastLoaded();
    case Configuration::PlacementPolicy::Affinity:
        return PrefixAffinity();
    case Configuration::PlacementPolicy::SoonestFirstToken:
        break;
    }
    return SoonestFirstToken();
}

Window Shard::makeWindow(std::uint32_t slots) const
{
    if (m_catalogue->policies().window == Configuration::WindowPolicy::Fixed) {
        return FixedWindow(slots);
    }
    return AdaptiveWindow(slots);
}

void Shard::buildPolicies()
{
    std::vector<QueuedAsk> waiting;
    for (const QueuedAsk *ask : queuedAsks()) {
        waiting.push_back(*ask);
    }
    m_queue = AskQueue(m_catalogue->policies());
    if (m_catalogue->policies().placement != m_placementPolicy || m_endpoints.empty()) {
        // The placement keeps what it has learned unless the policy itself changes.
        m_placementPolicy = m_catalogue->policies().placement;
        m_placement = makePlacement(m_catalogue->policies());
        for (Permit &permit : m_permits | std::views::values) {
            permit.placed = {};
        }
    }
    if (auto *placement = std::get_if<SoonestFirstToken>(&m_placement)) {
        placement->setOptions({m_catalogue->policies().sharePrefills, m_catalogue->policies().streamEngines});
    }
    for (QueuedAsk &ask : waiting) {
        // Asks of a class that has been deleted keep their last parameters.
        if (const RequestClass *requestClass = m_catalogue->classByNumber(ask.ask.requestClass)) {
            ask.parameters = poolParameters().forClass(*requestClass, ask.ask.rank);
        }
        ask.restricted = m_catalogue->restrictsEndpoints(ask.criteria());
        enqueue(ask);
    }
}

void Shard::configureEndpoints(Instant now)
{
    std::erase_if(m_endpoints, [&](const auto &entry) {
        const bool removed
            = entry.second.running == 0 && std::ranges::find(m_info.endpoints, entry.first) == m_info.endpoints.end();
        if (removed) {
            std::visit([&](auto &placement) { placement.removeEndpoint(entry.first); }, m_placement);
        }
        return removed;
    });
    for (auto &[number, state] : m_endpoints) {
        // An endpoint that left the shard while runs are active gets no new ones.
        state.drained = std::ranges::find(m_info.endpoints, number) == m_info.endpoints.end();
    }
    for (const std::uint32_t number : m_info.endpoints) {
        const Endpoint *endpoint = m_catalogue->endpointByNumber(number);
        const auto [entry, added] = m_endpoints.try_emplace(number);
        EndpointState &state = entry->second;
        if (added) {
            state.rateLimiter = Rate::RateLimiter(now + sharedRatePeriod);
        }
        if (state.slots != endpoint->slots) {
            state.slots = endpoint->slots;
            state.window = makeWindow(endpoint->slots);
        }
        state.drained = !endpoint->acceptsRequests();
        if (state.rateLimiter.setColdPeriod(now, endpoint->cold)) {
            Base::log(Base::LogLevel::Info, Base::LogEvent::EndpointCold,
                      {{"endpoint", number},
                       {"for-ms", std::max(0.0, Base::milliseconds(endpoint->cold.until - now))},
                       {"per-second", endpoint->cold.perSecond}});
        }
        state.kvCacheTokens = endpoint->kvCacheTokens;
        state.transferTokensPerMs = endpoint->transferTokensPerMs;
    }
    markUnusableUnreliable();
}

/// A leaving endpoint responds only to the runs that it already has, so other engines cannot fetch prompts from it. The same is
/// assumed of drained and replaced endpoints.
void Shard::markUnusableUnreliable()
{
    for (const auto &entry : m_endpoints) {
        const std::uint32_t endpoint = entry.first;
        if (!entry.second.isUsable()) {
            std::visit([endpoint](auto &placement) { placement.markUnreliable(endpoint); }, m_placement);
        }
    }
}

/// Stops grants for an endpoint whose address belongs to another engine now. The platform lists an engine for some seconds after
/// it ended. An engine that has taken over its address rejects the requests meant for the old one at once. The old endpoint then
/// seems idle and attracts all new requests: 38 crashed engines received 1,103 of 26,700 requests in 14 s, up to 90 each (large
/// deployment, a fifth and then a quarter of 320 engines crashing in a burst).
void Shard::markReplaced(std::uint32_t endpoint)
{
    const auto entry = m_endpoints.find(endpoint);
    if (entry == m_endpoints.end() || entry->second.replaced) {
        return;
    }
    entry->second.replaced = true;
    Base::log(Base::LogLevel::Warning, Base::LogEvent::EndpointReplaced,
              {{"endpoint", endpoint}, {"permits", entry->second.running}});
    markUnusableUnreliable();
    refuseIfNoEndpoint();
}

bool Shard::isConfigured(const ShardInfo &info, const std::shared_ptr<const Catalogue> &catalogue) const
{
    return m_catalogue == catalogue && m_info == info;
}

void Shard::configure(const ShardInfo &info, std::shared_ptr<const Catalogue> catalogue, Instant now)
{
    const bool changed = catalogue->revision() != m_catalogue->revision();
    m_info = info;
    m_catalogue = std::move(catalogue);
    if (changed) {
        buildPolicies();
    }
    configureEndpoints(now);
    refuseIfNoEndpoint();
    dispatchQueued(now, maxSkippedPerEvent);
}

PoolParameters Shard::poolParameters() const
{
    return {m_catalogue, m_info.pool};
}

void Shard::enqueue(const QueuedAsk &ask)
{
    m_queue.insert(ask);
}

void Shard::ask(Instant now, const Home &home, const Peer::Ask &message)
{
    const AskKey key {home.incarnation, message.id};
    if (const auto permit = m_permits.find(key); permit != m_permits.end()) {
        // The home repeats an ask when it may not have received the reply.
        m_replies.push_back({home, permit->second.grant});
        return;
    }
    if (m_queue.find(key) != nullptr) {
        m_replies.push_back({home, Peer::Queued {message.id}});
        return;
    }
    ++m_counters.asked;
    const RequestClass *requestClass = m_catalogue->classByNumber(message.requestClass);
    const Configuration::Organisation *organisation = m_catalogue->organisationByNumber(message.organisation);
    QueuedAsk queued {key,
                      home,
                      message,
                      {},
                      organisation == nullptr ? 1 : organisation->weight,
                      now,
                      now - message.age,
                      now + message.remaining};
    if (requestClass == nullptr) {
        refuse(queued, RefusalReason::UnknownClass);
        return;
    }
    queued.parameters = poolParameters().forClass(*requestClass, message.rank);
    queued.restricted = m_catalogue->restrictsEndpoints(queued.criteria());
    if (const auto reason = reasonForNoEndpoint(queued)) {
        refuse(queued, *reason);
        return;
    }
    if (willMissDeadline(now, queued)) {
        refuse(queued, RefusalReason::DeadlinePassed);
        return;
    }
    m_lateRefusals.earn(queued.parameters.number);
    if (const WaitEstimate estimate = estimateFor(now, queued); tryLateRefusal(queued, estimate)) {
        refuse(queued, RefusalReason::TooLate, retryAfterLate(queued, estimate));
        return;
    }
    enqueue(queued);
    dispatchQueued(now, maxSkippedPerEvent);
    shedOverLimit(queued);
    if (m_queue.find(key) != nullptr) {
        m_replies.push_back({home, Peer::Queued {message.id}});
    }
}

WaitEstimate Shard::estimateFor(Instant now, const QueuedAsk &ask) const
{
    if (ask.ask.softwareVersion != 0) {
        return estimateAtVersion(now, ask);
    }
    WaitEstimates estimates(now, m_endpoints, m_placement, m_catalogue->policies().refuseLate);
    return estimates.forAsk(ask, estimates.needQueueAhead() ? aheadOf(ask) : QueueAhead {});
}

void Shard::shedOverLimit(const QueuedAsk &newAsk)
{
    if (queued() <= m_catalogue->policies().queueLimit) {
        return;
    }
    const AskKey evictionCandidate = m_queue.evictionCandidate(newAsk);
    if (auto shed = m_queue.remove(evictionCandidate)) {
        ++m_counters.shed;
        refuse(*shed, RefusalReason::QueueFull);
    }
}

bool Shard::willMissDeadline(Instant now, const QueuedAsk &ask) const
{
    if (ask.deadline <= now) {
        return true;
    }
    if (!m_catalogue->policies().hopelessShedding || !m_saturated || m_grantsPerSecond <= 0) {
        return false;
    }
    const std::size_t ahead = m_queue.countAtLeastAsUrgent(ask.parameters.urgency);
    return static_cast<double>(ahead) / m_grantsPerSecond > Base::seconds(ask.deadline - now);
}

/// An ask that cannot start, or whose response cannot end, before its deadline is always refused. One that would only miss its
/// target is refused if the limit of its tier allows it.
bool Shard::tryLateRefusal(const QueuedAsk &ask, const WaitEstimate &estimate)
{
    return estimate.missesDeadline
        || (estimate.lateness > Duration::zero() && m_lateRefusals.spend(ask.parameters, poolParameters().leastUrgent()));
}

/// Counts @p ask among those ahead.
void Shard::addTo(QueueAhead &ahead, const QueuedAsk &ask) const
{
    const bool isHeld = m_queue.isHeld(ask.key);
    ++ahead.asks;
    ahead.prefillTime
        += std::visit([&](const auto &placement) { return placement.expectedPrefillTime(ask, isHeld); }, m_placement);
}

QueueAhead Shard::aheadOf(const QueuedAsk &ask) const
{
    QueueAhead ahead;
    const std::uint32_t version = ask.ask.softwareVersion;
    for (const QueuedAsk *other : queuedAsks()) {
        if (version != 0 && other->ask.softwareVersion != version) {
            continue;
        }
        const bool before = other->parameters.urgency < ask.parameters.urgency
            || (other->parameters.urgency == ask.parameters.urgency && other->arrival <= ask.arrival && other->key != ask.key);
        if (before) {
            addTo(ahead, *other);
        }
    }
    return ahead;
}

/// Refuses asks that have become late while they were queued, so that others can still be on time.
void Shard::refuseLate(Instant now)
{
    if (queued() == 0 || !m_catalogue->policies().refuseLate) {
        return;
    }
    std::vector<const QueuedAsk *> inOrder = queuedAsks();
    std::ranges::sort(inOrder, {}, [](const QueuedAsk *ask) { return std::pair(ask->parameters.urgency, ask->arrival); });
    std::vector<std::pair<QueuedAsk, WaitEstimate>> late;
    WaitEstimates estimates(now, m_endpoints, m_placement, true);
    QueueAhead ahead;
    for (const QueuedAsk *ask : inOrder) {
        const bool atVersion = ask->ask.softwareVersion != 0;
        const WaitEstimate estimate = atVersion ? estimateAtVersion(now, *ask) : estimates.forAsk(*ask, ahead);
        if (estimate.missesDeadline || estimate.lateness > Duration::zero()) {
            late.emplace_back(*ask, estimate);
        }
        if (estimate.missesDeadline) {
            continue;
        }
        addTo(ahead, *ask);
    }
    // Few of a class may be refused as late, and those are to be the least urgent ones.
    std::ranges::stable_sort(late, std::ranges::greater(), [](const auto &entry) { return entry.first.parameters.urgency; });
    for (const auto &[ask, estimate] : late) {
        if (tryLateRefusal(ask, estimate)) {
            m_queue.remove(ask.key);
            refuse(ask, RefusalReason::TooLate, retryAfterLate(ask, estimate));
        }
    }
}

void Shard::refuse(const QueuedAsk &ask, RefusalReason reason)
{
    if (reason == RefusalReason::QueueFull && m_queue.isTiered()) {
        const std::size_t atLeastAsUrgent = m_queue.countAtLeastAsUrgent(ask.parameters.urgency);
        Base::checkInvariant(atLeastAsUrgent == queued(), Base::Invariant::HigherTierKept);
    }
    refuse(ask, reason, retryAfter());
}

void Shard::refuse(const QueuedAsk &ask, RefusalReason reason, Duration retryAfter)
{
    ++m_counters.refused;
    const RequestClass *requestClass = m_catalogue->classByNumber(ask.ask.requestClass);
    Base::log(Base::LogLevel::Info, Base::LogEvent::AskRefused,
              {{"request", requestName(ask.home, ask.key)},
               {"reason", Base::nameOf(Peer::refusalReasonNames, reason)},
               {"class", requestClass == nullptr ? std::string() : requestClass->name},
               {"class-rank", ask.parameters.urgency.tierRank},
               {"rank", ask.parameters.urgency.rank},
               {"waited-ms", Base::milliseconds(ask.received - ask.arrival)},
               {"tokens", ask.ask.promptTokens},
               {"queued", queued()},
               {"permits", m_permits.size()},
               {"retry-after-ms", Base::milliseconds(retryAfter)}});
    m_replies.push_back({ask.home, Peer::Refusal {ask.key.id, reason, std::min(retryAfter, maxRetryAfter), pressure()}});
}

std::uint32_t Shard::pressure() const
{
    constexpr std::size_t thousand = 1000;
    const std::size_t windows = std::max<std::size_t>(1, totalWindow(m_endpoints));
    return static_cast<std::uint32_t>(thousand * (queued() + m_permits.size()) / windows);
}

std::optional<RefusalReason> Shard::reasonForNoEndpoint() const
{
    return reasonForNone(m_endpoints);
}

std::optional<RefusalReason> Shard::reasonForNoEndpoint(const QueuedAsk &ask) const
{
    if (!ask.restricted) {
        return reasonForNoEndpoint();
    }
    return reasonForNone(m_endpoints | std::views::filter([&](const auto &entry) { return mayServe(ask, entry.first); }));
}

/// Returns whether @p endpoint has the region and the software version that the ask needs.
bool Shard::mayServe(const QueuedAsk &ask, std::uint32_t endpoint) const
{
    const Endpoint *configured = m_catalogue->endpointByNumber(endpoint);
    return configured != nullptr && m_catalogue->mayServe(*configured, ask.criteria());
}

/// Estimates the wait of an ask that continues a stream at the endpoints of one software version. Other asks ahead may use other
/// endpoints, so they do not count.
WaitEstimate Shard::estimateAtVersion(Instant now, const QueuedAsk &ask) const
{
    EndpointStates states;
    std::ranges::copy_if(m_endpoints, std::inserter(states, states.end()),
                         [&](const auto &entry) { return mayServe(ask, entry.first); });
    return WaitEstimates(now, states, m_placement, m_catalogue->policies().refuseLate).forAsk(ask, aheadOf(ask));
}

void Shard::refuseIfNoEndpoint()
{
    if (queued() == 0) {
        return;
    }
    const auto reason = reasonForNoEndpoint();
    if (!reason) {
        refuseRestrictedWithoutEndpoint();
        return;
    }
    for (const QueuedAsk *ask : queuedAsks()) {
        refuse(*ask, *reason);
    }
    m_queue = AskQueue(m_catalogue->policies());
}

void Shard::refuseRestrictedWithoutEndpoint()
{
    std::vector<QueuedAsk> restricted;
    for (const QueuedAsk *ask : queuedAsks()) {
        if (ask->restricted) {
            restricted.push_back(*ask);
        }
    }
    for (const QueuedAsk &ask : restricted) {
        if (const auto reason = reasonForNoEndpoint(ask)) {
            m_queue.remove(ask.key);
            refuse(ask, *reason);
        }
    }
}

/// Returns when a late ask may be retried. While all endpoints are in cooldown this is the end of the first cooldown, plus a
/// jitter so that the refused asks do not all return at once.
Duration Shard::retryAfterLate(const QueuedAsk &ask, const WaitEstimate &estimate)
{
    const Duration late = estimate.lateness + lateRetryMargin;
    if (estimate.cooldown == Duration::zero()) {
        return late;
    }
    const auto spread = static_cast<Duration::rep>(Base::hash64(requestName(ask.home, ask.key)) % cooldownRetryJitter.count());
    return std::max(late, estimate.cooldown + lateRetryMargin + Duration(spread));
}

Duration Shard::retryAfter() const
{
    if (m_grantsPerSecond <= 0) {
        return minRetryAfter;
    }
    const double drainSeconds = static_cast<double>(queued()) / m_grantsPerSecond;
    const auto drain = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(drainSeconds));
    return std::clamp(drain, minRetryAfter, maxRetryAfter);
}

void Shard::withdraw(Instant now, const Home &home, const Peer::Withdrawal &withdrawal)
{
    const AskKey key {home.incarnation, withdrawal.id};
    if (m_queue.remove(key)) {
        ++m_counters.withdrawn;
    } else {
        // The grant was sent before the withdrawal arrived; the home will not use it.
        dropPermit(now, key);
    }
    dispatchQueued(now, maxSkippedPerEvent);
}

void Shard::dropPermit(Instant now, const AskKey &key, const ObservedTokens &seen)
{
    const auto permit = m_permits.find(key);
    if (permit == m_permits.end()) {
        return;
    }
    const auto endpoint = m_endpoints.find(permit->second.endpoint);
    std::visit([&](auto &placement) { placement.recordEnd(permit->second.placed, seen, now); }, m_placement);
    m_queue.returnFor(permit->second.placed.prefix);
    m_permits.erase(permit);
    if (endpoint == m_endpoints.end()) {
        return;
    }
    --endpoint->second.running;
    checkPermits();
}

void Shard::release(Instant now, const Home &home, const Peer::Release &release)
{
    const AskKey key {home.incarnation, release.id};
    const auto permit = m_permits.find(key);
    if (permit != m_permits.end()) {
        ++m_counters.released;
        EndpointState &state = m_endpoints[permit->second.endpoint];
        const ClassParameters &parameters = permit->second.parameters;
        const bool failed = release.result == RunResult::Failed || release.result == RunResult::Unreachable;
        const bool errorResponse = release.result == RunResult::ErrorResponse;
        if (errorResponse || release.result == RunResult::Failed || release.result == RunResult::Completed) {
            state.cooldowns.recordAcceptance();
        }
        const Observation observation {release.firstToken,  release.gap, poolParameters().tightestFirstToken(),
                                       parameters.tokenGap, failed,      permit->second.windowWasFull,
                                       errorResponse};
        if (failed || errorResponse) {
            state.lastFailureFrom = home.name;
            state.lastFailure = release.result;
        }
        if (failed || errorResponse || release.tokens > 0) {
            std::visit([&](auto &window) { window.observe(observation, now); }, state.window);
            state.health.observe(observation);
        }
        const std::uint32_t completedEvents = release.result == RunResult::Completed ? release.tokens : 0;
        dropPermit(now, key, {release.firstToken, {release.gap, release.longestGap}, completedEvents});
        ejectUnhealthy(now);
    }
    if (release.result == RunResult::Rejected) {
        recordRejectedRun(now, home, release.endpoint, release.brittle);
    }
    if (release.result == RunResult::EndpointReplaced) {
        markReplaced(release.endpoint);
    }
    dispatchQueued(now, maxSkippedPerEvent);
}

void Shard::prefillEnded(Instant now, const Home &home, const Peer::PrefillEnded &ended)
{
    const auto permit = m_permits.find({home.incarnation, ended.id});
    if (permit == m_permits.end()) {
        return;
    }
    std::visit([&](auto &placement) { placement.recordPrefillEnd(permit->second.placed, now); }, m_placement);
    m_queue.returnFor(permit->second.placed.prefix);
    dispatchQueued(now, maxSkippedPerEvent);
}

void Shard::recordRejectedRun(Instant now, const Home &home, std::uint32_t endpoint, bool brittle)
{
    if (const auto entry = m_endpoints.find(endpoint); entry != m_endpoints.end()) {
        entry->second.cooldowns.recordRejection(now, home.incarnation, brittle);
    }
}

void Shard::report(Instant now, const Home &home, const Peer::RunningReport &report)
{
    std::vector<AskKey> missing;
    for (const auto &[key, permit] : m_permits) {
        const bool listed
            = std::ranges::any_of(report.permits, [&](const Peer::RunningPermit &entry) { return entry.id == key.id; });
        if (permit.home == home && !listed && now - permit.grantedAt > reportGrace) {
            missing.push_back(key);
        }
    }
    std::ranges::for_each(missing, [&](const AskKey &key) { dropPermit(now, key); });
    for (const Peer::RunningPermit &entry : report.permits) {
        const AskKey key {home.incarnation, entry.id};
        const auto endpoint = m_endpoints.find(entry.endpoint);
        if (m_permits.contains(key) || endpoint == m_endpoints.end()) {
            continue;
        }
        const RequestClass *requestClass = m_catalogue->classByNumber(entry.requestClass);
        const ClassParameters parameters
            = requestClass == nullptr ? ClassParameters {} : poolParameters().forClass(*requestClass);
        m_permits.emplace(key, Permit {home, entry.endpoint, parameters, now, {}, false, {}});
        ++endpoint->second.running;
    }
    checkPermits();
    dispatchQueued(now, maxSkippedPerEvent);
}

void Shard::applyEndpointUpdate(Instant now, const Home &home, const Peer::EndpointUpdate &endpointUpdate)
{
    const auto endpoint = m_endpoints.find(endpointUpdate.endpoint);
    if (endpoint != m_endpoints.end()) {
        applyRateUpdate(now, home, endpointUpdate, endpoint->second);
        applyLeavingUpdate(now, home, endpointUpdate, endpoint->second);
        applyCooldownUpdate(now, home, endpointUpdate, endpoint->second);
    }
}

/// Only the dispatcher sees all runs at an endpoint, so it enforces the rate limit of the endpoint. A home sends it the limit in
/// two cases: when a response of the endpoint advertised it, and when a grant shows that the dispatcher has older information.
void Shard::applyRateUpdate(Instant now, const Home &home, const Peer::EndpointUpdate &endpointUpdate, EndpointState &state)
{
    const Rate::RateState before = state.rateLimiter.rate();
    if (state.rateLimiter.applyUpdate(now, Rate::rateStateFrom(endpointUpdate.rate, now))) {
        Rate::logChange(endpointUpdate.endpoint, before, state.rateLimiter.rate(), home.name);
        dispatchQueued(now, maxSkippedPerEvent);
    }
}

void Shard::applyLeavingUpdate(Instant now, const Home &home, const Peer::EndpointUpdate &endpointUpdate, EndpointState &state)
{
    if (endpointUpdate.availability.leavingFor == Duration::zero()) {
        return;
    }
    state.leavingUntil = std::max(state.leavingUntil, now + endpointUpdate.availability.leavingFor);
    if (!std::exchange(state.announcedLeaving, true)) {
        Base::log(Base::LogLevel::Info, Base::LogEvent::EndpointLeaving,
                  {{"endpoint", endpointUpdate.endpoint}, {"source", home.name}});
        markUnusableUnreliable();
        refuseIfNoEndpoint();
    }
}

void Shard::applyCooldownUpdate(Instant now, const Home &home, const Peer::EndpointUpdate &endpointUpdate, EndpointState &state)
{
    if (endpointUpdate.availability.cooldownFor == Duration::zero()) {
        return;
    }
    Base::log(Base::LogLevel::Info, Base::LogEvent::EndpointCooldown,
              {{"endpoint", endpointUpdate.endpoint},
               {"for-ms", Base::milliseconds(endpointUpdate.availability.cooldownFor)},
               {"rested", !state.cooldowns.allows(now, home.incarnation)},
               {"source", home.name}});
    state.cooldowns.startFor(home.incarnation, now + endpointUpdate.availability.cooldownFor);
    m_coolingDown.insert(endpointUpdate.endpoint);
}

void Shard::expireAnnouncements(Instant now)
{
    std::erase_if(m_coolingDown, [&](std::uint32_t number) {
        const auto endpoint = m_endpoints.find(number);
        if (endpoint != m_endpoints.end()) {
            endpoint->second.cooldowns.removeExpired(now);
        }
        return endpoint == m_endpoints.end() || !endpoint->second.cooldowns.restrictsAnyHome(now);
    });
    for (EndpointState &state : m_endpoints | std::views::values) {
        state.announcedLeaving = state.announcedLeaving && now < state.leavingUntil;
    }
}

bool Shard::isAllowed(Instant now, const QueuedAsk &ask, std::uint32_t endpoint) const
{
    if (ask.restricted && !mayServe(ask, endpoint)) {
        return false;
    }
    return !m_coolingDown.contains(endpoint) || m_endpoints.at(endpoint).cooldowns.allows(now, ask.home.incarnation);
}

void Shard::removeHome(Instant now, const std::string &name, std::uint64_t keep)
{
    removeHomes(now, [&](const Home &home) { return home.name == name && home.incarnation != keep; });
}

void Shard::removeProcess(Instant now, const Home &ended)
{
    removeHomes(now, [&](const Home &home) { return home == ended; });
}

void Shard::removeHomes(Instant now, const std::function<bool(const Home &)> &isRemoved)
{
    std::vector<AskKey> keys;
    for (const auto &[key, permit] : m_permits) {
        if (isRemoved(permit.home)) {
            keys.push_back(key);
        }
    }
    std::ranges::for_each(keys, [&](const AskKey &key) { dropPermit(now, key); });
    keys.clear();
    for (const QueuedAsk *ask : queuedAsks()) {
        if (isRemoved(ask->home)) {
            keys.push_back(ask->key);
        }
    }
    for (const AskKey &key : keys) {
        m_queue.remove(key);
        ++m_counters.withdrawn;
    }
    dispatchQueued(now, maxSkippedPerEvent);
}

void Shard::setLeaving(Instant now, const std::vector<std::uint32_t> &endpoints)
{
    for (auto &[number, state] : m_endpoints) {
        state.leaving = std::ranges::find(endpoints, number) != endpoints.end();
    }
    markUnusableUnreliable();
    refuseIfNoEndpoint();
    dispatchQueued(now, maxSkippedPerEvent);
}

void Shard::dropExpiredPermits(Instant now)
{
    std::vector<AskKey> expired;
    for (auto &[key, permit] : m_permits) {
        if (now >= permit.expires) {
            expired.push_back(key);
        }
        if (!permit.accepted && now >= permit.grantedAt + maxRejectionDelay) {
            permit.accepted = true;
            if (const auto endpoint = m_endpoints.find(permit.endpoint); endpoint != m_endpoints.end()) {
                endpoint->second.cooldowns.recordAcceptance();
            }
        }
    }
    for (const AskKey &key : expired) {
        Base::log(Base::LogLevel::Warning, Base::LogEvent::PermitExpired,
                  {{"request", requestName(m_permits.at(key).home, key)}, {"endpoint", m_permits.at(key).endpoint}});
        dropPermit(now, key);
    }
}

void Shard::tick(Instant now)
{
    dropExpiredPermits(now);
    expireAnnouncements(now);
    if (now - m_periodBegan >= ratePeriod) {
        const double rate = static_cast<double>(m_grantsInPeriod) / Base::seconds(now - m_periodBegan);
        m_grantsPerSecond = m_grantsPerSecond <= 0 ? rate : m_grantsPerSecond + latestRateWeight * (rate - m_grantsPerSecond);
        m_grantsInPeriod = 0;
        m_periodBegan = now;
        m_saturated = queued() > 0;
    }
    for (const AskKey &key : m_queue.expired(now)) {
        if (const auto ask = m_queue.remove(key)) {
            refuse(*ask, RefusalReason::DeadlinePassed);
        }
    }
    refuseLate(now);
    for (EndpointState &state : m_endpoints | std::views::values) {
        state.health.tick(now);
    }
    ejectUnhealthy(now);
    if (now - m_lastAdjustment >= adjustmentPeriod) {
        m_lastAdjustment = now;
        std::visit([&](auto &placement) { placement.adjust(usableCandidates(m_endpoints, now), now); }, m_placement);
    }
    dispatchQueued(now, maxSkippedPerTick);
}

void Shard::ejectUnhealthy(Instant now)
{
    const bool ejectSlow = m_catalogue->policies().ejectSlow;
    const auto median = medianInterTokenLatency(m_endpoints);
    const auto medianErrors = medianErrorShare(m_endpoints);
    std::size_t ejected = ejectedCount(m_endpoints);
    for (auto &[number, state] : m_endpoints) {
        const bool mayCompare = (ejected + 1) * maxEjectedDivisor <= m_endpoints.size();
        const bool worse = state.health.hasHighErrorShare(medianErrors) || (ejectSlow && state.health.isSlow(median));
        const bool bad = state.health.isFailing() || (mayCompare && worse);
        if (!bad || state.health.state() == HealthState::Ejected) {
            continue;
        }
        // With no other endpoint left, a long ejection would only delay the recovery.
        const bool last = ejected + 1 >= m_endpoints.size();
        state.health.eject(now, last ? maxEjectionOfLastEndpoint : maxEjection);
        std::visit([&](auto &placement) { placement.markUnreliable(number); }, m_placement);
        ++ejected;
        ++m_counters.ejections;
        Base::log(Base::LogLevel::Warning, Base::LogEvent::EndpointEjected,
                  {{"endpoint", number},
                   {"failures", state.health.failures()},
                   {"from", state.lastFailureFrom},
                   {"result", Base::nameOf(Peer::runResultNames, state.lastFailure)},
                   {"pace-ms", Base::milliseconds(state.health.interTokenLatency().value_or(Duration::zero()))}});
    }
    refuseIfNoEndpoint();
}

std::uint32_t Shard::freeSlots(const EndpointState &state, Instant now) const
{
    if (!state.acceptsWork()) {
        return 0;
    }
    std::uint32_t window = state.windowSize();
    if (state.health.state() == HealthState::Probing) {
        window = 1;
    } else if (now - m_takeoverAt < takeoverPeriod) {
        window = std::max(1U, window / 2);
    }
    return window > state.running ? window - state.running : 0;
}

std::vector<Candidate> Shard::candidates(Instant now) const
{
    std::vector<Candidate> found;
    for (const auto &[number, state] : m_endpoints) {
        const std::uint32_t free = freeSlots(state, now);
        if (free > 0 && state.rateLimiter.left(now) > 0 && state.cooldowns.allowsAnyHome(now)) {
            found.push_back({number, state.running, state.running + free, state.kvCacheTokens, state.transferTokensPerMs});
        }
    }
    return found;
}

Duration Shard::expectedFirstToken() const
{
    const auto median = medianFirstToken(m_endpoints);
    if (!median) {
        return Duration::zero();
    }
    // The factor is needed because first-token times vary. Of the asks that would only just be on time with the median, more than
    // half would be late.
    return std::chrono::duration_cast<Duration>(*median * firstTokenMargin) + expectedNetworkDelay;
}

void Shard::dispatchQueued(Instant now, std::size_t maxSkipped)
{
    if (queued() == 0) {
        return;
    }
    m_queue.returnDue(now);
    const Duration expected = expectedFirstToken();
    std::vector<Candidate> withFreeSlots = candidates(now);
    // An ask that no endpoint can take now, because of its size or the prefill backlog, does not block the asks behind it.
    std::vector<QueuedAsk> skipped;
    std::size_t evaluated = 0;
    while (evaluated < maxSkipped && skipped.size() < maxSkipped * skippedWithoutEvaluation && !withFreeSlots.empty()) {
        const auto key = m_queue.next(now, expected);
        if (!key) {
            break;
        }
        QueuedAsk waiting = *m_queue.find(*key);
        waiting.isGuaranteed = m_queue.nextIsGuaranteed();
        if (holdForPrefix(now, waiting)) {
            continue;
        }
        const GrantAttempt attempt = tryGrant(now, waiting, withFreeSlots);
        if (attempt == GrantAttempt::Granted) {
            withFreeSlots = candidates(now);
        } else {
            evaluated += attempt == GrantAttempt::NotNow ? 1 : 0;
            skipped.push_back(waiting);
            m_queue.remove(waiting.key);
        }
    }
    std::ranges::for_each(skipped, [this](const QueuedAsk &ask) { enqueue(ask); });
}

/// Puts @p waiting on hold if an engine prefills a prefix of its prompt, so that no other engine does the same.
bool Shard::holdForPrefix(Instant now, const QueuedAsk &waiting)
{
    const auto pending = std::visit([&](const auto &placement) { return placement.prefixToAwait(waiting, now); }, m_placement);
    if (!pending || pending->endpoint == waiting.ask.avoid || !isAllowed(now, waiting, pending->endpoint)) {
        return false;
    }
    ++m_counters.held;
    m_queue.hold(waiting.key, pending->hash, std::max(pending->expectedEnd, now + minHold));
    return true;
}

Shard::GrantAttempt Shard::tryGrant(Instant now, const QueuedAsk &waiting, const std::vector<Candidate> &withFreeSlots)
{
    ++m_counters.evaluations;
    std::vector<Candidate> allowed;
    const bool filters = waiting.ask.avoid != 0 || waiting.restricted || !m_coolingDown.empty();
    if (filters) {
        std::ranges::copy_if(withFreeSlots, std::back_inserter(allowed),
                             [&](const Candidate &candidate) { return isAllowed(now, waiting, candidate.endpoint); });
        if (allowed.empty()) {
            return waiting.restricted ? GrantAttempt::NoneForIt : GrantAttempt::NotNow;
        }
        // The endpoint of a failed attempt is used again only if it is the only one that the ask may use now.
        if (allowed.size() > 1) {
            std::erase_if(allowed, [&](const Candidate &candidate) { return candidate.endpoint == waiting.ask.avoid; });
        }
    }
    const std::vector<Candidate> &found = filters ? allowed : withFreeSlots;
    if (!std::visit([&](const auto &placement) { return placement.mayUseAny(waiting, found); }, m_placement)) {
        return GrantAttempt::NoneForIt;
    }
    const auto endpoint = std::visit([&](const auto &placement) { return placement.choose(waiting, found, now); }, m_placement);
    if (!endpoint) {
        return GrantAttempt::NotNow;
    }
    const auto ask = m_queue.serve(waiting.key);
    grant(now, *ask, *endpoint);
    return GrantAttempt::Granted;
}

void Shard::grant(Instant now, const QueuedAsk &ask, std::uint32_t endpoint)
{
    EndpointState &state = m_endpoints.at(endpoint);
    const Candidate chosen {endpoint, state.running, state.running + freeSlots(state, now), state.kvCacheTokens,
                            state.transferTokensPerMs};
    const PlacedRun placed
        = std::visit([&](auto &placement) { return placement.recordPlacement(ask, chosen, now); }, m_placement);
    Base::checkInvariant(state.isUsable(), Base::Invariant::NoWorkWhenLeaving);
    Base::checkInvariant(!m_permits.contains(ask.key), Base::Invariant::AnsweredOnce);
    ++state.running;
    const Rate::RateInfo rate = state.rateLimiter.rate().info(now);
    state.rateLimiter.spend(now);
    state.cooldowns.recordGrant(now);
    // startBy is on the home's clock. Both clocks run at the same speed, so the time that the ask was queued here can be added to
    // the time at which the home sent it.
    const Instant startBy = ask.ask.sentAt + (now - ask.received) + startTimeout;
    Permit permit {ask.home,
                   endpoint,
                   ask.parameters,
                   now,
                   {ask.key.id, endpoint, startBy, pressure(), placed.keeper, rate, placed.prefillReported},
                   freeSlots(state, now) == 0,
                   placed};
    const RequestClass *requestClass = m_catalogue->classByNumber(ask.ask.requestClass);
    if (requestClass != nullptr && requestClass->deadlineEndsRun) {
        permit.expires = ask.deadline + expiryGrace;
    }
    m_replies.push_back({ask.home, permit.grant});
    m_permits.emplace(ask.key, std::move(permit));
    ++m_counters.granted;
    ++m_grantsInPeriod;
}

void Shard::checkPermits() const
{
    Base::checkInvariant(totalRunning(m_endpoints) == m_permits.size(), Base::Invariant::PermitsWithinGrants);
}

void Shard::handOver()
{
    for (const QueuedAsk *ask : queuedAsks()) {
        m_replies.push_back({ask->home, Peer::Refusal {ask->key.id, RefusalReason::NotDispatcher, Duration::zero(), 0}});
    }
    m_queue = AskQueue(m_catalogue->policies());
}

std::vector<Reply> Shard::takeReplies()
{
    return std::exchange(m_replies, {});
}

const ShardInfo &Shard::info() const
{
    return m_info;
}

const ShardCounters &Shard::counters() const
{
    return m_counters;
}

std::size_t Shard::queued() const
{
    return m_queue.size();
}

std::size_t Shard::held() const
{
    return m_queue.held();
}

std::size_t Shard::streamEngines() const
{
    const auto *placement = std::get_if<SoonestFirstToken>(&m_placement);
    return placement == nullptr ? 0 : placement->streamEngines().size();
}

std::size_t Shard::permits() const
{
    return m_permits.size();
}

std::vector<EndpointView> Shard::endpoints() const
{
    return viewsOf(m_endpoints);
}

AskView Shard::find(const AskKey &key) const
{
    AskView view;
    view.total = queued();
    if (const QueuedAsk *ask = m_queue.find(key)) {
        view.queued = true;
        view.atLeastAsUrgent = m_queue.countAtLeastAsUrgent(ask->parameters.urgency);
    }
    if (const auto permit = m_permits.find(key); permit != m_permits.end()) {
        view.endpoint = permit->second.endpoint;
    }
    return view;
}

std::vector<const QueuedAsk *> Shard::queuedAsks() const
{
    return m_queue.all();
}

} // namespace Yokepond::Dispatch
