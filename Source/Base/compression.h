// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Text made small for other hosts, by Zstandard (RFC 8878); smaller still where the receiver holds a similar one.

#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace Yokepond::Base {

/// @p text as bytes from which expanded() makes it again, given the same @p known. What @p text has in common with @p known
/// costs next to nothing. Fails with ErrorKind::Internal for want of memory.
absl::StatusOr<std::string> compress(std::string_view text, std::string_view known);

/// The text that @p bytes were made of, at most @p most bytes of it. Fails with ErrorKind::InvalidValue if they are damaged, or
/// were made with another @p known.
absl::StatusOr<std::string> decompress(std::string_view bytes, std::string_view known, std::size_t most);

} // namespace Yokepond::Base
