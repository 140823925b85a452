// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/logwriter.h"

#include "Base/crashreport.h"
#include "Base/signals.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <utility>

namespace Yokepond::Base {

namespace {

/// Lines that are queued within this time are written together, because each wake-up of the thread has a cost.
constexpr std::chrono::milliseconds batchTime {50};

} // namespace

struct LogWriter::State
{
    void run();
    void writeAll(const std::string &bytes) const;

    int descriptor = -1;
    std::mutex mutex;
    std::condition_variable wake;
    std::condition_variable hasEnded;
    std::string queue;
    std::uint64_t dropped = 0; ///< lines since the last queued one
    bool stopping = false;
    bool ended = false;
};

LogWriter::LogWriter(int descriptor)
    : m_state(std::make_shared<State>())
{
    m_state->descriptor = descriptor;
    // A thread inherits the signal mask of its creator. Delivered to this thread, the loop's signals would end the process.
    const LoopSignalsBlocked blocked;
    m_thread = std::thread([state = m_state] { state->run(); });
}

LogWriter::~LogWriter()
{
    std::unique_lock lock(m_state->mutex);
    m_state->stopping = true;
    m_state->wake.notify_one();
    const bool ended = m_state->hasEnded.wait_for(lock, endTime, [this] { return m_state->ended; });
    lock.unlock();
    if (ended) {
        m_thread.join();
    } else {
        m_thread.detach();
    }
}

std::uint64_t LogWriter::append(const std::string &line)
{
    bool wake = false;
    std::uint64_t dropped = 0;
    {
        const std::lock_guard lock(m_state->mutex);
        if (m_state->queue.size() + line.size() > maxQueuedBytes) {
            ++m_state->dropped;
            return 0;
        }
        dropped = std::exchange(m_state->dropped, 0);
        wake = m_state->queue.empty();
        m_state->queue += line;
    }
    if (wake) {
        m_state->wake.notify_one();
    }
    return dropped;
}

void LogWriter::State::run()
{
    const CrashReportThread thread("log");
    std::unique_lock lock(mutex);
    while (!stopping || !queue.empty()) {
        wake.wait(lock, [this] { return stopping || !queue.empty(); });
        // Only the end of the writer cuts this wait short.
        wake.wait_for(lock, batchTime, [this] { return stopping; });
        const std::string bytes = std::exchange(queue, {});
        lock.unlock();
        writeAll(bytes);
        lock.lock();
    }
    ended = true;
    hasEnded.notify_one();
}

void LogWriter::State::writeAll(const std::string &bytes) const
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count = ::write(descriptor, bytes.data() + written, bytes.size() - written);
        if (count < 0 && errno == EAGAIN) {
            // Whoever shares the descriptor has made it non-blocking.
            pollfd writable {descriptor, POLLOUT, 0};
            ::poll(&writable, 1, -1);
        } else if (count < 0 && errno != EINTR) {
            // The write failed, for example because the reader has closed its end. There is no other place to report that.
            return;
        }
        written += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
}

} // namespace Yokepond::Base
