// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Results of operators' queries, from the state of this host or gathered from all hosts.

#pragma once

#include "Dispatch/dispatcher.h"
#include "Language/statement.h"
#include "Node/fleet.h"
#include "Node/frontend.h"
#include "Node/scalingduty.h"
#include "Node/usageduty.h"
#include "Request/home.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Yokepond::Node {

/// The result of a query: rows of named values.
struct QueryResult
{
    std::vector<std::string> columns; ///< names in the order in which they are shown
    std::vector<nlohmann::json> rows; ///< JSON objects with a value for each column
    std::vector<std::string> missing; ///< hosts that did not reply in time
};

nlohmann::json resultToJson(const QueryResult &result);

/// Filters, sorts and limits the rows as @p show says. Fails with ErrorKind::UnknownName for a field that is not a column.
absl::Status applyShow(QueryResult &result, const Language::Show &show);

/// Returns those of @p hosts that have not replied with @p revision or a later one to the internal query `revision`, whose
/// replies are in @p result. A host whose row cannot be read is one of them.
std::vector<std::string> hostsBehind(std::vector<std::string> hosts, const QueryResult &result, std::uint64_t revision);

/// Returns whether a query must also be sent to the other hosts.
bool isFleetWide(const Language::Query &query);

/// Evaluates queries on the state of this host. It never changes that state.
class Queries
{
public:
    /// This host's state in the duties that one host performs for the fleet; a duty that the platform does not use has none.
    struct Duties
    {
        std::optional<UsageView> usage;
        std::optional<ScalingView> scaling;
    };
    using DutyViewSource = std::function<Duties(Base::Instant now)>;

    Queries(const Settings &settings, const Fleet &fleet, const Dispatch::Dispatcher &dispatcher, const Request::Home &home,
            const Frontend &frontend, DutyViewSource duties);

    /// Returns the rows of @p query that this host contributes.
    QueryResult local(const Language::Query &query, Base::Instant now) const;

private:
    QueryResult show(Language::Subject subject, Base::Instant now) const;
    QueryResult why(const Language::Why &why, Base::Instant now) const;
    QueryResult dataCentres() const;
    QueryResult requests(Base::Instant now) const;
    QueryResult objects(Configuration::Kind kind) const;
    static std::string_view displayState(const Dispatch::EndpointView &view, bool cold);
    QueryResult endpoints() const;
    QueryResult hosts() const;
    QueryResult dispatchers() const;
    QueryResult duties(Base::Instant now) const;
    QueryResult quarantine(Base::Instant now) const;
    QueryResult changes() const;
    /// Lists the steps of a request so far, and its place in the queues of this host.
    QueryResult whyRequest(const std::string &name, Base::Instant now) const;
    /// Explains whether an endpoint gets requests, and if not, why.
    QueryResult whyEndpoint(const std::string &name) const;
    /// Explains why requests of a class wait.
    QueryResult whyClass(const std::string &name, Base::Instant now) const;
    std::string className(std::uint32_t number) const;
    std::string endpointName(std::uint32_t number) const;

    const Settings &m_settings;
    const Fleet &m_fleet;
    const Dispatch::Dispatcher &m_dispatcher;
    const Request::Home &m_home;
    const Frontend &m_frontend;
    DutyViewSource m_dutyViews;
};

/// Sends queries to other hosts and collects their replies for a limited time.
class Gatherer
{
public:
    using Send = std::function<void(const Peer::Process &to, Peer::Message message)>;
    using Callback = std::function<void(QueryResult)>;

    /// @p incarnation is that of this process.
    Gatherer(std::uint64_t incarnation, Send send);

    /// Sends @p statement to @p members. Calls @p callback with @p ownResult and the rows of their replies;
    /// what is no JSON object is left out.
    void gather(Base::Instant now, const std::string &statement, const std::vector<std::string> &members, QueryResult ownResult,
                Callback callback);

    void receive(const Peer::Process &from, const Peer::Gathered &gathered);

    /// Completes queries whose time is over, with the hosts that did not reply in QueryResult::missing.
    void tick(Base::Instant now);

private:
    struct PendingQuery
    {
        QueryResult result;
        std::vector<std::string> pending; ///< members that have not replied
        Base::Instant deadline {};
        Callback callback;
    };

    void finish(std::uint64_t id);

    Send m_send;
    std::map<std::uint64_t, PendingQuery> m_pendingQueries;
    Peer::ProcessNumbers m_numbers;
};

} // namespace Yokepond::Node
