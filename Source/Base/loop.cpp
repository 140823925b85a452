// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/loop.h"

#include "Base/crashreport.h"
#include "Base/log.h"
#include "Base/signals.h"
#include "Base/time.h"

#include <ace/Event_Handler.h>
#include <ace/Log_Msg.h>
#include <ace/Select_Reactor.h>
#include <ace/Timer_Heap.h>

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>

namespace Yokepond::Base {

namespace {

ACE_Time_Value toAce(Duration duration)
{
    const auto whole = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return ACE_Time_Value(whole.count(), static_cast<suseconds_t>((duration - whole).count()));
}

class TimerHandler : public Loop::Registration, public ACE_Event_Handler
{
public:
    TimerHandler(ACE_Reactor &reactor, Duration delay, Duration period, Loop::Task task)
        : ACE_Event_Handler(&reactor)
        , m_task(std::move(task))
        , m_isPeriodic(period > Duration::zero())
        , m_id(reactor.schedule_timer(this, nullptr, toAce(delay), toAce(period)))
    {
    }

    ~TimerHandler() override
    {
        if (m_id != noTimer) {
            reactor()->cancel_timer(m_id);
        }
    }

    int handle_timeout(const ACE_Time_Value &, const void *) override
    {
        if (!m_isPeriodic) {
            // The timer does not exist any more, and ACE may give its number to the next one.
            m_id = noTimer;
        }
        // The task may destroy this handler.
        const Loop::Task task = m_task;
        const Activity activity("a timer");
        task();
        return 0;
    }

private:
    static constexpr long noTimer = -1;

    Loop::Task m_task;
    bool m_isPeriodic;
    long m_id; ///< ACE's number of the timer
};

class ReadableHandler : public Loop::Registration, public ACE_Event_Handler
{
public:
    ReadableHandler(ACE_Reactor &reactor, int descriptor, Loop::Task task)
        : ACE_Event_Handler(&reactor)
        , m_task(std::move(task))
        , m_descriptor(descriptor)
    {
        reactor.register_handler(this, ACE_Event_Handler::READ_MASK);
    }

    ~ReadableHandler() override
    {
        reactor()->remove_handler(this, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
    }

    ACE_HANDLE get_handle() const override
    {
        return m_descriptor;
    }

    int handle_input(ACE_HANDLE) override
    {
        const Activity activity("input of a descriptor");
        m_task();
        return 0;
    }

private:
    Loop::Task m_task;
    int m_descriptor;
};

} // namespace

/// Reads signals from a descriptor, so that they are handled as ordinary events and interrupt no system call.
class Loop::SignalHandler
{
public:
    SignalHandler(Loop &loop, SignalTasks tasks)
        : m_tasks(std::move(tasks))
    {
        const sigset_t set = loopSignals();
        pthread_sigmask(SIG_BLOCK, &set, nullptr);
        m_descriptor = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
        m_handler = loop.whenReadable(m_descriptor, [this] { read(); });
    }

    ~SignalHandler()
    {
        m_handler.reset();
        ::close(m_descriptor);
    }

    SignalHandler(const SignalHandler &) = delete;
    SignalHandler &operator=(const SignalHandler &) = delete;

private:
    void read()
    {
        signalfd_siginfo info {};
        while (::read(m_descriptor, &info, sizeof info) == sizeof info) {
            const Task &task = taskFor(static_cast<int>(info.ssi_signo));
            if (task) {
                task();
            }
        }
    }

    const Task &taskFor(int signal) const
    {
        switch (signal) {
        case SIGUSR1:
            return m_tasks.dump;
        case SIGHUP:
            return m_tasks.reload;
        default:
            return m_tasks.stop;
        }
    }

    SignalTasks m_tasks;
    int m_descriptor = -1;
    std::unique_ptr<Registration> m_handler;
};

namespace {

/// Returns the time of Base::now(). ACE's default queue uses the time of day, whose steps would delay timers or fire all of them
/// at once.
ACE_Time_Value loopTime()
{
    const auto micros = now().time_since_epoch().count();
    constexpr std::int64_t microsPerSecond = 1'000'000;
    return ACE_Time_Value(static_cast<time_t>(micros / microsPerSecond), static_cast<suseconds_t>(micros % microsPerSecond));
}

std::unique_ptr<ACE_Timer_Queue> makeTimers()
{
    auto timers = std::make_unique<ACE_Timer_Heap_Variable_Time_Source>();
    timers->set_time_policy(&loopTime);
    return timers;
}

} // namespace

Loop::Loop()
    : m_timers(makeTimers())
    , m_reactor(new ACE_Select_Reactor(nullptr, m_timers.get()), true)
{
    // ACE reports interrupted waits on standard error, in lines that are not JSON.
    ACE_LOG_MSG->priority_mask(0, ACE_Log_Msg::PROCESS);
    // Writing to a connection that the peer has closed must return an error and not raise a signal.
    std::signal(SIGPIPE, SIG_IGN);
}

Loop::~Loop() = default;

ACE_Reactor &Loop::reactor()
{
    return m_reactor;
}

std::unique_ptr<Loop::Registration> Loop::every(Duration period, Task task)
{
    return std::make_unique<TimerHandler>(m_reactor, period, period, std::move(task));
}

std::unique_ptr<Loop::Registration> Loop::after(Duration delay, Task task)
{
    return std::make_unique<TimerHandler>(m_reactor, delay, Duration::zero(), std::move(task));
}

std::unique_ptr<Loop::Registration> Loop::whenReadable(int descriptor, Task task)
{
    return std::make_unique<ReadableHandler>(m_reactor, descriptor, std::move(task));
}

void Loop::onSignals(SignalTasks tasks)
{
    m_signals = std::make_unique<SignalHandler>(*this, std::move(tasks));
}

void Loop::run()
{
    m_reactor.owner(ACE_OS::thr_self());
    // The wait is interrupted (EINTR) when a stopped process continues. This must not end the loop.
    while (m_reactor.reactor_event_loop_done() == 0) {
        if (m_reactor.handle_events() == -1 && errno != EINTR) {
            log(LogLevel::Error, LogEvent::EdgeFailed, {{"where", "event loop"}, {"errno", errno}});
            return;
        }
    }
}

void Loop::stop()
{
    m_reactor.end_reactor_event_loop();
}

} // namespace Yokepond::Base
