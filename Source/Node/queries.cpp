// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/queries.h"

#include "Base/error.h"
#include "Base/json.h"
#include "Base/text.h"

#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <ranges>

namespace Yokepond::Node {

namespace {

using Configuration::Kind;
using Language::Comparison;
using Language::Subject;

/// Time within which other hosts must reply to a query.

constexpr Base::Duration gatherTimeout = std::chrono::milliseconds(1000);
constexpr std::size_t maxRows = 10'000;

/// Returns the urgency of the least urgent one of @p asks that has the class with number @p requestClass.
Configuration::Urgency leastUrgentOf(std::uint32_t requestClass, const std::vector<const Dispatch::QueuedAsk *> &asks)
{
    Configuration::Urgency leastUrgent;
    for (const Dispatch::QueuedAsk *ask : asks) {
        const bool own = ask->parameters.number == requestClass;
        leastUrgent = own ? std::max(leastUrgent, ask->parameters.urgency) : leastUrgent;
    }
    return leastUrgent;
}

std::string textOf(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Compares two values as numbers if both are numbers, otherwise as text. Returns a negative, zero or positive number.
int compare(const std::string &left, const std::string &right)
{
    double leftNumber = 0;
    double rightNumber = 0;
    if (Base::parseDecimal(left, &leftNumber) && Base::parseDecimal(right, &rightNumber)) {
        return leftNumber < rightNumber ? -1 : (leftNumber > rightNumber ? 1 : 0);
    }
    return left.compare(right);
}

bool matches(const nlohmann::json &row, const Language::Condition &condition)
{
    const int order = compare(textOf(row.value(condition.field, nlohmann::json(""))), condition.value);
    switch (condition.comparison) {
    case Comparison::Equal:
        return order == 0;
    case Comparison::NotEqual:
        return order != 0;
    case Comparison::Less:
        return order < 0;
    case Comparison::Greater:
        return order > 0;
    }
    return false;
}

absl::Status unknownColumn(const QueryResult &result, const std::string &field)
{
    const std::string nearest = Configuration::nearestWord(field, result.columns);
    return Base::makeError(Base::ErrorKind::UnknownName,
                           fmt::format("there is no field '{}'{}; the fields are: {}", field,
                                       nearest.empty() ? "" : fmt::format(", did you mean '{}'?", nearest),
                                       absl::StrJoin(result.columns, ", ")));
}

bool hasColumn(const QueryResult &result, const std::string &field)
{
    return std::ranges::find(result.columns, field) != result.columns.end();
}

Kind kindOf(Subject subject)
{
    switch (subject) {
    case Subject::Classes:
        return Kind::Class;
    case Subject::Tiers:
        return Kind::Tier;
    case Subject::Organisations:
        return Kind::Organisation;
    case Subject::Pools:
        return Kind::Pool;
    default:
        return Kind::Setting;
    }
}

} // namespace

nlohmann::json resultToJson(const QueryResult &result)
{
    return {{"columns", result.columns}, {"rows", result.rows}, {"missing", result.missing}};
}

absl::Status applyShow(QueryResult &result, const Language::Show &show)
{
    for (const Language::Condition &condition : show.conditions) {
        if (!hasColumn(result, condition.field)) {
            return unknownColumn(result, condition.field);
        }
        std::erase_if(result.rows, [&](const nlohmann::json &row) { return !matches(row, condition); });
    }
    if (show.ordering) {
        if (!hasColumn(result, show.ordering->field)) {
            return unknownColumn(result, show.ordering->field);
        }
        const auto key = [&](const nlohmann::json &row) { return textOf(row.value(show.ordering->field, nlohmann::json(""))); };
        std::ranges::stable_sort(result.rows, [&](const nlohmann::json &left, const nlohmann::json &right) {
            const int order = compare(key(left), key(right));
            return show.ordering->descending ? order > 0 : order < 0;
        });
    }
    result.rows.resize(std::min(result.rows.size(), std::min(show.limit.value_or(maxRows), maxRows)));
    return absl::OkStatus();
}

std::vector<std::string> hostsBehind(std::vector<std::string> hosts, const QueryResult &result, std::uint64_t revision)
{
    for (const nlohmann::json &row : result.rows) {
        const auto reached = row.is_object() ? row.find("revision") : row.end();
        const auto host = row.is_object() ? row.find("host") : row.end();
        const bool readable = reached != row.end() && reached->is_number_unsigned() && host != row.end() && host->is_string();
        if (readable && reached->get<std::uint64_t>() >= revision) {
            std::erase(hosts, host->get_ref<const std::string &>());
        }
    }
    return hosts;
}

bool isFleetWide(const Language::Query &query)
{
    if (const auto *show = std::get_if<Language::Show>(&query)) {
        constexpr std::array perHostSubjects
            = {Subject::Requests, Subject::Endpoints, Subject::Dispatchers, Subject::Duties, Subject::Quarantine};
        return std::ranges::find(perHostSubjects, show->subject) != perHostSubjects.end();
    }
    return true;
}

Queries::Queries(const Settings &settings, const Fleet &fleet, const Dispatch::Dispatcher &dispatcher, const Request::Home &home,
                 const Frontend &frontend, DutyViewSource duties)
    : m_settings(settings)
    , m_fleet(fleet)
    , m_dispatcher(dispatcher)
    , m_home(home)
    , m_frontend(frontend)
    , m_dutyViews(std::move(duties))
{
}

QueryResult Queries::local(const Language::Query &query, Base::Instant now) const
{
    if (const auto *statement = std::get_if<Language::Show>(&query)) {
        return show(statement->subject, now);
    }
    return why(std::get<Language::Why>(query), now);
}

QueryResult Queries::show(Subject subject, Base::Instant now) const
{
    switch (subject) {
    case Subject::Requests:
        return requests(now);
    case Subject::Endpoints:
        return endpoints();
    case Subject::DataCentres:
        return dataCentres();
    case Subject::Hosts:
        return hosts();
    case Subject::Dispatchers:
        return dispatchers();
    case Subject::Duties:
        return duties(now);
    case Subject::Quarantine:
        return quarantine(now);
    case Subject::Changes:
        return changes();
    case Subject::Classes:
    case Subject::Tiers:
    case Subject::Organisations:
    case Subject::Pools:
    case Subject::Settings:
        break;
    }
    return objects(kindOf(subject));
}

std::string Queries::className(std::uint32_t number) const
{
    const auto *object = m_fleet.catalogue()->classByNumber(number);
    return object == nullptr ? fmt::format("#{}", number) : object->name;
}

std::string Queries::endpointName(std::uint32_t number) const
{
    const auto *object = m_fleet.catalogue()->endpointByNumber(number);
    return object == nullptr ? (number == 0 ? "" : fmt::format("#{}", number)) : object->name;
}

QueryResult Queries::dataCentres() const
{
    struct Row
    {
        std::size_t endpoints = 0;
        std::size_t accepting = 0; ///< neither drained nor evacuated
    };
    const auto catalogue = m_fleet.catalogue();
    std::map<std::string, Row> rows;
    for (const std::string &evacuated : catalogue->evacuatedDataCentres()) {
        rows.try_emplace(evacuated);
    }
    for (const Configuration::Endpoint &endpoint : catalogue->endpoints()) {
        Row &row = rows[endpoint.dataCentre];
        ++row.endpoints;
        row.accepting += endpoint.acceptsRequests() ? 1 : 0;
    }
    QueryResult result {{"name", "evacuated", "endpoints", "accepting"}, {}, {}};
    for (const auto &[name, row] : rows) {
        result.rows.push_back({{"name", name},
                               {"evacuated", catalogue->isEvacuated(name) ? "yes" : "no"},
                               {"endpoints", row.endpoints},
                               {"accepting", row.accepting}});
    }
    return result;
}

QueryResult Queries::requests(Base::Instant now) const
{
    QueryResult result {{"id", "class", "organisation", "state", "age-ms", "attempt", "endpoint", "dispatcher", "home"}, {}, {}};
    for (const Request::RequestView &view : m_home.requests(now)) {
        const auto *organisation = m_fleet.catalogue()->organisationByNumber(view.organisation);
        result.rows.push_back({{"id", m_frontend.requestName(view.id)},
                               {"class", className(view.requestClass)},
                               {"organisation", organisation == nullptr ? "" : organisation->name},
                               {"state", view.state},
                               {"age-ms", std::chrono::duration_cast<std::chrono::milliseconds>(view.age).count()},
                               {"attempt", view.attempt},
                               {"endpoint", endpointName(view.endpoint)},
                               {"dispatcher", view.dispatcher},
                               {"home", m_settings.name}});
        if (result.rows.size() >= maxRows) {
            break;
        }
    }
    return result;
}

QueryResult Queries::objects(Kind kind) const
{
    QueryResult result {{"name"}, {}, {}};
    for (const Configuration::FieldSchema &field : Configuration::fieldsOf(kind)) {
        if (field.type != Configuration::FieldType::Digest) {
            result.columns.emplace_back(field.name);
        }
    }
    for (const Configuration::Object *object : m_fleet.replica().objects().all(kind)) {
        nlohmann::json row = {{"name", object->name}};
        for (const std::string &column : result.columns | std::views::drop(1)) {
            row[column] = std::string(object->value(column));
        }
        result.rows.push_back(std::move(row));
    }
    return result;
}

/// Returns the state of an endpoint that matters most to an operator.
std::string_view Queries::displayState(const Dispatch::EndpointView &view, bool cold)
{
    if (view.announcedLeaving) {
        return "leaving";
    }
    if (view.drained) {
        return "drained";
    }
    if (cold && view.health == Dispatch::HealthState::Healthy) {
        return "cold";
    }
    return view.coolingDown ? "resting" : Base::nameOf(Dispatch::healthStateNames, view.health);
}

QueryResult Queries::endpoints() const
{
    QueryResult result {{"name", "pool", "address", "data-centre", "state", "running", "window", "slots", "first-token-ms",
                         "pace-ms", "rate", "software-version", "dispatcher"},
                        {},
                        {}};
    for (const auto &[id, shard] : m_dispatcher.shards()) {
        for (const Dispatch::EndpointView &view : shard.endpoints()) {
            const auto *endpoint = m_fleet.catalogue()->endpointByNumber(view.endpoint);
            if (endpoint == nullptr) {
                continue;
            }
            const auto *pool = m_fleet.catalogue()->poolByNumber(endpoint->pool);
            result.rows.push_back({{"name", endpoint->name},
                                   {"pool", pool == nullptr ? "" : pool->name},
                                   {"address", endpoint->address.text()},
                                   {"data-centre", endpoint->dataCentre},
                                   {"state", displayState(view, endpoint->cold.isActive(Base::now()))},
                                   {"running", view.running},
                                   {"window", view.window},
                                   {"slots", endpoint->slots},
                                   {"first-token-ms", view.firstTokenMs},
                                   {"pace-ms", view.interTokenLatencyMs},
                                   {"rate", view.ratePerSecond ? nlohmann::json(*view.ratePerSecond) : nlohmann::json("")},
                                   {"software-version", endpoint->softwareVersion},
                                   {"dispatcher", m_settings.name}});
        }
    }
    return result;
}

QueryResult Queries::hosts() const
{
    QueryResult result {{"name", "state", "data-centre", "cores", "incarnation", "peer", "caller", "operator"}, {}, {}};
    for (const auto &[name, member] : m_fleet.members()) {
        result.rows.push_back({{"name", name},
                               {"state", Base::nameOf(Peer::memberStateNames, member.state)},
                               {"data-centre", member.dataCentre},
                               {"cores", member.milliCores / 1000.0},
                               {"incarnation", fmt::format("{:x}", member.incarnation)},
                               {"peer", member.address},
                               {"caller", member.callerAddress},
                               {"operator", member.operatorAddress}});
    }
    return result;
}

QueryResult Queries::dispatchers() const
{
    QueryResult result {{"shard", "pool", "data-centre", "host", "endpoints", "waiting", "running", "granted", "refused", "shed",
                         "on-hold", "held", "stream-engines"},
                        {},
                        {}};
    for (const auto &[id, shard] : m_dispatcher.shards()) {
        const auto *pool = m_fleet.catalogue()->poolByNumber(shard.info().pool);
        result.rows.push_back({{"shard", fmt::format("{:08x}", id)},
                               {"pool", pool == nullptr ? "" : pool->name},
                               {"data-centre", shard.info().dataCentre},
                               {"host", m_settings.name},
                               {"endpoints", shard.info().endpoints.size()},
                               {"waiting", shard.queued()},
                               {"running", shard.permits()},
                               {"granted", shard.counters().granted},
                               {"refused", shard.counters().refused},
                               {"shed", shard.counters().shed},
                               {"on-hold", shard.held()},
                               {"held", shard.counters().held},
                               {"stream-engines", shard.streamEngines()}});
    }
    return result;
}

QueryResult Queries::duties(Base::Instant now) const
{
    QueryResult result {{"duty", "host", "holds", "fence", "rank", "written-by", "done", "failures", "fixed-up-to",
                         "reported-up-to", "unreported", "hosts-heard", "orders"},
                        {},
                        {}};
    const auto rankOf = [](const std::optional<std::size_t> &rank) { return rank ? static_cast<std::int64_t>(*rank) : -1; };
    const Duties duties = m_dutyViews(now);
    if (duties.usage) {
        const Usage::ReporterView &reporter = duties.usage->reporter;
        result.rows.push_back({{"duty", "usage"},
                               {"host", m_settings.name},
                               {"holds", reporter.holder},
                               {"fence", reporter.fence},
                               {"rank", rankOf(duties.usage->rank)},
                               {"written-by", reporter.host},
                               {"done", duties.usage->reports},
                               {"failures", duties.usage->failures},
                               {"fixed-up-to", reporter.fixedUpTo},
                               {"reported-up-to", reporter.reportedUpTo},
                               {"unreported", reporter.unreported},
                               {"hosts-heard", duties.usage->reportingHosts}});
    }
    if (duties.scaling) {
        const Scaling::ScalerView &scaler = duties.scaling->scaler;
        std::vector<std::string> orders;
        std::ranges::transform(scaler.orders, std::back_inserter(orders), [](const Scaling::Order &order) {
            return fmt::format("{} {}{}: {}", order.pool, order.dataCentre, order.preemptible ? " preemptible" : "", order.count);
        });
        result.rows.push_back({{"duty", "scaling"},
                               {"host", m_settings.name},
                               {"holds", scaler.holder},
                               {"fence", scaler.fence},
                               {"rank", rankOf(duties.scaling->rank)},
                               {"written-by", scaler.host},
                               {"done", duties.scaling->accepted},
                               {"failures", duties.scaling->failures},
                               {"orders", absl::StrJoin(orders, ", ")}});
    }
    return result;
}

QueryResult Queries::quarantine(Base::Instant now) const
{
    QueryResult result {{"work", "part", "pool", "state", "round", "left-s", "host"}, {}, {}};
    for (const Request::QuarantineView &view : m_home.crashProtection().quarantine().view(now)) {
        const Configuration::Pool *pool = view.part ? m_fleet.catalogue()->poolByNumber(view.part->pool) : nullptr;
        result.rows.push_back({{"work", Base::hexadecimal(view.work)},
                               {"part", view.part ? Base::hexadecimal(view.part->id) : ""},
                               {"pool", pool == nullptr ? "" : pool->name},
                               {"state", view.quarantined ? "held" : "cleared"},
                               {"round", view.round},
                               {"left-s", std::chrono::duration_cast<std::chrono::seconds>(view.remaining).count()},
                               {"host", m_settings.name}});
    }
    return result;
}

QueryResult Queries::changes() const
{
    QueryResult result {{"revision", "id", "at", "by", "reason", "objects"}, {}, {}};
    for (const Configuration::Change &change : m_fleet.replica().recentChanges()) {
        std::vector<std::string> names;
        std::ranges::transform(change.mutations, std::back_inserter(names), [](const Configuration::Mutation &mutation) {
            return fmt::format("{}{} {}", mutation.removed ? "-" : "",
                               Base::nameOf(Configuration::kindNames, mutation.object.kind), mutation.object.name);
        });
        result.rows.push_back({{"revision", change.revision},
                               {"id", change.id},
                               {"at", change.atMicroseconds / 1'000'000},
                               {"by", change.author},
                               {"reason", change.reason},
                               {"objects", absl::StrJoin(names, ", ")}});
    }
    return result;
}

QueryResult Queries::why(const Language::Why &why, Base::Instant now) const
{
    switch (why.subject) {
    case Language::WhySubject::Request:
        return whyRequest(why.name, now);
    case Language::WhySubject::Endpoint:
        return whyEndpoint(why.name);
    case Language::WhySubject::Class:
        return whyClass(why.name, now);
    }
    return {};
}

QueryResult Queries::whyRequest(const std::string &name, Base::Instant) const
{
    QueryResult result {{"at-ms", "host", "step", "detail"}, {}, {}};
    if (const auto number = m_frontend.requestNumber(name)) {
        if (const auto *trace = m_home.trace(*number)) {
            for (const Request::TraceEntry &entry : *trace) {
                result.rows.push_back({{"at-ms", Base::milliseconds(entry.at - trace->front().at)},
                                       {"host", m_settings.name},
                                       {"step", Base::nameOf(Request::stepNames, entry.step)},
                                       {"detail", entry.detail}});
            }
        }
    }
    for (const auto &[id, shard] : m_dispatcher.shards()) {
        for (const Dispatch::QueuedAsk *ask : shard.queuedAsks()) {
            if (Peer::requestName(ask->home, ask->key.id.request) == name) {
                const Dispatch::AskView view = shard.find(ask->key);
                result.rows.push_back(
                    {{"at-ms", ""},
                     {"host", m_settings.name},
                     {"step", "queued"},
                     {"detail",
                      fmt::format("in shard {:08x}: {} asks at least as urgent and {} in all wait for {} endpoints", id,
                                  view.atLeastAsUrgent, view.total, shard.info().endpoints.size())}});
            }
        }
    }
    return result;
}

QueryResult Queries::whyEndpoint(const std::string &name) const
{
    QueryResult result {{"host", "reason", "detail"}, {}, {}};
    for (const auto &[id, shard] : m_dispatcher.shards()) {
        for (const Dispatch::EndpointView &view : shard.endpoints()) {
            if (endpointName(view.endpoint) != name) {
                continue;
            }
            const bool full = view.running >= view.window;
            const auto *endpoint = m_fleet.catalogue()->endpointByNumber(view.endpoint);
            const bool evacuated = endpoint != nullptr && endpoint->evacuated;
            const std::string reason = evacuated ? "data-centre-evacuated"
                : view.drained                   ? "drained"
                : view.health != Dispatch::HealthState::Healthy
                ? std::string(Base::nameOf(Dispatch::healthStateNames, view.health))
                : full                ? "window-full"
                : shard.queued() == 0 ? "nothing-waits"
                                      : "gets-work";
            result.rows.push_back(
                {{"host", m_settings.name},
                 {"reason", reason},
                 {"detail",
                  fmt::format("{} running of a window of {}; first token {:.0f} ms, pace {:.1f} ms; {} asks wait in shard {:08x}",
                              view.running, view.window, view.firstTokenMs, view.interTokenLatencyMs, shard.queued(), id)}});
        }
    }
    return result;
}

QueryResult Queries::whyClass(const std::string &name, Base::Instant now) const
{
    QueryResult result {{"host", "reason", "detail"}, {}, {}};
    const auto *requestClass = m_fleet.catalogue()->classByName(name);
    if (requestClass == nullptr) {
        return result;
    }
    for (const auto &[id, shard] : m_dispatcher.shards()) {
        if (shard.info().pool != requestClass->pool) {
            continue;
        }
        std::size_t waiting = 0;
        std::size_t pastTarget = 0;
        std::size_t moreUrgent = 0;
        const std::vector<const Dispatch::QueuedAsk *> asks = shard.queuedAsks();
        const Configuration::Urgency leastUrgent = leastUrgentOf(requestClass->number, asks);
        for (const Dispatch::QueuedAsk *ask : asks) {
            const bool own = ask->parameters.number == requestClass->number;
            waiting += own ? 1 : 0;
            pastTarget += own && ask->target() < now ? 1 : 0;
            moreUrgent += !own && ask->parameters.urgency < leastUrgent ? 1 : 0;
        }
        std::size_t healthyCount = 0;
        for (const Dispatch::EndpointView &view : shard.endpoints()) {
            healthyCount += !view.drained && view.health == Dispatch::HealthState::Healthy ? 1 : 0;
        }
        const std::string reason = healthyCount == 0 ? "no-healthy-endpoint"
            : waiting == 0                           ? "nothing-waits"
            : moreUrgent > 0                         ? "more-urgent-first"
                                                     : "endpoints-full";
        result.rows.push_back(
            {{"host", m_settings.name},
             {"reason", reason},
             {"detail",
              fmt::format("shard {:08x}: {} of the class wait, {} past their target, {} more urgent ones of other classes "
                          "before them; {} of {} endpoints healthy",
                          id, waiting, pastTarget, moreUrgent, healthyCount, shard.info().endpoints.size())}});
    }
    return result;
}

// --- Gatherer

Gatherer::Gatherer(std::uint64_t incarnation, Send send)
    : m_send(std::move(send))
    , m_numbers(incarnation)
{
}

void Gatherer::gather(Base::Instant now, const std::string &statement, const std::vector<std::string> &members,
                      QueryResult ownResult, Callback callback)
{
    const std::uint64_t id = m_numbers.next();
    m_pendingQueries.emplace(id, PendingQuery {std::move(ownResult), members, now + gatherTimeout, std::move(callback)});
    for (const std::string &member : members) {
        m_send(member, Peer::Gather {id, statement});
    }
    if (members.empty()) {
        finish(id);
    }
}

void Gatherer::receive(const Peer::Process &from, const Peer::Gathered &gathered)
{
    const auto entry = m_pendingQueries.find(gathered.id);
    if (entry == m_pendingQueries.end() || std::erase(entry->second.pending, from.name) == 0) {
        return;
    }
    const nlohmann::json rows = Base::decodeJsonOrDiscard(gathered.answer);
    if (rows.is_array()) {
        std::ranges::copy_if(rows, std::back_inserter(entry->second.result.rows), &nlohmann::json::is_object);
    }
    if (entry->second.pending.empty()) {
        finish(gathered.id);
    }
}

void Gatherer::tick(Base::Instant now)
{
    std::vector<std::uint64_t> due;
    for (const auto &[id, pendingQuery] : m_pendingQueries) {
        if (now >= pendingQuery.deadline) {
            due.push_back(id);
        }
    }
    std::ranges::for_each(due, [this](std::uint64_t id) { finish(id); });
}

void Gatherer::finish(std::uint64_t id)
{
    PendingQuery pendingQuery = std::move(m_pendingQueries.at(id));
    m_pendingQueries.erase(id);
    pendingQuery.result.missing = std::move(pendingQuery.pending);
    pendingQuery.callback(std::move(pendingQuery.result));
}

} // namespace Yokepond::Node
