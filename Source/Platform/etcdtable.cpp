// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Platform/etcdtable.h"

#include "Base/json.h"
#include "Base/text.h"

#include <fmt/format.h>

#include <optional>
#include <utility>

namespace Yokepond::Platform {

namespace {

constexpr int httpOk = 200;

std::string encoded(std::string_view bytes)
{
    return Base::encodeBase64(bytes);
}

/// Returns the bytes in the field @p name of a row, none if etcd left the field out, or nothing if they cannot be read.
std::optional<std::string> bytesOf(const nlohmann::json &row, const char *name)
{
    const auto field = row.find(name);
    if (field == row.end()) {
        return std::string();
    }
    if (!field->is_string()) {
        return std::nullopt;
    }
    const auto &text = field->get_ref<const std::string &>();
    std::string bytes = Base::decodeBase64(text);
    const bool decoded = text.empty() || !bytes.empty();
    return decoded ? std::optional(std::move(bytes)) : std::nullopt;
}

std::optional<Row> rowOf(const nlohmann::json &json)
{
    auto key = json.is_object() ? bytesOf(json, "key") : std::nullopt;
    auto value = json.is_object() ? bytesOf(json, "value") : std::nullopt;
    return key && value ? std::optional(Row {std::move(*key), std::move(*value)}) : std::nullopt;
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
    return parseTransactionResponse(body);
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
              const bool responded = result.stage == Http::TransferStage::Complete && result.status == httpOk;
              auto rows = responded ? parseRangeResponse(text) : makeError(Base::ErrorKind::StoreUnavailable, result.detail);
              if (!rows.ok()) {
                  ++m_counters.failures;
                  handler(makeError(Base::ErrorKind::StoreUnavailable,
                                    fmt::format("reading from the table service failed: {} (HTTP status {})",
                                                Base::messageOf(rows.status()), result.status)));
                  return;
              }
              handler(std::move(rows));
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

absl::StatusOr<std::vector<Row>> parseRangeResponse(std::string_view body)
{
    const auto response = Base::decodeJson(body);
    if (!response.ok()) {
        return response.status();
    }
    if (!response->is_object()) {
        return makeError(Base::ErrorKind::InvalidValue, "the response is no JSON object");
    }
    const nlohmann::json list = response->value("kvs", nlohmann::json::array());
    if (!list.is_array() && !list.is_null()) {
        return makeError(Base::ErrorKind::InvalidValue, "the response's kvs is no list");
    }
    std::vector<Row> rows;
    for (const nlohmann::json &entry : list) {
        auto row = rowOf(entry);
        if (!row) {
            return makeError(Base::ErrorKind::InvalidValue,
                             fmt::format("row {} has no key and value that are texts in base64", rows.size()));
        }
        rows.push_back(std::move(*row));
    }
    return rows;
}

TransactionResult parseTransactionResponse(std::string_view body)
{
    const nlohmann::json response = Base::decodeJsonOrDiscard(body);
    if (!response.is_object()) {
        return TransactionResult::Undetermined;
    }
    const auto succeeded = response.find("succeeded");
    // etcd's JSON omits `succeeded` if it is false.
    if (succeeded == response.end()) {
        return TransactionResult::GuardFailed;
    }
    if (!succeeded->is_boolean()) {
        return TransactionResult::Undetermined;
    }
    return succeeded->get<bool>() ? TransactionResult::Done : TransactionResult::GuardFailed;
}

} // namespace Yokepond::Platform
