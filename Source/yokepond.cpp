// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Main program of yokepond, the operators' command-line tool.

#include "Tool/toolprogram.h"

int main(int argc, char **argv)
{
    return Yokepond::Tool::runToolProgram(argc, argv);
}
