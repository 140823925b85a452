// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Main program of yokepondd, the daemon that runs on each host.

#include "Node/daemonprogram.h"

int main(int argc, char **argv)
{
    return Yokepond::Node::runDaemonProgram(argc, argv);
}
