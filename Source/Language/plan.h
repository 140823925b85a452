// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Validates operator commands against a configuration and translates them into the mutations of one change.

#pragma once

#include "Configuration/objects.h"
#include "Language/statement.h"

#include <absl/status/statusor.h>

#include <vector>

namespace Yokepond::Language {

/// Returns the mutations that apply @p commands to @p objects in order, as one transaction. Each command is checked against the
/// state that the commands before it leave. Returns the error of the first invalid command (ErrorKind::UnknownName,
/// AlreadyExists, InvalidValue or InUse) and no mutations if any command is invalid.
absl::StatusOr<std::vector<Configuration::Mutation>> plan(const Configuration::Objects &objects,
                                                          const std::vector<Command> &commands);

} // namespace Yokepond::Language
