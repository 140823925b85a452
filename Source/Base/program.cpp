// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/program.h"

#include "Base/signals.h"

#include <fmt/format.h>

#include <cstdio>
#include <sstream>

#ifndef YOKEPOND_VERSION
#define YOKEPOND_VERSION "unknown"
#endif

namespace Yokepond::Base {

namespace {

void printHelp(const ProgramInfo &info, const OptionDescriptions &options)
{
    std::ostringstream text;
    text << options;
    fmt::print("{} - {}\n\nUsage: {} {}\n\n{}", info.name, info.summary, info.name, info.usage, text.str());
    if (!info.examples.empty()) {
        fmt::print("\nExamples:\n{}", info.examples);
    }
}

} // namespace

std::optional<int> parseCommandLine(const ProgramInfo &info, int argc, const char *const *argv, OptionDescriptions options,
                                    const PositionalDescriptions &positional, OptionMap &values)
{
    options.add_options()("help,h", "show this help")("version", "show the version");
    try {
        const auto parsed = boost::program_options::command_line_parser(argc, argv).options(options).positional(positional).run();
        store(parsed, values);
        if (values.contains("help")) {
            releaseSignals();
            printHelp(info, options);
            return exitOk;
        }
        if (values.contains("version")) {
            fmt::print("{} {}\n", info.name, YOKEPOND_VERSION);
            return exitOk;
        }
        notify(values);
    } catch (const boost::program_options::error &error) {
        fmt::print(stderr, "{}: {}; see {} --help\n", info.name, error.what(), info.name);
        return exitUsage;
    }
    return std::nullopt;
}

} // namespace Yokepond::Base
