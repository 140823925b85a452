// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Decides when a host takes over the duty of scaling pools, and which orders for endpoints it sends to the platform.

#pragma once

#include "Base/names.h"
#include "Lease/lease.h"
#include "Scaling/scalingplan.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Yokepond::Scaling {

/// Number of endpoints that a pool's operators had provided before the first order.
struct PoolBaseline
{
    std::string pool;
    std::uint32_t endpoints = 0;

    bool operator==(const PoolBaseline &) const = default;
};

/// The row of the store that holds the lease of the duty and what the next holder needs to know.
struct ScalingRow
{
    std::uint64_t holder = 0; ///< incarnation of the process that wrote the row
    std::string host; ///< host of that process
    std::vector<PoolBaseline> baselines;

    bool operator==(const ScalingRow &) const = default;
};

/// Returns @p row as JSON text.
std::string serializeRow(const ScalingRow &row);

/// Reads the text that serializeRow() wrote. Fails with ErrorKind::InvalidValue.
absl::StatusOr<ScalingRow> parseScalingRow(std::string_view text);

/// Read the row and pass the result to Scaler::onRowRead().
struct ReadRow
{
};

/// Write the row if it has the expected version, and pass the result to Scaler::onRowWritten().
struct WriteRow
{
    std::uint64_t expectedVersion = 0;
    std::string value;
};

/// Send an order to the platform and pass the result to Scaler::onOrdered(). The connection must be reset after @ref timeout, so
/// that the order cannot arrive later.
struct SendOrder
{
    std::uint64_t fence = 0;
    Order order;
    Base::Duration timeout {};
};

using ScalerAction = std::variant<ReadRow, WriteRow, SendOrder>;

enum class OrderResult {
    Accepted,
    NoneAvailable, ///< the platform has no endpoints of that kind in that data centre at present
    TryAgain, ///< no response, or the platform cannot take the order now
};

inline constexpr Base::NameTable<OrderResult, 3> orderResultNames = {{
    {OrderResult::Accepted, "accepted"},
    {OrderResult::NoneAvailable, "none-available"},
    {OrderResult::TryAgain, "try-again"},
}};

/// State of a Scaler, as operators see it.
struct ScalerView
{
    bool holder = false; ///< whether this host holds the duty
    std::uint64_t fence = 0; ///< fencing token; 0 if the lease has expired
    std::string host; ///< last writer of the row, as far as this host knows
    std::vector<PoolBaseline> baselines;
    std::vector<Order> orders; ///< latest order for each pool, data centre and kind
};

struct ScalerOptions
{
    Lease::LeaseOptions lease;
    bool dryRun = false; ///< orders are logged and not sent
};

/// Decides for one host whether it holds the scaling duty, and which orders are due. It is a pure state machine: tick() returns
/// actions for the caller to carry out, and their results are passed to the on...() functions.
class Scaler
{
public:
    Scaler(const ScalerOptions &options, std::string host, std::uint64_t incarnation);

    /// Returns the actions that are due. @p rank is this host's position in the order of candidates for the duty, 0 for the
    /// first; it is empty if this host must not take the duty. @p idle is true if no request has begun recently.
    std::vector<ScalerAction> tick(Base::Instant now, std::optional<std::size_t> rank, const std::vector<ScaledPool> &pools,
                                   bool idle);

    /// Takes the result of a read. The version is 0 if there is no row; @p row is empty if the store did not respond.
    void onRowRead(Base::Instant now, const std::optional<Lease::StoredRow> &row);

    /// Takes the result of a write. @p row is the stored row if it had another version than expected.
    void onRowWritten(Base::Instant now, Lease::WriteResult result, std::uint64_t version,
                      const std::optional<Lease::StoredRow> &row);

    /// Takes the platform's response to @p order.
    void onOrdered(Base::Instant now, const Order &order, OrderResult result);

    bool isHolder() const;
    ScalerView view(Base::Instant now) const;

private:
    struct SentOrder
    {
        Order order;
        Base::Instant at {};
    };

    std::vector<Order> dueOrders(Base::Instant now, const std::vector<ScaledPool> &pools, bool idle);
    bool maySend(Base::Instant now, const Order &order, Base::Duration startupTime) const;
    void updateBaselines(Base::Instant now, const std::vector<ScaledPool> &pools);
    std::uint32_t baselineOf(const std::string &pool) const;
    void applyRow(Base::Instant now, const Lease::StoredRow &row);

    ScalerOptions m_options;
    std::string m_host;
    std::uint64_t m_incarnation;
    Lease::Lease m_lease;
    std::string m_rowHost;
    bool m_rowKnown = false; ///< the row has been read at least once
    bool m_rowHasBaselines = false;
    std::vector<PoolBaseline> m_baselines;
    Base::Instant m_baselinesGrewAt {};
    std::vector<SentOrder> m_sent; ///< latest order for each pool, data centre and kind; in a dry run the logged ones
    std::optional<Base::Instant> m_neededSince; ///< start of the current period in which orders are needed
    Base::Instant m_lastRegularOrder {}; ///< time of the last order for regular endpoints, which usually gives some up
    Base::Instant m_nextRead {};
    Base::Instant m_nextAttempt {}; ///< earliest time for an action after a failed one
    bool m_busy = false; ///< an action is under way
    bool m_wasHolder = false;
};

} // namespace Yokepond::Scaling
