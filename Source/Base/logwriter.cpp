// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/logwriter.h"

#include <pthread.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <utility>

namespace Yokepond::Base {

namespace {

/// Lines that come within this time are written together: each wake-up costs.
constexpr std::chrono::milliseconds gatherTime {50};

} // namespace

LogWriter::LogWriter(int descriptor)
    : m_descriptor(descriptor)
{
    // A thread inherits what is blocked. A signal must reach the loop, which blocks it and reads it from a descriptor, and not
    // end the process by way of this thread.
    sigset_t all;
    sigset_t before;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, &before);
    m_thread = std::thread([this] { run(); });
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

LogWriter::~LogWriter()
{
    {
        const std::lock_guard lock(m_mutex);
        m_ending = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

std::uint64_t LogWriter::append(const std::string &line)
{
    bool wake = false;
    std::uint64_t leftOut = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (m_waiting.size() + line.size() > mostWaitingBytes) {
            ++m_leftOut;
            return 0;
        }
        leftOut = std::exchange(m_leftOut, 0);
        wake = m_waiting.empty();
        m_waiting += line;
    }
    if (wake) {
        m_wake.notify_one();
    }
    return leftOut;
}

void LogWriter::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_ending || !m_waiting.empty()) {
        m_wake.wait(lock, [this] { return m_ending || !m_waiting.empty(); });
        // Woken early only by the end.
        m_wake.wait_for(lock, gatherTime, [this] { return m_ending; });
        const std::string bytes = std::exchange(m_waiting, {});
        lock.unlock();
        writeAll(bytes);
        lock.lock();
    }
}

void LogWriter::writeAll(const std::string &bytes) const
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count = ::write(m_descriptor, bytes.data() + written, bytes.size() - written);
        if (count < 0 && errno != EINTR && errno != EAGAIN) {
            // Nobody reads any more; there is no other place to say so.
            return;
        }
        written += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
}

} // namespace Yokepond::Base
