// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/crashreport.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <exception>
#include <typeinfo>
#include <utility>

#include <cxxabi.h>

namespace Yokepond::Base {

namespace {

constexpr std::array<std::pair<int, std::string_view>, 6> reportedSignals = {{
    {SIGSEGV, "SIGSEGV"},
    {SIGBUS, "SIGBUS"},
    {SIGFPE, "SIGFPE"},
    {SIGILL, "SIGILL"},
    {SIGTRAP, "SIGTRAP"},
    {SIGABRT, "SIGABRT"},
}};

constexpr std::size_t reportStackBytes = 64U << 10U;
constexpr int readerPatienceMs = 200; ///< how long a report waits for the reader of standard error
constexpr std::size_t maxTextBytes = 240; ///< of the host's name and of the reason

/// Text in static storage, since a report must not allocate memory.
class StaticText
{
public:
    void set(std::string_view text)
    {
        m_size = std::min(text.size(), m_bytes.size());
        std::copy_n(text.begin(), m_size, m_bytes.begin());
    }

    std::string_view text() const
    {
        return {m_bytes.data(), m_size};
    }

private:
    std::array<char, maxTextBytes> m_bytes {};
    std::size_t m_size = 0;
};

// Initial-exec: the first access of a thread must not allocate memory, as it would in a library that is loaded at run time.
[[gnu::tls_model("initial-exec")]] thread_local const char *currentRole = "other";
[[gnu::tls_model("initial-exec")]] thread_local const char *currentActivity = "";

StaticText hostName;
StaticText reason;
std::atomic_flag isReasonSet;
std::atomic_flag isReported;

/// A line in a buffer of fixed size. What does not fit is left out.
class ReportLine
{
public:
    void add(std::string_view text)
    {
        const std::size_t count = std::min(text.size(), m_bytes.size() - m_size);
        std::copy_n(text.begin(), count, m_bytes.begin() + static_cast<std::ptrdiff_t>(m_size));
        m_size += count;
    }

    void addNumber(std::uint64_t number, int digits = 1, unsigned int base = 10)
    {
        constexpr std::size_t mostDigits = 20;
        std::array<char, mostDigits> text {};
        std::size_t begin = text.size();
        for (int count = 0; number > 0 || count < digits; ++count) {
            text[--begin] = "0123456789abcdef"[number % base];
            number /= base;
        }
        add({text.data() + begin, text.size() - begin});
    }

    /// Adds a text field; characters that JSON would have to escape, and those beyond ASCII, become question marks.
    void addField(std::string_view name, std::string_view value)
    {
        if (value.empty()) {
            return;
        }
        add(R"(,")");
        add(name);
        add(R"(":")");
        for (const char letter : value) {
            const bool isPlain = letter >= ' ' && letter <= '~' && letter != '"' && letter != '\\';
            add({isPlain ? &letter : "?", 1});
        }
        add("\"");
    }

    void addTime()
    {
        timespec now {};
        clock_gettime(CLOCK_REALTIME, &now);
        const std::chrono::sys_seconds second {std::chrono::seconds(now.tv_sec)};
        const auto day = std::chrono::floor<std::chrono::days>(second);
        const std::chrono::year_month_day date {day};
        const std::chrono::hh_mm_ss time {second - day};
        addNumber(static_cast<std::uint64_t>(static_cast<int>(date.year())), 4);
        add("-");
        addNumber(static_cast<unsigned int>(date.month()), 2);
        add("-");
        addNumber(static_cast<unsigned int>(date.day()), 2);
        add("T");
        addNumber(static_cast<std::uint64_t>(time.hours().count()), 2);
        add(":");
        addNumber(static_cast<std::uint64_t>(time.minutes().count()), 2);
        add(":");
        addNumber(static_cast<std::uint64_t>(time.seconds().count()), 2);
        add(".");
        addNumber(static_cast<std::uint64_t>(now.tv_nsec) / 1'000, 6);
        add("Z");
    }

    void write() const
    {
        std::size_t written = 0;
        while (written < m_size) {
            pollfd writable {STDERR_FILENO, POLLOUT, 0};
            if (::poll(&writable, 1, readerPatienceMs) <= 0) {
                // Nobody reads; the process must end all the same.
                return;
            }
            const ssize_t count = ::write(STDERR_FILENO, m_bytes.data() + written, m_size - written);
            if (count <= 0) {
                return;
            }
            written += static_cast<std::size_t>(count);
        }
    }

private:
    static constexpr std::size_t maxLineBytes = 1024;
    std::array<char, maxLineBytes> m_bytes {};
    std::size_t m_size = 0;
};

std::string_view signalName(int signal)
{
    const auto *const entry = std::ranges::find(reportedSignals, signal, &std::pair<int, std::string_view>::first);
    return entry == reportedSignals.end() ? std::string_view("unknown") : entry->second;
}

void writeReport(int signal, const siginfo_t &info)
{
    ReportLine line;
    line.add(R"({"time":")");
    line.addTime();
    line.add(R"(","level":"error","event":"process-ends")");
    line.addField("host", hostName.text());
    line.addField("signal", signalName(signal));
    line.addField("thread", currentRole);
    line.addField("doing", currentActivity);
    line.addField("reason", reason.text());
    if (info.si_code > 0) {
        line.add(R"(,"address":"0x)");
        line.addNumber(reinterpret_cast<std::uintptr_t>(info.si_addr), 1, 16);
        line.add("\"");
    } else {
        line.add(R"(,"sender":)");
        line.addNumber(static_cast<std::uint64_t>(info.si_pid));
    }
    line.add("}\n");
    line.write();
}

/// Writes the line and lets the default action of the signal take place. Does only what is safe in a signal handler.
void handleFault(int signal, siginfo_t *info, void *)
{
    if (isReported.test_and_set()) {
        // Another thread reports, and the process is about to end.
        while (true) {
            ::pause();
        }
    }
    writeReport(signal, *info);
    std::signal(signal, SIG_DFL);
    if (info->si_code <= 0) {
        // Sent by a process. It is delivered again when this handler returns; a fault occurs again by itself.
        std::raise(signal);
    }
}

void installHandler(int signal)
{
    struct sigaction before
    {
    };
    sigaction(signal, nullptr, &before);
    if ((before.sa_flags & SA_SIGINFO) != 0 || before.sa_handler != SIG_DFL) {
        return;
    }
    struct sigaction action
    {
    };
    action.sa_sigaction = &handleFault;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK;
    sigemptyset(&action.sa_mask);
    // A fault within the handler then ends the process at once.
    for (const auto &[other, name] : reportedSignals) {
        sigaddset(&action.sa_mask, other);
    }
    sigaction(signal, &action, nullptr);
}

/// Ends the process because of an exception that nobody caught, or one that was thrown while another one was being handled.
[[noreturn]] void terminateWithReason()
{
    const std::type_info *type = abi::__cxa_current_exception_type();
    if (type == nullptr) {
        abortBecause("std::terminate without an exception");
    }
    try {
        throw;
    } catch (const std::exception &exception) {
        abortBecause(exception.what());
    } catch (...) {
        abortBecause(type->name());
    }
}

} // namespace

void installCrashReports()
{
    for (const auto &[signal, name] : reportedSignals) {
        installHandler(signal);
    }
    std::set_terminate(&terminateWithReason);
}

void setCrashReportHost(std::string_view host)
{
    hostName.set(host);
}

void abortBecause(std::string_view text)
{
    if (!isReasonSet.test_and_set()) {
        reason.set(text);
    }
    std::abort();
}

CrashReportThread::CrashReportThread(const char *role)
{
    currentRole = role;
    stack_t before {};
    if (sigaltstack(nullptr, &before) != 0 || (before.ss_flags & SS_DISABLE) == 0) {
        return;
    }
    m_stack = std::make_unique<char[]>(reportStackBytes);
    const stack_t own {.ss_sp = m_stack.get(), .ss_flags = 0, .ss_size = reportStackBytes};
    sigaltstack(&own, nullptr);
}

CrashReportThread::~CrashReportThread()
{
    currentRole = "other";
    if (m_stack != nullptr) {
        const stack_t none {.ss_sp = nullptr, .ss_flags = SS_DISABLE, .ss_size = reportStackBytes};
        sigaltstack(&none, nullptr);
    }
}

Activity::Activity(const char *name)
    : m_before(std::exchange(currentActivity, name))
{
}

Activity::~Activity()
{
    currentActivity = m_before;
}

} // namespace Yokepond::Base
