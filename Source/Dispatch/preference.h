// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Where a prompt that no endpoint is known to keep is best read: the same on every host by rendezvous hashing, so that hosts
/// that decide apart from each other neither read it twice nor all choose one endpoint.

#pragma once

#include <cstdint>
#include <span>

namespace Yokepond::Dispatch {

/// The longest beginning of a prompt that other prompts share: all but the last part, which is the request's own. 0 if the
/// prompt has no parts.
std::uint64_t sharedPrefix(std::span<const std::uint64_t> prefix);

/// The endpoint with the highest weight is preferred for prompts that begin with @p shared.
std::uint64_t rendezvousWeight(std::uint32_t endpoint, std::uint64_t shared);

} // namespace Yokepond::Dispatch
