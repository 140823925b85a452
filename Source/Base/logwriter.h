// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Writes log lines on a thread of its own, so that a reader who does not read holds no decision back.

#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace Yokepond::Base {

class LogWriter
{
public:
    /// Bytes that may wait to be written; what comes beyond is left out and counted.
    static constexpr std::size_t mostWaitingBytes = 512U << 10U;

    /// Writes to @p descriptor, which stays the caller's.
    explicit LogWriter(int descriptor);

    /// Writes what waits, if its reader takes it.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Queues a line, which ends in a newline; never waits for the reader. Returns how many lines have been left out since the
    /// last line that was queued: the caller should tell it in a line of its own.
    std::uint64_t append(const std::string &line);

private:
    void run();
    void writeAll(const std::string &bytes) const;

    int m_descriptor;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::string m_waiting;
    std::uint64_t m_leftOut = 0;
    bool m_ending = false;
    std::thread m_thread;
};

} // namespace Yokepond::Base
