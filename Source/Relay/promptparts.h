// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The parts of a prompt that other prompts may have too.

#pragma once

#include <cstdint>
#include <vector>

namespace Yokepond::Relay {

/// Returns the parts of a prompt that it may share with others: all of @p parts, in order, but the last one, which is the
/// request's own. A part that stands twice is returned once. Of very many parts only the first and the last ones are returned.
std::vector<std::uint64_t> sharedParts(std::vector<std::uint64_t> parts);

} // namespace Yokepond::Relay
