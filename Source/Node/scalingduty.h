// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A host's part in ordering endpoints from the platform: it executes the actions of its Scaler.

#pragma once

#include "Base/log.h"
#include "Membership/duty.h"
#include "Scaling/scaler.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Yokepond::Node {

struct ScalingDutyOptions
{
    std::string host;
    std::uint64_t incarnation = 0;
    Scaling::ScalerOptions scaler;
    std::function<Base::Instant()> clock = Base::now; ///< current time, read when calls end
};

/// State of the duty at one host, for operators.
struct ScalingView
{
    Scaling::ScalerView scaler;
    std::optional<std::size_t> rank; ///< number of hosts that precede this one for the duty
    std::uint64_t accepted = 0; ///< accepted orders
    std::uint64_t failures = 0; ///< orders that failed
};

/// Takes part in the duty of scaling pools, which one host of the fleet at a time holds by a lease, and executes the actions of
/// its Scaler. @p P: the platform's calls, as in Platform::DutyClient.
template<typename P>
class ScalingDuty
{
public:
    ScalingDuty(P &platform, const ScalingDutyOptions &options, Base::Instant now)
        : m_platform(platform)
        , m_options(options)
        , m_scaler(options.scaler, options.host, options.incarnation)
        , m_started(now)
    {
    }

    /// Sets the pools that may be scaled, from the applied configuration and endpoints.
    void setPools(std::vector<Scaling::ScaledPool> pools)
    {
        m_pools = std::move(pools);
    }

    /// Sets the present hosts, which include this one. Must be called when they change.
    void setMembers(const std::vector<Peer::Member> &members)
    {
        m_rank = Membership::rankOf(m_options.host, dutyName, members);
    }

    /// @p isIdle returns whether no request was started recently. It is called only if this host takes part in the duty.
    void tick(Base::Instant now, const std::function<bool()> &isIdle)
    {
        const std::optional<std::size_t> candidateRank = m_rank && *m_rank < maxCandidates ? m_rank : std::nullopt;
        if (m_pools.empty() || now - m_started < startupDelay || (!candidateRank && !m_scaler.isHolder())) {
            return;
        }
        for (Scaling::ScalerAction &action : m_scaler.tick(now, candidateRank, m_pools, isIdle())) {
            std::visit([this](auto &entry) { this->execute(entry); }, action);
        }
    }

    ScalingView view(Base::Instant now) const
    {
        return {m_scaler.view(now), m_rank, m_accepted, m_failures};
    }

private:
    static constexpr std::string_view dutyName = "scaling";
    /// Delay after the start, by which the other hosts and the endpoints are known.
    static constexpr Base::Duration startupDelay = std::chrono::seconds(2);
    /// Number of hosts, by rank, that may take over the duty.
    static constexpr std::size_t maxCandidates = 3;

    void execute(const Scaling::ReadRow &)
    {
        m_platform.readRow(std::string(dutyName),
                           [this](const std::optional<Lease::StoredRow> &row) { m_scaler.onRowRead(m_options.clock(), row); });
    }

    void execute(const Scaling::WriteRow &write)
    {
        m_platform.writeRow(std::string(dutyName), write.expectedVersion, write.value,
                            [this](Lease::WriteResult result, std::uint64_t version, const std::optional<Lease::StoredRow> &row) {
                                m_scaler.onRowWritten(m_options.clock(), result, version, row);
                            });
    }

    void execute(const Scaling::SendOrder &send)
    {
        m_platform.order(m_options.host, send, [this, send](Scaling::OrderResult result, const std::string &reason) {
            const Scaling::Order &order = send.order;
            ++(result == Scaling::OrderResult::Accepted ? m_accepted : m_failures);
            Base::log(result == Scaling::OrderResult::Accepted ? Base::LogLevel::Info : Base::LogLevel::Warning,
                      Base::LogEvent::EndpointsOrdered,
                      {{"pool", order.pool},
                       {"data-centre", order.dataCentre},
                       {"preemptible", order.preemptible},
                       {"count", order.count},
                       {"fence", send.fence},
                       {"result", Base::nameOf(Scaling::orderResultNames, result)},
                       {"answer", reason}});
            m_scaler.onOrdered(m_options.clock(), order, result);
        });
    }

    P &m_platform;
    ScalingDutyOptions m_options;
    std::vector<Scaling::ScaledPool> m_pools;
    Scaling::Scaler m_scaler;
    Base::Instant m_started;
    std::optional<std::size_t> m_rank;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_failures = 0;
};

} // namespace Yokepond::Node
