// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A table in memory that can be away, lose answers, and be old.

#pragma once

#include "Platform/table.h"

#include <map>

namespace Yokepond::Tests {

class FakeTable
{
public:
    enum class Fault {
        None,
        Away, ///< nothing is sent
        LoseResponse, ///< applied, and the answer lost
        LoseRequest, ///< not applied, and the answer lost
    };

    void range(const Platform::RangeRead &read, const Platform::RangeHandler &handler)
    {
        if (unreachable) {
            handler(makeError(Base::ErrorKind::StoreUnavailable, "away"));
            return;
        }
        std::vector<Platform::Row> found;
        const bool stale = staleReads > 0;
        staleReads -= stale ? 1 : 0;
        for (const auto &[key, value] : stale ? olderRows : rows) {
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
        if (unreachable || now == Fault::Away) {
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
    Fault fault = Fault::None; ///< of the next transaction
    std::map<std::string, std::string> olderRows;
    int staleReads = 0; ///< answered from olderRows, as one that crossed a change on its way
    bool unreachable = false;
    int transactions = 0;
};

static_assert(Platform::Table<FakeTable>);

} // namespace Yokepond::Tests
