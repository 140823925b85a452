// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A host's part in ordering endpoints: it carries out what its Scaler decides.

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
    std::function<Base::Instant()> clock = Base::now; ///< when answers come
};

/// What an operator sees of the duty at one host.
struct ScalingView
{
    Scaling::ScalerView scaler;
    std::optional<std::size_t> rank;
    std::uint64_t accepted = 0; ///< orders
    std::uint64_t failures = 0;
};

/// @p P: the platform's calls, as Platform::DutyClient has them.
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

    /// The pools that may be scaled, of the configuration and the endpoints in force.
    void setPools(std::vector<Scaling::ScaledPool> pools)
    {
        m_pools = std::move(pools);
    }

    /// The hosts that are present, this one among them; call when they change.
    void setMembers(const std::vector<Peer::Member> &members)
    {
        m_rank = Membership::rankOf(m_options.host, dutyName, members);
    }

    /// @p isIdle: tells whether no request has begun lately; asked only where it matters.
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
    /// The other hosts and the endpoints have been heard of by then.
    static constexpr Base::Duration startupDelay = std::chrono::seconds(2);
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
