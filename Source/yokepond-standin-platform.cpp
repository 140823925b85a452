// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Main program of the platform stand-in, which simulates the platform's table service and host list for tests.

#include "Standin/platformprogram.h"

int main(int argc, char **argv)
{
    return Yokepond::Standin::runPlatformProgram(argc, argv);
}
