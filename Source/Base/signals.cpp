// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/signals.h"

#include <unistd.h>

#include <cstdlib>
#include <initializer_list>

namespace Yokepond::Base {

namespace {

/// Their default action ends a process. A failed write is reported by its error (SIGPIPE, SIGXFSZ); a soft limit of processor
/// time is a warning (SIGXCPU); no timer or descriptor here raises the others.
constexpr std::initializer_list<int> ignoredSignals
    = {SIGPIPE, SIGXFSZ, SIGXCPU, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO, SIGPWR, SIGSTKFLT};

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

void endAtOnce(int)
{
    _exit(EXIT_SUCCESS);
}

void setIgnored(void (*action)(int))
{
    for (const int signal : ignoredSignals) {
        std::signal(signal, action);
    }
}

} // namespace

sigset_t loopSignals()
{
    sigset_t set = stopSignals();
    sigaddset(&set, SIGUSR1);
    sigaddset(&set, SIGHUP);
    return set;
}

void takeOverSignals()
{
    const sigset_t set = loopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    setIgnored(SIG_IGN);
}

void releaseSignals()
{
    const sigset_t set = loopSignals();
    setIgnored(SIG_DFL);
    pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

void endOnStopSignals()
{
    const sigset_t set = stopSignals();
    std::signal(SIGTERM, &endAtOnce);
    std::signal(SIGINT, &endAtOnce);
    pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

LoopSignalsBlocked::LoopSignalsBlocked()
{
    const sigset_t set = loopSignals();
    pthread_sigmask(SIG_BLOCK, &set, &m_before);
}

LoopSignalsBlocked::~LoopSignalsBlocked()
{
    pthread_sigmask(SIG_SETMASK, &m_before, nullptr);
}

} // namespace Yokepond::Base
