// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Writes log lines on a separate thread, so that a slow reader of the log does not delay the program.

#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
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

    /// How long the writer's end waits for a reader.
    static constexpr std::chrono::milliseconds endTime {1000};

    /// Writes the queued lines. Waits until the reader has taken them or has closed its end, but not longer than endTime.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Queues @p line, which must end in a newline. Never waits for the reader. Returns the number of lines that were dropped
    /// since the last queued line; the caller should log it. Returns 0 if @p line itself was dropped.
    std::uint64_t append(const std::string &line);

private:
    struct State;
    /// Shared with the thread, which outlives the writer if it waits for a reader that does not read.
    std::shared_ptr<State> m_state;
    std::thread m_thread;
};

} // namespace Yokepond::Base
