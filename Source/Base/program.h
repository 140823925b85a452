// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Command-line parsing that all programs share: --help, --version and errors.

#pragma once

#include <boost/program_options.hpp>

#include <functional>
#include <optional>
#include <string>

namespace Yokepond::Base {

inline constexpr int exitOk = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitUsage = 2;

struct ProgramInfo
{
    std::string name;
    std::string summary; ///< one line, shown by --help
    std::string usage; ///< arguments, as shown after the name by --help
    std::string examples; ///< shown by --help below the options; may be empty
};

using OptionMap = boost::program_options::variables_map;
using OptionDescriptions = boost::program_options::options_description;
using PositionalDescriptions = boost::program_options::positional_options_description;

/// Parses the command line into @p values. Adds the options --help and --version. Returns an exit code if the program should end:
/// after one of these, or after an error, which is printed to standard error.
std::optional<int> parseCommandLine(const ProgramInfo &info, int argc, const char *const *argv, OptionDescriptions options,
                                    const PositionalDescriptions &positional, OptionMap &values);

} // namespace Yokepond::Base
