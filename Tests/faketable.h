// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A table in memory that can be unreachable, lose requests or responses, and return outdated rows.

#pragma once

#include "Platform/table.h"

#include <map>

namespace Yokepond::Tests {

class FakeTable
{
public:
    enum class Fault {
        None,
        Unreachable, ///< the transaction is not sent
        LoseResponse, ///< the transaction is applied, and the response is lost
        LoseRequest, ///< the transaction is not applied, and no response arrives
    };

    void range(const Platform::RangeRead &read, const Platform::RangeHandler &handler)
    {
        if (unreachable) {
            handler(makeError(Base::ErrorKind::StoreUnavailable, "the table is unreachable"));
            return;
        }
        std::vector<Platform::Row> found;
        const bool stale = outdatedReads > 0;
        outdatedReads -= stale ? 1 : 0;
        for (const auto &[key, value] : stale ? outdatedRows : rows) {
            const bool inside = read.end.empty() ? key == read.begin : key >= read.begin && key < read.end;
            if (inside && (read.limit == 0 || found.size() < read.limit)) {
                found.push_back({key, value});
            }
        }
        handler(found);
    }

    void transact(const Platform::Transaction &transaction, const Platform::TransactionHandler &handler)
    {
        ++transactions;
        const Fault now = std::exchange(fault, Fault::None);
        if (unreachable || now == Fault::Unreachable) {
            handler(Platform::TransactionResult::NotSent);
            return;
        }
        if (now == Fault::LoseRequest) {
            handler(Platform::TransactionResult::Undetermined);
            return;
        }
        for (const Platform::Guard &guard : transaction.guards) {
            const auto row = rows.find(guard.key);
            const bool holds = guard.value ? row != rows.end() && row->second == *guard.value : row == rows.end();
            if (!holds) {
                handler(now == Fault::LoseResponse ? Platform::TransactionResult::Undetermined
                                                   : Platform::TransactionResult::GuardFailed);
                return;
            }
        }
        for (const Platform::Row &row : transaction.puts) {
            rows[row.key] = row.value;
        }
        handler(now == Fault::LoseResponse ? Platform::TransactionResult::Undetermined : Platform::TransactionResult::Done);
    }

    std::map<std::string, std::string> rows;
    Fault fault = Fault::None; ///< applies to the next transaction only
    std::map<std::string, std::string> outdatedRows; ///< rows for outdated reads
    int outdatedReads = 0; ///< number of next reads that return outdatedRows, like a read that a change overtook
    bool unreachable = false; ///< no read or transaction succeeds
    int transactions = 0;
};

static_assert(Platform::Table<FakeTable>);

} // namespace Yokepond::Tests
