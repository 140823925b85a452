// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// One event loop: an ACE reactor with timers given as functions.

#pragma once

#include "Base/time.h"

#include <ace/Reactor.h>
#include <ace/Timer_Queuefwd.h>

#include <functional>
#include <memory>

namespace Yokepond::Base {

/// Owns an ACE select reactor. All members but stop() are called on the thread that runs it.
///
/// A loop watches only a handful of descriptors: libraries with many connections bring an epoll descriptor of their own,
/// which is one of them. See docs/design/threads-and-loops.md for what was measured.
class Loop
{
public:
    using Task = std::function<void()>;

    /// A timer that ends when its handle goes.
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

    /// Calls @p task whenever @p descriptor is readable, until the handle goes. The descriptor stays the caller's and must be
    /// below 1024 (FD_SETSIZE): it is made before the process opens many connections.
    std::unique_ptr<Registration> whenReadable(int descriptor, Task task);

    /// What to do for a signal, on the loop.
    struct SignalTasks
    {
        Task stop; ///< SIGTERM, SIGINT
        Task dump; ///< SIGUSR1
        Task reload; ///< SIGHUP
    };

    void onSignals(SignalTasks tasks);

    /// Runs until stop(). Must be called on the thread that made the loop.
    void run();

    /// Ends run(); callable from any thread.
    void stop();

private:
    class SignalHandler;
    std::unique_ptr<ACE_Timer_Queue> m_timers; ///< on the clock of decisions
    ACE_Reactor m_reactor;
    std::unique_ptr<SignalHandler> m_signals;
};

class Loop::Registration
{
public:
    virtual ~Registration() = default;
};

} // namespace Yokepond::Base
