// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The command-line program yokepond-standin-engine.

#pragma once

namespace Yokepond::Standin {

/// Runs the engine stand-in until SIGTERM. Returns the exit code of the process.
int runEngineProgram(int argc, const char *const *argv);

} // namespace Yokepond::Standin
