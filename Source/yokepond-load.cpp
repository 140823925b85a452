// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Main program of the open-loop load generator.

#include "Load/loadprogram.h"

int main(int argc, char **argv)
{
    return Yokepond::Load::runLoadProgram(argc, argv);
}
