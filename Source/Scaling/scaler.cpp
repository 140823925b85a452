// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Scaling/scaler.h"

#include "Base/error.h"
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

/// The records of the endpoints that a pool began with have come when their number stands for so long.
constexpr Duration basesStand = std::chrono::milliseconds(1500);
/// An order is repeated if the endpoints are not there so long after they should serve.
constexpr Duration repeatAfter = std::chrono::seconds(6);
/// While requests run, endpoints of one data centre at a time are given up: what they keep of prompts goes with them.
constexpr Duration betweenShrinks = std::chrono::seconds(5);
/// A host of the next rank takes over when orders have been needed for so long.
constexpr Duration takeOverAfter = std::chrono::seconds(2);
constexpr Duration takeOverStep = std::chrono::seconds(6);
constexpr Duration readPeriod = std::chrono::milliseconds(1000);
constexpr Duration retryPeriod = std::chrono::milliseconds(700);
constexpr Duration leastOrderTime = std::chrono::milliseconds(500);

const DataCentreCounts &countsOf(const ScaledPool &pool, const std::string &dataCentre)
{
    return *std::ranges::find(pool.counts, dataCentre, &DataCentreCounts::dataCentre);
}

bool sameSubject(const Order &left, const Order &right)
{
    return left.pool == right.pool && left.dataCentre == right.dataCentre && left.preemptible == right.preemptible;
}

} // namespace

std::string rowText(const ScalingRow &row)
{
    Json bases = Json::array();
    for (const PoolBase &base : row.bases) {
        bases.push_back({{"pool", base.pool}, {"endpoints", base.endpoints}});
    }
    const Json json = {{"holder", row.holder}, {"host", row.host}, {"bases", std::move(bases)}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<ScalingRow> parseScalingRow(std::string_view text)
{
    const Json json = Json::parse(text, nullptr, false);
    try {
        ScalingRow row {json.at("holder").get<std::uint64_t>(), json.at("host").get<std::string>(), {}};
        for (const Json &base : json.at("bases")) {
            row.bases.push_back({base.at("pool").get<std::string>(), base.at("endpoints").get<std::uint32_t>()});
        }
        return row;
    } catch (const Json::exception &error) {
        return Base::makeError(Base::ErrorKind::InvalidValue, fmt::format("the row of scaling: {}", error.what()));
    }
}

Scaler::Scaler(const ScalerOptions &options, std::string host, std::uint64_t incarnation)
    : m_options(options)
    , m_host(std::move(host))
    , m_incarnation(incarnation)
    , m_lease(options.lease, incarnation)
{
}

std::uint32_t Scaler::baseOf(const std::string &pool) const
{
    const auto base = std::ranges::find(m_bases, pool, &PoolBase::pool);
    return base == m_bases.end() ? 0 : base->endpoints;
}

/// Until something has been ordered, what serves is what the operators provided. Pools that come later are taken in too.
void Scaler::noteBases(Instant now, const std::vector<ScaledPool> &pools)
{
    for (const ScaledPool &pool : pools) {
        const auto base = std::ranges::find(m_bases, pool.pool, &PoolBase::pool);
        const std::uint32_t total = totalOf(pool);
        if (base == m_bases.end() && total > 0) {
            m_bases.push_back({pool.pool, total});
            m_basesGrew = now;
        } else if (base != m_bases.end() && !m_rowHasBases && total > base->endpoints) {
            base->endpoints = total;
            m_basesGrew = now;
        }
    }
}

bool Scaler::mayRepeat(Instant now, const Order &order, Duration startupTime) const
{
    const auto sent = std::ranges::find_if(m_sent, [&](const Sent &entry) { return sameSubject(entry.order, order); });
    return sent == m_sent.end() || sent->order.count != order.count || now - sent->at >= startupTime + repeatAfter;
}

std::vector<Order> Scaler::wantedOrders(Instant now, const std::vector<ScaledPool> &pools, bool idle)
{
    std::vector<Order> wanted;
    bool shrinks = false;
    for (const ScaledPool &pool : pools) {
        for (const Order &order : planFor(pool, baseOf(pool.pool))) {
            const DataCentreCounts &counts = countsOf(pool, order.dataCentre);
            const std::uint32_t there = order.preemptible ? counts.preemptible : counts.regular;
            if (there == order.count || !mayRepeat(now, order, pool.terms.startupTime)) {
                continue;
            }
            const bool shrink = order.count < there;
            const bool mayShrink = idle || (!shrinks && now - m_lastShrink >= betweenShrinks);
            if (!shrink || mayShrink) {
                shrinks = shrinks || shrink;
                wanted.push_back(order);
            }
        }
    }
    return wanted;
}

std::vector<ScalerAction> Scaler::tick(Instant now, std::optional<std::size_t> rank, const std::vector<ScaledPool> &pools,
                                       bool idle)
{
    if (pools.empty() || m_busy || now < m_nextTry || (!rank && !m_lease.isHeld())) {
        return {};
    }
    noteBases(now, pools);
    if (m_bases.empty() || now - m_basesGrew < basesStand) {
        return {};
    }
    if (!m_rowKnown && now >= m_nextRead) {
        m_nextRead = now + readPeriod;
        m_busy = true;
        return {ReadRow {}};
    }
    const std::vector<Order> wanted = wantedOrders(now, pools, idle);
    if (!m_rowKnown || wanted.empty()) {
        m_neededSince.reset();
        return {};
    }
    if (m_options.dryRun) {
        for (const Order &order : wanted) {
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
    const Duration patience = takeOverAfter + static_cast<std::int64_t>(rank.value_or(0)) * takeOverStep;
    const bool free = m_lease.expectedVersion() == 0 && rank == std::optional<std::size_t>(0);
    if (!m_lease.isHeld() && !free && now - *m_neededSince < patience) {
        return {};
    }
    std::optional<ScalerAction> action;
    const auto fence = m_lease.fence(now);
    const Duration timeout = m_lease.remainingTime(now);
    if (fence && timeout >= leastOrderTime) {
        action = SendOrder {*fence, wanted.front(), timeout};
    } else if (m_lease.mayWrite(now)) {
        m_lease.writeStarted(now);
        action = WriteRow {m_lease.expectedVersion(), rowText({m_incarnation, m_host, m_bases})};
    } else if (now >= m_nextRead) {
        m_nextRead = now + readPeriod;
        action = ReadRow {};
    }
    m_busy = action.has_value();
    return action ? std::vector {std::move(*action)} : std::vector<ScalerAction> {};
}

void Scaler::takeRow(Instant now, const Lease::StoredRow &stored)
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
    for (const PoolBase &base : row->bases) {
        m_rowHasBases = true;
        const auto known = std::ranges::find(m_bases, base.pool, &PoolBase::pool);
        if (known == m_bases.end()) {
            m_bases.push_back(base);
        } else {
            *known = base;
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
        takeRow(now, *row);
    }
}

void Scaler::onRowWritten(Instant now, WriteResult result, std::uint64_t version, const std::optional<Lease::StoredRow> &row)
{
    m_busy = false;
    m_lease.writeFinished(result, version);
    if (result != WriteResult::Done) {
        m_nextTry = now + retryPeriod;
        m_nextRead = now;
        if (row) {
            takeRow(now, *row);
        }
        return;
    }
    m_rowHasBases = true;
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
        m_nextTry = now + retryPeriod;
        return;
    }
    // Regular endpoints that go make room below the limit: what was cut by it is ordered again at once.
    std::erase_if(m_sent, [&](const Sent &entry) {
        const bool hasRoomNow
            = !order.preemptible && entry.order.pool == order.pool && entry.order.dataCentre == order.dataCentre;
        return sameSubject(entry.order, order) || hasRoomNow;
    });
    m_sent.push_back({order, now});
    if (!order.preemptible) {
        m_lastShrink = now;
    }
}

bool Scaler::isHolder() const
{
    return m_lease.isHeld();
}

ScalerView Scaler::view(Instant now) const
{
    ScalerView view {m_lease.isHeld(), m_lease.fence(now).value_or(0), m_rowHost, m_bases, {}};
    std::ranges::transform(m_sent, std::back_inserter(view.orders), &Sent::order);
    return view;
}

} // namespace Yokepond::Scaling
