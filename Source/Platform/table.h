// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The interface to the platform's table service. docs/PLATFORM.md describes how to write another adapter.

#pragma once

#include "Base/error.h"

#include <absl/status/statusor.h>

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Yokepond::Platform {

struct Row
{
    std::string key;
    std::string value;

    bool operator==(const Row &) const = default;
};

/// Selects the rows with begin <= key < end, in key order. If end is empty, only the row with the key begin is selected.
struct RangeRead
{
    std::string begin;
    std::string end;
    std::size_t limit = 0; ///< maximum number of rows; 0 for no limit
};

/// A condition of a transaction: the key has exactly this value, or does not exist if no value is given.
struct Guard
{
    std::string key;
    std::optional<std::string> value;
};

/// Writes and removes all of its rows if all guards hold, otherwise none.
struct Transaction
{
    std::vector<Guard> guards;
    std::vector<Row> puts;
    std::vector<std::string> removals;
};

/// Result of a transaction. Undetermined means that the response was lost and the writes may have been applied.
enum class TransactionResult { Done, GuardFailed, NotSent, Undetermined };

using RangeHandler = std::function<void(absl::StatusOr<std::vector<Row>>)>;
using TransactionHandler = std::function<void(TransactionResult)>;

/// A table service with linearizable reads and conditional transactions. Handlers are called later, on the loop's thread.
template<typename T>
concept Table = requires(T table, RangeRead read, Transaction transaction, RangeHandler onRows, TransactionHandler onResult) {
    table.range(read, onRows);
    table.transact(transaction, onResult);
};

} // namespace Yokepond::Platform
