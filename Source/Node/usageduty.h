// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A host's part in reporting usage: it counts what its endpoints began, tells the hosts that may report, and reports if the duty
/// is its own.

#pragma once

#include "Base/log.h"
#include "Membership/duty.h"
#include "Peer/message.h"
#include "Usage/usagereporter.h"

#include <algorithm>
#include <concepts>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Yokepond::Node {

/// What reporting needs of the platform; answers come later, on the loop's thread.
template<typename P>
concept DutyPlatform
    = requires(P platform, const std::string &text, const Usage::ReportUsage &report,
               std::function<void(const std::optional<Lease::StoredRow> &)> onRow,
               std::function<void(Lease::WriteResult, std::uint64_t, const std::optional<Lease::StoredRow> &)> onWritten,
               std::function<void(Usage::ReportResult, const std::string &)> onReported) {
          platform.readRow(text, onRow);
          platform.writeRow(text, std::uint64_t {0}, text, onWritten);
          platform.report(text, report, onReported);
      };

struct UsageDutyOptions
{
    std::string host;
    std::uint64_t incarnation = 0;
    Usage::ReporterOptions reporter;
    std::function<Base::Instant()> clock = Base::now; ///< when answers come
};

/// What an operator sees of the duty at one host.
struct UsageView
{
    Usage::ReporterView reporter;
    std::optional<std::size_t> rank;
    std::size_t reportingHosts = 0; ///< that told this host their counts lately
    std::uint64_t reports = 0; ///< accepted
    std::uint64_t failures = 0;
};

template<DutyPlatform P>
class UsageDuty
{
public:
    using Send = std::function<void(const std::string &member, Peer::Message message)>;

    UsageDuty(P &platform, const UsageDutyOptions &options, Base::Instant now, Usage::FleetTime timeOfDay, Send send)
        : m_platform(platform)
        , m_options(options)
        , m_send(std::move(send))
        , m_clock(now, timeOfDay)
        , m_reporter(options.reporter, options.host, options.incarnation, timeOfDay)
        , m_started(now)
    {
    }

    /// An endpoint began a request of @p organisation.
    void countStartedRequest(Base::Instant at, const std::string &organisation)
    {
        m_ownCounts.add(Usage::windowOf(m_clock.at(at), m_options.reporter.window), organisation);
    }

    /// The hosts that are present, this one among them; call when they change.
    void setMembers(const std::vector<Peer::Member> &members)
    {
        m_rank = Membership::rankOf(m_options.host, dutyName, members);
        m_collectors = Membership::selectMembers(dutyName, members, collectorCount);
        m_holderPresent = std::ranges::find(members, m_holder, &Peer::Member::name) != members.end();
    }

    void tick(Base::Instant now)
    {
        if (now >= m_nextSend) {
            m_nextSend = now + sendPeriod;
            sendCounts(now);
        }
        // Until the other hosts' counts and clocks have come, what would be fixed is not the fleet's.
        const bool settled = now - m_started >= startupDelay;
        const std::optional<std::size_t> rank = settled && m_rank && *m_rank < maxCandidates ? m_rank : std::nullopt;
        for (Usage::ReporterAction &action : m_reporter.tick(now, m_clock.at(now), rank, m_fleetCounts)) {
            std::visit([this](auto &entry) { this->execute(entry); }, action);
        }
    }

    void receive(Base::Instant now, const std::string &from, std::uint64_t incarnation, const Peer::UsageCounts &counts)
    {
        const Base::Duration offset(counts.clock - m_clock.at(now));
        m_fleetCounts.update(now, from, incarnation, offset, counts.entries);
        const Usage::FleetTime fleetTime = m_clock.at(now) + m_fleetCounts.clockOffset(now).count();
        m_send(from, Peer::UsageReceived {fleetTime, m_reporter.fixedUpTo(), m_reporter.isHolder()});
    }

    void receive(Base::Instant now, const std::string &from, const Peer::UsageReceived &received)
    {
        if (const Base::Duration by = m_clock.correct(now, received.clock); by != Base::Duration::zero()) {
            Base::log(Base::LogLevel::Warning, Base::LogEvent::ClockCorrected,
                      {{"by-ms", Base::milliseconds(by)}, {"from", from}});
            m_ownCounts.clear();
        }
        if (received.holder && from != m_options.host) {
            m_holder = from;
            m_holderPresent = true;
            m_reporter.updateFixedUpTo(received.fixedUpTo);
        }
    }

    /// No request began lately, as far as this host was told.
    bool isIdle(Base::Instant now) const
    {
        const Usage::WindowNumber currentWindow = Usage::windowOf(m_clock.at(now), m_options.reporter.window);
        return m_fleetCounts.total(currentWindow).empty() && m_fleetCounts.total(currentWindow - 1).empty();
    }

    UsageView view(Base::Instant now) const
    {
        return {m_reporter.view(now), m_rank, m_fleetCounts.recentHosts(now), m_reports, m_failures};
    }

private:
    static constexpr std::string_view dutyName = "usage";
    /// What a host that is killed had not told yet is lost: a second of its counts, of a window of five.
    static constexpr Base::Duration sendPeriod = std::chrono::seconds(1);
    static constexpr Base::Duration startupDelay = std::chrono::seconds(3);
    /// Hosts that get all counts beside the holder, so that one that takes over has them.
    static constexpr std::size_t collectorCount = 2;
    /// Hosts that may take over, by rank.
    static constexpr std::size_t maxCandidates = 3;

    void sendCounts(Base::Instant now)
    {
        const Usage::WindowNumber currentWindow = Usage::windowOf(m_clock.at(now), m_options.reporter.window);
        m_ownCounts.removeExpired(currentWindow);
        m_fleetCounts.removeExpired(currentWindow);
        std::vector<std::string> to = m_collectors;
        if (m_holderPresent && std::ranges::find(to, m_holder) == to.end()) {
            to.push_back(m_holder);
        }
        const Peer::UsageCounts counts {m_clock.at(now), m_ownCounts.entries(m_reporter.fixedUpTo())};
        // What this host counted itself it always knows, also if it takes over.
        m_fleetCounts.update(now, m_options.host, m_options.incarnation, Base::Duration::zero(), counts.entries);
        for (const std::string &member : to) {
            if (member != m_options.host) {
                m_send(member, counts);
            }
        }
        const bool collects = std::ranges::find(to, m_options.host) != to.end();
        if (collects) {
            m_clock.correct(now, m_clock.at(now) + m_fleetCounts.clockOffset(now).count());
        }
    }

    void execute(const Usage::ReadRow &)
    {
        m_platform.readRow(std::string(dutyName),
                           [this](const std::optional<Lease::StoredRow> &row) { m_reporter.onRowRead(m_options.clock(), row); });
    }

    void execute(const Usage::WriteRow &write)
    {
        m_platform.writeRow(std::string(dutyName), write.expectedVersion, write.value,
                            [this](Lease::WriteResult result, std::uint64_t version, const std::optional<Lease::StoredRow> &row) {
                                m_reporter.onRowWritten(m_options.clock(), result, version, row);
                            });
    }

    void execute(const Usage::ReportUsage &report)
    {
        const auto handler = [this, window = report.usage.window, fence = report.fence,
                              organisations = report.usage.counts.size()](Usage::ReportResult result, const std::string &reason) {
            const bool accepted = result == Usage::ReportResult::Accepted;
            ++(accepted ? m_reports : m_failures);
            Base::log(accepted ? Base::LogLevel::Info : Base::LogLevel::Warning,
                      accepted ? Base::LogEvent::UsageReported : Base::LogEvent::UsageReportFailed,
                      {{"window", window}, {"fence", fence}, {"organisations", organisations}, {"answer", reason}});
            m_reporter.onReported(m_options.clock(), window, result);
        };
        m_platform.report(m_options.host, report, handler);
    }

    P &m_platform;
    UsageDutyOptions m_options;
    Send m_send;
    Usage::FleetClock m_clock;
    Usage::HostCounts m_ownCounts;
    Usage::FleetCounts m_fleetCounts;
    Usage::UsageReporter m_reporter;
    Base::Instant m_started;
    Base::Instant m_nextSend {};
    std::optional<std::size_t> m_rank;
    std::vector<std::string> m_collectors;
    bool m_holderPresent = false;
    std::string m_holder; ///< another host that said that it reports
    std::uint64_t m_reports = 0;
    std::uint64_t m_failures = 0;
};

} // namespace Yokepond::Node
