// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A host's part in reporting usage: it counts the requests that endpoints started for it, sends the counts to the hosts that may
/// report, and reports if it holds the duty.

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

/// The calls of the platform that reporting needs. Their handlers are called later, on the event loop's thread.
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
    std::function<Base::Instant()> clock = Base::now; ///< current time, read when calls end
};

/// State of the duty at one host, for operators.
struct UsageView
{
    Usage::ReporterView reporter;
    std::optional<std::size_t> rank; ///< number of hosts that precede this one for the duty
    std::size_t reportingHosts = 0; ///< hosts whose counts this host received recently
    std::uint64_t reports = 0; ///< accepted reports
    std::uint64_t failures = 0; ///< reports that failed
};

/// Counts usage at one host and takes part in the duty of reporting it. One host of the fleet at a time, the holder, has the
/// lease of the duty. It fixes the counts of each window of time, that is, stores them so that they no longer change, and reports
/// them. @p P: the platform's calls.
template<DutyPlatform P>
class UsageDuty
{
public:
    using Send = std::function<void(const Peer::Process &to, Peer::Message message)>;

    UsageDuty(P &platform, const UsageDutyOptions &options, Base::Instant now, Usage::FleetTime timeOfDay, Send send)
        : m_platform(platform)
        , m_options(options)
        , m_send(std::move(send))
        , m_clock(now, timeOfDay)
        , m_reporter(options.reporter, options.host, options.incarnation, timeOfDay)
        , m_started(now)
    {
    }

    /// Counts a request of @p organisation that an endpoint started at @p at.
    void countStartedRequest(Base::Instant at, const std::string &organisation)
    {
        m_ownCounts.add(Usage::windowOf(m_clock.at(at), m_options.reporter.window), organisation);
    }

    /// Sets the present hosts, which include this one. Must be called when they change.
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
        // Before the counts and clocks of the other hosts have arrived, a window would be fixed with incomplete counts.
        const bool startupOver = now - m_started >= startupDelay;
        const std::optional<std::size_t> rank = startupOver && m_rank && *m_rank < maxCandidates ? m_rank : std::nullopt;
        for (Usage::ReporterAction &action : m_reporter.tick(now, m_clock.at(now), rank, m_fleetCounts)) {
            std::visit([this](auto &entry) { this->execute(entry); }, action);
        }
    }

    /// Adds the counts of host @p from, and replies with the fleet's time and the newest fixed window.
    void receive(Base::Instant now, const Peer::Process &from, const Peer::UsageCounts &counts)
    {
        const Base::Duration offset(counts.clock - m_clock.at(now));
        m_fleetCounts.update(now, from.name, from.incarnation, offset, counts.entries);
        const Usage::FleetTime fleetTime = m_clock.at(now) + m_fleetCounts.clockOffset(now).count();
        m_send(from, Peer::UsageReceived {fleetTime, m_reporter.fixedUpTo(), m_reporter.isHolder()});
    }

    /// Corrects the clock by the fleet's time, and notes which host holds the duty.
    void receive(Base::Instant now, const Peer::Process &from, const Peer::UsageReceived &received)
    {
        if (const Base::Duration by = m_clock.correct(now, received.clock); by != Base::Duration::zero()) {
            Base::log(Base::LogLevel::Warning, Base::LogEvent::ClockCorrected,
                      {{"by-ms", Base::milliseconds(by)}, {"from", from.name}});
            m_ownCounts.clear();
        }
        if (received.holder && from.name != m_options.host) {
            m_holder = from.name;
            m_holderPresent = true;
            m_reporter.updateFixedUpTo(received.fixedUpTo);
        }
    }

    /// Returns whether no request was started in this window and the previous one, as far as the received counts show.
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
    /// Period at which counts are sent. A host that is killed loses the counts that it has not sent: at most one second of a
    /// window of five.
    static constexpr Base::Duration sendPeriod = std::chrono::seconds(1);
    /// Delay after the start, by which the counts and clocks of the other hosts are known.
    static constexpr Base::Duration startupDelay = std::chrono::seconds(3);
    /// Number of hosts that get all counts beside the holder, so that a host that takes over the duty has them.
    static constexpr std::size_t collectorCount = 2;
    /// Number of hosts, by rank, that may take over the duty.
    static constexpr std::size_t maxCandidates = 3;

    /// Sends the counts of this host to the collectors and the holder.
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
        // This host adds its own counts directly, so that it has them if it takes over the duty.
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
    std::vector<std::string> m_collectors; ///< hosts that get all counts beside the holder
    bool m_holderPresent = false;
    std::string m_holder; ///< the other host that last announced that it holds the duty
    std::uint64_t m_reports = 0;
    std::uint64_t m_failures = 0;
};

} // namespace Yokepond::Node
