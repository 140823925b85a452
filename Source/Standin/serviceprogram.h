// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The command-line program yokepond-standin-service.

#pragma once

namespace Yokepond::Standin {

/// Runs the service stand-in until SIGTERM. Returns the exit code of the process.
int runServiceProgram(int argc, const char *const *argv);

} // namespace Yokepond::Standin
