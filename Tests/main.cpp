// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Main program of each unit test executable. A violated invariant aborts it.

#include "Base/invariant.h"
#include "Base/log.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int main(int argc, char **argv)
{
    Yokepond::Base::makeViolationsFatal();
    Yokepond::Base::configureLog(Yokepond::Base::LogLevel::Error, "");
    // The sanitizers detect memory leaks. CppUTest's own detector does not support threads and static caches.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
