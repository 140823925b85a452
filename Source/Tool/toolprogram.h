// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The command-line program yokepond, the operators' tool.

#pragma once

namespace Yokepond::Tool {

/// Runs one command line. Returns the process's exit code: 0 for success, 1 for a failed or rejected statement, 2 for wrong
/// usage, 3 if the host could not be reached, 4 if the operator is not authenticated or not permitted, 5 if it is undetermined
/// whether a change was made.
int runToolProgram(int argc, const char *const *argv);

} // namespace Yokepond::Tool
