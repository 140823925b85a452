// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Decodes JSON that others wrote. nlohmann::json copies, compares and writes values by recursion, so that a deeply nested value
/// would overflow the stack. No other code of the programs decodes JSON.

#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace Yokepond::Base {

/// Number of levels of arrays and objects that a decoded text may have. Requests with schemas of tools have up to thirty.
inline constexpr std::size_t maxJsonDepth = 128;

/// Decodes @p text. Fails with ErrorKind::InvalidValue if it is not JSON in UTF-8, has more levels than maxJsonDepth or has a
/// number that no double can hold; the message says what is wrong and after how many bytes. Decoding ends there, so that no
/// deeper value is built. Does not throw JSON exceptions.
absl::StatusOr<nlohmann::json> decodeJson(std::string_view text);

/// Decodes @p text for callers that need no reason: returns a discarded value, which has no type, in place of a failure.
nlohmann::json decodeJsonOrDiscard(std::string_view text);

} // namespace Yokepond::Base
