// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Standin/platform.h"

#include "Base/json.h"
#include "Base/text.h"

#include <fmt/format.h>

namespace Yokepond::Standin {

namespace {

constexpr int httpOk = 200;
constexpr int httpBadRequest = 400;
constexpr int httpNotFound = 404;
constexpr std::uint32_t percent = 100;

std::string base64Field(const nlohmann::json &object, const char *field)
{
    return Base::decodeBase64(object.value(field, std::string()));
}

/// Returns the field under its camel-case or snake-case name, or null if it is missing. etcd accepts both; this stand-in does so
/// for the operations of a transaction and for the end of a range.
const nlohmann::json *findEither(const nlohmann::json &object, const char *camelName, const char *snakeName)
{
    const auto camelEntry = object.find(camelName);
    const auto snakeEntry = object.find(snakeName);
    return camelEntry != object.end() ? &*camelEntry : (snakeEntry != object.end() ? &*snakeEntry : nullptr);
}

/// Returns an integer that is encoded as a number or as text, as in etcd's JSON. A missing field or invalid text gives 0.
std::int64_t integerField(const nlohmann::json &object, const char *field)
{
    const auto value = object.find(field);
    std::int64_t number = 0;
    if (value == object.end()) {
        return 0;
    }
    return value->is_string() ? (Base::parseInteger(value->get<std::string>(), &number) ? number : 0)
                              : value->get<std::int64_t>();
}

} // namespace

Platform::Platform(Base::Loop &loop, PlatformOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_random(m_options.common.seed)
{
}

void Platform::handle(const ExchangePointer &exchange)
{
    const Http::Request &request = exchange->request();
    if (request.path == "/faults" && request.method == "POST") {
        setFaults(exchange);
    } else if (request.path == "/counts") {
        respondJson(exchange, httpOk, {{"reads", m_rangeRequests}, {"writes", m_transactions}});
    } else if (m_faults.down) {
        exchange->abort();
    } else if (m_faults.processingDelay > Base::Duration::zero()) {
        const std::uint64_t id = m_nextTimerId++;
        m_delayTimers[id] = m_loop.after(m_faults.processingDelay, [this, exchange, id] {
            // Keeps the registration alive until its callback returns.
            const auto timer = std::move(m_delayTimers.at(id));
            m_delayTimers.erase(id);
            dispatchRequest(exchange);
        });
    } else {
        dispatchRequest(exchange);
    }
}

void Platform::dispatchRequest(const ExchangePointer &exchange)
{
    const Http::Request &request = exchange->request();
    if (request.path == "/hosts") {
        handleHosts(exchange);
        return;
    }
    const nlohmann::json body = Base::decodeJsonOrDiscard(request.body);
    if (!body.is_object()) {
        respondError(exchange, httpBadRequest, "the request body must be a JSON object");
    } else if (request.path == "/v3/kv/range") {
        handleRange(exchange, body);
    } else if (request.path == "/v3/kv/txn") {
        handleTransaction(exchange, body);
    } else {
        respondError(exchange, httpNotFound, "no such path");
    }
}

void Platform::setFaults(const ExchangePointer &exchange)
{
    const auto faults = readFaultsOrCrash(exchange);
    if (!faults) {
        return;
    }
    m_faults.down = faults->value("down", m_faults.down);
    m_faults.processingDelay
        = std::chrono::milliseconds(faults->value("slow-ms", m_faults.processingDelay / std::chrono::milliseconds(1)));
    m_faults.lostResponsePercent = faults->value("lose-percent", m_faults.lostResponsePercent);
    if (faults->value("forget", false)) {
        // Simulates the restore of an old copy of the table, which is empty here. The revision counter is not reset.
        m_table.clear();
    }
    respondJson(exchange, httpOk, {{"set", true}});
}

nlohmann::json Platform::responseHeader() const
{
    return {{"revision", fmt::format("{}", m_revision)}};
}

void Platform::respondWithHeader(const ExchangePointer &exchange, nlohmann::json body)
{
    body["header"] = responseHeader();
    respondJson(exchange, httpOk, body);
}

void Platform::handleRange(const ExchangePointer &exchange, const nlohmann::json &body)
{
    ++m_rangeRequests;
    respondWithHeader(exchange, rangeResponse(body));
}

nlohmann::json Platform::rangeResponse(const nlohmann::json &body) const
{
    const std::string begin = base64Field(body, "key");
    const nlohmann::json *endField = findEither(body, "rangeEnd", "range_end");
    std::string end;
    if (endField != nullptr) {
        end = Base::decodeBase64(endField->get<std::string>());
    }
    const std::int64_t limit = integerField(body, "limit");
    nlohmann::json rows = nlohmann::json::array();
    for (auto entry = m_table.lower_bound(begin); entry != m_table.end(); ++entry) {
        const bool inRange = end.empty() ? entry->first == begin : entry->first < end;
        if (!inRange || (limit > 0 && static_cast<std::int64_t>(rows.size()) >= limit)) {
            break;
        }
        rows.push_back({{"key", Base::encodeBase64(entry->first)},
                        {"value", Base::encodeBase64(entry->second.value)},
                        {"create_revision", fmt::format("{}", entry->second.createRevision)},
                        {"mod_revision", fmt::format("{}", entry->second.modRevision)},
                        {"version", fmt::format("{}", entry->second.version)}});
    }
    nlohmann::json result = nlohmann::json::object();
    if (!rows.empty()) {
        result["kvs"] = rows;
    }
    result["count"] = fmt::format("{}", rows.size());
    return result;
}

bool Platform::comparisonSucceeds(const nlohmann::json &compare) const
{
    const auto entry = m_table.find(base64Field(compare, "key"));
    const std::string target = compare.value("target", "VERSION");
    if (target == "CREATE") {
        return (entry == m_table.end() ? 0 : entry->second.createRevision) == integerField(compare, "create_revision");
    }
    if (target == "MOD") {
        return (entry == m_table.end() ? 0 : entry->second.modRevision) == integerField(compare, "mod_revision");
    }
    if (target == "VALUE") {
        return entry != m_table.end() && entry->second.value == base64Field(compare, "value");
    }
    return (entry == m_table.end() ? 0 : entry->second.version) == integerField(compare, "version");
}

void Platform::handleTransaction(const ExchangePointer &exchange, const nlohmann::json &body)
{
    ++m_transactions;
    const nlohmann::json empty = nlohmann::json::array();
    const bool succeeded = std::ranges::all_of(body.value("compare", empty),
                                               [this](const nlohmann::json &compare) { return comparisonSucceeds(compare); });
    nlohmann::json responses = nlohmann::json::array();
    const nlohmann::json operations = body.value(succeeded ? "success" : "failure", empty);
    m_revision += operations.empty() ? 0 : 1;
    for (const nlohmann::json &operation : operations) {
        applyOperation(operation, responses);
    }
    if (m_random() % percent < m_faults.lostResponsePercent) {
        exchange->abort();
        return;
    }
    nlohmann::json result = {{"responses", responses}};
    if (succeeded) {
        result["succeeded"] = true;
    }
    respondWithHeader(exchange, std::move(result));
}

void Platform::applyOperation(const nlohmann::json &operation, nlohmann::json &responses)
{
    if (const nlohmann::json *put = findEither(operation, "requestPut", "request_put")) {
        Entry &entry = m_table[base64Field(*put, "key")];
        entry.value = base64Field(*put, "value");
        entry.createRevision = entry.version == 0 ? m_revision : entry.createRevision;
        entry.modRevision = m_revision;
        ++entry.version;
        responses.push_back({{"response_put", nlohmann::json::object()}});
    } else if (const nlohmann::json *deletion = findEither(operation, "requestDeleteRange", "request_delete_range")) {
        m_table.erase(base64Field(*deletion, "key"));
        responses.push_back({{"response_delete_range", nlohmann::json::object()}});
    } else if (const nlohmann::json *read = findEither(operation, "requestRange", "request_range")) {
        responses.push_back({{"response_range", rangeResponse(*read)}});
    }
}

void Platform::handleHosts(const ExchangePointer &exchange)
{
    const Base::Instant now = Base::now();
    if (exchange->request().method == "POST") {
        for (const nlohmann::json &entry : Base::decodeJsonOrDiscard(exchange->request().body)) {
            const std::string name = entry.value("name", "");
            if (entry.value("state", "live") == "gone") {
                m_hosts.erase(name);
            } else {
                m_hosts[name] = entry;
            }
        }
        nlohmann::json list = nlohmann::json::array();
        for (const auto &[name, entry] : m_hosts) {
            list.push_back(entry);
        }
        m_hostListHistory.emplace_back(now, std::move(list));
        respondJson(exchange, httpOk, {{"set", true}});
        return;
    }
    // Discards versions until the front is the latest one that is at least hostListLag old.
    while (m_hostListHistory.size() > 1 && now - m_hostListHistory[1].first >= m_options.hostListLag) {
        m_hostListHistory.pop_front();
    }
    const bool visible = !m_hostListHistory.empty() && now - m_hostListHistory.front().first >= m_options.hostListLag;
    respondJson(exchange, httpOk, visible ? m_hostListHistory.front().second : nlohmann::json::array());
}

} // namespace Yokepond::Standin
