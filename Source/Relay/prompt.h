// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Extracts what placement needs from the body of an OpenAI-style request.

#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Yokepond::Relay {

/// A parsed completion request.
struct Prompt
{
    nlohmann::json body;
    std::string model;
    bool stream = false; ///< whether the request asks for a streamed response
    std::uint32_t tokens = 0; ///< number of prompt tokens, estimated from the prompt's length in bytes
    std::vector<std::uint64_t> prefix; ///< hashes of ever longer prefixes of the prompt
    std::vector<std::uint64_t> parts; ///< hashes of the messages that other prompts may have too; see sharedParts()
};

/// Parses the body of a chat completion, or of a text completion if @p chat is false. Fails with ErrorKind::InvalidRequest.
absl::StatusOr<Prompt> parsePrompt(std::string_view body, bool chat);

} // namespace Yokepond::Relay
