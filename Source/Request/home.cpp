// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/home.h"

#include "Base/hash.h"
#include "Base/invariant.h"
#include "Dispatch/preference.h"
#include "Request/runresult.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>

namespace Yokepond::Request {

namespace {

using Base::Duration;
using Base::ErrorKind;
using Base::Instant;
using Base::makeError;
using Dispatch::ShardInfo;
using Peer::RefusalReason;
using Peer::RunResult;

constexpr std::uint8_t maxAttempts = 8;
constexpr std::size_t maxTraceEntries = 32;
constexpr std::size_t maxEndedTraces = 2048;
constexpr Duration reportInterval = std::chrono::seconds(5);
constexpr Duration askRepeatDelay = std::chrono::seconds(2);
/// A dispatcher that neither replies to an ask nor confirms that it is queued within this time is bypassed. The time is longer
/// than the pause of a dispatcher that has used up its processor quota: it is throttled until its quota period of 100 ms ends.
constexpr Duration dispatcherTimeout = std::chrono::milliseconds(150);
/// Delay before another ask where all endpoints of a pool have failed; they are probed again after about this time.
constexpr Duration endpointsDownBackoff = std::chrono::milliseconds(250);
/// Retry-After of requests that fail because this host shuts down: another host can accept them at once.
constexpr Duration minRetryAfter = std::chrono::milliseconds(1);
constexpr Duration initialBackoff = std::chrono::milliseconds(20);
/// Consecutive refusals because of differing views (the receiver is not the dispatcher in its own view, or does not know the
/// class) after which the home bypasses the dispatcher. After a restart of the whole fleet, views differ for seconds.
constexpr unsigned int maxMisdirected = 2;
/// The rate information of two hosts may differ while messages between them are in flight. This host's information counts as
/// newer only if the endpoint advertised it later by more than this tolerance.
constexpr Duration rateTimeTolerance = std::chrono::milliseconds(50);
/// Time added to the time for which a caller waits for a stream, in which it may take the stream up.
constexpr Duration streamLifetimeMargin = std::chrono::seconds(5);
/// Longest time after its beginning for which a stream may be taken up; neither origins nor versions are kept for longer.
constexpr Duration maxStreamLifetime = std::chrono::hours(1);

} // namespace

Home::Home(std::string self, std::uint64_t seed)
    : m_self(std::move(self))
    , m_random(seed)
    , m_catalogue(Configuration::Catalogue::build({}))
    , m_shards(std::make_shared<Dispatch::ShardMap>())
    , m_crashProtection(m_self, seed)
    , m_streamOrigins(m_self)
    , m_versionSurvey(m_self)
{
}

void Home::addTraceEntry(Pending &pending, Instant now, Step step, std::string detail)
{
    if (pending.trace.size() < maxTraceEntries) {
        pending.trace.push_back({now, step, std::move(detail)});
    }
}

Home::Pending *Home::find(std::uint64_t request)
{
    const auto entry = m_pending.find(request);
    return entry == m_pending.end() ? nullptr : &entry->second;
}

void Home::updateView(Instant now, std::shared_ptr<const Configuration::Catalogue> catalogue,
                      std::shared_ptr<const Dispatch::ShardMap> shards, const std::vector<Peer::Member> &members)
{
    const auto previousShards = std::exchange(m_shards, std::move(shards));
    const bool catalogueChanged = m_catalogue != catalogue;
    m_catalogue = std::move(catalogue);
    m_hosts = members.size();
    m_retryBudgets.setHosts(m_hosts);
    if (catalogueChanged) {
        m_rates.updateView(now, *m_catalogue);
        m_availabilities.updateView(*m_catalogue);
        m_versionHistory.updateView(now, *m_catalogue);
    }
    m_streamOrigins.updateView(members);
    m_versionSurvey.updateView(now, members);
    m_hadOtherMembers = m_hadOtherMembers || members.size() > 1;
    m_crashProtection.updateView(now, members, m_catalogue->policies());
    m_unreachable.clear();
    for (const Peer::Member &member : members) {
        if (member.state == Peer::MemberState::Suspect) {
            m_unreachable.insert(member.name);
        }
    }
    std::set<std::uint32_t> movedShards;
    std::vector<std::uint64_t> ids;
    std::ranges::copy(m_pending | std::views::keys, std::back_inserter(ids));
    for (const std::uint64_t id : ids) {
        // requestEndpoint() may end the request and remove it from m_pending, so the loop runs over a copy of the ids.
        Pending &pending = m_pending.at(id);
        if (catalogueChanged) {
            renumber(pending);
            pending.shardsWithout.clear();
        }
        const ShardInfo *info = m_shards->find(pending.shard);
        const bool same = info != nullptr && info->dispatcher == pending.dispatcher;
        if (pending.phase == Phase::Asking && !same) {
            addTraceEntry(pending, now, Step::Moved, fmt::format("from dispatcher {}", pending.dispatcher));
            requestEndpoint(now, pending);
        } else if (pending.phase == Phase::Asking && isUnreachable(pending.dispatcher)) {
            tryLocalWindow(now, pending);
        } else if (pending.phase == Phase::Running && info != nullptr && !same) {
            pending.dispatcher = info->dispatcher;
            movedShards.insert(pending.shard);
        }
    }
    std::ranges::for_each(movedShards, [this](std::uint32_t shard) { reportRunning(shard); });
}

void Home::renumber(Pending &pending) const
{
    Configuration::RequestClass &settings = pending.classSettings;
    if (const auto *requestClass = m_catalogue->classByName(settings.name)) {
        settings.number = requestClass->number;
        pending.request.requestClass = requestClass->number;
    }
    if (const auto *pool = m_catalogue->poolByName(settings.poolName)) {
        settings.pool = pool->number;
    }
}

void Home::start(Instant now, const NewRequest &request)
{
    ++m_counters.arrived;
    const Configuration::RequestClass *requestClass = m_catalogue->classByNumber(request.requestClass);
    if (requestClass == nullptr) {
        ++m_counters.failed;
        m_actions.emplace_back(
            Fail {request.id, makeError(ErrorKind::UnknownClass, "the class of the request was deleted"), Outcome::NotRun, {}});
        return;
    }
    if (const auto quarantined = m_crashProtection.match(request, requestClass->pool)) {
        ++m_counters.failed;
        m_actions.emplace_back(Fail {request.id, quarantineError(*quarantined), Outcome::NotRun, {}});
        return;
    }
    Pending &pending = m_pending[request.id];
    pending.request = request;
    pending.classSettings = *requestClass;
    pending.arrival = now;
    pending.deadline = now + requestClass->deadline;
    if (request.timeLeft > Duration::zero()) {
        pending.deadline = std::min(pending.deadline, now + request.timeLeft);
    }
    m_retryBudgets.earn(m_catalogue->policies(), requestClass->pool);
    const std::string organisationRank = request.rank == 0 ? "" : fmt::format("organisation rank {}, ", request.rank);
    addTraceEntry(pending, now, Step::Arrived,
                  fmt::format("class {}, tier {}, {}{} prompt tokens", requestClass->name, requestClass->tier, organisationRank,
                              request.promptTokens));
    if (isBoundStream(pending)) {
        Duration &longest = m_longestStreams[requestClass->pool];
        longest = std::max(longest, std::min(streamLifetime(pending), maxStreamLifetime));
    }
    if (!request.continuesStream || !isBoundStream(pending)) {
        requestEndpoint(now, pending);
        return;
    }
    addTraceEntry(pending, now, Step::LookingUpStream, Base::hexadecimal(request.stream));
    m_streamOrigins.lookUp(now, request.stream, request.id);
    applyOrigins(now);
}

/// Names what may be the reason: the software version that began the stream, or the evacuated data centres of the pool.
absl::Status Home::noEndpointError(const Pending &pending) const
{
    if (pending.softwareVersion != 0) {
        return makeError(ErrorKind::StreamVersionGone,
                         "no endpoint of the software version that began the stream accepts requests; begin the stream anew");
    }
    std::set<std::string> evacuated;
    for (const Configuration::Endpoint &endpoint : m_catalogue->endpoints()) {
        if (endpoint.pool == pending.classSettings.pool && endpoint.evacuated) {
            evacuated.insert(endpoint.dataCentre);
        }
    }
    const std::string message = "the pool of this class has no endpoint that accepts requests";
    return makeError(ErrorKind::NoEndpoint,
                     evacuated.empty() ? message
                                       : fmt::format("{}; evacuated data centres: {}", message, fmt::join(evacuated, ", ")));
}

Configuration::EndpointCriteria Home::criteriaOf(const Pending &pending)
{
    return {pending.request.requestClass, pending.request.organisation, pending.softwareVersion};
}

bool Home::mayServe(const Pending &pending, std::uint32_t endpoint) const
{
    const Configuration::Endpoint *configured = m_catalogue->endpointByNumber(endpoint);
    return configured != nullptr && m_catalogue->mayServe(*configured, criteriaOf(pending));
}

bool Home::isOfAnotherPool(const Pending &pending, std::uint32_t endpoint) const
{
    const Configuration::Endpoint *configured = m_catalogue->endpointByNumber(endpoint);
    return configured != nullptr && configured->poolName != pending.classSettings.poolName;
}

std::vector<const ShardInfo *> Home::shardsFor(const Pending &pending) const
{
    std::vector<const ShardInfo *> shards = m_shards->ofPool(pending.classSettings.pool);
    if (m_catalogue->restrictsEndpoints(criteriaOf(pending))) {
        std::erase_if(shards, [&](const ShardInfo *shard) {
            return pending.shardsWithout.contains(shard->id) || std::ranges::none_of(shard->endpoints, [&](std::uint32_t number) {
                       const Configuration::Endpoint *endpoint = m_catalogue->endpointByNumber(number);
                       return endpoint != nullptr && endpoint->acceptsRequests() && mayServe(pending, number);
                   });
        });
    }
    return shards;
}

void Home::requestEndpoint(Instant now, Pending &pending)
{
    const std::vector<const ShardInfo *> shards = shardsFor(pending);
    if (shards.empty() && pending.softwareVersion != 0) {
        // A wait may have no end, since a release replaces a version for good, and the caller can begin anew.
        fail(now, pending, noEndpointError(pending), minRetryAfter);
        return;
    }
    const ShardInfo *shard = m_shardChoice.choose(now, shards, pending.request, pending.avoid, m_random);
    if (shard == nullptr && m_shardChoice.anyShardIsDown(now, *m_shards, pending.classSettings.pool)) {
        backOff(now, pending, endpointsDownBackoff);
        return;
    }
    if (shard == nullptr) {
        fail(now, pending, noEndpointError(pending), std::chrono::seconds(1));
        return;
    }
    ++pending.attempt;
    pending.phase = Phase::Asking;
    pending.shard = shard->id;
    pending.dispatcher = shard->dispatcher;
    pending.repeatAfter = askRepeatDelay;
    pending.queuedAtDispatcher = false;
    sendAsk(now, pending);
    addTraceEntry(pending, now, Step::Asked,
                  fmt::format("dispatcher {}, shard {:08x}, pressure {}/1000", pending.dispatcher, pending.shard,
                              m_shardChoice.pressureOf(now, shard->id)));
    if (isUnreachable(pending.dispatcher)) {
        tryLocalWindow(now, pending);
    }
}

void Home::sendAsk(Instant now, Pending &pending)
{
    pending.askedAt = now;
    Peer::Ask ask;
    ask.id = {pending.request.id, pending.attempt};
    ask.shard = pending.shard;
    ask.requestClass = pending.request.requestClass;
    ask.organisation = pending.request.organisation;
    ask.age = now - pending.arrival;
    ask.remaining = pending.deadline - now;
    ask.sentAt = now;
    ask.promptTokens = pending.request.promptTokens;
    ask.prefix = pending.request.prefix;
    ask.prefixTokens = pending.request.prefixTokens;
    ask.expectedTokens = pending.request.expectedTokens;
    ask.rank = pending.request.rank;
    ask.avoid = pending.avoid;
    ask.reportsPrefill = pending.request.streams;
    ask.softwareVersion = pending.softwareVersion;
    m_actions.emplace_back(SendToMember {pending.dispatcher, std::move(ask)});
}

bool Home::isUnreachable(const std::string &member) const
{
    return member != m_self && m_unreachable.contains(member);
}

/// Starts a run without the dispatcher if an endpoint of the shard has room within this home's share.
void Home::tryLocalWindow(Instant now, Pending &pending)
{
    const ShardInfo *shard = m_shards->find(pending.shard);
    if (shard == nullptr || !endsInTime(now, pending)) {
        return;
    }
    const std::vector<std::uint64_t> &prefix = pending.request.prefix;
    const std::uint64_t prefixHash = prefix.empty() ? m_random() : Dispatch::sharedPrefix(prefix);
    std::set<std::uint32_t> unavailable
        = m_rates.unavailableWithoutDispatcher(now, shard->endpoints, std::max(m_hosts, minSharingHosts), m_random);
    unavailable.merge(m_availabilities.unavailableEndpoints(now));
    if (m_catalogue->restrictsEndpoints(criteriaOf(pending))) {
        std::ranges::copy_if(shard->endpoints, std::inserter(unavailable, unavailable.end()),
                             [&](std::uint32_t number) { return !mayServe(pending, number); });
    }
    const auto endpoint = m_localWindow.choose(*shard, *m_catalogue, m_hosts, prefixHash, unavailable);
    if (!endpoint) {
        return;
    }
    m_rates.runStartedWithoutDispatcher(*endpoint);
    pending.grantedRate = {};
    ++m_counters.localRuns;
    // A late grant for the attempt that was asked for must not start a second run. The withdrawal frees the place of the ask in
    // the dispatcher's queue.
    withdraw(pending);
    ++pending.attempt;
    addTraceEntry(pending, now, Step::LocalWindow, fmt::format("bypassing dispatcher {}", pending.dispatcher));
    beginRun(now, pending, *endpoint, now + std::chrono::seconds(1));
}

/// Starts a run at @p endpoint. @p grant is the dispatcher's; a run without a dispatcher has none.
void Home::beginRun(Instant now, Pending &pending, std::uint32_t endpoint, Instant startBy, const Peer::Grant &grant)
{
    Base::checkInvariant(pending.classSettings.repeatable || !pending.mayHaveRun, Base::Invariant::RunOnce);
    pending.phase = Phase::Running;
    pending.reportsPrefill = grant.reportPrefill;
    pending.endpoint = endpoint;
    pending.runStartedAt = now;
    pending.firstTokenAt = {};
    pending.wentOn = false;
    ++pending.runs;
    m_counters.sentToUnavailable += m_availabilities.stateOf(endpoint).isUnavailable(now) ? 1 : 0;
    pending.misdirectedRefusals = 0;
    m_localWindow.runStarted(endpoint);
    const auto nameOf = [this](std::uint32_t number) {
        const Configuration::Endpoint *object = m_catalogue->endpointByNumber(number);
        return object == nullptr ? std::string("?") : object->name;
    };
    const Configuration::Endpoint *target = m_catalogue->endpointByNumber(endpoint);
    pending.runVersion = target == nullptr ? 0 : m_catalogue->versionNumber(target->softwareVersion);
    const std::string version
        = target == nullptr || target->softwareVersion.empty() ? "" : ", version " + target->softwareVersion;
    const std::uint32_t keeper = m_availabilities.stateOf(grant.keeper).isLeaving(now) ? 0 : grant.keeper;
    const std::string transferNote = keeper == 0 ? "" : fmt::format(", transferring a prompt prefix from {}", nameOf(keeper));
    addTraceEntry(pending, now, Step::Started, fmt::format("endpoint {}{}{}", nameOf(endpoint), version, transferNote));
    // A dispatcher that enforces a limit must be informed when the limit ends.
    const bool reportRate = pending.grantedRate.isLimited() || m_rates.stateOf(endpoint).isLimited();
    const bool reportFirstToken = grant.reportPrefill || (isBoundStream(pending) && pending.request.stream != 0)
        || m_crashProtection.needsFirstToken(pending.request);
    m_actions.emplace_back(StartRun {
        {pending.request.id, pending.attempt}, endpoint, startBy, reportRate, keeper, reportFirstToken, pending.softwareVersion});
}

void Home::receive(Instant, const Peer::Process &from, const Peer::Queued &queued)
{
    m_unreachable.erase(from.name);
    Pending *pending = find(queued.id.request);
    if (pending != nullptr && pending->phase == Phase::Asking && pending->attempt == queued.id.attempt) {
        pending->queuedAtDispatcher = true;
    }
}

/// Bypasses a dispatcher that does not respond: this and the following requests use the home's own share of the endpoints until
/// the dispatcher sends a message again.
void Home::bypassDispatcher(Instant now, Pending &pending)
{
    if (pending.dispatcher != m_self) {
        m_unreachable.insert(pending.dispatcher);
    }
    tryLocalWindow(now, pending);
}

void Home::receive(Instant now, const Peer::Process &from, const Peer::Grant &grant)
{
    m_unreachable.erase(from.name);
    Pending *pending = find(grant.id.request);
    const bool expected = pending != nullptr && pending->phase == Phase::Asking && pending->attempt == grant.id.attempt;
    if (!expected) {
        const bool running = pending != nullptr && pending->phase == Phase::Running && pending->attempt == grant.id.attempt;
        if (!running) {
            // The request has ended or is at another attempt: the permit is returned to its dispatcher.
            const std::uint32_t shard = pending == nullptr ? 0 : pending->shard;
            for (const ShardInfo &info : m_shards->shards()) {
                const bool containsEndpoint = std::ranges::find(info.endpoints, grant.endpoint) != info.endpoints.end();
                if (containsEndpoint || info.id == shard) {
                    m_actions.emplace_back(
                        SendToMember {from, Peer::Release {grant.id, info.id, grant.endpoint, RunResult::NotStarted, {}, {}, 0}});
                }
            }
        }
        return;
    }
    m_shardChoice.updatePressure(now, pending->shard, grant.pressure);
    if (now > grant.startBy) {
        ++m_counters.staleGrants;
        addTraceEntry(*pending, now, Step::GrantStale, fmt::format("{:.0f} ms late", Base::milliseconds(now - grant.startBy)));
        release(*pending, {grant.id, RunStage::Stale, false, false, {}, {}, 0, 0}, RunResult::NotStarted);
        requestEndpoint(now, *pending);
        return;
    }
    if (!endsInTime(now, *pending)) {
        pending->endpoint = grant.endpoint;
        release(*pending, {grant.id, RunStage::Stale, false, false, {}, {}, 0, 0}, RunResult::NotStarted);
        fail(now, *pending, m_limitError, minRetryAfter);
        return;
    }
    if (m_availabilities.stateOf(grant.endpoint).isUnavailable(now)) {
        sendEndpointUpdate(now, *pending, grant.endpoint);
        returnGrant(now, *pending, grant, fmt::format("{} had no information that the endpoint is unavailable", from.name));
        return;
    }
    if (correctDispatcherRate(now, *pending, grant)) {
        returnGrant(now, *pending, grant, fmt::format("{} had no information on the endpoint's rate limit", from.name));
        return;
    }
    if (isOfAnotherPool(*pending, grant.endpoint)) {
        returnGrant(now, *pending, grant, fmt::format("{} granted an endpoint of another pool", from.name));
        return;
    }
    if (m_catalogue->restrictsEndpoints(criteriaOf(*pending)) && !mayServe(*pending, grant.endpoint)) {
        // A dispatcher of an older release does not know of software versions.
        returnGrant(now, *pending, grant, fmt::format("{} granted an endpoint that may not serve the request", from.name));
        return;
    }
    pending->grantedRate = Rate::rateStateFrom(grant.rate, now);
    addTraceEntry(*pending, now, Step::Granted, fmt::format("by {}, pressure {}/1000", from.name, grant.pressure));
    beginRun(now, *pending, grant.endpoint, grant.startBy, grant);
}

/// Returns a grant that the dispatcher gave with outdated information, and asks again. If the dispatcher repeats its mistake, the
/// next ask is delayed and avoids the endpoint.
void Home::returnGrant(Instant now, Pending &pending, const Peer::Grant &grant, std::string reason)
{
    ++m_counters.returnedGrants;
    addTraceEntry(pending, now, Step::GrantReturned, std::move(reason));
    pending.endpoint = grant.endpoint;
    release(pending, {grant.id, RunStage::Stale, false, false, {}, {}, 0, 0}, RunResult::NotStarted);
    if (std::exchange(pending.grantReturned, true)) {
        pending.avoid = grant.endpoint;
        if (m_catalogue->restrictsEndpoints(criteriaOf(pending)) && !mayServe(pending, grant.endpoint)) {
            tryLocalWindow(now, pending);
        }
        if (pending.phase == Phase::Asking) {
            backOff(now, pending, initialBackoff);
        }
    } else {
        requestEndpoint(now, pending);
    }
}

/// Compares the rate that the dispatcher applied with this host's information, and sends an update if the latter is newer. A
/// dispatcher that has just taken over starts without any. Returns whether the grant is to be returned, since the dispatcher did
/// not count it against the limit.
bool Home::correctDispatcherRate(Instant now, const Pending &pending, const Peer::Grant &grant)
{
    const Rate::RateState ownRate = m_rates.stateOf(grant.endpoint);
    const Rate::RateState dispatcherRate = Rate::rateStateFrom(grant.rate, now);
    m_rates.applyUpdate(grant.endpoint, dispatcherRate);
    const bool isNewer = dispatcherRate.kind == Rate::RateKind::Unknown
        || ownRate.advertisedAt > dispatcherRate.advertisedAt + rateTimeTolerance;
    if (!ownRate.isLimited() || ownRate.agreesWith(dispatcherRate) || !isNewer) {
        return false;
    }
    sendEndpointUpdate(now, pending, grant.endpoint);
    return !dispatcherRate.isLimited() && !pending.grantReturned;
}

void Home::sendEndpointUpdate(Instant now, const Pending &pending, std::uint32_t endpoint)
{
    m_actions.emplace_back(SendToMember {pending.dispatcher,
                                         Peer::EndpointUpdate {pending.shard, endpoint, m_rates.stateOf(endpoint).info(now),
                                                               m_availabilities.stateOf(endpoint).info(now)}});
}

void Home::receive(Instant now, const Peer::Process &from, const Peer::Refusal &refusal)
{
    m_unreachable.erase(from.name);
    Pending *pending = find(refusal.id.request);
    if (pending == nullptr || pending->phase != Phase::Asking || pending->attempt != refusal.id.attempt) {
        return;
    }
    addTraceEntry(*pending, now, Step::Refused,
                  fmt::format("by {}: {}, pressure {}/1000", from.name, Base::nameOf(Peer::refusalReasonNames, refusal.reason),
                              refusal.pressure));
    m_shardChoice.updatePressure(now, pending->shard, refusal.pressure);
    switch (refusal.reason) {
    case RefusalReason::QueueFull:
        fail(now, *pending, makeError(ErrorKind::Overloaded, "the queue is full of requests of this tier or above; retry later"),
             refusal.retryAfter, refusal.reason);
        break;
    case RefusalReason::DeadlinePassed:
        fail(now, *pending, makeError(ErrorKind::DeadlineExceeded, "the request cannot start before its deadline"),
             refusal.retryAfter, refusal.reason);
        break;
    case RefusalReason::TooLate:
        fail(now, *pending, makeError(ErrorKind::Overloaded, "the request cannot meet its latency target now; retry later"),
             refusal.retryAfter, refusal.reason);
        break;
    case RefusalReason::NoEndpoint:
    case RefusalReason::EndpointsDown:
        refusedForNoEndpoint(now, *pending, refusal);
        break;
    case RefusalReason::NotDispatcher:
    case RefusalReason::UnknownClass:
        // The hosts' views of membership or configuration differ for a short time.
        ++pending->misdirectedRefusals;
        if (pending->misdirectedRefusals >= maxMisdirected) {
            tryLocalWindow(now, *pending);
        }
        if (pending->phase == Phase::Asking) {
            backOff(now, *pending, initialBackoff);
        }
        break;
    }
}

void Home::refusedForNoEndpoint(Instant now, Pending &pending, const Peer::Refusal &refusal)
{
    const bool down = refusal.reason == RefusalReason::EndpointsDown;
    if (!m_catalogue->restrictsEndpoints(criteriaOf(pending))) {
        // Another shard of the pool may have usable endpoints.
        m_shardChoice.markWithoutEndpoint(now, pending.shard, down);
        requestEndpoint(now, pending);
        return;
    }
    // The shard may have endpoints that other requests may use.
    if (down) {
        backOff(now, pending, endpointsDownBackoff);
        return;
    }
    pending.shardsWithout.insert(pending.shard);
    if (shardsFor(pending).empty()) {
        fail(now, pending, noEndpointError(pending), refusal.retryAfter, refusal.reason);
    } else {
        requestEndpoint(now, pending);
    }
}

/// Delays the next ask by @p minDelay plus a random time of up to @p minDelay.
void Home::backOff(Instant now, Pending &pending, Duration minDelay)
{
    pending.phase = Phase::BackingOff;
    const Duration jitter(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(minDelay.count() + 1)));
    pending.retryAt = now + minDelay + jitter;
}

/// Returns the permit of a run to its dispatcher, with the result of the run.
void Home::release(const Pending &pending, const RunReport &report, RunResult result)
{
    m_actions.emplace_back(SendToMember {pending.dispatcher,
                                         Peer::Release {report.id, pending.shard, pending.endpoint, result, report.firstToken,
                                                        report.gap, report.tokens, report.longestGap, report.brittle}});
}

void Home::endpointAdvertised(Instant now, const Peer::AttemptId &id, std::uint32_t endpoint,
                              const EndpointAdvertisement &advertised)
{
    // The availability is applied even if the home has already abandoned the run: its response may have been relayed to the
    // caller.
    const bool advertisesAvailability = m_availabilities.applyAdvertisement(now, endpoint, advertised.availability);
    Pending *pending = find(id.request);
    if (pending == nullptr || pending->phase != Phase::Running || pending->attempt != id.attempt) {
        return;
    }
    m_rates.applyAdvertisement(now, endpoint, advertised.rate);
    if (advertisesAvailability || !m_rates.stateOf(endpoint).agreesWith(pending->grantedRate)) {
        sendEndpointUpdate(now, *pending, endpoint);
    }
}

void Home::firstTokenReceived(Instant now, const Peer::AttemptId &id)
{
    Pending *pending = find(id.request);
    if (pending == nullptr || pending->phase != Phase::Running || pending->attempt != id.attempt) {
        return;
    }
    pending->firstTokenAt = now;
    if (pending->reportsPrefill) {
        m_actions.emplace_back(SendToMember {pending->dispatcher, Peer::PrefillEnded {id, pending->shard}});
    }
    if (isBoundStream(*pending) && pending->request.stream != 0) {
        m_streamOrigins.record(now, pending->request.stream, {pending->classSettings.pool, pending->runVersion},
                               streamLifetime(*pending));
        applyOrigins(now);
    }
}

// --- Streams that callers take up

bool Home::isBoundStream(const Pending &pending) const
{
    return m_catalogue->policies().sameVersionStreams && pending.classSettings.resumable;
}

Duration Home::streamLifetime(const Pending &pending)
{
    return std::max(pending.request.timeLeft, pending.classSettings.deadline) + streamLifetimeMargin;
}

void Home::receive(Instant now, const Peer::Process &from, const Peer::StreamBegan &began)
{
    m_streamOrigins.receive(now, from, began);
}

void Home::receive(Instant now, const Peer::Process &from, const Peer::StreamOriginQuery &query)
{
    const auto requestClass
        = std::ranges::find_if(m_catalogue->classes(), [&query](const Configuration::RequestClass &candidate) {
              return poolIdentity(candidate.pool) == query.stream;
          });
    if (requestClass == m_catalogue->classes().end()) {
        m_streamOrigins.receive(now, from, query);
        applyOrigins(now);
        return;
    }
    m_actions.emplace_back(
        SendToMember {from, Peer::StreamOriginReply {query.stream, std::nullopt, seenVersion(now, requestClass->pool)}});
}

std::optional<Peer::OnlyVersion> Home::seenVersion(Instant now, std::uint32_t pool)
{
    const Duration period = longestStream(pool);
    m_versionHistory.watch(now);
    return m_listInDoubt ? Peer::OnlyVersion {0, period} : m_versionHistory.seenVersion(now, pool, period);
}

void Home::setListInDoubt(bool inDoubt)
{
    m_listInDoubt = inDoubt;
}

void Home::receive(Instant now, const Peer::Process &from, const Peer::StreamOriginReply &reply)
{
    m_streamOrigins.receive(now, from, reply);
    m_versionSurvey.receive(now, from, reply);
    applyOrigins(now);
}

Duration Home::longestStream(std::uint32_t pool) const
{
    const auto longest = m_longestStreams.find(pool);
    Duration result = m_catalogue->policies().longestTakenUpStream;
    result = std::max(result, longest == m_longestStreams.end() ? Duration::zero() : longest->second);
    for (const Configuration::RequestClass &requestClass : m_catalogue->classes()) {
        if (requestClass.pool == pool && requestClass.resumable) {
            result = std::max(result, requestClass.deadline + streamLifetimeMargin);
        }
    }
    return result;
}

void Home::applyOrigins(Instant now)
{
    for (const OriginFound &found : m_streamOrigins.takeResults()) {
        Pending *pending = find(found.request);
        if (pending != nullptr && pending->phase == Phase::LookingUpStream) {
            originFound(now, *pending, found);
        }
    }
    for (const SurveyEnded &survey : m_versionSurvey.takeResults()) {
        Pending *pending = find(survey.request);
        if (pending != nullptr && pending->phase == Phase::LookingUpStream) {
            surveyEnded(now, *pending, survey);
        }
    }
    std::ranges::move(m_streamOrigins.takeMessages(), std::back_inserter(m_actions));
    std::ranges::move(m_versionSurvey.takeMessages(), std::back_inserter(m_actions));
}

/// Where no host knows the stream, it can only have begun at the one version that the pool has had while streams last. This host
/// may have been cut off or have stood still and not know of newer versions, so it asks the others.
void Home::originFound(Instant now, Pending &pending, const OriginFound &found)
{
    const std::uint32_t pool = pending.classSettings.pool;
    if (found.origin) {
        const bool samePool = found.origin->pool == pool;
        continueStream(now, pending, samePool ? std::optional(found.origin->softwareVersion) : std::nullopt,
                       fmt::format("known by {}, after {:.1f} ms", found.from, Base::milliseconds(found.took)));
        return;
    }
    const std::string source = fmt::format("{} of {} hosts answered, none knows it, after {:.1f} ms", found.answered, found.asked,
                                           Base::milliseconds(found.took));
    const bool isCutOff = m_hadOtherMembers && found.answered == 0;
    const auto seen = seenVersion(now, pool);
    if (isCutOff || !seen || seen->softwareVersion == 0 || seen->watchedFor < longestStream(pool)) {
        continueStream(now, pending, std::nullopt, source);
        return;
    }
    addTraceEntry(pending, now, Step::LookingUpStream, fmt::format("versions of the pool; {}", source));
    m_versionSurvey.begin(now, pending.request.id, pool, seen->softwareVersion, longestStream(pool));
}

void Home::surveyEnded(Instant now, Pending &pending, const SurveyEnded &survey)
{
    // This host may have heard of another version in the meantime.
    const std::uint32_t pool = pending.classSettings.pool;
    const auto seen = seenVersion(now, pool);
    const bool isOnly
        = survey.agreed && seen && seen->softwareVersion == survey.softwareVersion && seen->watchedFor >= longestStream(pool);
    continueStream(now, pending, isOnly ? std::optional(survey.softwareVersion) : std::nullopt,
                   fmt::format("{} of {} hosts saw only version {}, after {:.1f} ms", survey.agreeing, survey.asked,
                               versionName(survey.softwareVersion), Base::milliseconds(survey.took)));
}

void Home::continueStream(Instant now, Pending &pending, std::optional<std::uint32_t> version, std::string_view source)
{
    addTraceEntry(pending, now, Step::StreamFound,
                  fmt::format("version {}, {}", version ? versionName(*version) : "unknown", source));
    if (!version) {
        fail(now, pending,
             makeError(ErrorKind::StreamOriginUnknown,
                       "it is not known which software version began the stream that the request continues; begin it anew"),
             minRetryAfter);
        return;
    }
    pending.softwareVersion = *version;
    requestEndpoint(now, pending);
}

std::string Home::versionName(std::uint32_t number) const
{
    const auto endpoint
        = std::ranges::find_if(m_catalogue->endpoints(), [this, number](const Configuration::Endpoint &candidate) {
              return m_catalogue->versionNumber(candidate.softwareVersion) == number;
          });
    return endpoint == m_catalogue->endpoints().end() ? fmt::format("{:08x}", number) : endpoint->softwareVersion;
}

void Home::runEnded(Instant now, const RunReport &report)
{
    Pending *pending = find(report.id.request);
    if (pending == nullptr || pending->phase != Phase::Running || pending->attempt != report.id.attempt) {
        return;
    }
    m_localWindow.runEnded(pending->endpoint);
    if (report.stage == RunStage::ResponseComplete) {
        m_runLengths.add(pending->classSettings.name, now - pending->runStartedAt);
    }
    const RunResult result = runResultFor(report);
    release(*pending, report, result);
    addTraceEntry(*pending, now, Step::Ended,
                  fmt::format("{}, status {}, {} tokens, first token after {:.1f} ms, mean gap {:.2f} ms, longest gap {:.0f} ms",
                              Base::nameOf(Peer::runResultNames, result), report.status, report.tokens,
                              Base::milliseconds(report.firstToken), Base::milliseconds(report.gap),
                              Base::milliseconds(report.longestGap)));
    pending->mayHaveRun = pending->mayHaveRun || report.stage == RunStage::Sent || report.stage == RunStage::ResponseComplete;
    pending->sentRuns += mayHaveReachedEndpoint(report.stage) ? 1 : 0;
    m_counters.rejectedRuns += report.stage == RunStage::Rejected ? 1 : 0;
    reportToCrashProtection(now, *pending, report);
    if (report.callerDisconnected) {
        end(report.id.request);
    } else if (report.stage == RunStage::ResponseComplete) {
        finish(report.id.request);
    } else {
        retryOrFail(now, *pending, report);
    }
    enforceQuarantine(now);
}

void Home::reportToCrashProtection(Instant now, const Pending &pending, const RunReport &report)
{
    const std::uint32_t pool = pending.classSettings.pool;
    if (report.stage == RunStage::ResponseComplete) {
        m_crashProtection.runCompleted(
            now, pending.request,
            {pool, pending.firstTokenAt, report.tokens, pending.request.streams && report.endsWithConnection});
    } else if (connectionBroke(report)) {
        m_crashProtection.runBroke(now, pending.request, brokenRun(pending, report));
    }
}

BrokenRun Home::brokenRun(const Pending &pending, const RunReport &report)
{
    return {pending.classSettings.pool, pending.endpoint,   pending.runStartedAt, pending.firstTokenAt,
            pending.request.streams,    report.status != 0, report.pathInDoubt,   report.tokens};
}

/// Tells the protection of runs that have gone on for long enough to show that the parts of their prompts crash no endpoint.
void Home::noteRunsThatWentOn(Instant now)
{
    for (Pending &pending : m_pending | std::views::values) {
        if (pending.phase == Phase::Running && !pending.wentOn && CrashProtection::hasGoneOn(now, pending.firstTokenAt)) {
            pending.wentOn = true;
            m_crashProtection.runWentOn(now, pending.request, pending.classSettings.pool, pending.firstTokenAt);
        }
    }
}

void Home::receive(Instant now, const Peer::Process &from, const Peer::RunBroke &broke)
{
    m_crashProtection.receive(now, from, broke);
    enforceQuarantine(now);
}

void Home::receive(Instant now, const Peer::Process &from, const Peer::QuarantineUpdate &update)
{
    m_crashProtection.receive(now, from, update);
    enforceQuarantine(now);
}

void Home::receive(Instant now, const Peer::Process &from, const Peer::PromptRunBroke &broke)
{
    m_crashProtection.receive(now, from, broke);
    enforceQuarantine(now);
}

void Home::receive(Instant now, const Peer::Process &from, const Peer::SoundPartsQuery &query)
{
    m_crashProtection.receive(now, from, query);
    enforceQuarantine(now);
}

void Home::receive(Instant now, const Peer::Process &from, const Peer::SoundPartsReply &reply)
{
    m_crashProtection.receive(now, from, reply);
    enforceQuarantine(now);
}

/// Sends the messages of the quarantine and ends all requests that have been quarantined: a request that is queued at an endpoint
/// would crash that endpoint too. A run with a quarantined part whose response has begun is left alone: either it crashes its
/// endpoint in any case, or it goes on and clears the part.
void Home::enforceQuarantine(Instant now)
{
    const bool changed = m_crashProtection.takeQuarantined(now);
    std::ranges::move(m_crashProtection.takeMessages(), std::back_inserter(m_actions));
    if (!changed) {
        return;
    }
    std::vector<std::pair<std::uint64_t, QuarantineMatch>> matches;
    for (const auto &[id, pending] : m_pending) {
        const bool hasBegun = pending.phase == Phase::Running && pending.firstTokenAt != Instant {};
        const auto match = m_crashProtection.match(pending.request, pending.classSettings.pool);
        if (match && !(match->part && hasBegun)) {
            matches.emplace_back(id, *match);
        }
    }
    for (const auto &[id, match] : matches) {
        Pending &pending = m_pending.at(id);
        if (pending.phase == Phase::Running) {
            m_crashProtection.runStopped(now, pending.request, brokenRun(pending, {}), match);
        }
        stopRequest(now, pending, quarantineError(match));
    }
    std::ranges::move(m_crashProtection.takeMessages(), std::back_inserter(m_actions));
}

bool Home::mayRetry(const Pending &pending, const RunReport &report) const
{
    const bool canResume = !report.callerSawBytes || pending.classSettings.resumable;
    const bool runsLeft = pending.attempt < maxAttempts && pending.sentRuns < pending.classSettings.maxRuns;
    const bool quarantined = m_crashProtection.match(pending.request, pending.classSettings.pool).has_value();
    return canResume && runsLeft && !quarantined && (pending.classSettings.repeatable || !pending.mayHaveRun);
}

void Home::retryOrFail(Instant now, Pending &pending, const RunReport &report)
{
    if (report.callerSawBytes) {
        bindToVersion(pending);
    }
    // A run that was not sent because its grant was stale takes nothing from the retry budget.
    const bool withoutCharge = report.stage == RunStage::Stale;
    if (mayRetry(pending, report) && now < pending.deadline
        && (withoutCharge || m_retryBudgets.take(m_catalogue->policies(), pending.classSettings.pool, m_random))) {
        if (!withoutCharge) {
            pending.avoid = pending.endpoint;
        }
        ++m_counters.retried;
        addTraceEntry(
            pending, now, Step::Retried,
            fmt::format("{:.1f} retries left", m_retryBudgets.left(m_catalogue->policies(), pending.classSettings.pool)));
        if (pending.runs <= 1 && !withoutCharge) {
            // Retried without delay: the next attempt uses another endpoint, which has no part in the first failure.
            requestEndpoint(now, pending);
        } else {
            backOff(now, pending, initialBackoff * (1U << std::min<unsigned int>(pending.runs, 4)));
        }
        return;
    }
    if (!pending.mayHaveRun) {
        fail(now, pending,
             makeError(ErrorKind::EndpointUnreachable,
                       "no endpoint ran the request: it was unreachable or rejected the request, and no retry is left"),
             std::chrono::seconds(1));
        return;
    }
    const ErrorKind kind = pending.classSettings.repeatable ? ErrorKind::EndpointFailed : ErrorKind::OutcomeUnknown;
    fail(now, pending, makeError(kind, "the endpoint failed during the run; whether it completed the request is unknown"),
         Duration::zero());
}

void Home::bindToVersion(Pending &pending) const
{
    if (m_catalogue->policies().sameVersionStreams && pending.softwareVersion == 0) {
        pending.softwareVersion = pending.runVersion;
    }
}

void Home::withdraw(Pending &pending)
{
    m_actions.emplace_back(
        SendToMember {pending.dispatcher, Peer::Withdrawal {{pending.request.id, pending.attempt}, pending.shard}});
}

void Home::callerDisconnected(Instant now, std::uint64_t request)
{
    Pending *pending = find(request);
    if (pending == nullptr) {
        return;
    }
    addTraceEntry(*pending, now, Step::CallerDisconnected, {});
    if (pending->phase == Phase::Running) {
        // The relay has cancelled the run and will report its end.
        return;
    }
    if (pending->phase == Phase::Asking) {
        withdraw(*pending);
    }
    ++m_counters.failed;
    end(request);
}

bool Home::cancel(Instant now, std::uint64_t request)
{
    Pending *pending = find(request);
    if (pending == nullptr) {
        return false;
    }
    stopRequest(now, *pending, makeError(ErrorKind::Cancelled, "an operator cancelled the request"));
    return true;
}

bool Home::releaseWork(Instant now, std::uint64_t work)
{
    const bool released = m_crashProtection.release(now, work);
    enforceQuarantine(now);
    return released;
}

/// Ends the request in any phase.
void Home::stopRequest(Instant now, Pending &pending, const absl::Status &error)
{
    if (pending.phase == Phase::Asking) {
        withdraw(pending);
    }
    if (pending.phase == Phase::Running) {
        cancelRun(pending);
    }
    fail(now, pending, error, Duration::zero());
}

/// Cancels the current run. Whether the endpoint completed it is unknown from then on.
void Home::cancelRun(Pending &pending)
{
    pending.mayHaveRun = true;
    m_localWindow.runEnded(pending.endpoint);
    const Peer::AttemptId id {pending.request.id, pending.attempt};
    release(pending, {id, RunStage::Sent, false, false, {}, {}, 0, 0}, RunResult::Cancelled);
    m_actions.emplace_back(CancelRun {pending.request.id});
}

/// Ends a request whose deadline has passed.
void Home::expire(Instant now, Pending &pending)
{
    if (pending.phase == Phase::Running) {
        cancelRun(pending);
        fail(now, pending, makeError(ErrorKind::DeadlineExceeded, "the request did not complete before its deadline"),
             Duration::zero());
        return;
    }
    if (pending.phase == Phase::Asking) {
        withdraw(pending);
    }
    fail(now, pending, makeError(ErrorKind::DeadlineExceeded, "the request could not start before its deadline"),
         std::chrono::seconds(1));
}

void Home::fail(Instant now, Pending &pending, const absl::Status &error, Duration retryAfter,
                std::optional<RefusalReason> refusal)
{
    const Outcome outcome = pending.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    ++m_counters.failed;
    addTraceEntry(pending, now, Step::Failed,
                  fmt::format("{}: {}", Base::errorName(Base::errorKind(error)), Base::nameOf(outcomeNames, outcome)));
    m_actions.emplace_back(Fail {pending.request.id, error, outcome, retryAfter, refusal});
    end(pending.request.id);
}

void Home::finish(std::uint64_t request)
{
    ++m_counters.completed;
    m_actions.emplace_back(Finished {request});
    end(request);
}

void Home::end(std::uint64_t request)
{
    const auto entry = m_pending.find(request);
    m_endedTraces.emplace_back(request, std::move(entry->second.trace));
    m_pending.erase(entry);
    if (m_endedTraces.size() > maxEndedTraces) {
        m_endedTraces.pop_front();
    }
}

void Home::connectionLost(Instant now, const std::string &member)
{
    m_unreachable.insert(member);
    // Releases may have been lost. The dispatcher drops each permit that is missing from two reports.
    for (const ShardInfo &shard : m_shards->shards()) {
        if (shard.dispatcher == member) {
            reportRunning(shard.id);
            m_reportedShards.insert(shard.id);
        }
    }
    for (Pending &pending : m_pending | std::views::values) {
        if (pending.phase == Phase::Asking && pending.dispatcher == member) {
            // The ask is sent again at the next tick, in case the connection is back. The repeat delay is reset: the time waited
            // so far does not predict the next reply, and a delay that doubled at each loss overflowed while a dispatcher stayed
            // unreachable.
            pending.queuedAtDispatcher = false;
            pending.repeatAfter = askRepeatDelay;
            pending.askedAt = now - pending.repeatAfter;
            tryLocalWindow(now, pending);
        }
    }
}

void Home::failWaiting(Instant now, const absl::Status &error)
{
    failWaitingIf(now, error, [](const Pending &) { return true; });
}

void Home::limitRuns(Instant now, Instant end, const absl::Status &error)
{
    m_runsEndBy = end;
    m_limitError = error;
    failWaitingIf(now, error, [&](const Pending &pending) { return !endsInTime(now, pending); });
}

bool Home::endsInTime(Instant now, const Pending &pending) const
{
    if (m_runsEndBy == Instant::max()) {
        return true;
    }
    const std::string &name = pending.classSettings.name;
    const std::optional<Duration> length
        = pending.classSettings.repeatable ? m_runLengths.usual(name) : m_runLengths.longest(name);
    const Instant end = length ? std::min(now + *length, pending.deadline) : pending.deadline;
    return end <= m_runsEndBy;
}

template<typename Predicate>
void Home::failWaitingIf(Instant now, const absl::Status &error, Predicate applies)
{
    std::vector<std::uint64_t> waiting;
    for (const auto &[id, pending] : m_pending) {
        if (pending.phase != Phase::Running && applies(pending)) {
            waiting.push_back(id);
        }
    }
    for (const std::uint64_t id : waiting) {
        Pending &pending = m_pending.at(id);
        if (pending.phase == Phase::Asking) {
            withdraw(pending);
        }
        fail(now, pending, error, minRetryAfter);
    }
}

void Home::tick(Instant now)
{
    if (m_runsEndBy != Instant::max()) {
        failWaitingIf(now, m_limitError, [&](const Pending &pending) { return !endsInTime(now, pending); });
    }
    noteRunsThatWentOn(now);
    m_crashProtection.tick(now);
    m_streamOrigins.tick(now);
    m_versionHistory.watch(now);
    m_versionSurvey.tick(now);
    applyOrigins(now);
    m_availabilities.tick(now);
    enforceQuarantine(now);
    std::vector<std::uint64_t> due;
    for (auto &[id, pending] : m_pending) {
        const bool unresponsive
            = pending.phase == Phase::Asking && !pending.queuedAtDispatcher && now - pending.askedAt >= dispatcherTimeout;
        if (unresponsive) {
            bypassDispatcher(now, pending);
        }
    }
    for (auto &[id, pending] : m_pending) {
        const bool bounded = pending.phase != Phase::Running || pending.classSettings.deadlineEndsRun;
        const bool expired = bounded && now >= pending.deadline;
        const bool retry = pending.phase == Phase::BackingOff && now >= pending.retryAt;
        const bool repeat = pending.phase == Phase::Asking && now - pending.askedAt >= pending.repeatAfter;
        if (expired || retry || repeat) {
            due.push_back(id);
        }
    }
    for (const std::uint64_t id : due) {
        Pending &pending = m_pending.at(id);
        if (now >= pending.deadline) {
            expire(now, pending);
        } else if (pending.phase == Phase::BackingOff) {
            requestEndpoint(now, pending);
        } else {
            // Exponential backoff: an ask that waits for long causes little traffic.
            pending.repeatAfter *= 2;
            sendAsk(now, pending);
        }
    }
    if (now >= m_nextReport) {
        m_nextReport = now + reportInterval;
        std::set<std::uint32_t> shards = std::exchange(m_reportedShards, {});
        for (const Pending &pending : m_pending | std::views::values) {
            if (pending.phase == Phase::Running) {
                shards.insert(pending.shard);
            }
        }
        std::ranges::for_each(shards, [this](std::uint32_t shard) { reportRunning(shard); });
    }
}

/// Sends the list of this home's runs at @p shard to the shard's dispatcher.
void Home::reportRunning(std::uint32_t shard)
{
    const ShardInfo *info = m_shards->find(shard);
    if (info == nullptr) {
        return;
    }
    Peer::RunningReport report {shard, {}};
    for (const auto &[id, pending] : m_pending) {
        if (pending.phase == Phase::Running && pending.shard == shard) {
            report.permits.push_back({{id, pending.attempt}, pending.endpoint, pending.request.requestClass});
        }
    }
    if (!report.permits.empty()) {
        // One more report is sent after the last permit has been released, to make up for a lost release.
        m_reportedShards.insert(shard);
    }
    m_actions.emplace_back(SendToMember {info->dispatcher, std::move(report)});
}

std::vector<Action> Home::takeActions()
{
    return std::exchange(m_actions, {});
}

std::size_t Home::active() const
{
    return m_pending.size();
}

const CrashProtection &Home::crashProtection() const
{
    return m_crashProtection;
}

const StreamOrigins &Home::streamOrigins() const
{
    return m_streamOrigins;
}

const HomeCounters &Home::counters() const
{
    return m_counters;
}

std::vector<RequestView> Home::requests(Instant now) const
{
    std::vector<RequestView> views;
    views.reserve(m_pending.size());
    for (const auto &[id, pending] : m_pending) {
        views.push_back({id, std::string(Base::nameOf(phaseNames, pending.phase)), pending.request.requestClass,
                         pending.request.organisation, pending.shard, pending.phase == Phase::Running ? pending.endpoint : 0,
                         pending.attempt, now - pending.arrival, pending.dispatcher});
    }
    return views;
}

const std::vector<TraceEntry> *Home::trace(std::uint64_t request) const
{
    const auto pending = m_pending.find(request);
    if (pending != m_pending.end()) {
        return &pending->second.trace;
    }
    const auto ended = std::ranges::find(m_endedTraces, request, &std::pair<std::uint64_t, std::vector<TraceEntry>>::first);
    return ended == m_endedTraces.end() ? nullptr : &ended->second;
}

} // namespace Yokepond::Request
