// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Runs a function in a child process, for tests of how a process ends.

#pragma once

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <string>

struct EndOfChild
{
    int exitCode = -1; ///< -1 if the process ended by a signal
    int signal = 0;
    std::string standardError;
};

/// Runs @p task in a child process, whose exit code is what @p task returns.
inline EndOfChild runInChild(const std::function<int()> &task)
{
    std::array<int, 2> ends {};
    if (pipe(ends.data()) != 0) {
        return {};
    }
    const pid_t child = fork();
    if (child == 0) {
        dup2(ends[1], STDERR_FILENO);
        close(ends[0]);
        close(ends[1]);
        _exit(task());
    }
    close(ends[1]);
    EndOfChild end;
    std::array<char, 4096> buffer {};
    for (ssize_t count = 1; count > 0;) {
        count = read(ends[0], buffer.data(), buffer.size());
        end.standardError.append(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
    }
    close(ends[0]);
    int status = 0;
    waitpid(child, &status, 0);
    end.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    end.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return end;
}
