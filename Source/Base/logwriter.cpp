// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/logwriter.h"

#include "Base/crashreport.h"
#include "Base/signals.h"

#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <utility>

namespace Yokepond::Base {

namespace {

/// Lines that are queued within this time are written together, because each wake-up of the thread has a cost.
constexpr std::chrono::milliseconds batchTime {50};

} // namespace

LogWriter::LogWriter(int descriptor)
    : m_descriptor(descriptor)
{
    // A thread inherits the signal mask of its creator. Delivered to this thread, the loop's signals would end the process.
    const LoopSignalsBlocked blocked;
    m_thread = std::thread([this] { run(); });
}

LogWriter::~LogWriter()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

std::uint64_t LogWriter::append(const std::string &line)
{
    bool wake = false;
    std::uint64_t dropped = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (m_queue.size() + line.size() > maxQueuedBytes) {
            ++m_dropped;
            return 0;
        }
        dropped = std::exchange(m_dropped, 0);
        wake = m_queue.empty();
        m_queue += line;
    }
    if (wake) {
        m_wake.notify_one();
    }
    return dropped;
}

void LogWriter::run()
{
    const CrashReportThread thread("log");
    std::unique_lock lock(m_mutex);
    while (!m_stopping || !m_queue.empty()) {
        m_wake.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
        // Only the end of the writer cuts this wait short.
        m_wake.wait_for(lock, batchTime, [this] { return m_stopping; });
        const std::string bytes = std::exchange(m_queue, {});
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
            // The write failed, for example because the reader has closed its end. There is no other place to report that.
            return;
        }
        written += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
}

} // namespace Yokepond::Base
