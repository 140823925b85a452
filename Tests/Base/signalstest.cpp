// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/signals.h"

#include "Base/childprocess.h"
#include "Base/loop.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <csignal>
#include <thread>

using namespace Yokepond::Base;
using namespace std::chrono_literals;

namespace {

/// Ends the test's child process if nothing else does, so that a failure does not hang.
constexpr auto longestWait = 5s;

bool isBlocked(int signal)
{
    sigset_t mask;
    pthread_sigmask(SIG_SETMASK, nullptr, &mask);
    return sigismember(&mask, signal) == 1;
}

bool hasDefaultAction(int signal)
{
    struct sigaction action
    {
    };
    return sigaction(signal, nullptr, &action) == 0 && action.sa_handler == SIG_DFL;
}

} // namespace

TEST_GROUP(Signals) {};

/// Guards against a process that ends by a signal of the platform which comes before its loop runs, or that forgets it.
TEST(Signals, earlySignalsStayPendingUntilALoopReadsThem)
{
    const EndOfChild end = runInChild([] {
        takeOverSignals();
        for (const int signal : {SIGHUP, SIGUSR1, SIGTERM}) {
            kill(getpid(), signal);
        }
        Loop loop;
        int seen = 0;
        const auto note = [&](int bit) {
            seen |= bit;
            if (seen == 7) {
                loop.stop();
            }
        };
        loop.onSignals({.stop = [&] { note(1); }, .dump = [&] { note(2); }, .reload = [&] { note(4); }});
        const auto limit = loop.after(longestWait, [&] { loop.stop(); });
        loop.run();
        return seen;
    });
    CHECK_EQUAL(0, end.signal);
    CHECK_EQUAL(7, end.exitCode);
}

TEST(Signals, thoseWithoutAMeaningAreIgnored)
{
    for (const int signal : {SIGPIPE, SIGXFSZ, SIGXCPU, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO, SIGPWR, SIGSTKFLT}) {
        const EndOfChild end = runInChild([signal] {
            takeOverSignals();
            return raise(signal);
        });
        CHECK_EQUAL(0, end.signal);
        CHECK_EQUAL(0, end.exitCode);
    }
}

TEST(Signals, othersAreLeftAlone)
{
    const EndOfChild end = runInChild([] {
        for (int signal = SIGRTMIN; signal <= SIGRTMAX; ++signal) {
            std::signal(signal, SIG_DFL);
        }
        takeOverSignals();
        endOnStopSignals();
        for (int signal = SIGRTMIN; signal <= SIGRTMAX; ++signal) {
            if (isBlocked(signal) || !hasDefaultAction(signal)) {
                return signal;
            }
        }
        for (const int signal : {SIGSYS, SIGQUIT, SIGTRAP}) {
            if (isBlocked(signal) || !hasDefaultAction(signal)) {
                return signal;
            }
        }
        return 0;
    });
    CHECK_EQUAL(0, end.exitCode);
}

TEST(Signals, aPendingStopEndsTheProcessWithZeroBeforeALoopReadsIt)
{
    for (const int signal : {SIGTERM, SIGINT}) {
        const EndOfChild end = runInChild([signal] {
            takeOverSignals();
            kill(getpid(), signal);
            endOnStopSignals();
            return 9;
        });
        CHECK_EQUAL(0, end.signal);
        CHECK_EQUAL(0, end.exitCode);
    }
}

TEST(Signals, aLoopReadsAStopThatWouldHaveEndedTheProcessBefore)
{
    const EndOfChild end = runInChild([] {
        takeOverSignals();
        endOnStopSignals();
        Loop loop;
        bool told = false;
        loop.onSignals({.stop = [&] {
            told = true;
            loop.stop();
        }});
        kill(getpid(), SIGTERM);
        const auto limit = loop.after(longestWait, [&] { loop.stop(); });
        loop.run();
        return told ? 7 : 8;
    });
    CHECK_EQUAL(7, end.exitCode);
}

TEST(Signals, aPendingSignalInterruptsACommand)
{
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        const EndOfChild end = runInChild([signal] {
            takeOverSignals();
            kill(getpid(), signal);
            releaseSignals();
            return 9;
        });
        CHECK_EQUAL(signal, end.signal);
    }
}

TEST(Signals, threadsThatAreCreatedWhileTheyAreBlockedDoNotReceiveThem)
{
    bool blocked = false;
    {
        const LoopSignalsBlocked scope;
        std::thread([&] {
            blocked = isBlocked(SIGTERM) && isBlocked(SIGHUP) && !isBlocked(SIGSYS) && !isBlocked(SIGRTMIN);
        }).join();
    }
    CHECK_TRUE(blocked);
    CHECK_FALSE(isBlocked(SIGTERM));
}
