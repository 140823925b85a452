// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Handles callers' requests before and after the scheduling decisions of Request::Home: authentication, selection of the class,
/// idempotency keys, and the final response.

#pragma once

#include "Configuration/catalogue.h"
#include "Node/fleet.h"
#include "Node/forwarder.h"
#include "Node/metrics.h"
#include "Node/settings.h"
#include "Relay/call.h"
#include "Request/home.h"
#include "Request/journal.h"
#include "Request/operations.h"
#include "Request/ticket.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Yokepond::Node {

/// Callbacks of Frontend; all are called on the event loop's thread.
struct FrontendCallbacks
{
    std::function<void(Relay::Command)> relay;
    std::function<void(const Peer::Process &to, Peer::Message message)> send;
};

/// Turns calls of the relay into requests of Request::Home, and the actions of the home into commands for the relay. The home of
/// a request is the host that accepted it; only the home may run it, and Request::Home implements that part of a host. A request
/// with an idempotency key is called an operation and runs at most once. Its key is either a ticket that a host issued, or chosen
/// by the caller and then claimed in the platform's table. All functions are called on the event loop's thread.
class Frontend
{
public:
    using OperationJournal = Request::Journal<Platform::EtcdTable>;

    Frontend(const Settings &settings, std::uint64_t incarnation, Fleet &fleet, Request::Home &home, Metrics &metrics,
             FrontendCallbacks callbacks);

    // Events of the relay
    void callArrived(const Relay::CallArrived &call);
    void callerDisconnected(std::uint64_t id);
    void endpointAdvertised(const Relay::EndpointAdvertised &advertised);
    void runReported(Relay::RunEnded over);

    // Actions of the home
    void startRun(const Request::StartRun &run);
    void cancelRun(const Request::CancelRun &cancel);
    void fail(const Request::Fail &fail);
    void finished(const Request::Finished &finished);

    void tick(Base::Instant now);

    /// Refuses requests with PlatformForm::Records that arrive at or after the time point @p from and whose deadline is not
    /// before @p end, so that a planned stop at @p end interrupts no request.
    void limitAdmission(Base::Instant from, Base::Instant end);

    /// Returns how many runs were about to go to an endpoint outside the pool of their request.
    std::uint64_t runsOutsidePool() const;

    /// Returns the number of requests that have no response yet, those forwarded to or by other hosts included.
    std::size_t open() const;

    /// Returns the number of operation outcomes that are not yet stored in the platform's table.
    std::size_t unrecorded() const;

    Forwarder &forwarder();
    const OperationJournal &journal() const;
    const Request::Operations &operations() const;

    /// Returns the name of request @p id of this home, HOST.INCARNATION.ID, which is unique in the fleet.
    std::string requestName(std::uint64_t id) const;

    /// Returns the number of the request with name @p name, or nothing if the name belongs to another home or incarnation.
    std::optional<std::uint64_t> requestNumber(const std::string &name) const;

private:
    /// A request that has been authenticated and assigned to a class.
    struct AdmittedRequest
    {
        std::uint64_t id = 0;
        std::uint32_t organisation = 0;
        Configuration::RequestClass requestClass;
        std::string path; ///< request path at the endpoint
        std::string callerRequestId; ///< the caller's own name for the request; empty if its protocol has none
        std::string resumedRequestId; ///< see Relay::CallArrived
        std::string lastEventId; ///< see Relay::CallArrived
        std::string organisationName; ///< sent to the endpoint; may be empty
        std::string endpoint; ///< endpoint of the last run; empty before the first run
        int organisationRank = 0; ///< see Peer::Ask::rank
        std::uint64_t work = 0; ///< see Request::NewRequest
        std::vector<std::uint64_t> parts; ///< see Request::NewRequest
        Base::Instant deadline {};
        Request::RunReport lastRun; ///< report of the last run that ended
        bool engine = true; ///< the endpoints are engines, not services
        std::string operationKey; ///< idempotency key; empty if the request may run more than once
        std::string bodyDigest;
        Request::OperationRecord record; ///< record of the claim, if the key was claimed in the table
        bool waiting = false; ///< waits for the run of another request with the same key
        Base::Instant arrived {};
        std::optional<Http::Response> runResponse; ///< complete response of an operation, to be stored
    };

    /// Handles a call with PlatformForm::Records: a configured route determines the class of the request.
    void handleCallByRoute(const Relay::CallArrived &call);
    static Configuration::EndpointCriteria criteriaFor(const Configuration::Catalogue &catalogue, const AdmittedRequest &admitted,
                                                       std::uint32_t softwareVersion);
    bool isOutsidePool(const Request::StartRun &run, const AdmittedRequest &admitted, const Configuration::Endpoint &endpoint);
    /// Returns whether limitAdmission() permits the request.
    bool mayBeAdmitted(const AdmittedRequest &admitted) const;
    /// Handles a call with PlatformForm::Table: the path and a header determine the class of the request.
    void handleCallByPath(const Relay::CallArrived &call, const Configuration::Organisation &organisation);
    absl::StatusOr<AdmittedRequest> admit(const Relay::CallArrived &call, const Configuration::Organisation &organisation) const;
    absl::StatusOr<const Configuration::RequestClass *> selectClass(const Relay::CallArrived &call,
                                                                    const Configuration::Organisation &organisation,
                                                                    std::string_view servicePool) const;
    /// Starts a request, after checks of its idempotency key if it has one.
    void startRequest(const Relay::CallArrived &call, AdmittedRequest admitted);
    /// Starts an operation, or responds according to the state of the operation with the same key.
    void startOperation(const Relay::CallArrived &call, AdmittedRequest admitted);
    /// Starts an operation whose key is a ticket, or forwards it to the home that issued the ticket.
    void startWithTicket(const Relay::CallArrived &call, AdmittedRequest admitted);
    /// Claims a key chosen by the caller in the table, and starts the operation if the claim succeeds.
    void startWithClaim(const Relay::CallArrived &call, AdmittedRequest admitted);
    /// Handles an operation whose key is claimed already: forwards it to its home, or responds with its outcome.
    void handleExistingClaim(const Relay::CallArrived &call, AdmittedRequest admitted, const Request::OperationRecord &record);
    /// Passes a request to m_home, which schedules its runs.
    void startHere(const Relay::CallArrived &call, AdmittedRequest admitted);
    static OperationCall operationCall(const AdmittedRequest &admitted);
    /// Responds with the outcome that the table has for an operation.
    void respondFromJournal(const OperationCall &call);
    void issueTicket(std::uint64_t call, const Configuration::Organisation &organisation);
    void listModels(std::uint64_t call);
    void respond(std::uint64_t call, Http::Response response);
    /// Responds with @p error to a call that was not passed to the home, and logs that.
    void refuse(std::uint64_t call, const absl::Status &error, Request::Outcome outcome = Request::Outcome::NotRun,
                Base::Duration retryAfter = {}, const std::string &callerRequestId = {});
    /// @p refusal tells why a dispatcher refused the request, if one did.
    void logRequestEnd(const AdmittedRequest &admitted, Request::Outcome outcome, const absl::Status &error,
                       std::optional<Peer::RefusalReason> refusal = {}) const;
    nlohmann::json traceSteps(const AdmittedRequest &admitted) const;
    void addRecordFields(nlohmann::json &fields) const;
    void logRefusal(std::uint64_t call, const absl::Status &error, Request::Outcome outcome,
                    const std::string &callerRequestId) const;
    Http::Response errorResponseFor(const absl::Status &error, Request::Outcome outcome, std::uint64_t call,
                                    Base::Duration retryAfter) const;
    /// Records the outcome of an operation and responds to the requests that wait for it.
    void finishOperation(const AdmittedRequest &admitted, Request::Outcome outcome, const std::optional<Http::Response> &response,
                         const absl::Status &error);

    const Settings &m_settings;
    std::uint64_t m_incarnation;
    Fleet &m_fleet;
    Request::Home &m_home;
    Metrics &m_metrics;
    FrontendCallbacks m_callbacks;
    Request::Operations m_operations;
    OperationJournal m_journal;
    Forwarder m_forwarder;
    std::unordered_map<std::uint64_t, AdmittedRequest> m_admitted; ///< requests by the relay's call number
    std::set<std::uint64_t> m_claiming; ///< calls whose claim has no response of the table yet
    std::map<std::uint64_t, Base::Instant> m_unusedTickets; ///< time of issue by ticket number
    /// Tokens of claims in the table whose operations have not run; a retry may use them.
    std::set<std::string> m_abandonedClaims;
    std::uint64_t m_nextTicket = 1;
    std::uint64_t m_runsOutsidePool = 0;
    Base::Instant m_admissionLimitedFrom = Base::Instant::max(); ///< see limitAdmission()
    Base::Instant m_stopDeadline = Base::Instant::max(); ///< see limitAdmission()
};

} // namespace Yokepond::Node
