// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Usage/usagereporter.h"

#include "Base/log.h"
#include "Base/text.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace Yokepond::Usage {

namespace {

using Base::Duration;
using Base::Instant;
using Lease::WriteResult;

/// A window that is not fixed so long after it should be needs another holder; each rank waits its turn beyond that.
constexpr Duration takeOverAfter = std::chrono::milliseconds(1000);
constexpr Duration takeOverStep = std::chrono::milliseconds(1200);
/// Between two reads of the row while the former holder's right may last; calls cost.
constexpr Duration readPeriod = std::chrono::milliseconds(1000);
constexpr Duration retryPeriod = std::chrono::milliseconds(700);
/// A report that cannot last so long is not begun.
constexpr Duration leastReportTime = std::chrono::milliseconds(500);
/// Windows that a new holder fixes at once; those before are past the time by which they had to be reported.
constexpr WindowNumber mostCaughtUp = 3;

} // namespace

UsageReporter::UsageReporter(const ReporterOptions &options, std::string host, std::uint64_t incarnation, FleetTime start)
    : m_options(options)
    , m_host(std::move(host))
    , m_incarnation(incarnation)
    , m_lease(options.lease, incarnation)
    , m_fixedUpTo(windowOf(start, options.window) - 1)
{
}

WindowNumber UsageReporter::newestDue(FleetTime time) const
{
    return windowOf(time - m_options.fixAfter.count(), m_options.window) - 1;
}

bool UsageReporter::isOverdue(FleetTime time, std::size_t rank) const
{
    const Duration patience = takeOverAfter + static_cast<std::int64_t>(rank) * takeOverStep;
    return newestDue(time - patience.count()) > m_fixedUpTo;
}

bool UsageReporter::hasUnreported() const
{
    return std::ranges::any_of(m_pending, [](const Pending &pending) { return !pending.reported; });
}

std::vector<ReporterAction> UsageReporter::tick(Instant now, FleetTime time, std::optional<std::size_t> rank,
                                                const FleetCounts &counts)
{
    if (m_busy || now < m_nextTry) {
        return {};
    }
    const bool holds = m_lease.isHeld();
    const bool due = newestDue(time) > m_fixedUpTo;
    const bool wanted = holds ? due || hasUnreported() : rank && isOverdue(time, *rank);
    if (!wanted) {
        return {};
    }
    std::optional<ReporterAction> action;
    if (holds && !due) {
        action = report(now);
    }
    if (!action && m_lease.mayWrite(now)) {
        action = write(now, time, counts);
    }
    if (!action && (m_lease.needsRead() || !holds) && now >= m_nextRead) {
        m_nextRead = now + readPeriod;
        action = ReadRow {};
    }
    if (!action) {
        return {};
    }
    m_busy = true;
    return {std::move(*action)};
}

std::optional<ReporterAction> UsageReporter::report(Instant now)
{
    const auto fence = m_lease.fence(now);
    const Duration timeout = m_lease.remainingTime(now);
    const auto next = std::ranges::find_if(m_pending, [](const Pending &pending) { return !pending.reported; });
    if (!fence || timeout < leastReportTime || next == m_pending.end()) {
        return std::nullopt;
    }
    return ReportUsage {*fence, next->fixed, timeout};
}

/// Renews the right to act, and fixes the windows that are due by now.
std::optional<ReporterAction> UsageReporter::write(Instant now, FleetTime time, const FleetCounts &counts)
{
    const WindowNumber newest = newestDue(time);
    UsageRow row {m_incarnation, m_host, {}};
    std::ranges::transform(m_pending, std::back_inserter(row.windows), &Pending::fixed);
    for (WindowNumber window = std::max(m_fixedUpTo + 1, newest - mostCaughtUp + 1); window <= newest; ++window) {
        row.windows.push_back({window, counts.total(window)});
    }
    const auto surplus = static_cast<std::ptrdiff_t>(row.windows.size()) - static_cast<std::ptrdiff_t>(keptWindows);
    if (surplus > 0) {
        row.windows.erase(row.windows.begin(), row.windows.begin() + surplus);
    }
    m_written = row.windows;
    m_lease.writeStarted(now);
    return WriteRow {m_lease.expectedVersion(), rowText(std::move(row))};
}

void UsageReporter::takeRow(Instant now, const Lease::StoredRow &result)
{
    auto row = result.version == 0 ? absl::StatusOr<UsageRow>(UsageRow {}) : parseRow(result.value);
    if (!row.ok()) {
        // Whoever wrote it holds the duty all the same.
        Base::log(Base::LogLevel::Error, Base::LogEvent::DutyRowUnreadable,
                  {{"duty", "usage"}, {"reason", Base::messageOf(row.status())}});
        row = UsageRow {};
    }
    m_lease.updateRow(now, {result.version, row->holder});
    m_rowHost = row->host;
    if (!row->windows.empty()) {
        // Also where this process began later: what hosts counted since then has yet to be fixed.
        m_fixedUpTo = std::max(m_heardUpTo, row->windows.back().window);
    }
    takeWindows(std::move(row->windows));
    if (std::exchange(m_wasHolder, m_lease.isHeld()) && !m_wasHolder) {
        Base::log(Base::LogLevel::Warning, Base::LogEvent::LeaseLost,
                  {{"duty", "usage"}, {"version", result.version}, {"to", m_rowHost}});
    }
}

/// The row's windows are @p windows now. Of those that another process fixed, the latest may have to be reported again.
void UsageReporter::takeWindows(std::vector<FixedWindow> windows)
{
    const WindowNumber newest = windows.empty() ? 0 : windows.back().window;
    std::vector<Pending> pending;
    for (FixedWindow &fixed : windows) {
        const auto known = std::ranges::find(m_pending, fixed.window, [](const Pending &entry) { return entry.fixed.window; });
        const bool reported = known != m_pending.end() ? known->reported : fixed.window + mostCaughtUp <= newest;
        pending.push_back({std::move(fixed), reported});
    }
    m_pending = std::move(pending);
}

void UsageReporter::onRowRead(Instant now, const std::optional<Lease::StoredRow> &row)
{
    m_busy = false;
    if (row) {
        takeRow(now, *row);
    }
}

void UsageReporter::onRowWritten(Instant now, WriteResult result, std::uint64_t version,
                                 const std::optional<Lease::StoredRow> &row)
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
    m_rowHost = m_host;
    m_fixedUpTo = m_written.empty() ? m_fixedUpTo : std::max(m_fixedUpTo, m_written.back().window);
    takeWindows(std::move(m_written));
    if (!std::exchange(m_wasHolder, true)) {
        Base::log(Base::LogLevel::Info, Base::LogEvent::LeaseTaken,
                  {{"duty", "usage"}, {"fence", m_lease.fence(now).value_or(version)}, {"version", version}});
    }
}

void UsageReporter::onReported(Instant now, WindowNumber window, ReportResult result)
{
    m_busy = false;
    const auto pending = std::ranges::find(m_pending, window, [](const Pending &entry) { return entry.fixed.window; });
    if (result == ReportResult::TryAgain) {
        m_nextTry = now + retryPeriod;
        return;
    }
    if (pending != m_pending.end()) {
        pending->reported = true;
    }
    m_reportedUpTo = std::max(m_reportedUpTo, window);
}

void UsageReporter::updateFixedUpTo(WindowNumber window)
{
    m_heardUpTo = std::max(m_heardUpTo, window);
    m_fixedUpTo = std::max(m_fixedUpTo, window);
}

WindowNumber UsageReporter::fixedUpTo() const
{
    return m_fixedUpTo;
}

bool UsageReporter::isHolder() const
{
    return m_lease.isHeld();
}

ReporterView UsageReporter::view(Instant now) const
{
    ReporterView view;
    view.holder = m_lease.isHeld();
    view.fence = m_lease.fence(now).value_or(0);
    view.host = m_rowHost;
    view.fixedUpTo = m_fixedUpTo;
    view.reportedUpTo = m_reportedUpTo;
    view.unreported = view.holder ? static_cast<std::size_t>(std::ranges::count(m_pending, false, &Pending::reported)) : 0;
    return view;
}

} // namespace Yokepond::Usage
