// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The command-line program yokepond-load, a load generator.

#pragma once

namespace Yokepond::Load {

/// Runs a scenario against a fleet and prints a report. Returns the process's exit code.
int runLoadProgram(int argc, const char *const *argv);

} // namespace Yokepond::Load
