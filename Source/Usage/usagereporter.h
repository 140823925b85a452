// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Decides when a host takes over the duty of reporting usage, fixes windows and reports them.

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
    Base::Duration window = std::chrono::seconds(5);
    /// After a window's end, until its counts have come from all hosts: they tell them each second, and plain requests count
    /// when they have been answered.
    Base::Duration fixAfter = std::chrono::milliseconds(2200);
    Lease::LeaseOptions lease;
};

/// Read the row; answer with rowRead().
struct ReadRow
{
};

/// Write the row under the condition of its version; answer with rowWritten().
struct WriteRow
{
    std::uint64_t expectedVersion = 0;
    std::string value;
};

/// Report a window; answer with reported(). After @ref within the call must be cut so that nothing of it arrives later.
struct ReportUsage
{
    std::uint64_t fence = 0;
    FixedWindow usage;
    Base::Duration timeout {};
};

using ReporterAction = std::variant<ReadRow, WriteRow, ReportUsage>;

enum class ReportResult {
    Accepted,
    TryAgain, ///< no answer, or the platform cannot take it now
    Rejected, ///< the platform will not take it
};

/// What an operator sees.
struct ReporterView
{
    bool holder = false;
    std::uint64_t fence = 0; ///< 0: the right to act has run out
    std::string host; ///< that wrote the row last, as far as this host knows
    WindowNumber fixedUpTo = 0;
    WindowNumber reportedUpTo = 0;
    std::size_t unreported = 0; ///< windows that are fixed and not accepted yet
};

/// Pure state machine: one on each host. Counts are fixed in the store before the first call that carries them, so that every
/// report of a window is the same, whoever sends it.
class UsageReporter
{
public:
    /// Windows that ended before @p start was are not this process's.
    UsageReporter(const ReporterOptions &options, std::string host, std::uint64_t incarnation, FleetTime start);

    /// @p rank: how many hosts go before this one for the duty; none if it is not to take it. @p counts of all hosts.
    std::vector<ReporterAction> tick(Base::Instant now, FleetTime time, std::optional<std::size_t> rank,
                                     const FleetCounts &counts);

    void onRowRead(Base::Instant now, const std::optional<Lease::StoredRow> &row);
    /// @p row: where the write was refused.
    void onRowWritten(Base::Instant now, Lease::WriteResult result, std::uint64_t version,
                      const std::optional<Lease::StoredRow> &row);
    void onReported(Base::Instant now, WindowNumber window, ReportResult result);

    /// Another host says how far it has fixed windows.
    void updateFixedUpTo(WindowNumber window);

    WindowNumber fixedUpTo() const;
    bool isHolder() const;
    ReporterView view(Base::Instant now) const;

private:
    struct Pending
    {
        FixedWindow fixed;
        bool reported = false;
    };

    WindowNumber newestDue(FleetTime time) const;
    bool isOverdue(FleetTime time, std::size_t rank) const;
    void takeRow(Base::Instant now, const Lease::StoredRow &row);
    void takeWindows(std::vector<FixedWindow> windows);
    std::optional<ReporterAction> write(Base::Instant now, FleetTime time, const FleetCounts &counts);
    std::optional<ReporterAction> report(Base::Instant now);
    bool hasUnreported() const;

    ReporterOptions m_options;
    std::string m_host;
    std::uint64_t m_incarnation;
    Lease::Lease m_lease;
    WindowNumber m_fixedUpTo; ///< known to be in the store, or before this process's time
    WindowNumber m_heardUpTo = 0; ///< from other holders
    WindowNumber m_reportedUpTo = 0;
    std::vector<Pending> m_pending; ///< of the row, as known here
    std::vector<FixedWindow> m_written; ///< by the write that is under way
    std::string m_rowHost;
    bool m_busy = false; ///< an action is under way
    bool m_wasHolder = false;
    Base::Instant m_nextRead {};
    Base::Instant m_nextTry {}; ///< of a write that a failure made necessary
};

} // namespace Yokepond::Usage
