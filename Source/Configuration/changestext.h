// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The text in which hosts send each other changes of the platform's records.

#pragma once

#include "Configuration/siterecords.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace Yokepond::Configuration {

/// Returns @p changes as JSON text for peers. Cold periods are sent as the time that remains of them at @p now.
std::string changesToText(const RecordChanges &changes, Base::Instant now);

/// Parses the format that changesToText() returns, received at @p now. Fails with ErrorKind::InvalidValue.
absl::StatusOr<RecordChanges> changesFromText(std::string_view text, Base::Instant now);

} // namespace Yokepond::Configuration
