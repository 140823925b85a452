// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Preferred endpoints for prompts that are not known to be in any cache. Rendezvous hashing gives the same preference on every
/// host, so hosts that decide independently neither prefill a prompt at two endpoints nor all select the same endpoint.

#pragma once

#include <cstdint>
#include <span>

namespace Yokepond::Dispatch {

/// Returns the hash of the longest prefix that a prompt shares with others. That is all but the last part, which belongs to this
/// request alone. Returns 0 if the prompt has no parts.
std::uint64_t sharedPrefix(std::span<const std::uint64_t> prefix);

/// Returns the weight of an endpoint for prompts with the prefix hash @p shared. The endpoint with the highest weight is
/// preferred.
std::uint64_t rendezvousWeight(std::uint32_t endpoint, std::uint64_t shared);

} // namespace Yokepond::Dispatch
