// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Scaling/scaler.h"

#include "Base/error.h"
#include "Base/json.h"
#include "Base/log.h"
#include "Base/text.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ranges>
#include <utility>

namespace Yokepond::Scaling {

namespace {

using Base::Duration;
using Base::Instant;
using Json = nlohmann::json;
using Lease::WriteResult;

/// The baselines are complete when they have not grown for this long: the records of all endpoints have arrived by then.
constexpr Duration baselineSettleTime = std::chrono::milliseconds(1500);
/// An order is repeated this long after its endpoints should serve, if their number still differs from the ordered one.
constexpr Duration repeatDelay = std::chrono::seconds(6);
/// Minimum time between orders that give up endpoints while requests run. Only one data centre is reduced at a time, because the
/// prompt prefixes that its endpoints cache are lost.
constexpr Duration shrinkInterval = std::chrono::seconds(5);
/// A host takes over from another holder when orders have been needed for this long, and takeOverStep longer for each host that
/// comes before it.
constexpr Duration takeOverAfter = std::chrono::seconds(2);
constexpr Duration takeOverStep = std::chrono::seconds(6);
constexpr Duration readPeriod = std::chrono::milliseconds(1000);
constexpr Duration retryPeriod = std::chrono::milliseconds(700);
/// An order is not sent if the lease allows less time than this.
constexpr Duration minOrderTimeout = std::chrono::milliseconds(500);

const DataCentreCounts &countsOf(const ScaledPool &pool, const std::string &dataCentre)
{
    return *std::ranges::find(pool.counts, dataCentre, &DataCentreCounts::dataCentre);
}

bool isSameTarget(const Order &left, const Order &right)
{
    return left.pool == right.pool && left.dataCentre == right.dataCentre && left.preemptible == right.preemptible;
}

absl::Status malformedRow(std::string_view reason)
{
    return Base::makeError(Base::ErrorKind::InvalidValue,
                           fmt::format("the stored row of the scaling duty is malformed: {}", reason));
}

} // namespace

std::string serializeRow(const ScalingRow &row)
{
    Json baselines = Json::array();
    for (const PoolBaseline &baseline : row.baselines) {
        baselines.push_back({{"pool", baseline.pool}, {"endpoints", baseline.endpoints}});
    }
    // The stored name of the baselines is "bases".
    const Json json = {{"holder", row.holder}, {"host", row.host}, {"bases", std::move(baselines)}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<ScalingRow> parseScalingRow(std::string_view text)
{
    const auto json = Base::decodeJson(text);
    if (!json.ok()) {
        return malformedRow(Base::messageOf(json.status()));
    }
    try {
        ScalingRow row {json->at("holder").get<std::uint64_t>(), json->at("host").get<std::string>(), {}};
        for (const Json &baseline : json->at("bases")) {
            row.baselines.push_back({baseline.at("pool").get<std::string>(), baseline.at("endpoints").get<std::uint32_t>()});
        }
        return row;
    } catch (const Json::exception &error) {
        return malformedRow(error.what());
    }
}

Scaler::Scaler(const ScalerOptions &options, std::string host, std::uint64_t incarnation)
    : m_options(options)
    , m_host(std::move(host))
    , m_incarnation(incarnation)
    , m_lease(options.lease, incarnation)
{
}

std::uint32_t Scaler::baselineOf(const std::string &pool) const
{
    const auto baseline = std::ranges::find(m_baselines, pool, &PoolBaseline::pool);
    return baseline == m_baselines.end() ? 0 : baseline->endpoints;
}

/// Takes the serving endpoints as those that the operators provided, as long as nothing has been ordered. A pool that appears
/// later gets a baseline when it is first seen.
void Scaler::updateBaselines(Instant now, const std::vector<ScaledPool> &pools)
{
    for (const ScaledPool &pool : pools) {
        const auto baseline = std::ranges::find(m_baselines, pool.pool, &PoolBaseline::pool);
        const std::uint32_t total = totalOf(pool);
        if (baseline == m_baselines.end() && total > 0) {
            m_baselines.push_back({pool.pool, total});
            m_baselinesGrewAt = now;
        } else if (baseline != m_baselines.end() && !m_rowHasBaselines && total > baseline->endpoints) {
            baseline->endpoints = total;
            m_baselinesGrewAt = now;
        }
    }
}

bool Scaler::maySend(Instant now, const Order &order, Duration startupTime) const
{
    const auto sent = std::ranges::find_if(m_sent, [&](const SentOrder &entry) { return isSameTarget(entry.order, order); });
    return sent == m_sent.end() || sent->order.count != order.count || now - sent->at >= startupTime + repeatDelay;
}

std::vector<Order> Scaler::dueOrders(Instant now, const std::vector<ScaledPool> &pools, bool idle)
{
    std::vector<Order> due;
    bool shrinks = false;
    for (const ScaledPool &pool : pools) {
        for (const Order &order : planOrders(pool, baselineOf(pool.pool))) {
            const DataCentreCounts &counts = countsOf(pool, order.dataCentre);
            const std::uint32_t current = order.preemptible ? counts.preemptible : counts.regular;
            if (current == order.count || !maySend(now, order, pool.terms.startupTime)) {
                continue;
            }
            const bool shrink = order.count < current;
            const bool mayShrink = idle || (!shrinks && now - m_lastRegularOrder >= shrinkInterval);
            if (!shrink || mayShrink) {
                shrinks = shrinks || shrink;
                due.push_back(order);
            }
        }
    }
    return due;
}

std::vector<ScalerAction> Scaler::tick(Instant now, std::optional<std::size_t> rank, const std::vector<ScaledPool> &pools,
                                       bool idle)
{
    if (pools.empty() || m_busy || now < m_nextAttempt || (!rank && !m_lease.isHeld())) {
        return {};
    }
    updateBaselines(now, pools);
    if (m_baselines.empty() || now - m_baselinesGrewAt < baselineSettleTime) {
        return {};
    }
    if (!m_rowKnown && now >= m_nextRead) {
        m_nextRead = now + readPeriod;
        m_busy = true;
        return {ReadRow {}};
    }
    const std::vector<Order> due = dueOrders(now, pools, idle);
    if (!m_rowKnown || due.empty()) {
        m_neededSince.reset();
        return {};
    }
    if (m_options.dryRun) {
        for (const Order &order : due) {
            m_sent.push_back({order, now});
            Base::log(Base::LogLevel::Info, Base::LogEvent::EndpointsOrdered,
                      {{"pool", order.pool},
                       {"data-centre", order.dataCentre},
                       {"preemptible", order.preemptible},
                       {"count", order.count},
                       {"result", "dry"}});
        }
        return {};
    }
    m_neededSince = m_neededSince.value_or(now);
    const Duration takeOverDelay = takeOverAfter + static_cast<std::int64_t>(rank.value_or(0)) * takeOverStep;
    const bool mayClaimAtOnce = m_lease.expectedVersion() == 0 && rank == std::optional<std::size_t>(0);
    if (!m_lease.isHeld() && !mayClaimAtOnce && now - *m_neededSince < takeOverDelay) {
        return {};
    }
    std::optional<ScalerAction> action;
    const auto fence = m_lease.fence(now);
    const Duration timeout = m_lease.remainingTime(now);
    if (fence && timeout >= minOrderTimeout) {
        action = SendOrder {*fence, due.front(), timeout};
    } else if (m_lease.mayWrite(now)) {
        m_lease.writeStarted(now);
        action = WriteRow {m_lease.expectedVersion(), serializeRow({m_incarnation, m_host, m_baselines})};
    } else if (now >= m_nextRead) {
        m_nextRead = now + readPeriod;
        action = ReadRow {};
    }
    m_busy = action.has_value();
    return action ? std::vector {std::move(*action)} : std::vector<ScalerAction> {};
}

void Scaler::applyRow(Instant now, const Lease::StoredRow &stored)
{
    m_rowKnown = true;
    auto row = stored.version == 0 ? absl::StatusOr<ScalingRow>(ScalingRow {}) : parseScalingRow(stored.value);
    if (!row.ok()) {
        Base::log(Base::LogLevel::Error, Base::LogEvent::DutyRowUnreadable,
                  {{"duty", "scaling"}, {"reason", Base::messageOf(row.status())}});
        row = ScalingRow {};
    }
    m_lease.updateRow(now, {stored.version, row->holder});
    m_rowHost = row->host;
    for (const PoolBaseline &baseline : row->baselines) {
        m_rowHasBaselines = true;
        const auto known = std::ranges::find(m_baselines, baseline.pool, &PoolBaseline::pool);
        if (known == m_baselines.end()) {
            m_baselines.push_back(baseline);
        } else {
            *known = baseline;
        }
    }
    if (std::exchange(m_wasHolder, m_lease.isHeld()) && !m_wasHolder) {
        Base::log(Base::LogLevel::Warning, Base::LogEvent::LeaseLost,
                  {{"duty", "scaling"}, {"version", stored.version}, {"to", row->host}});
        m_sent.clear();
    }
}

void Scaler::onRowRead(Instant now, const std::optional<Lease::StoredRow> &row)
{
    m_busy = false;
    if (row) {
        applyRow(now, *row);
    }
}

void Scaler::onRowWritten(Instant now, WriteResult result, std::uint64_t version, const std::optional<Lease::StoredRow> &row)
{
    m_busy = false;
    m_lease.writeFinished(result, version);
    if (result != WriteResult::Done) {
        m_nextAttempt = now + retryPeriod;
        m_nextRead = now;
        if (row) {
            applyRow(now, *row);
        }
        return;
    }
    m_rowHasBaselines = true;
    m_rowHost = m_host;
    if (!std::exchange(m_wasHolder, true)) {
        Base::log(Base::LogLevel::Info, Base::LogEvent::LeaseTaken,
                  {{"duty", "scaling"}, {"fence", m_lease.fence(now).value_or(version)}, {"version", version}});
    }
}

void Scaler::onOrdered(Instant now, const Order &order, OrderResult result)
{
    m_busy = false;
    if (result == OrderResult::TryAgain) {
        m_nextAttempt = now + retryPeriod;
        return;
    }
    // Giving up regular endpoints makes room below the pool's limit, which counts both kinds. The order for preemptible ones in
    // that data centre, of which the limit may have allowed only a part, is forgotten, so that it may be sent again at once.
    std::erase_if(m_sent, [&](const SentOrder &entry) {
        const bool mayHaveRoomNow
            = !order.preemptible && entry.order.pool == order.pool && entry.order.dataCentre == order.dataCentre;
        return isSameTarget(entry.order, order) || mayHaveRoomNow;
    });
    m_sent.push_back({order, now});
    if (!order.preemptible) {
        m_lastRegularOrder = now;
    }
}

bool Scaler::isHolder() const
{
    return m_lease.isHeld();
}

ScalerView Scaler::view(Instant now) const
{
    ScalerView view {m_lease.isHeld(), m_lease.fence(now).value_or(0), m_rowHost, m_baselines, {}};
    std::ranges::transform(m_sent, std::back_inserter(view.orders), &SentOrder::order);
    return view;
}

} // namespace Yokepond::Scaling
