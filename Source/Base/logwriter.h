// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Writes log lines on a separate thread, so that a slow reader of the log does not delay the program.

#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace Yokepond::Base {

/// Queues lines in memory and writes them to a descriptor on its own thread.
class LogWriter
{
public:
    /// Limit of the queued bytes. Lines beyond it are dropped and counted.
    static constexpr std::size_t maxQueuedBytes = 512U << 10U;

    /// Writes to @p descriptor, which is not closed.
    explicit LogWriter(int descriptor);

    /// Writes the queued lines. Waits until the reader has taken them or has closed its end.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Queues @p line, which must end in a newline. Never waits for the reader. Returns the number of lines that were dropped
    /// since the last queued line; the caller should log it. Returns 0 if @p line itself was dropped.
    std::uint64_t append(const std::string &line);

private:
    void run();
    void writeAll(const std::string &bytes) const;

    int m_descriptor;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::string m_queue;
    std::uint64_t m_dropped = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Yokepond::Base
