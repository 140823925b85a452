// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The engines of a pool that are set aside for tight streams.

#pragma once

#include "Base/time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <span>

namespace Yokepond::EngineModel {

/// An engine that accepts work, as far as its choice for streams depends on it.
struct StreamEngineCandidate
{
    std::uint32_t endpoint = 0;
    std::uint32_t slots = 0;
    double tokensPerMs = 0; ///< prefill speed
    Base::Duration backlog {}; ///< prefill that it has to do
};

/// Why the number of engines changed.
enum class StreamEnginesChange { None, Grew, Shrank, Ended };

/// Sets engines aside for tight streams: those of the class of a pool that allows the shortest pauses between events. A long
/// prefill makes all tight streams of an engine late, whichever engine it is placed at. So while tight streams end late, some
/// engines take tight streams and no other prompts. Their number follows the number of tight streams and the prefill of their
/// prompts. Without late streams no engine is set aside.
class StreamEngines
{
public:
    /// Records the start of a tight stream whose prompt takes @p prefillTime to prefill.
    void streamStarted(Base::Duration prefillTime);

    /// Records the end of a tight stream, and whether a pause of it was longer than allowed; nothing if it had no events.
    void streamEnded(std::optional<bool> late, Base::Instant now);

    /// Adjusts the engines to the number of active tight streams; to be called regularly with all engines that accept work,
    /// ordered by number.
    StreamEnginesChange update(std::span<const StreamEngineCandidate> engines, Base::Instant now);

    /// Returns all engines to the other classes.
    void clear();

    /// Returns whether an engine is set aside.
    bool contains(std::uint32_t endpoint) const;
    bool empty() const;
    /// Returns the number of engines that are set aside.
    std::size_t size() const;
    /// Returns the number of active tight streams at all engines.
    std::uint32_t activeStreams() const;
    /// Returns the share of late streams among those that ended lately.
    double lateShare() const;

private:
    void measurePrefillLoad(Base::Instant now);
    std::size_t neededFor(std::span<const StreamEngineCandidate> engines) const;
    void grow(std::span<const StreamEngineCandidate> engines, std::size_t needed);
    void shrink(std::size_t excess);

    std::set<std::uint32_t> m_engines;
    std::uint32_t m_active = 0; ///< active tight streams, at any engine
    Base::Duration m_prefillSinceUpdate {}; ///< prefill time of the tight streams that started since the last update
    double m_prefillLoad = 0; ///< moving average of the engines that the prefill of tight streams keeps busy
    Base::Instant m_lastUpdate {};
    double m_lateShare = 0; ///< moving average over the tight streams that ended
    std::optional<Base::Instant> m_lastLate; ///< when the share of late streams was last too high
    Base::Instant m_lastShrink {};
};

} // namespace Yokepond::EngineModel
