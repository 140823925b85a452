// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Answers to operators' queries, from one host's state and gathered from all.

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

/// Rows of named values with the order of the columns.
struct QueryResult
{
    std::vector<std::string> columns;
    std::vector<nlohmann::json> rows; ///< objects
    std::vector<std::string> missing; ///< hosts that did not answer
};

nlohmann::json resultToJson(const QueryResult &result);

/// Keeps the rows that meet the conditions, orders and limits them. Fails with ErrorKind::UnknownName for a field that is no
/// column.
absl::Status applyShow(QueryResult &result, const Language::Show &show);

/// Whether a query must be put to the other hosts as well.
bool isFleetWide(const Language::Query &query);

/// Rows from this host's own state. Queries only: nothing here changes anything.
class Queries
{
public:
    /// This host's part in the duties of one host; nothing where the platform has none.
    struct Duties
    {
        std::optional<UsageView> usage;
        std::optional<ScalingView> scaling;
    };
    using DutyViewSource = std::function<Duties(Base::Instant now)>;

    Queries(const Settings &settings, const Fleet &fleet, const Dispatch::Dispatcher &dispatcher, const Request::Home &home,
            const Frontend &frontend, DutyViewSource duties);

    QueryResult local(const Language::Query &query, Base::Instant now) const;

private:
    QueryResult show(Language::Subject subject, Base::Instant now) const;
    QueryResult why(const Language::Why &why, Base::Instant now) const;
    QueryResult requests(Base::Instant now) const;
    QueryResult objects(Configuration::Kind kind) const;
    static std::string_view stateOf(const Dispatch::EndpointView &view);
    QueryResult endpoints() const;
    QueryResult hosts() const;
    QueryResult dispatchers() const;
    QueryResult duties(Base::Instant now) const;
    QueryResult quarantine(Base::Instant now) const;
    QueryResult changes() const;
    QueryResult whyRequest(const std::string &name, Base::Instant now) const;
    QueryResult whyEndpoint(const std::string &name) const;
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

/// Puts queries to the other hosts and waits a bounded time for their answers.
class Gatherer
{
public:
    using Send = std::function<void(const std::string &member, Peer::Message message)>;
    using Callback = std::function<void(QueryResult)>;

    explicit Gatherer(Send send);

    /// Asks @p members; @p done gets @p own with their rows added.
    void gather(Base::Instant now, const std::string &statement, const std::vector<std::string> &members, QueryResult own,
                Callback callback);

    void receive(const std::string &from, const Peer::Gathered &gathered);

    /// Answers what has waited long enough, naming the hosts that are missing.
    void tick(Base::Instant now);

private:
    struct PendingQuery
    {
        QueryResult result;
        std::vector<std::string> open; ///< members that have not answered
        Base::Instant until {};
        Callback callback;
    };

    void finish(std::uint64_t id);

    Send m_send;
    std::map<std::uint64_t, PendingQuery> m_pendingQueries;
    std::uint64_t m_nextId = 1;
};

} // namespace Yokepond::Node
