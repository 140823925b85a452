// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/frontend.h"

#include "Base/error.h"
#include "Base/hash.h"
#include "Base/log.h"
#include "Base/text.h"
#include "Node/errorresponse.h"
#include "Node/routing.h"

#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>

namespace Yokepond::Node {

namespace {

using Base::ErrorKind;
using Base::makeError;
using Configuration::Organisation;
using Configuration::PoolKind;
using Configuration::RequestClass;
using Relay::CallArrived;
using Request::OperationRecord;
using Request::OperationState;
using Request::Outcome;

constexpr std::string_view servicePrefix = "/v1/services/";
constexpr std::size_t maxKeyLength = 256;
constexpr std::size_t maxUnusedTickets = 200'000;
constexpr std::size_t maxAbandonedClaims = 10'000;
constexpr int httpCreated = 201;
/// Retry delay that a stopping host returns. It is short since the retry reaches another host.
constexpr Base::Duration stoppingRetryAfter = std::chrono::milliseconds(1);
/// Retry delay in the refusal of a request that this host cannot route at present.
constexpr Base::Duration refusedRetryAfter = std::chrono::milliseconds(300);

bool isCompletion(std::string_view path)
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

} // namespace

Frontend::Frontend(const Settings &settings, std::uint64_t incarnation, Fleet &fleet, Request::Home &home, Metrics &metrics,
                   FrontendCallbacks callbacks)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_fleet(fleet)
    , m_home(home)
    , m_metrics(metrics)
    , m_callbacks(std::move(callbacks))
    , m_operations(settings.operations)
    , m_journal(fleet.table(), settings.name, incarnation)
    , m_forwarder(fleet, incarnation,
                  {.relay = m_callbacks.relay,
                   .send = m_callbacks.send,
                   .respond = [this](std::uint64_t call, Http::Response response) { respond(call, std::move(response)); },
                   .homeLost = [this](const OperationCall &call) { respondFromJournal(call); }})
{
}

std::string Frontend::requestName(std::uint64_t id) const
{
    return Peer::requestName({m_settings.name, m_incarnation}, id);
}

std::optional<std::uint64_t> Frontend::requestNumber(const std::string &name) const
{
    return Peer::requestNumber({m_settings.name, m_incarnation}, name);
}

// --- Arrival of requests

void Frontend::callArrived(const CallArrived &call)
{
    if (m_settings.platformForm == PlatformForm::Records) {
        handleCallByRoute(call);
        return;
    }
    const Organisation *organisation = call.keyDigest.empty() ? nullptr : m_fleet.catalogue()->organisationByKey(call.keyDigest);
    if (organisation == nullptr) {
        refuse(call.id, makeError(ErrorKind::Unauthenticated, "send Authorization: Bearer KEY with the key of an organisation"));
        return;
    }
    if (!call.error.ok()) {
        refuse(call.id, call.error);
        return;
    }
    handleCallByPath(call, *organisation);
}

void Frontend::handleCallByRoute(const CallArrived &call)
{
    const auto catalogue = m_fleet.catalogue();
    auto routed = routeRequest(*catalogue, call);
    if (!routed.ok()) {
        refuse(call.id, routed.status(), Outcome::NotRun, refusedRetryAfter, call.callerRequestId);
        return;
    }
    const RequestClass &requestClass = *routed->requestClass;
    AdmittedRequest admitted;
    admitted.id = call.id;
    admitted.requestClass = requestClass;
    admitted.engine = catalogue->poolByNumber(requestClass.pool) != nullptr
        && catalogue->poolByNumber(requestClass.pool)->kind == PoolKind::Engine;
    admitted.arrived = Base::now();
    admitted.callerRequestId = call.callerRequestId;
    admitted.resumedRequestId = call.resumedRequestId;
    admitted.lastEventId = call.lastEventId;
    if (routed->organisation != nullptr) {
        admitted.organisation = routed->organisation->number;
        admitted.organisationName = routed->organisation->name;
        admitted.organisationRank = routed->organisation->rank.value_or(0);
    }
    const bool limited = call.timeLeft > Base::Duration::zero();
    admitted.deadline = admitted.arrived + (limited ? std::min(call.timeLeft, requestClass.deadline) : requestClass.deadline);
    if (!mayBeAdmitted(admitted)) {
        refuse(call.id, stoppingError(), Outcome::NotRun, stoppingRetryAfter);
        return;
    }
    startRequest(call, std::move(admitted));
}

bool Frontend::mayBeAdmitted(const AdmittedRequest &admitted) const
{
    return admitted.arrived < m_admissionLimitedFrom || admitted.deadline < m_stopDeadline;
}

void Frontend::limitAdmission(Base::Instant from, Base::Instant end)
{
    m_admissionLimitedFrom = from;
    m_stopDeadline = end;
}

std::uint64_t Frontend::runsOutsidePool() const
{
    return m_runsOutsidePool;
}

void Frontend::handleCallByPath(const CallArrived &call, const Organisation &organisation)
{
    if (call.method == "GET" && call.path == "/v1/models") {
        listModels(call.id);
        return;
    }
    if (call.method == "POST" && call.path == "/v1/tickets") {
        issueTicket(call.id, organisation);
        return;
    }
    absl::StatusOr<AdmittedRequest> admitted = admit(call, organisation);
    if (!admitted.ok()) {
        refuse(call.id, admitted.status());
        return;
    }
    startRequest(call, std::move(*admitted));
}

absl::StatusOr<Frontend::AdmittedRequest> Frontend::admit(const CallArrived &call, const Organisation &organisation) const
{
    AdmittedRequest admitted;
    admitted.id = call.id;
    admitted.organisation = organisation.number;
    admitted.arrived = Base::now();
    std::string_view path = call.path;
    std::string_view pool;
    if (call.method == "POST" && isCompletion(path)) {
        admitted.path = call.path;
    } else if (Base::consumePrefix(path, servicePrefix)) {
        const std::size_t slash = path.find('/');
        pool = path.substr(0, slash);
        admitted.path = slash == std::string_view::npos ? "/" : std::string(path.substr(slash));
        admitted.engine = false;
    } else {
        return makeError(
            ErrorKind::NotFound,
            "expected POST /v1/chat/completions, /v1/completions or /v1/tickets, GET /v1/models, or /v1/services/POOL/PATH");
    }
    const auto requestClass = selectClass(call, organisation, pool);
    if (!requestClass.ok()) {
        return requestClass.status();
    }
    admitted.requestClass = **requestClass;
    if (admitted.requestClass.repeatable) {
        return admitted;
    }
    if (call.idempotencyKey.empty()) {
        return makeError(
            ErrorKind::KeyRequired,
            fmt::format(
                "class '{}' may not be repeated; send Idempotency-Key with a ticket from POST /v1/tickets or a key of your own",
                admitted.requestClass.name));
    }
    if (call.idempotencyKey.size() > maxKeyLength) {
        return makeError(ErrorKind::KeyInvalid, fmt::format("the Idempotency-Key is longer than {} bytes", maxKeyLength));
    }
    admitted.operationKey = call.idempotencyKey;
    admitted.bodyDigest = call.bodyDigest;
    return admitted;
}

absl::StatusOr<const RequestClass *> Frontend::selectClass(const CallArrived &call, const Organisation &organisation,
                                                           std::string_view servicePool) const
{
    const auto catalogue = m_fleet.catalogue();
    const std::string &name = call.className.empty() ? organisation.defaultClass : call.className;
    if (name.empty()) {
        return makeError(ErrorKind::UnknownClass,
                         fmt::format("send Yokepond-Class; organisation '{}' has no default class", organisation.name));
    }
    const RequestClass *requestClass = catalogue->classByName(name);
    if (requestClass == nullptr) {
        return makeError(ErrorKind::UnknownClass, fmt::format("there is no class '{}'", name));
    }
    const Configuration::Pool *pool = catalogue->poolByNumber(requestClass->pool);
    const PoolKind kind = servicePool.empty() ? PoolKind::Engine : PoolKind::Service;
    if (pool == nullptr || pool->kind != kind || (kind == PoolKind::Service && pool->name != servicePool)) {
        return makeError(
            ErrorKind::InvalidRequest,
            fmt::format("class '{}' is served by pool '{}', not by this path", name, pool == nullptr ? "" : pool->name));
    }
    if (!call.model.empty() && !pool->model.empty() && call.model != pool->model) {
        return makeError(ErrorKind::InvalidRequest,
                         fmt::format("class '{}' is served by model '{}', not '{}'", name, pool->model, call.model));
    }
    return requestClass;
}

void Frontend::startRequest(const CallArrived &call, AdmittedRequest admitted)
{
    ++m_metrics.forClass(admitted.requestClass.name).arrived;
    if (admitted.operationKey.empty()) {
        startHere(call, std::move(admitted));
    } else if (Request::looksLikeTicket(admitted.operationKey)) {
        startWithTicket(call, std::move(admitted));
    } else {
        startWithClaim(call, std::move(admitted));
    }
}

void Frontend::startHere(const CallArrived &call, AdmittedRequest admitted)
{
    Request::NewRequest request;
    request.id = call.id;
    request.requestClass = admitted.requestClass.number;
    request.organisation = admitted.organisation;
    request.promptTokens = call.promptTokens;
    request.prefix = call.prefix;
    request.prefixTokens = call.prefixTokens;
    request.parts = call.parts;
    admitted.parts = call.parts;
    request.expectedTokens = call.expectedTokens;
    request.rank = admitted.organisationRank;
    request.timeLeft = call.timeLeft;
    admitted.work = Base::combineHashes(call.work, admitted.organisation);
    request.work = admitted.work;
    request.continuesStream = !call.lastEventId.empty() || !call.resumedRequestId.empty();
    const std::string &firstRequestId = request.continuesStream ? call.resumedRequestId : call.callerRequestId;
    request.stream = firstRequestId.empty() ? 0 : Base::combineHashes(Base::hash64(firstRequestId), admitted.organisation);
    request.streams = call.streams || admitted.requestClass.streams;
    m_admitted.emplace(call.id, std::move(admitted));
    m_home.start(Base::now(), request);
}

// --- Operations that run at most once

void Frontend::startOperation(const CallArrived &call, AdmittedRequest admitted)
{
    const OperationState state
        = m_operations.begin(Base::now(), admitted.organisation, admitted.operationKey, admitted.bodyDigest, call.id);
    switch (state) {
    case OperationState::New:
        startHere(call, std::move(admitted));
        return;
    case OperationState::Running:
        if (call.waitForRun) {
            m_operations.wait(admitted.organisation, admitted.operationKey, call.id);
            admitted.waiting = true;
            m_admitted.emplace(call.id, std::move(admitted));
            return;
        }
        refuse(call.id, makeError(ErrorKind::InProgress, "the operation is still running; retry later, or send Prefer: wait"),
               Outcome::Unknown);
        return;
    case OperationState::ResponseStored: {
        Http::Response response = m_operations.storedResponse(admitted.organisation, admitted.operationKey);
        response.headers.push_back({"yokepond-request", requestName(call.id)});
        response.headers.push_back({"yokepond-outcome", "completed"});
        response.headers.push_back({"yokepond-replayed", "yes"});
        respond(call.id, std::move(response));
        return;
    }
    case OperationState::ResponseDropped:
        refuse(call.id, makeError(ErrorKind::ResponseNotStored, "the operation completed; its response is no longer stored"),
               Outcome::Completed);
        return;
    case OperationState::Unknown:
        refuse(call.id,
               makeError(ErrorKind::OutcomeUnknown, "it is unknown whether the operation completed; it will not be run again"),
               Outcome::Unknown);
        return;
    case OperationState::OtherBody:
        refuse(call.id, makeError(ErrorKind::KeyReused, "the Idempotency-Key was used for another request; take a new one"));
        return;
    case OperationState::Full:
        refuse(call.id, makeError(ErrorKind::Overloaded, "this host stores too many operations; retry at another host"),
               Outcome::NotRun, std::chrono::seconds(1));
        return;
    }
}

void Frontend::issueTicket(std::uint64_t call, const Organisation &organisation)
{
    if (m_unusedTickets.size() >= maxUnusedTickets) {
        refuse(call, makeError(ErrorKind::Overloaded, "too many issued tickets are unused; retry later"), Outcome::NotRun,
               std::chrono::seconds(1));
        return;
    }
    const Request::Ticket ticket {m_settings.name, m_incarnation, m_nextTicket++, organisation.number};
    m_unusedTickets.emplace(ticket.number, Base::now());
    const nlohmann::json body = {{"ticket", ticketToText(ticket, m_settings.ticketSecret)}};
    respond(call,
            {httpCreated,
             {{"content-type", std::string(Http::jsonType)},
              {"yokepond-request", requestName(call)},
              {"yokepond-outcome", "completed"}},
             body.dump() + "\n"});
}

void Frontend::startWithTicket(const CallArrived &call, AdmittedRequest admitted)
{
    const auto ticket = Request::ticketFromText(admitted.operationKey, m_settings.ticketSecret);
    if (!ticket.ok()) {
        refuse(call.id, ticket.status());
        return;
    }
    if (ticket->organisation != admitted.organisation) {
        refuse(call.id, makeError(ErrorKind::KeyInvalid, "the ticket was issued to another organisation"));
        return;
    }
    if (ticket->home == m_settings.name && ticket->incarnation == m_incarnation) {
        const bool unused = m_unusedTickets.erase(ticket->number) > 0;
        if (!unused && !m_operations.contains(admitted.organisation, admitted.operationKey)) {
            // The ticket was used, or it expired. If its outcome is still known, it is in the table.
            respondFromJournal(operationCall(admitted));
            return;
        }
        startOperation(call, std::move(admitted));
        return;
    }
    if (!call.forwarded && m_forwarder.isPresent(ticket->home, ticket->incarnation)) {
        m_forwarder.forward(operationCall(admitted), *call.fullRequest, ticket->home, ticket->incarnation);
        return;
    }
    respondFromJournal(operationCall(admitted));
}

void Frontend::startWithClaim(const CallArrived &call, AdmittedRequest admitted)
{
    if (m_operations.contains(admitted.organisation, admitted.operationKey)) {
        startOperation(call, std::move(admitted));
        return;
    }
    m_claiming.insert(call.id);
    const std::string bodyDigest = admitted.bodyDigest;
    const std::string key = Request::operationKey(admitted.organisation, admitted.operationKey);
    m_journal.claim(
        key, bodyDigest,
        [this, call, admitted = std::move(admitted)](Request::ClaimResult result, const OperationRecord &record) mutable {
            const bool callerConnected = m_claiming.erase(call.id) > 0;
            if (result == Request::ClaimResult::Unavailable || (result == Request::ClaimResult::Acquired && !callerConnected)) {
                // The claim may already be in the table, or may still be written to it. Its token is kept, so that a retry can
                // recognise that the claimed operation has not run.
                if (m_abandonedClaims.size() < maxAbandonedClaims) {
                    m_abandonedClaims.insert(record.token);
                }
            }
            if (!callerConnected) {
                return;
            }
            switch (result) {
            case Request::ClaimResult::Acquired:
                admitted.record = record;
                startOperation(call, std::move(admitted));
                return;
            case Request::ClaimResult::AlreadyClaimed:
                handleExistingClaim(call, std::move(admitted), record);
                return;
            case Request::ClaimResult::Unavailable:
                refuse(
                    call.id,
                    makeError(ErrorKind::StoreUnavailable,
                              "the key cannot be claimed while the table service is unreachable; a ticket from POST /v1/tickets "
                              "works without it"),
                    Outcome::NotRun, std::chrono::seconds(2));
                return;
            }
        });
}

void Frontend::handleExistingClaim(const CallArrived &call, AdmittedRequest admitted, const OperationRecord &record)
{
    if (record.bodyDigest != admitted.bodyDigest) {
        refuse(call.id, makeError(ErrorKind::KeyReused, "the Idempotency-Key was used for another request; take a new one"));
        return;
    }
    const bool claimedHere = record.home == m_settings.name && record.incarnation == m_incarnation;
    const bool abandoned = claimedHere && m_abandonedClaims.erase(record.token) > 0;
    if (abandoned || m_operations.contains(admitted.organisation, admitted.operationKey)) {
        admitted.record = record;
        startOperation(call, std::move(admitted));
        return;
    }
    if (!record.outcome && !claimedHere && !call.forwarded && m_forwarder.isPresent(record.home, record.incarnation)) {
        m_forwarder.forward(operationCall(admitted), *call.fullRequest, record.home, record.incarnation);
        return;
    }
    if (record.outcome == Outcome::Completed) {
        refuse(call.id,
               makeError(ErrorKind::ResponseNotStored, "the operation completed; its response is not stored on this host"),
               Outcome::Completed);
        return;
    }
    refuse(call.id, makeError(ErrorKind::OutcomeUnknown, "it is unknown whether the operation ran; it will not be run again"),
           Outcome::Unknown);
}

OperationCall Frontend::operationCall(const AdmittedRequest &admitted)
{
    return {admitted.id, admitted.organisation, admitted.operationKey, admitted.bodyDigest};
}

void Frontend::respondFromJournal(const OperationCall &call)
{
    const std::string key = Request::operationKey(call.organisation, call.key);
    m_journal.lookup(key, [this, call](const absl::StatusOr<std::optional<OperationRecord>> &found) {
        const OperationRecord *record = found.ok() && *found ? &**found : nullptr;
        if (record != nullptr && record->bodyDigest != call.bodyDigest) {
            refuse(call.call,
                   makeError(ErrorKind::KeyReused, "the Idempotency-Key was used for another request; take a new one"));
        } else if (record != nullptr && record->outcome == Outcome::Completed) {
            refuse(call.call,
                   makeError(ErrorKind::ResponseNotStored, "the operation completed; its response is no longer stored"),
                   Outcome::Completed);
        } else {
            refuse(
                call.call,
                makeError(ErrorKind::OutcomeUnknown,
                          "no outcome of the operation is known to this host or the table service; it may have run, and will not "
                          "be run again"),
                Outcome::Unknown);
        }
    });
}

void Frontend::finishOperation(const AdmittedRequest &admitted, Outcome outcome, const std::optional<Http::Response> &response,
                               const absl::Status &error)
{
    if (admitted.operationKey.empty() || admitted.waiting) {
        return;
    }
    const std::vector<std::uint64_t> waiting = m_operations.end(Base::now(), admitted.id, outcome, response);
    if (outcome == Outcome::NotRun) {
        // A retry may use the same ticket or claim.
        if (!admitted.record.token.empty()) {
            m_abandonedClaims.insert(admitted.record.token);
        } else if (const auto ticket = Request::ticketFromText(admitted.operationKey, m_settings.ticketSecret); ticket.ok()) {
            m_unusedTickets.emplace(ticket->number, Base::now());
        }
    } else {
        OperationRecord record = admitted.record;
        record.home = m_settings.name;
        record.incarnation = m_incarnation;
        record.bodyDigest = admitted.bodyDigest;
        record.outcome = outcome;
        m_journal.record(Request::operationKey(admitted.organisation, admitted.operationKey), std::move(record));
    }
    for (const std::uint64_t call : waiting) {
        m_admitted.erase(call);
        if (response) {
            Http::Response copy = *response;
            copy.headers.push_back({"yokepond-request", requestName(call)});
            copy.headers.push_back({"yokepond-outcome", "completed"});
            copy.headers.push_back({"yokepond-replayed", "yes"});
            respond(call, std::move(copy));
        } else {
            refuse(call,
                   error.ok()
                       ? makeError(ErrorKind::ResponseNotStored, "the operation completed; its response was too large to store")
                       : error,
                   outcome);
        }
    }
}

// --- Runs

/// Returns what decides which endpoints may serve the request. The numbers of its class and organisation may have changed since
/// it arrived.
Configuration::EndpointCriteria Frontend::criteriaFor(const Configuration::Catalogue &catalogue, const AdmittedRequest &admitted,
                                                      std::uint32_t softwareVersion)
{
    const RequestClass *requestClass = catalogue.classByName(admitted.requestClass.name);
    const Organisation *organisation = catalogue.organisationByName(admitted.organisationName);
    return {requestClass == nullptr ? admitted.requestClass.number : requestClass->number,
            organisation == nullptr ? admitted.organisation : organisation->number, softwareVersion};
}

/// The last check before a run leaves this host. Numbers stand for endpoints and pools on the way here; names decide.
bool Frontend::isOutsidePool(const Request::StartRun &run, const AdmittedRequest &admitted,
                             const Configuration::Endpoint &endpoint)
{
    const std::string &pool = admitted.requestClass.poolName;
    if (endpoint.poolName == pool) {
        return false;
    }
    ++m_runsOutsidePool;
    Base::log(Base::LogLevel::Warning, Base::LogEvent::RunOutsidePool,
              {{"request", requestName(run.id.request)},
               {"endpoint", endpoint.name},
               {"endpoint-pool", endpoint.poolName},
               {"pool", pool}});
    return true;
}

void Frontend::startRun(const Request::StartRun &run)
{
    const auto entry = m_admitted.find(run.id.request);
    const auto catalogue = m_fleet.catalogue();
    const Configuration::Endpoint *endpoint = catalogue->endpointByNumber(run.endpoint);
    if (entry != m_admitted.end() && endpoint != nullptr && isOutsidePool(run, entry->second, *endpoint)) {
        m_home.runEnded(Base::now(), {.id = run.id, .stage = Request::RunStage::Stale});
        return;
    }
    // The dispatcher may not know yet that the endpoint is leaving or was removed, or in which regions the request is served.
    const auto mayUse = [&](const Configuration::Endpoint *candidate, std::uint32_t softwareVersion) {
        return candidate != nullptr && candidate->acceptsRequests()
            && catalogue->mayServe(*candidate, criteriaFor(*catalogue, entry->second, softwareVersion));
    };
    if (entry == m_admitted.end() || !mayUse(endpoint, run.softwareVersion)) {
        m_home.runEnded(Base::now(), {.id = run.id, .stage = Request::RunStage::Stale});
        return;
    }
    AdmittedRequest &admitted = entry->second;
    admitted.endpoint = endpoint->name;
    Relay::Run command;
    command.id = run.id;
    command.requestName = requestName(run.id.request);
    command.callerRequestId = admitted.callerRequestId;
    command.endpoint = endpoint->name;
    command.endpointNumber = endpoint->number;
    command.organisation = admitted.organisationName;
    command.deadline = admitted.deadline;
    command.address = endpoint->address.text();
    const std::map<std::string, std::string> &regions = catalogue->parts().regions;
    if (const auto region = regions.find(endpoint->dataCentre); region != regions.end()) {
        command.region = region->second;
    }
    // The keeper is an endpoint that has a part of the prompt in its cache. The run would wait for one that is leaving or was
    // removed.
    // Cached prompts do not depend on the software version.
    if (const auto *keeper = catalogue->endpointByNumber(run.keeper); mayUse(keeper, 0)) {
        command.keeper = keeper->address.text();
    }
    command.path = admitted.path;
    command.engine = admitted.engine;
    const Configuration::Urgency urgency = urgencyOf(admitted.requestClass, admitted.organisationRank);
    command.tierRank = urgency.tierRank;
    command.urgency = catalogue->urgencyScale(admitted.requestClass.pool).levelOf(urgency);
    command.repeatable = admitted.requestClass.repeatable;
    command.reportRate = run.reportRate;
    command.reportFirstToken = run.reportFirstToken;
    command.reportResponse = !admitted.operationKey.empty();
    command.operationKey = admitted.operationKey;
    command.fence
        = endpoint->checksFence ? fmt::format("{:016x}.{:016x}.{:03}", m_incarnation, run.id.request, run.id.attempt) : "";
    command.startBy = run.startBy;
    m_callbacks.relay(std::move(command));
}

void Frontend::cancelRun(const Request::CancelRun &cancel)
{
    m_callbacks.relay(Relay::Stop {cancel.request});
}

void Frontend::endpointAdvertised(const Relay::EndpointAdvertised &advertised)
{
    m_home.endpointAdvertised(Base::now(), advertised.id, advertised.endpoint, advertised.advertisement);
}

void Frontend::runReported(Relay::RunEnded over)
{
    const auto entry = m_admitted.find(over.report.id.request);
    if (entry != m_admitted.end()) {
        AdmittedRequest &admitted = entry->second;
        admitted.runResponse = std::move(over.response);
        admitted.lastRun = over.report;
        ClassMetrics &metrics = m_metrics.forClass(admitted.requestClass.name);
        const bool whole = over.report.stage == Request::RunStage::ResponseComplete;
        metrics.tokens += over.report.tokens;
        metrics.wastedTokens += whole ? 0 : over.report.tokens;
        if (whole) {
            const Base::Duration total = Base::now() - admitted.arrived;
            const Base::Duration streaming = over.report.gap * (over.report.tokens > 0 ? over.report.tokens - 1 : 0);
            const Base::Duration firstToken = total - streaming;
            const bool attained
                = firstToken <= admitted.requestClass.firstToken && over.report.gap <= admitted.requestClass.tokenGap;
            metrics.firstToken.add(firstToken);
            metrics.total.add(total);
            metrics.attained += attained ? 1 : 0;
            metrics.attainedTokens += attained ? over.report.tokens : 0;
        }
    }
    m_home.runEnded(Base::now(), over.report);
    if (!over.report.callerDisconnected) {
        return;
    }
    if (const auto disconnected = m_admitted.find(over.report.id.request); disconnected != m_admitted.end()) {
        const AdmittedRequest admitted = std::move(disconnected->second);
        m_admitted.erase(disconnected);
        logRequestEnd(admitted, Outcome::Unknown,
                      makeError(ErrorKind::CallerDisconnected, "the caller disconnected while the request ran"));
        const Outcome outcome = over.report.stage == Request::RunStage::Stale ? Outcome::NotRun : Outcome::Unknown;
        finishOperation(admitted, outcome, std::nullopt,
                        makeError(ErrorKind::CallerDisconnected, "the caller that started the operation disconnected"));
    }
}

void Frontend::fail(const Request::Fail &fail)
{
    const auto entry = m_admitted.find(fail.request);
    if (entry != m_admitted.end()) {
        const AdmittedRequest admitted = std::move(entry->second);
        m_admitted.erase(entry);
        ClassMetrics &metrics = m_metrics.forClass(admitted.requestClass.name);
        ++metrics.failed;
        metrics.refused += fail.outcome == Outcome::NotRun ? 1 : 0;
        logRequestEnd(admitted, fail.outcome, fail.error, fail.refusal);
        finishOperation(admitted, fail.outcome, std::nullopt, fail.error);
    }
    Relay::Respond failure {fail.request, errorResponseFor(fail.error, fail.outcome, fail.request, fail.retryAfter)};
    failure.preferEndpointResponse = fail.outcome == Outcome::Unknown;
    m_callbacks.relay(std::move(failure));
}

void Frontend::finished(const Request::Finished &finished)
{
    const auto entry = m_admitted.find(finished.request);
    if (entry == m_admitted.end()) {
        return;
    }
    const AdmittedRequest admitted = std::move(entry->second);
    m_admitted.erase(entry);
    ++m_metrics.forClass(admitted.requestClass.name).completed;
    logRequestEnd(admitted, Outcome::Completed, absl::OkStatus());
    finishOperation(admitted, Outcome::Completed, admitted.runResponse, absl::OkStatus());
}

void Frontend::callerDisconnected(std::uint64_t id)
{
    m_claiming.erase(id);
    const auto entry = m_admitted.find(id);
    if (entry == m_admitted.end()) {
        return;
    }
    if (entry->second.waiting) {
        m_operations.stopWaiting(id);
        m_admitted.erase(entry);
        return;
    }
    const bool operation = !entry->second.operationKey.empty();
    const AdmittedRequest admitted = entry->second;
    const std::size_t before = m_home.active();
    m_home.callerDisconnected(Base::now(), id);
    if (m_home.active() < before) {
        // The request had not started, so it ends here.
        m_admitted.erase(id);
        logRequestEnd(admitted, Outcome::NotRun,
                      makeError(ErrorKind::CallerDisconnected, "the caller disconnected before the request ran"));
        if (operation) {
            finishOperation(
                admitted, Outcome::NotRun, std::nullopt,
                makeError(ErrorKind::CallerDisconnected, "the caller that started the operation disconnected before it ran"));
        }
    }
}

// --- Responses

void Frontend::respond(std::uint64_t call, Http::Response response)
{
    m_callbacks.relay(Relay::Respond {call, std::move(response)});
}

void Frontend::refuse(std::uint64_t call, const absl::Status &error, Outcome outcome, Base::Duration retryAfter,
                      const std::string &callerRequestId)
{
    logRefusal(call, error, outcome, callerRequestId);
    respond(call, errorResponseFor(error, outcome, call, retryAfter));
}

/// Adds to the fields of a request's line which endpoints this host knows, and for how long other hosts have known of others.
void Frontend::addRecordFields(nlohmann::json &fields) const
{
    if (m_settings.platformForm != PlatformForm::Records) {
        return;
    }
    fields["endpoints-version"] = m_fleet.recordRevisions().endpoints;
    const Base::Duration differs = m_fleet.recordsDifferFor(Base::now());
    if (differs > Base::Duration::zero()) {
        fields["records-differ-ms"] = Base::milliseconds(differs);
    }
}

/// Logs the end of a request that was refused before it was passed to the home.
void Frontend::logRefusal(std::uint64_t call, const absl::Status &error, Outcome outcome,
                          const std::string &callerRequestId) const
{
    nlohmann::json fields = {{"request", requestName(call)},
                             {"outcome", Base::nameOf(Request::outcomeNames, outcome)},
                             {"error", Base::errorName(Base::errorKind(error))},
                             {"reason", Base::messageOf(error)},
                             {"revision", m_fleet.revision()}};
    if (!callerRequestId.empty()) {
        fields["caller"] = callerRequestId;
    }
    addRecordFields(fields);
    const ErrorKind kind = Base::errorKind(error);
    const bool mayComeFromConfiguration = kind == ErrorKind::NotFound || kind == ErrorKind::Unauthenticated;
    if (mayComeFromConfiguration && m_settings.platformForm == PlatformForm::Records) {
        const ActiveConfiguration &current = m_fleet.activeConfiguration();
        fields["configuration-version"] = current.version;
        fields["configuration-from"] = current.from;
        fields["configuration-ms"] = Base::milliseconds(Base::now() - current.since);
    }
    Base::log(Base::LogLevel::Info, Base::LogEvent::RequestEnded, std::move(fields));
}

/// Logs one line for a request that ended. The line has all steps of its trace, unless the first attempt succeeded.
void Frontend::logRequestEnd(const AdmittedRequest &admitted, Outcome outcome, const absl::Status &error,
                             std::optional<Peer::RefusalReason> refusal) const
{
    const Base::Instant now = Base::now();
    const Request::RunReport &run = admitted.lastRun;
    nlohmann::json fields = {{"request", requestName(admitted.id)},
                             {"class", admitted.requestClass.name},
                             {"class-rank", admitted.requestClass.rank},
                             {"rank", urgencyOf(admitted.requestClass, admitted.organisationRank).rank},
                             {"work", Base::hexadecimal(admitted.work)},
                             {"outcome", Base::nameOf(Request::outcomeNames, outcome)},
                             {"ms", Base::milliseconds(now - admitted.arrived)},
                             {"endpoint", admitted.endpoint},
                             {"status", run.status},
                             {"first-ms", Base::milliseconds(run.firstToken)},
                             {"events", run.tokens},
                             {"revision", m_fleet.revision()}};
    addRecordFields(fields);
    if (!admitted.callerRequestId.empty()) {
        fields["caller"] = admitted.callerRequestId;
    }
    if (!admitted.resumedRequestId.empty()) {
        fields["resumes"] = admitted.resumedRequestId;
    }
    if (!admitted.lastEventId.empty()) {
        fields["after-event"] = admitted.lastEventId;
    }
    const bool continuesStream = !admitted.lastEventId.empty();
    const bool succeededAtOnce = outcome == Outcome::Completed && run.id.attempt <= 1 && !continuesStream;
    if (!succeededAtOnce) {
        fields["steps"] = traceSteps(admitted);
    }
    if (!error.ok()) {
        fields["error"] = Base::errorName(Base::errorKind(error));
        fields["reason"] = Base::messageOf(error);
    }
    if (refusal) {
        fields["cause"] = Base::nameOf(Peer::refusalReasonNames, *refusal);
    }
    if (!succeededAtOnce && !admitted.parts.empty()) {
        std::vector<std::string> parts;
        std::ranges::transform(admitted.parts, std::back_inserter(parts), Base::hexadecimal);
        fields["parts"] = parts;
    }
    Base::log(Base::LogLevel::Info, Base::LogEvent::RequestEnded, std::move(fields));
}

nlohmann::json Frontend::traceSteps(const AdmittedRequest &admitted) const
{
    nlohmann::json steps = nlohmann::json::array();
    if (const std::vector<Request::TraceEntry> *trace = m_home.trace(admitted.id)) {
        for (const Request::TraceEntry &entry : *trace) {
            const double after = Base::milliseconds(entry.at - admitted.arrived);
            steps.push_back(fmt::format("{:.1f} {} {}", after, Base::nameOf(Request::stepNames, entry.step), entry.detail));
        }
    }
    return steps;
}

Http::Response Frontend::errorResponseFor(const absl::Status &error, Outcome outcome, std::uint64_t call,
                                          Base::Duration retryAfter) const
{
    Http::Response response = errorResponse(error, outcome, requestName(call), retryAfter);
    if (m_settings.platformForm == PlatformForm::Records) {
        response.status = statusByOutcome(error, outcome);
        // With PlatformForm::Records, callers accept fractions of a second. Rounded up to a whole second, the delay would use up
        // most of the time that some callers wait for a response.
        const auto header = std::ranges::find(response.headers, "retry-after", &Http::Header::name);
        if (header != response.headers.end()) {
            header->value = fmt::format("{:.3f}", Base::seconds(retryAfter));
        }
    }
    return response;
}

void Frontend::listModels(std::uint64_t call)
{
    std::set<std::string> models;
    for (const Configuration::Pool &pool : m_fleet.catalogue()->pools()) {
        if (pool.kind == PoolKind::Engine && !pool.model.empty()) {
            models.insert(pool.model);
        }
    }
    nlohmann::json list = nlohmann::json::array();
    for (const std::string &model : models) {
        list.push_back({{"id", model}, {"object", "model"}, {"owned_by", "yokepond"}});
    }
    const nlohmann::json body = {{"object", "list"}, {"data", list}};
    respond(call,
            {200,
             {{"content-type", std::string(Http::jsonType)},
              {"yokepond-request", requestName(call)},
              {"yokepond-outcome", "completed"}},
             body.dump() + "\n"});
}

void Frontend::tick(Base::Instant now)
{
    m_operations.tick(now);
    m_journal.flush();
    m_forwarder.tick(now);
    std::erase_if(m_unusedTickets, [&](const auto &entry) { return now - entry.second > m_settings.operations.retention; });
}

std::size_t Frontend::open() const
{
    return m_admitted.size() + m_claiming.size() + m_forwarder.open();
}

std::size_t Frontend::unrecorded() const
{
    return m_journal.pendingOutcomes();
}

Forwarder &Frontend::forwarder()
{
    return m_forwarder;
}

const Frontend::OperationJournal &Frontend::journal() const
{
    return m_journal;
}

const Request::Operations &Frontend::operations() const
{
    return m_operations;
}

} // namespace Yokepond::Node
