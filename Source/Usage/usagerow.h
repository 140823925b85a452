// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The one row of the store that holds the lease of the reporting duty and the counts that were fixed under it.

#pragma once

#include "Usage/usagecounts.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace Yokepond::Usage {

/// One window's counts as they are reported, by whomever and however often.
struct FixedWindow
{
    WindowNumber window = 0;
    WindowCounts counts;

    bool operator==(const FixedWindow &) const = default;
};

struct UsageRow
{
    std::uint64_t holder = 0; ///< incarnation of the process that wrote it
    std::string host; ///< of that process, for operators
    std::vector<FixedWindow> windows; ///< oldest first

    bool operator==(const UsageRow &) const = default;
};

/// A store's row takes 64 KiB in base64; the oldest windows are left out beyond this.
inline constexpr std::size_t mostRowBytes = 44'000;

std::string rowText(UsageRow row);

/// Fails with ErrorKind::InvalidValue.
absl::StatusOr<UsageRow> parseRow(std::string_view text);

} // namespace Yokepond::Usage
