// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// One JSON line on standard error when a process ends by a fault, an exception that nobody catches or a failed invariant. The
/// process then ends as it would without the line, so that its exit status tells the signal.

#pragma once

#include <memory>
#include <string_view>

namespace Yokepond::Base {

/// Writes the line for SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGTRAP and SIGABRT, and for exceptions that nobody catches. A signal
/// that has a handler already, such as a sanitizer's, keeps it.
void installCrashReports();

/// Sets the host name that the line tells. Must be called before other threads start.
void setCrashReportHost(std::string_view host);

/// Ends the process by SIGABRT; the line tells @p reason.
[[noreturn]] void abortBecause(std::string_view reason);

/// Names the thread in the line while it exists, and gives it a stack for the report, so that an overflow of the thread's own
/// stack is reported too. Must be constructed and destroyed on the thread. @p role must be a literal.
class CrashReportThread
{
public:
    explicit CrashReportThread(const char *role);
    ~CrashReportThread();
    CrashReportThread(const CrashReportThread &) = delete;
    CrashReportThread &operator=(const CrashReportThread &) = delete;

private:
    std::unique_ptr<char[]> m_stack;
};

/// Names in the line what the thread is doing while it exists. @p name must be a literal.
class Activity
{
public:
    explicit Activity(const char *name);
    ~Activity();
    Activity(const Activity &) = delete;
    Activity &operator=(const Activity &) = delete;

private:
    const char *m_before;
};

} // namespace Yokepond::Base
