// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Main program of yokepondd, the daemon that runs on each host. It needs nothing but the C library, so that it takes the signals
/// over before the daemon's many libraries are loaded, which takes milliseconds.

#include "Base/signals.h"
#include "Base/standarddescriptors.h"

#include <dlfcn.h>
#include <libgen.h>
#include <unistd.h>

#include <array>
#include <climits>
#include <cstdio>
#include <cstdlib>

namespace {

constexpr const char *daemonLibrary = "../lib/libyokepond-daemon.so"; ///< relative to this program's folder
constexpr const char *daemonFunction = "yokepondDaemon"; ///< see Source/Node/daemonlibrary.cpp

void prepareProcess(int, char **, char **)
{
    Yokepond::Base::takeOverSignals();
    Yokepond::Base::openStandardDescriptors();
}

/// Runs before the constructors of all libraries.
[[gnu::section(".preinit_array"), gnu::used]] void (*const runFirst)(int, char **, char **) = &prepareProcess;

/// Returns the daemon's library, or null; dlerror() then tells why.
void *loadDaemon()
{
    std::array<char, PATH_MAX> path {};
    std::snprintf(path.data(), path.size(), "$ORIGIN/%s", daemonLibrary);
    if (void *library = dlopen(path.data(), RTLD_LAZY); library != nullptr) {
        return library;
    }
    // Where another library stands in for dlopen, such as a sanitizer, $ORIGIN is that library's folder.
    std::array<char, PATH_MAX> program {};
    if (readlink("/proc/self/exe", program.data(), program.size() - 1) <= 0) {
        return nullptr;
    }
    std::snprintf(path.data(), path.size(), "%s/%s", dirname(program.data()), daemonLibrary);
    return dlopen(path.data(), RTLD_LAZY);
}

} // namespace

int main(int argc, char **argv)
{
    using DaemonFunction = int (*)(int, char **);
    void *library = loadDaemon();
    auto *run = library == nullptr ? nullptr : reinterpret_cast<DaemonFunction>(dlsym(library, daemonFunction));
    if (run == nullptr) {
        std::fprintf(stderr, "yokepondd: cannot load the daemon: %s; install the whole package\n", dlerror());
        return EXIT_FAILURE;
    }
    return run(argc, argv);
}
