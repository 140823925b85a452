// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The command-line program yokepond-faultproxy.

#pragma once

namespace Yokepond::FaultProxy {

/// Runs the proxy until SIGTERM. Returns the exit code of the process.
int runProxyProgram(int argc, const char *const *argv);

} // namespace Yokepond::FaultProxy
