// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// An event loop: an ACE reactor whose handlers are functions.

#pragma once

#include "Base/time.h"

#include <ace/Reactor.h>
#include <ace/Timer_Queuefwd.h>

#include <functional>
#include <memory>

namespace Yokepond::Base {

/// Owns an ACE select reactor. All members except stop() must be called on the thread that runs it.
///
/// A loop watches only a few descriptors. Libraries with many connections have an epoll descriptor, of which the loop watches
/// only that one. See docs/design/threads-and-loops.md for measurements.
class Loop
{
public:
    using Task = std::function<void()>;

    /// A timer or a watched descriptor. Its destruction cancels it.
    class Registration;

    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    ACE_Reactor &reactor();

    /// Calls @p task every @p period, the first time after one period.
    std::unique_ptr<Registration> every(Duration period, Task task);

    /// Calls @p task once after @p delay.
    std::unique_ptr<Registration> after(Duration delay, Task task);

    /// Calls @p task whenever @p descriptor is readable. The caller keeps and closes the descriptor, which must be below 1024
    /// (FD_SETSIZE) and should therefore be opened before the process opens many connections.
    std::unique_ptr<Registration> whenReadable(int descriptor, Task task);

    /// Functions that are called on the loop's thread when a signal arrives.
    struct SignalTasks
    {
        Task stop; ///< SIGTERM, SIGINT
        Task dump; ///< SIGUSR1
        Task reload; ///< SIGHUP
    };

    void onSignals(SignalTasks tasks);

    /// Runs until stop() is called. Must be called on the thread that constructed the loop.
    void run();

    /// Makes run() return. Callable from any thread.
    void stop();

private:
    class SignalHandler;
    std::unique_ptr<ACE_Timer_Queue> m_timers; ///< uses the clock of Base::now()
    ACE_Reactor m_reactor;
    std::unique_ptr<SignalHandler> m_signals;
};

class Loop::Registration
{
public:
    virtual ~Registration() = default;
};

} // namespace Yokepond::Base
