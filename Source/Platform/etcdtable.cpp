// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Platform/etcdtable.h"

#include "Base/json.h"
#include "Base/text.h"

#include <fmt/format.h>

namespace Yokepond::Platform {

namespace {

constexpr int httpOk = 200;

std::string encoded(std::string_view bytes)
{
    return Base::encodeBase64(bytes);
}

std::string decoded(const nlohmann::json &object, const char *field)
{
    return Base::decodeBase64(object.value(field, std::string()));
}

/// Returns the rows of a range response; none if `kvs` is missing, which etcd omits if there are no rows.
std::vector<Row> parseRows(const nlohmann::json &response)
{
    std::vector<Row> rows;
    for (const nlohmann::json &entry : response.value("kvs", nlohmann::json::array())) {
        rows.push_back({decoded(entry, "key"), decoded(entry, "value")});
    }
    return rows;
}

nlohmann::json guardToJson(const Guard &guard)
{
    if (!guard.value) {
        return {{"key", encoded(guard.key)}, {"target", "CREATE"}, {"result", "EQUAL"}, {"create_revision", "0"}};
    }
    return {{"key", encoded(guard.key)}, {"target", "VALUE"}, {"result", "EQUAL"}, {"value", encoded(*guard.value)}};
}

nlohmann::json transactionToJson(const Transaction &transaction)
{
    nlohmann::json compare = nlohmann::json::array();
    nlohmann::json success = nlohmann::json::array();
    for (const Guard &guard : transaction.guards) {
        compare.push_back(guardToJson(guard));
    }
    for (const Row &row : transaction.puts) {
        success.push_back({{"requestPut", {{"key", encoded(row.key)}, {"value", encoded(row.value)}}}});
    }
    for (const std::string &key : transaction.removals) {
        success.push_back({{"requestDeleteRange", {{"key", encoded(key)}}}});
    }
    return {{"compare", compare}, {"success", success}, {"failure", nlohmann::json::array()}};
}

TransactionResult transactionResult(const Http::TransferResult &result, const std::string &body)
{
    if (result.stage == Http::TransferStage::NotSent) {
        return TransactionResult::NotSent;
    }
    if (result.stage != Http::TransferStage::Complete || result.status != httpOk) {
        return TransactionResult::Undetermined;
    }
    const nlohmann::json response = Base::decodeJsonOrDiscard(body);
    if (!response.is_object()) {
        return TransactionResult::Undetermined;
    }
    // etcd's JSON omits `succeeded` if it is false.
    return response.value("succeeded", false) ? TransactionResult::Done : TransactionResult::GuardFailed;
}

} // namespace

EtcdTable::EtcdTable(Http::Client &client, const Base::Address &address, Base::Duration timeout)
    : m_client(client)
    , m_base(fmt::format("http://{}", address.text()))
    , m_timeout(timeout)
{
}

Http::Transfer EtcdTable::transfer(std::string_view path, const nlohmann::json &body) const
{
    return {.method = "POST",
            .url = fmt::format("{}{}", m_base, path),
            .headers = {{"content-type", std::string(Http::jsonType)}},
            .body = body.dump(),
            .totalTimeout = m_timeout};
}

void EtcdTable::range(const RangeRead &read, RangeHandler handler)
{
    ++m_counters.reads;
    nlohmann::json body = {{"key", encoded(read.begin)}};
    if (!read.end.empty()) {
        body["range_end"] = encoded(read.end);
    }
    if (read.limit > 0) {
        body["limit"] = read.limit;
    }
    fetch(m_client, transfer("/v3/kv/range", body),
          [this, handler = std::move(handler)](const Http::TransferResult &result, const std::string &text) {
              const nlohmann::json response = Base::decodeJsonOrDiscard(text);
              if (result.stage != Http::TransferStage::Complete || result.status != httpOk || !response.is_object()) {
                  ++m_counters.failures;
                  handler(makeError(
                      Base::ErrorKind::StoreUnavailable,
                      fmt::format("reading from the table service failed: {} (HTTP status {})", result.detail, result.status)));
                  return;
              }
              handler(parseRows(response));
          });
}

void EtcdTable::transact(const Transaction &transaction, TransactionHandler handler)
{
    ++m_counters.writes;
    Http::Transfer request = transfer("/v3/kv/txn", transactionToJson(transaction));
    // libcurl sends a request again if a reused connection turns out to be closed; a transaction must not be sent twice.
    request.freshConnection = true;
    fetch(m_client, std::move(request),
          [this, handler = std::move(handler)](const Http::TransferResult &result, const std::string &text) {
              const TransactionResult outcome = transactionResult(result, text);
              m_counters.failures += outcome == TransactionResult::NotSent || outcome == TransactionResult::Undetermined ? 1 : 0;
              handler(outcome);
          });
}

const TableCounters &EtcdTable::counters() const
{
    return m_counters;
}

} // namespace Yokepond::Platform
