// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Main program of the engine stand-in, which simulates a model engine for tests.

#include "Standin/engineprogram.h"

int main(int argc, char **argv)
{
    return Yokepond::Standin::runEngineProgram(argc, argv);
}
