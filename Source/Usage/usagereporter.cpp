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

/// Another host takes over the duty if a window is not fixed this long after it was due, and takeOverStep longer for each host
/// that comes before it.
constexpr Duration takeOverAfter = std::chrono::milliseconds(1000);
constexpr Duration takeOverStep = std::chrono::milliseconds(1200);
/// Minimum time between two reads of the row, which limits the number of calls while the former holder's lease may still be
/// valid.
constexpr Duration readPeriod = std::chrono::milliseconds(1000);
constexpr Duration retryPeriod = std::chrono::milliseconds(700);
/// A report is not sent if the lease allows less time than this.
constexpr Duration minReportTimeout = std::chrono::milliseconds(500);
/// Number of the latest windows that a new holder fixes at once, and reports again if another process fixed them. Older ones are
/// past the time by which they had to be reported.
constexpr WindowNumber maxCatchUpWindows = 3;

} // namespace

UsageReporter::UsageReporter(const ReporterOptions &options, std::string host, std::uint64_t incarnation, FleetTime start)
    : m_options(options)
    , m_host(std::move(host))
    , m_incarnation(incarnation)
    , m_lease(options.lease, incarnation)
    , m_fixedUpTo(windowOf(start, options.window) - 1)
{
}

WindowNumber UsageReporter::newestDueWindow(FleetTime time) const
{
    return windowOf(time - m_options.fixAfter.count(), m_options.window) - 1;
}

bool UsageReporter::isOverdue(FleetTime time, std::size_t rank) const
{
    const Duration takeOverDelay = takeOverAfter + static_cast<std::int64_t>(rank) * takeOverStep;
    return newestDueWindow(time - takeOverDelay.count()) > m_fixedUpTo;
}

bool UsageReporter::hasUnreported() const
{
    return std::ranges::any_of(m_rowWindows, [](const RowWindow &entry) { return !entry.reported; });
}

std::vector<ReporterAction> UsageReporter::tick(Instant now, FleetTime time, std::optional<std::size_t> rank,
                                                const FleetCounts &counts)
{
    if (m_busy || now < m_nextAttempt) {
        return {};
    }
    const bool holds = m_lease.isHeld();
    const bool due = newestDueWindow(time) > m_fixedUpTo;
    const bool needed = holds ? due || hasUnreported() : rank && isOverdue(time, *rank);
    if (!needed) {
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
    const auto next = std::ranges::find_if(m_rowWindows, [](const RowWindow &entry) { return !entry.reported; });
    if (!fence || timeout < minReportTimeout || next == m_rowWindows.end()) {
        return std::nullopt;
    }
    return ReportUsage {*fence, next->fixed, timeout};
}

/// Returns a write that renews the lease and fixes the windows that are due.
std::optional<ReporterAction> UsageReporter::write(Instant now, FleetTime time, const FleetCounts &counts)
{
    const WindowNumber newest = newestDueWindow(time);
    UsageRow row {m_incarnation, m_host, {}};
    std::ranges::transform(m_rowWindows, std::back_inserter(row.windows), &RowWindow::fixed);
    for (WindowNumber window = std::max(m_fixedUpTo + 1, newest - maxCatchUpWindows + 1); window <= newest; ++window) {
        row.windows.push_back({window, counts.total(window)});
    }
    const auto surplus = static_cast<std::ptrdiff_t>(row.windows.size()) - static_cast<std::ptrdiff_t>(keptWindows);
    if (surplus > 0) {
        row.windows.erase(row.windows.begin(), row.windows.begin() + surplus);
    }
    m_written = row.windows;
    m_lease.writeStarted(now);
    return WriteRow {m_lease.expectedVersion(), serializeRow(std::move(row))};
}

void UsageReporter::applyRow(Instant now, const Lease::StoredRow &result)
{
    auto row = result.version == 0 ? absl::StatusOr<UsageRow>(UsageRow {}) : parseRow(result.value);
    if (!row.ok()) {
        // The row counts as that of another holder, whose lease must expire before this host takes the duty.
        Base::log(Base::LogLevel::Error, Base::LogEvent::DutyRowUnreadable,
                  {{"duty", "usage"}, {"reason", Base::messageOf(row.status())}});
        row = UsageRow {};
    }
    m_lease.updateRow(now, {result.version, row->holder});
    m_rowHost = row->host;
    if (!row->windows.empty()) {
        // The newest window of the row may have ended before this process started. The windows after it have yet to be fixed.
        m_fixedUpTo = std::max(m_othersFixedUpTo, row->windows.back().window);
    }
    replaceRowWindows(std::move(row->windows));
    if (std::exchange(m_wasHolder, m_lease.isHeld()) && !m_wasHolder) {
        Base::log(Base::LogLevel::Warning, Base::LogEvent::LeaseLost,
                  {{"duty", "usage"}, {"version", result.version}, {"to", m_rowHost}});
    }
}

/// Takes @p windows as the windows of the row. Windows that another process fixed count as reported unless they are among the
/// latest, which may have to be reported again.
void UsageReporter::replaceRowWindows(std::vector<FixedWindow> windows)
{
    const WindowNumber newest = windows.empty() ? 0 : windows.back().window;
    std::vector<RowWindow> rowWindows;
    for (FixedWindow &fixed : windows) {
        const auto known
            = std::ranges::find(m_rowWindows, fixed.window, [](const RowWindow &entry) { return entry.fixed.window; });
        const bool reported = known != m_rowWindows.end() ? known->reported : fixed.window + maxCatchUpWindows <= newest;
        rowWindows.push_back({std::move(fixed), reported});
    }
    m_rowWindows = std::move(rowWindows);
}

void UsageReporter::onRowRead(Instant now, const std::optional<Lease::StoredRow> &row)
{
    m_busy = false;
    if (row) {
        applyRow(now, *row);
    }
}

void UsageReporter::onRowWritten(Instant now, WriteResult result, std::uint64_t version,
                                 const std::optional<Lease::StoredRow> &row)
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
    m_rowHost = m_host;
    m_fixedUpTo = m_written.empty() ? m_fixedUpTo : std::max(m_fixedUpTo, m_written.back().window);
    replaceRowWindows(std::move(m_written));
    if (!std::exchange(m_wasHolder, true)) {
        Base::log(Base::LogLevel::Info, Base::LogEvent::LeaseTaken,
                  {{"duty", "usage"}, {"fence", m_lease.fence(now).value_or(version)}, {"version", version}});
    }
}

void UsageReporter::onReported(Instant now, WindowNumber window, ReportResult result)
{
    m_busy = false;
    const auto entry = std::ranges::find(m_rowWindows, window, [](const RowWindow &candidate) { return candidate.fixed.window; });
    if (result == ReportResult::TryAgain) {
        m_nextAttempt = now + retryPeriod;
        return;
    }
    if (entry != m_rowWindows.end()) {
        entry->reported = true;
    }
    m_reportedUpTo = std::max(m_reportedUpTo, window);
}

void UsageReporter::updateFixedUpTo(WindowNumber window)
{
    m_othersFixedUpTo = std::max(m_othersFixedUpTo, window);
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
    view.unreported = view.holder ? static_cast<std::size_t>(std::ranges::count(m_rowWindows, false, &RowWindow::reported)) : 0;
    return view;
}

} // namespace Yokepond::Usage
