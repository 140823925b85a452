// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The function of the daemon's library that the program yokepondd calls.

#include "Node/daemonprogram.h"

extern "C" int yokepondDaemon(int argc, char **argv)
{
    return Yokepond::Node::runDaemonProgram(argc, argv);
}
