// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/crashreport.h"

#include "Base/childprocess.h"
#include "Base/invariant.h"
#include "Base/log.h"

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <stdexcept>
#include <string>
#include <thread>

using namespace Yokepond::Base;
using Json = nlohmann::json;

namespace {

/// Returns the last line that is a JSON object with the event of a report, or null.
Json reportIn(const std::string &text)
{
    Json found;
    for (std::size_t begin = 0; begin < text.size();) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        const Json line = Json::parse(text.substr(begin, end - begin), nullptr, false);
        if (line.is_object() && line.value("event", "") == "process-ends") {
            found = line;
        }
        begin = end + 1;
    }
    return found;
}

/// Runs @p task in a child process with reports on a thread named "control", which is doing "a test".
EndOfChild runReported(const std::function<void()> &task)
{
    return runInChild([&task] {
        // The handler of a sanitizer or a test framework would be kept.
        for (const int signal : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGTRAP, SIGABRT}) {
            std::signal(signal, SIG_DFL);
        }
        setCrashReportHost("h1");
        installCrashReports();
        const CrashReportThread thread("control");
        const Activity activity("a test");
        task();
        return 9;
    });
}

/// Uses up the stack of the thread; the result depends on all calls, so that they stay calls.
__attribute__((noinline, no_sanitize("address", "undefined"))) int recurse(volatile int *depth) // NOLINT(misc-no-recursion)
{
    volatile char room[1024];
    room[0] = static_cast<char>(*depth);
    *depth = *depth + 1;
    return *depth < 0 ? 0 : recurse(depth) + room[0];
}

} // namespace

TEST_GROUP(CrashReport) {};

/// Guards against processes that end without a word of why.
TEST(CrashReport, aSignalOfAFaultLeavesOneLineAndStaysTheExitStatus)
{
    for (const auto &[signal, name] :
         {std::pair(SIGSEGV, "SIGSEGV"), std::pair(SIGBUS, "SIGBUS"), std::pair(SIGFPE, "SIGFPE"), std::pair(SIGILL, "SIGILL"),
          std::pair(SIGTRAP, "SIGTRAP"), std::pair(SIGABRT, "SIGABRT")}) {
        const EndOfChild end = runReported([signal = signal] { kill(getpid(), signal); });
        const Json report = reportIn(end.standardError);
        CHECK_EQUAL(signal, end.signal);
        STRCMP_EQUAL(name, report.value("signal", "").c_str());
        STRCMP_EQUAL("h1", report.value("host", "").c_str());
        STRCMP_EQUAL("control", report.value("thread", "").c_str());
        STRCMP_EQUAL("a test", report.value("doing", "").c_str());
        CHECK_EQUAL(1, std::count(end.standardError.begin(), end.standardError.end(), '\n'));
    }
}

TEST(CrashReport, anExceptionThatNobodyCatchesIsToldWithItsText)
{
    const EndOfChild end = runReported([] { std::thread([] { throw std::runtime_error("no \"such\" file\n"); }).join(); });
    const Json report = reportIn(end.standardError);
    CHECK_EQUAL(SIGABRT, end.signal);
    STRCMP_EQUAL("no ?such? file?", report.value("reason", "").c_str());
    STRCMP_EQUAL("other", report.value("thread", "").c_str());
}

TEST(CrashReport, aViolatedInvariantIsTold)
{
    const EndOfChild end = runReported([] {
        makeViolationsFatal();
        checkInvariant(false, Invariant::RunOnce);
    });
    CHECK_EQUAL(SIGABRT, end.signal);
    STRCMP_EQUAL("invariant run-once", reportIn(end.standardError).value("reason", "").c_str());
}

TEST(CrashReport, anOverflowOfTheStackIsTold)
{
    const EndOfChild end = runReported([] {
        std::thread([] {
            const CrashReportThread thread("data");
            const Activity activity("a deep call");
            volatile int depth = 0;
            recurse(&depth);
        }).join();
    });
    const Json report = reportIn(end.standardError);
    CHECK_EQUAL(SIGSEGV, end.signal);
    STRCMP_EQUAL("data", report.value("thread", "").c_str());
    STRCMP_EQUAL("a deep call", report.value("doing", "").c_str());
    CHECK_TRUE(report.contains("address"));
}

TEST(CrashReport, aHandlerThatIsThereStays)
{
    const EndOfChild end = runInChild([] {
        std::signal(SIGSEGV, [](int) { _exit(5); });
        installCrashReports();
        return raise(SIGSEGV);
    });
    CHECK_EQUAL(5, end.exitCode);
}

TEST(CrashReport, anActivityEndsWithItsScope)
{
    const EndOfChild end = runReported([] {
        {
            const Activity inner("another thing");
        }
        abortBecause("the test's end");
    });
    const Json report = reportIn(end.standardError);
    STRCMP_EQUAL("a test", report.value("doing", "").c_str());
    STRCMP_EQUAL("the test's end", report.value("reason", "").c_str());
}

/// Guards against a process that never ends, since its report waits for a reader of standard error that does not read.
TEST(CrashReport, anUnreadStandardErrorHoldsNoProcess)
{
    constexpr unsigned int patienceSeconds = 10;
    const EndOfChild end = runReported([] {
        std::array<int, 2> unread {};
        CHECK_EQUAL(0, pipe2(unread.data(), O_NONBLOCK));
        const std::array<char, 4096> block {};
        while (write(unread[1], block.data(), block.size()) > 0) { }
        fcntl(unread[1], F_SETFL, 0);
        dup2(unread[1], STDERR_FILENO);
        std::signal(SIGALRM, SIG_DFL);
        alarm(patienceSeconds);
        kill(getpid(), SIGSEGV);
    });
    CHECK_EQUAL(SIGSEGV, end.signal);
}
