// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Parts of prompts that runs have shown not to crash endpoints.

#pragma once

#include "Base/time.h"
#include "Peer/message.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Yokepond::Request {

/// Remembers for each part of the prompts at this host when the last run with it began that went on. The number of parts is
/// limited, since callers may send as many as they like.
class SoundParts
{
public:
    /// Records that a run with @p parts, whose response began at @p began, has gone on or completed.
    void record(std::uint32_t pool, const std::vector<std::uint64_t> &parts, Base::Instant began);

    /// Returns when the response of the latest such run began; nothing if none is known.
    std::optional<Base::Instant> lastBegan(const Peer::PromptPart &part) const;

    std::size_t size() const;

private:
    std::map<Peer::PromptPart, Base::Instant> m_began;
    std::deque<Peer::PromptPart> m_order; ///< parts of m_began, in the order in which they were added
};

} // namespace Yokepond::Request
