// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What happens to a caller's request before and after its home decides about it: authentication, class, operation keys,
/// and the answer.

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

namespace Yokepond::Node {

/// What Front calls; all on the loop's thread.
struct FrontendCallbacks
{
    std::function<void(Relay::Command)> relay;
    std::function<void(const std::string &member, Peer::Message message)> send;
};

class Frontend
{
public:
    using OperationJournal = Request::Journal<Platform::EtcdTable>;

    Frontend(const Settings &settings, std::uint64_t incarnation, Fleet &fleet, Request::Home &home, Metrics &metrics,
             FrontendCallbacks callbacks);

    // From the relay
    void callArrived(const Relay::CallArrived &call);
    void callerDisconnected(std::uint64_t id);
    void endpointAdvertised(const Relay::EndpointAdvertised &advertised);
    void runReported(Relay::RunEnded over);

    // From the home
    void startRun(const Request::StartRun &run);
    void cancelRun(const Request::CancelRun &cancel);
    void fail(const Request::Fail &fail);
    void finished(const Request::Finished &finished);

    void tick(Base::Instant now);

    /// From @p from on, takes only requests that can end by @p end: others are refused, so that a planned stop cuts none off.
    void limitAdmission(Base::Instant from, Base::Instant end);

    /// Requests of callers that have not been answered.
    std::size_t open() const;

    /// Outcomes not yet in the table.
    std::size_t unrecorded() const;

    Forwarder &forwarder();
    const OperationJournal &journal() const;
    const Request::Operations &operations() const;

    /// The fleet-wide name of a request of this home.
    std::string requestName(std::uint64_t id) const;

    /// The number of the request called @p name, if it is of this home.
    std::optional<std::uint64_t> requestNumber(const std::string &name) const;

private:
    /// A request that has been authenticated.
    struct AdmittedRequest
    {
        std::uint64_t id = 0;
        std::uint32_t organisation = 0;
        Configuration::RequestClass requestClass;
        std::string path; ///< at the endpoint
        std::string callerRequestId; ///< of the request, where its protocol has one
        std::string organisationName; ///< told to the endpoint, may be empty
        std::string endpoint; ///< of the last run, empty before the first
        int rank = 0;
        std::uint64_t work = 0; ///< see Request::NewRequest
        Base::Instant deadline {};
        Request::RunReport lastRun; ///< of the last run that has ended
        bool engine = true;
        std::string operationKey; ///< empty: it may run more than once
        std::string bodyDigest;
        Request::OperationRecord record; ///< of its claim
        bool waiting = false; ///< for another request's run
        Base::Instant arrived {};
        std::optional<Http::Response> answer;
    };

    void callArrivedByRoute(const Relay::CallArrived &call);
    bool endsBeforeStop(const AdmittedRequest &admitted) const;
    void route(const Relay::CallArrived &call, const Configuration::Organisation &organisation);
    absl::StatusOr<AdmittedRequest> admit(const Relay::CallArrived &call, const Configuration::Organisation &organisation) const;
    absl::StatusOr<const Configuration::RequestClass *> selectClass(const Relay::CallArrived &call,
                                                                    const Configuration::Organisation &organisation,
                                                                    std::string_view servicePool) const;
    void startRequest(const Relay::CallArrived &call, AdmittedRequest admitted);
    void startOperation(const Relay::CallArrived &call, AdmittedRequest admitted);
    void startWithTicket(const Relay::CallArrived &call, AdmittedRequest admitted);
    void startWithClaim(const Relay::CallArrived &call, AdmittedRequest admitted);
    void handleExistingClaim(const Relay::CallArrived &call, AdmittedRequest admitted, const Request::OperationRecord &record);
    void startHere(const Relay::CallArrived &call, AdmittedRequest admitted);
    static OperationCall operationCall(const AdmittedRequest &admitted);
    void respondFromJournal(const OperationCall &call);
    void issueTicket(std::uint64_t call, const Configuration::Organisation &organisation);
    void listModels(std::uint64_t call);
    void answer(std::uint64_t call, Http::Response response);
    void refuse(std::uint64_t call, const absl::Status &error, Request::Outcome outcome = Request::Outcome::NotRun,
                Base::Duration retryAfter = {}, const std::string &callerRequestId = {});
    void logRequestEnd(const AdmittedRequest &admitted, Request::Outcome outcome, const absl::Status &error) const;
    nlohmann::json traceSteps(const AdmittedRequest &admitted) const;
    void logRefusal(std::uint64_t call, const absl::Status &error, Request::Outcome outcome,
                    const std::string &callerRequestId) const;
    Http::Response errorResponseFor(const absl::Status &error, Request::Outcome outcome, std::uint64_t call,
                                    Base::Duration retryAfter) const;
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
    std::unordered_map<std::uint64_t, AdmittedRequest> m_admitted; ///< by the relay's number of the call
    std::set<std::uint64_t> m_claiming; ///< calls whose claim is under way
    std::map<std::uint64_t, Base::Instant> m_unusedTickets; ///< by number: when it was given
    std::set<std::string> m_abandonedClaims; ///< tokens of claims that were told as not run
    std::uint64_t m_nextTicket = 1;
    Base::Instant m_admissionLimitedFrom = Base::Instant::max();
    Base::Instant m_stopDeadline = Base::Instant::max();
};

} // namespace Yokepond::Node
