// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Main program of the service stand-in, which simulates a plain service for tests.

#include "Standin/serviceprogram.h"

int main(int argc, char **argv)
{
    return Yokepond::Standin::runServiceProgram(argc, argv);
}
