// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What the signals of the system mean to a daemon: some are read by its loop, those that say nothing to it are ignored, and the
/// rest keeps its default action. docs/OPERATIONS.md lists all of them.

#pragma once

#include <csignal>

namespace Yokepond::Base {

/// Returns the signals that a Loop reads as events: SIGTERM, SIGINT, SIGUSR1 and SIGHUP.
sigset_t loopSignals();

/// Blocks the loop's signals, so that they stay pending until a loop reads them, and ignores those that say nothing to a daemon.
/// SIGSYS, real-time signals and the signals of faults stay as they are. Needs no library to be initialised. Must be called while
/// the process has a single thread; later threads inherit the mask.
void takeOverSignals();

/// Undoes takeOverSignals() for a command, which an operator can interrupt. A pending signal takes effect at once.
void releaseSignals();

/// Makes SIGTERM and SIGINT end the process at once with exitOk until a Loop reads them; a pending one does so now. Must be
/// called before other threads start.
void endOnStopSignals();

/// Blocks the loop's signals on this thread while it exists, so that threads created meanwhile don't receive them.
class LoopSignalsBlocked
{
public:
    LoopSignalsBlocked();
    ~LoopSignalsBlocked();
    LoopSignalsBlocked(const LoopSignalsBlocked &) = delete;
    LoopSignalsBlocked &operator=(const LoopSignalsBlocked &) = delete;

private:
    sigset_t m_before {};
};

} // namespace Yokepond::Base
