// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/console.h"

#include "Base/error.h"
#include "Base/hash.h"
#include "Base/log.h"
#include "Base/text.h"
#include "Node/answers.h"

#include <fmt/format.h>

#include <algorithm>

namespace Yokepond::Node {

namespace {

using Base::ErrorKind;
using Base::makeError;

constexpr int httpOk = 200;
constexpr Base::Duration waitBound = std::chrono::seconds(10);
constexpr Base::Duration askPeriod = std::chrono::milliseconds(100);

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

Console::Console(const Settings &settings, Fleet &fleet, const Queries &queries, Gatherer &gatherer, ConsoleEvents events)
    : m_settings(settings)
    , m_fleet(fleet)
    , m_queries(queries)
    , m_gatherer(gatherer)
    , m_events(std::move(events))
{
}

absl::Status Console::start(Base::Loop &loop)
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

const Base::Address &Console::address() const
{
    return m_server->address();
}

void Console::respond(const Exchange &exchange, int status, const nlohmann::json &body)
{
    exchange->respond({status,
                       {{"content-type", std::string(Http::jsonType)}},
                       body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"});
}

void Console::refuse(const Exchange &exchange, const absl::Status &error, const std::string &change)
{
    nlohmann::json body = {{"error", errorToJson(error)}};
    if (!change.empty()) {
        body["change"] = change;
        body["outcome"] = Base::errorKind(error) == ErrorKind::Undetermined ? "undetermined" : "rejected";
    }
    respond(exchange, Base::httpStatus(Base::errorKind(error)), body);
}

const OperatorAccount *Console::authenticate(const Http::Request &request) const
{
    const std::string value = header(request, "authorization");
    const std::string digest = Base::sha256(Base::bearerKey(value));
    const auto account = std::ranges::find_if(m_settings.operators, [&](const OperatorAccount &candidate) {
        return Base::equalInConstantTime(candidate.keyDigest, digest);
    });
    return account == m_settings.operators.end() ? nullptr : &*account;
}

void Console::handle(const Exchange &exchange)
{
    const Http::Request &request = exchange->request();
    if (request.path == "/healthz") {
        respond(exchange, httpOk, {{"healthy", true}});
        return;
    }
    if (request.path == "/readyz") {
        const absl::Status ready = m_events.readiness();
        ready.ok() ? respond(exchange, httpOk, {{"ready", true}}) : refuse(exchange, ready);
        return;
    }
    if (request.path == "/metrics") {
        exchange->respond({httpOk, {{"content-type", std::string(Http::textType)}}, m_events.metrics()});
        return;
    }
    const OperatorAccount *account = authenticate(request);
    if (account == nullptr) {
        refuse(exchange, makeError(ErrorKind::Unauthenticated, "send Authorization: Bearer KEY with an operator's key"));
        return;
    }
    if (request.path == "/dump") {
        respond(exchange, httpOk, m_events.dump());
    } else if (request.path == "/query" && request.method == "POST") {
        query(exchange);
    } else if (request.path == "/command" && request.method == "POST") {
        command(exchange, *account);
    } else {
        refuse(exchange,
               makeError(ErrorKind::NotFound, "expected GET /healthz, /readyz, /metrics or /dump, POST /query or /command"));
    }
}

std::vector<std::string> Console::others() const
{
    std::vector<std::string> names;
    for (const Peer::Member &member : m_fleet.present()) {
        if (member.name != m_settings.name) {
            names.push_back(member.name);
        }
    }
    return names;
}

void Console::query(const Exchange &exchange)
{
    const std::string &text = exchange->request().body;
    const auto parsed = Language::parseQuery(text);
    if (!parsed.ok()) {
        refuse(exchange, parsed.status());
        return;
    }
    const Base::Instant now = Base::now();
    Answer own = m_queries.local(*parsed, now);
    const auto finish = [exchange, query = *parsed](Answer answer) {
        if (const auto *show = std::get_if<Language::Show>(&query)) {
            if (absl::Status status = select(answer, *show); !status.ok()) {
                refuse(exchange, status);
                return;
            }
        }
        respond(exchange, httpOk, answerToJson(answer));
    };
    if (!isFleetWide(*parsed)) {
        finish(std::move(own));
        return;
    }
    m_gatherer.ask(now, text, others(), std::move(own), finish);
}

void Console::command(const Exchange &exchange, const OperatorAccount &account)
{
    if (account.right != OperatorRight::Command) {
        refuse(exchange, makeError(ErrorKind::Forbidden, fmt::format("operator '{}' may query only", account.name)));
        return;
    }
    auto commands = Language::parseCommands(exchange->request().body);
    if (!commands.ok()) {
        refuse(exchange, commands.status());
        return;
    }
    if (commands->empty()) {
        refuse(exchange, makeError(ErrorKind::Syntax, "there is no command"));
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

void Console::commit(const Exchange &exchange, const OperatorAccount &account, std::vector<Language::Command> commands)
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
            refuse(exchange, makeError(ErrorKind::InvalidValue, "Yokepond-If-Revision: expected a whole number"));
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
            refuse(exchange, result.status, result.change);
        } else if (dryRun) {
            respond(exchange, httpOk, {{"outcome", "would-be-accepted"}, {"revision", result.revision}});
        } else if (wait) {
            awaitHosts(exchange, result);
        } else {
            respond(exchange, httpOk, {{"outcome", "accepted"}, {"revision", result.revision}, {"change", result.change}});
        }
    });
}

void Console::cancelRequest(const Exchange &exchange, const std::string &id)
{
    if (m_events.cancelRequest(id)) {
        respond(exchange, httpOk, {{"outcome", "accepted"}});
        return;
    }
    refuse(exchange,
           makeError(ErrorKind::UnknownName,
                     fmt::format("request '{}' is not under way at this host; its name begins with the host to ask", id)));
}

void Console::releaseWork(const Exchange &exchange, const std::string &work)
{
    std::uint64_t number = 0;
    if (Base::parseHexadecimal(work, &number) && m_events.releaseWork(number)) {
        respond(exchange, httpOk, {{"outcome", "accepted"}});
        return;
    }
    refuse(exchange,
           makeError(ErrorKind::UnknownName, fmt::format("work '{}' is not held; `show quarantine` lists what is", work)));
}

void Console::awaitHosts(const Exchange &exchange, const Configuration::CommitResult &result)
{
    auto waiting = std::make_shared<AwaitingHosts>(
        AwaitingHosts {exchange, result.revision, result.change, Base::now() + waitBound, {}, false});
    m_waiting.push_back(waiting);
    askHosts(Base::now(), waiting);
}

void Console::askHosts(Base::Instant now, const std::shared_ptr<AwaitingHosts> &waiting)
{
    waiting->asking = true;
    waiting->nextAsk = now + askPeriod;
    // A host's revision is asked for as its own answer to a query that others do not see.
    m_gatherer.ask(now, "revision", others(), {}, [this, waiting](const Answer &answer) {
        waiting->asking = false;
        std::vector<std::string> behind = answer.missing;
        for (const nlohmann::json &row : answer.rows) {
            if (row.value("revision", std::uint64_t {0}) < waiting->revision) {
                behind.push_back(row.value("host", ""));
            }
        }
        if (behind.empty() || Base::now() >= waiting->until) {
            respond(waiting->exchange, httpOk,
                    {{"outcome", "accepted"}, {"revision", waiting->revision}, {"change", waiting->change}, {"behind", behind}});
            std::erase(m_waiting, waiting);
        }
    });
}

void Console::tick(Base::Instant now)
{
    const auto waiting = m_waiting;
    for (const auto &entry : waiting) {
        if (!entry->asking && now >= entry->nextAsk) {
            askHosts(now, entry);
        }
    }
}

} // namespace Yokepond::Node
