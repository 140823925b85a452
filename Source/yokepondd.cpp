// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Main program of yokepondd, the daemon that runs on each host. It needs nothing but the C library, so that it takes the signals
/// over before the daemon's many libraries are loaded, which takes milliseconds.

#include "Base/signals.h"
#include "Base/standarddescriptors.h"

#include <dlfcn.h>

#include <cstdio>
#include <cstdlib>

namespace {

constexpr const char *daemonLibrary = "$ORIGIN/../lib/libyokepond-daemon.so"; ///< relative to this program
constexpr const char *daemonFunction = "yokepondDaemon"; ///< see Source/Node/daemonlibrary.cpp

void prepareProcess(int, char **, char **)
{
    Yokepond::Base::takeOverSignals();
    Yokepond::Base::openStandardDescriptors();
}

/// Runs before the constructors of all libraries.
[[gnu::section(".preinit_array"), gnu::used]] void (*const runFirst)(int, char **, char **) = &prepareProcess;

} // namespace

int main(int argc, char **argv)
{
    using DaemonFunction = int (*)(int, char **);
    void *library = dlopen(daemonLibrary, RTLD_LAZY);
    auto *run = library == nullptr ? nullptr : reinterpret_cast<DaemonFunction>(dlsym(library, daemonFunction));
    if (run == nullptr) {
        std::fprintf(stderr, "yokepondd: cannot load the daemon: %s; install the whole package\n", dlerror());
        return EXIT_FAILURE;
    }
    return run(argc, argv);
}
