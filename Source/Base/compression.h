// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Compresses texts for other hosts with Zstandard (RFC 8878), against a similar text that the receiver has.

#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace Yokepond::Base {

/// Compresses @p text. decompress() needs the same @p dictionary; the parts of @p text that also stand there take almost no
/// space. Fails with ErrorKind::Internal if there is not enough memory.
absl::StatusOr<std::string> compress(std::string_view text, std::string_view dictionary);

/// Returns the text that was compressed to @p bytes. Fails with ErrorKind::InvalidValue if it is longer than @p maxSize, or if
/// @p bytes are damaged or were compressed with another @p dictionary.
absl::StatusOr<std::string> decompress(std::string_view bytes, std::string_view dictionary, std::size_t maxSize);

} // namespace Yokepond::Base
