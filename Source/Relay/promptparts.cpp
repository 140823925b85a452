// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Relay/promptparts.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>

namespace Yokepond::Relay {

namespace {

/// Number of parts that are kept of a prompt. Prompts have a few; a conversation may have hundreds of messages.
constexpr std::size_t maxParts = 64;

} // namespace

std::vector<std::uint64_t> sharedParts(std::vector<std::uint64_t> parts)
{
    if (parts.empty()) {
        return parts;
    }
    parts.pop_back();
    std::unordered_set<std::uint64_t> seen;
    std::erase_if(parts, [&](std::uint64_t part) { return !seen.insert(part).second; });
    if (parts.size() > maxParts) {
        const auto middle = parts.begin() + maxParts / 2;
        parts.erase(middle, parts.end() - maxParts / 2);
    }
    return parts;
}

} // namespace Yokepond::Relay
