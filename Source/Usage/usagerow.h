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

/// Final counts of one window. A window is fixed when its counts are written to the store. They do not change after that, so that
/// all reports of the window are the same, whichever host sends them.
struct FixedWindow
{
    WindowNumber window = 0;
    WindowCounts counts;

    bool operator==(const FixedWindow &) const = default;
};

struct UsageRow
{
    std::uint64_t holder = 0; ///< incarnation of the process that wrote the row
    std::string host; ///< host of that process, for operators
    std::vector<FixedWindow> windows; ///< fixed windows, oldest first

    bool operator==(const UsageRow &) const = default;
};

/// Size limit of a row's text. The store accepts 64 KiB in base64; a longer row loses its oldest windows.
inline constexpr std::size_t maxRowBytes = 44'000;

/// Returns @p row as JSON text of at most maxRowBytes, unless a single window is longer.
std::string serializeRow(UsageRow row);

/// Reads the text that serializeRow() wrote. Fails with ErrorKind::InvalidValue.
absl::StatusOr<UsageRow> parseRow(std::string_view text);

} // namespace Yokepond::Usage
