// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Main program of the fault proxy, a TCP proxy that injects faults into connections for tests.

#include "FaultProxy/proxyprogram.h"

int main(int argc, char **argv)
{
    return Yokepond::FaultProxy::runProxyProgram(argc, argv);
}
