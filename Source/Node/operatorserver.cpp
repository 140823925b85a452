// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/operatorserver.h"

#include "Base/crashreport.h"
#include "Base/error.h"
#include "Base/hash.h"
#include "Base/log.h"
#include "Base/text.h"
#include "Node/errorresponse.h"

#include <fmt/format.h>

#include <algorithm>

namespace Yokepond::Node {

namespace {

using Base::ErrorKind;
using Base::makeError;

constexpr int httpOk = 200;
/// Time for which a command waits for all hosts to apply it; hosts that have not are then listed in the response.
constexpr Base::Duration hostWaitLimit = std::chrono::seconds(10);
constexpr Base::Duration revisionPollPeriod = std::chrono::milliseconds(100);

std::string header(const Http::Request &request, std::string_view name)
{
    return std::string(Http::headerValue(request.headers, name).value_or(""));
}

nlohmann::json errorToJson(const absl::Status &error)
{
    const ErrorKind kind = Base::errorKind(error);
    return {{"type", Base::errorName(kind)}, {"code", Base::httpStatus(kind)}, {"message", Base::messageOf(error)}};
}

} // namespace

OperatorServer::OperatorServer(const Settings &settings, Fleet &fleet, const Queries &queries, Gatherer &gatherer,
                               OperatorServerCallbacks callbacks)
    : m_settings(settings)
    , m_fleet(fleet)
    , m_queries(queries)
    , m_gatherer(gatherer)
    , m_callbacks(std::move(callbacks))
{
}

absl::Status OperatorServer::start(Base::Loop &loop)
{
    auto server = Http::Server::listen(
        loop, m_settings.operatorListen, {}, [this](const Exchange &exchange) { handle(exchange); },
        [](const absl::Status &error) {
            return nlohmann::json({{"error", errorToJson(error)}}).dump() + "\n";
        });
    if (!server.ok()) {
        return server.status();
    }
    m_server = std::move(*server);
    return absl::OkStatus();
}

const Base::Address &OperatorServer::address() const
{
    return m_server->address();
}

void OperatorServer::respond(const Exchange &exchange, int status, const nlohmann::json &body)
{
    exchange->respond({status,
                       {{"content-type", std::string(Http::jsonType)}},
                       body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"});
}

void OperatorServer::respondWithError(const Exchange &exchange, const absl::Status &error, const std::string &change)
{
    nlohmann::json body = {{"error", errorToJson(error)}};
    if (!change.empty()) {
        body["change"] = change;
        body["outcome"] = Base::errorKind(error) == ErrorKind::Undetermined ? "undetermined" : "rejected";
    }
    respond(exchange, Base::httpStatus(Base::errorKind(error)), body);
}

const OperatorAccount *OperatorServer::authenticate(const Http::Request &request) const
{
    const std::string value = header(request, "authorization");
    const std::string digest = Base::sha256(Base::bearerKey(value));
    const auto account = std::ranges::find_if(m_settings.operators, [&](const OperatorAccount &candidate) {
        return Base::equalInConstantTime(candidate.keyDigest, digest);
    });
    return account == m_settings.operators.end() ? nullptr : &*account;
}

void OperatorServer::handle(const Exchange &exchange)
{
    const Base::Activity activity("a request of an operator");
    const Http::Request &request = exchange->request();
    if (request.path == "/healthz") {
        respond(exchange, httpOk, {{"healthy", true}});
        return;
    }
    if (request.path == "/readyz") {
        const absl::Status ready = m_callbacks.readiness();
        ready.ok() ? respond(exchange, httpOk, {{"ready", true}}) : respondWithError(exchange, ready);
        return;
    }
    if (request.path == "/metrics") {
        exchange->respond({httpOk, {{"content-type", std::string(Http::textType)}}, m_callbacks.metrics()});
        return;
    }
    const OperatorAccount *account = authenticate(request);
    if (account == nullptr) {
        respondWithError(exchange,
                         makeError(ErrorKind::Unauthenticated, "send Authorization: Bearer KEY with an operator's key"));
        return;
    }
    if (request.path == "/dump") {
        respond(exchange, httpOk, m_callbacks.dump());
    } else if (request.path == "/query" && request.method == "POST") {
        query(exchange);
    } else if (request.path == "/command" && request.method == "POST") {
        command(exchange, *account);
    } else {
        respondWithError(
            exchange,
            makeError(ErrorKind::NotFound, "expected GET /healthz, /readyz, /metrics or /dump, POST /query or /command"));
    }
}

std::vector<std::string> OperatorServer::otherHosts() const
{
    std::vector<std::string> names;
    for (const Peer::Member &member : m_fleet.present()) {
        if (member.name != m_settings.name) {
            names.push_back(member.name);
        }
    }
    return names;
}

void OperatorServer::query(const Exchange &exchange)
{
    const std::string &text = exchange->request().body;
    const auto parsed = Language::parseQuery(text);
    if (!parsed.ok()) {
        respondWithError(exchange, parsed.status());
        return;
    }
    const Base::Instant now = Base::now();
    QueryResult ownResult = m_queries.local(*parsed, now);
    const auto finish = [exchange, query = *parsed](QueryResult queryResult) {
        if (const auto *show = std::get_if<Language::Show>(&query)) {
            if (absl::Status status = applyShow(queryResult, *show); !status.ok()) {
                respondWithError(exchange, status);
                return;
            }
        }
        respond(exchange, httpOk, resultToJson(queryResult));
    };
    if (!isFleetWide(*parsed)) {
        finish(std::move(ownResult));
        return;
    }
    m_gatherer.gather(now, text, otherHosts(), std::move(ownResult), finish);
}

void OperatorServer::command(const Exchange &exchange, const OperatorAccount &account)
{
    if (account.right != OperatorRight::Command) {
        respondWithError(exchange,
                         makeError(ErrorKind::Forbidden, fmt::format("operator '{}' may only send queries", account.name)));
        return;
    }
    auto commands = Language::parseCommands(exchange->request().body);
    if (!commands.ok()) {
        respondWithError(exchange, commands.status());
        return;
    }
    if (commands->empty()) {
        respondWithError(exchange, makeError(ErrorKind::Syntax, "the request body contains no command"));
        return;
    }
    if (commands->size() == 1) {
        if (const auto *cancel = std::get_if<Language::CancelRequest>(&commands->front())) {
            cancelRequest(exchange, cancel->id);
            return;
        }
        if (const auto *release = std::get_if<Language::ReleaseWork>(&commands->front())) {
            releaseWork(exchange, release->work);
            return;
        }
    }
    commit(exchange, account, std::move(*commands));
}

void OperatorServer::commit(const Exchange &exchange, const OperatorAccount &account, std::vector<Language::Command> commands)
{
    const Http::Request &request = exchange->request();
    Configuration::CommitRequest commit;
    commit.commands = std::move(commands);
    commit.author = account.name;
    commit.reason = header(request, "yokepond-reason");
    commit.dryRun = header(request, "yokepond-dry-run") == "yes";
    if (const std::string revision = header(request, "yokepond-if-revision"); !revision.empty()) {
        std::uint64_t number = 0;
        if (!Base::parseInteger(revision, &number)) {
            respondWithError(exchange, makeError(ErrorKind::InvalidValue, "Yokepond-If-Revision: expected a whole number"));
            return;
        }
        commit.ifRevision = number;
    }
    const bool wait = header(request, "yokepond-wait") == "yes";
    const bool dryRun = commit.dryRun;
    m_fleet.store().commit(std::move(commit), [this, exchange, wait, dryRun](const Configuration::CommitResult &result) {
        Base::log(Base::LogLevel::Info,
                  result.status.ok() ? Base::LogEvent::StatementAccepted : Base::LogEvent::StatementRejected,
                  {{"change", result.change}, {"revision", result.revision}, {"message", Base::messageOf(result.status)}});
        if (!result.status.ok()) {
            respondWithError(exchange, result.status, result.change);
        } else if (dryRun) {
            respond(exchange, httpOk, {{"outcome", "would-be-accepted"}, {"revision", result.revision}});
        } else if (wait) {
            waitForHosts(exchange, result);
        } else {
            respond(exchange, httpOk, {{"outcome", "accepted"}, {"revision", result.revision}, {"change", result.change}});
        }
    });
}

void OperatorServer::cancelRequest(const Exchange &exchange, const std::string &id)
{
    if (m_callbacks.cancelRequest(id)) {
        respond(exchange, httpOk, {{"outcome", "accepted"}});
        return;
    }
    respondWithError(
        exchange,
        makeError(
            ErrorKind::UnknownName,
            fmt::format("this host is not processing request '{}'; the name of a request begins with the host to ask", id)));
}

void OperatorServer::releaseWork(const Exchange &exchange, const std::string &work)
{
    std::uint64_t number = 0;
    if (Base::parseHexadecimal(work, &number) && m_callbacks.releaseWork(number)) {
        respond(exchange, httpOk, {{"outcome", "accepted"}});
        return;
    }
    respondWithError(exchange,
                     makeError(ErrorKind::UnknownName,
                               fmt::format("work '{}' is not quarantined; `show quarantine` lists the work that is", work)));
}

void OperatorServer::waitForHosts(const Exchange &exchange, const Configuration::CommitResult &result)
{
    auto pending = std::make_shared<PendingCommand>(
        PendingCommand {exchange, result.revision, result.change, Base::now() + hostWaitLimit, {}, false});
    m_pendingCommands.push_back(pending);
    pollRevisions(Base::now(), pending);
}

void OperatorServer::pollRevisions(Base::Instant now, const std::shared_ptr<PendingCommand> &pending)
{
    pending->polling = true;
    pending->nextPoll = now + revisionPollPeriod;
    // Hosts answer the internal query `revision` with their own revision. It is not part of the operators' language.
    const std::vector<std::string> hosts = otherHosts();
    m_gatherer.gather(now, "revision", hosts, {}, [this, pending, hosts](const QueryResult &queryResult) {
        pending->polling = false;
        const std::vector<std::string> behind = hostsBehind(hosts, queryResult, pending->revision);
        if (behind.empty() || Base::now() >= pending->deadline) {
            respond(pending->exchange, httpOk,
                    {{"outcome", "accepted"}, {"revision", pending->revision}, {"change", pending->change}, {"behind", behind}});
            std::erase(m_pendingCommands, pending);
        }
    });
}

void OperatorServer::tick(Base::Instant now)
{
    const auto pending = m_pendingCommands;
    for (const auto &entry : pending) {
        if (!entry->polling && now >= entry->nextPoll) {
            pollRevisions(now, entry);
        }
    }
}

} // namespace Yokepond::Node
