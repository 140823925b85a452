// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Shell completion for the command line of the operators' tool.

#pragma once

#include <string>

namespace Yokepond::Tool {

/// Returns a bash script that completes the tool's verbs and options and the first words of statements. The names of subjects and
/// kinds come from the tables of the language and of the configuration.
std::string bashCompletion();

} // namespace Yokepond::Tool
