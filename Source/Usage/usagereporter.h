// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Decides when a host takes over the duty of reporting usage, when it fixes windows and when it reports them. To fix a window is
/// to make its counts final by writing them to the store.

#pragma once

#include "Lease/lease.h"
#include "Usage/usagerow.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Yokepond::Usage {

struct ReporterOptions
{
    Base::Duration window = std::chrono::seconds(5); ///< length of a window
    /// Time from the end of a window until it is fixed. It should suffice for the counts of all hosts to arrive: hosts send them
    /// each second, and a request whose response is not streamed is counted when the response is complete.
    Base::Duration fixAfter = std::chrono::milliseconds(2200);
    Lease::LeaseOptions lease;
};

/// Read the row and pass the result to UsageReporter::onRowRead().
struct ReadRow
{
};

/// Write the row if it has the expected version, and pass the result to UsageReporter::onRowWritten().
struct WriteRow
{
    std::uint64_t expectedVersion = 0;
    std::string value;
};

/// Report a window to the platform and pass the result to UsageReporter::onReported(). The connection must be reset after
/// @ref timeout, so that the report cannot arrive later.
struct ReportUsage
{
    std::uint64_t fence = 0;
    FixedWindow usage;
    Base::Duration timeout {};
};

using ReporterAction = std::variant<ReadRow, WriteRow, ReportUsage>;

enum class ReportResult {
    Accepted,
    TryAgain, ///< no response, or the platform cannot take the report now
    Rejected, ///< the platform will never take the report
};

/// State of a UsageReporter, as operators see it.
struct ReporterView
{
    bool holder = false; ///< whether this host holds the duty
    std::uint64_t fence = 0; ///< fencing token; 0 if the lease has expired
    std::string host; ///< last writer of the row, as far as this host knows
    WindowNumber fixedUpTo = 0; ///< newest fixed window
    WindowNumber reportedUpTo = 0; ///< newest window whose report the platform has accepted or rejected
    std::size_t unreported = 0; ///< fixed windows that have yet to be reported; 0 if this host does not hold the duty
};

/// Decides for one host whether it holds the reporting duty, and what it writes and reports. The counts of a window are fixed in
/// the store before they are first reported, so that all reports of the window are the same, whichever host sends them. It is a
/// pure state machine: tick() returns actions for the caller to carry out, and their results are passed to the on...()
/// functions.
class UsageReporter
{
public:
    /// @p start is the time at which the process started. The reporter does not fix windows that ended before.
    UsageReporter(const ReporterOptions &options, std::string host, std::uint64_t incarnation, FleetTime start);

    /// Returns the actions that are due. @p rank is this host's position in the order of candidates for the duty, 0 for the
    /// first; it is empty if this host must not take the duty. @p counts are those of all hosts.
    std::vector<ReporterAction> tick(Base::Instant now, FleetTime time, std::optional<std::size_t> rank,
                                     const FleetCounts &counts);

    /// Takes the result of a read. The version is 0 if there is no row; @p row is empty if the store did not respond.
    void onRowRead(Base::Instant now, const std::optional<Lease::StoredRow> &row);

    /// Takes the result of a write. @p row is the stored row if it had another version than expected.
    void onRowWritten(Base::Instant now, Lease::WriteResult result, std::uint64_t version,
                      const std::optional<Lease::StoredRow> &row);

    /// Takes the platform's response to the report of @p window.
    void onReported(Base::Instant now, WindowNumber window, ReportResult result);

    /// Records that another host has fixed all windows up to @p window.
    void updateFixedUpTo(WindowNumber window);

    WindowNumber fixedUpTo() const;
    bool isHolder() const;
    ReporterView view(Base::Instant now) const;

private:
    /// A window of the row.
    struct RowWindow
    {
        FixedWindow fixed;
        bool reported = false;
    };

    WindowNumber newestDueWindow(FleetTime time) const;
    bool isOverdue(FleetTime time, std::size_t rank) const;
    void applyRow(Base::Instant now, const Lease::StoredRow &row);
    void replaceRowWindows(std::vector<FixedWindow> windows);
    std::optional<ReporterAction> write(Base::Instant now, FleetTime time, const FleetCounts &counts);
    std::optional<ReporterAction> report(Base::Instant now);
    bool hasUnreported() const;

    ReporterOptions m_options;
    std::string m_host;
    std::uint64_t m_incarnation;
    Lease::Lease m_lease;
    WindowNumber m_fixedUpTo; ///< newest window that is fixed in the store or ended before this process started
    WindowNumber m_othersFixedUpTo = 0; ///< newest window that other holders have announced as fixed
    WindowNumber m_reportedUpTo = 0;
    std::vector<RowWindow> m_rowWindows; ///< windows of the row, as this host last saw it
    std::vector<FixedWindow> m_written; ///< windows in the write that is under way
    std::string m_rowHost;
    bool m_busy = false; ///< an action is under way
    bool m_wasHolder = false;
    Base::Instant m_nextRead {};
    Base::Instant m_nextAttempt {}; ///< earliest time for an action after a failed one
};

} // namespace Yokepond::Usage
