// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The command line of yokepondd.

#pragma once

namespace Yokepond::Node {

/// Reads the command line and the settings, and runs the daemon. Returns the exit code of the process.
int runDaemonProgram(int argc, const char *const *argv);

} // namespace Yokepond::Node
