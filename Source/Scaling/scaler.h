// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Decides when a host takes over the duty of ordering endpoints, and which orders it sends.

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

/// What a pool's operators provided before anything was ordered.
struct PoolBase
{
    std::string pool;
    std::uint32_t endpoints = 0;

    bool operator==(const PoolBase &) const = default;
};

/// The row of the store that holds the lease of the duty, and what a successor must know.
struct ScalingRow
{
    std::uint64_t holder = 0;
    std::string host;
    std::vector<PoolBase> bases;

    bool operator==(const ScalingRow &) const = default;
};

std::string rowText(const ScalingRow &row);

/// Fails with ErrorKind::InvalidValue.
absl::StatusOr<ScalingRow> parseScalingRow(std::string_view text);

struct ReadRow
{
};

struct WriteRow
{
    std::uint64_t expectedVersion = 0;
    std::string value;
};

/// After @ref within the call must be cut so that nothing of it arrives later.
struct SendOrder
{
    std::uint64_t fence = 0;
    Order order;
    Base::Duration timeout {};
};

using ScalerAction = std::variant<ReadRow, WriteRow, SendOrder>;

enum class OrderResult {
    Accepted,
    NoneAvailable, ///< the platform has none of that kind there at present
    TryAgain,
};

inline constexpr Base::NameTable<OrderResult, 3> orderResultNames = {{
    {OrderResult::Accepted, "accepted"},
    {OrderResult::NoneAvailable, "none-available"},
    {OrderResult::TryAgain, "try-again"},
}};

/// What an operator sees.
struct ScalerView
{
    bool holder = false;
    std::uint64_t fence = 0; ///< 0: the right to act has run out
    std::string host; ///< that wrote the row last, as far as this host knows
    std::vector<PoolBase> bases;
    std::vector<Order> orders; ///< the latest of each data centre and kind
};

struct ScalerOptions
{
    Lease::LeaseOptions lease;
    bool dryRun = false; ///< only tells what it would order
};

/// Pure state machine: one on each host.
class Scaler
{
public:
    Scaler(const ScalerOptions &options, std::string host, std::uint64_t incarnation);

    /// @p rank: how many hosts go before this one for the duty; none if it is not to take it. @p idle: no request has begun
    /// lately.
    std::vector<ScalerAction> tick(Base::Instant now, std::optional<std::size_t> rank, const std::vector<ScaledPool> &pools,
                                   bool idle);

    /// Version 0: there is no row; nothing: the store did not answer.
    void onRowRead(Base::Instant now, const std::optional<Lease::StoredRow> &row);
    void onRowWritten(Base::Instant now, Lease::WriteResult result, std::uint64_t version,
                      const std::optional<Lease::StoredRow> &row);
    void onOrdered(Base::Instant now, const Order &order, OrderResult result);

    bool isHolder() const;
    ScalerView view(Base::Instant now) const;

private:
    struct Sent
    {
        Order order;
        Base::Instant at {};
    };

    std::vector<Order> wantedOrders(Base::Instant now, const std::vector<ScaledPool> &pools, bool idle);
    bool mayRepeat(Base::Instant now, const Order &order, Base::Duration startupTime) const;
    void noteBases(Base::Instant now, const std::vector<ScaledPool> &pools);
    std::uint32_t baseOf(const std::string &pool) const;
    void takeRow(Base::Instant now, const Lease::StoredRow &row);

    ScalerOptions m_options;
    std::string m_host;
    std::uint64_t m_incarnation;
    Lease::Lease m_lease;
    std::string m_rowHost;
    bool m_rowKnown = false;
    bool m_rowHasBases = false;
    std::vector<PoolBase> m_bases;
    Base::Instant m_basesGrew {};
    std::vector<Sent> m_sent; ///< the latest order of each data centre and kind
    std::optional<Base::Instant> m_neededSince;
    Base::Instant m_lastShrink {};
    Base::Instant m_nextRead {};
    Base::Instant m_nextTry {};
    bool m_busy = false;
    bool m_wasHolder = false;
};

} // namespace Yokepond::Scaling
