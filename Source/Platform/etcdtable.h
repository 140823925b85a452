// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Access to a table service through the JSON gateway of etcd's v3 key-value API (POST /v3/kv/range and /v3/kv/txn).

#pragma once

#include "Base/address.h"
#include "Http/client.h"
#include "Platform/table.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Yokepond::Platform {

/// Numbers of requests sent, which show how much of the store's request budget is used.
struct TableCounters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t failures = 0;
};

/// Implements the concept Table on the JSON gateway of etcd.
class EtcdTable
{
public:
    /// @p client must outlive the table. A request that takes longer than @p timeout fails.
    EtcdTable(Http::Client &client, const Base::Address &address, Base::Duration timeout);

    /// Reads the rows of a key range. Fails with ErrorKind::StoreUnavailable.
    void range(const RangeRead &read, RangeHandler handler);

    /// Executes a transaction. It is sent at most once.
    void transact(const Transaction &transaction, TransactionHandler handler);

    const TableCounters &counters() const;

private:
    Http::Transfer transfer(std::string_view path, const nlohmann::json &body) const;

    Http::Client &m_client;
    std::string m_base;
    Base::Duration m_timeout;
    TableCounters m_counters;
};

static_assert(Table<EtcdTable>);

/// Returns the rows of the response @p body to a read, none if etcd left them out because there are none. Fails with
/// ErrorKind::InvalidValue if any row cannot be read: if it were passed over, it would count as absent.
absl::StatusOr<std::vector<Row>> parseRangeResponse(std::string_view body);

/// Returns whether a transaction was executed according to the response @p body, Undetermined if that cannot be told.
TransactionResult parseTransactionResponse(std::string_view body);

} // namespace Yokepond::Platform
