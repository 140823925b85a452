// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What reading prompts does to the streams that run at the same engine: their tokens come between its pieces.

#pragma once

#include "Base/time.h"

#include <deque>
#include <map>
#include <memory>

namespace Yokepond::Dispatch {

/// The pauses between events that a run's home saw; zero where there were none.
struct ObservedPauses
{
    Base::Duration mean {};
    Base::Duration longest {};
};

/// How long a pause can get, however long an engine reads: near the longest of those that ended runs saw.
class LongestPause
{
public:
    /// Takes in the longest pause of a run beside which the engine read for longer than that.
    void update(Base::Duration seen);

    /// Zero before any has been seen.
    Base::Duration value() const;

private:
    Base::Duration m_value {};
};

/// The streams of one engine by the pause they are allowed, and how many of them reading would make late.
///
/// While an engine reads for a time B, a stream pauses for no longer than B, and for no longer than its tokens of one event take
/// when each comes with a piece of a prompt. The second bound is learned from the pauses that ended runs saw.
class PrefillPauses
{
public:
    /// What @p ofPool has learned counts until this engine has shown pauses of its own.
    explicit PrefillPauses(std::shared_ptr<LongestPause> poolLongestPause = std::make_shared<LongestPause>());

    /// Streams under way, in time so far, that would be late if the engine read for @p after in a row in place of @p before.
    double expectedNewlyLate(Base::Duration before, Base::Duration after) const;

    /// How likely a stream that is allowed pauses of @p allowed would be late, if the engine reads on as it did lately.
    double lateProbability(Base::Duration allowed, Base::Instant now) const;

    /// The engine will read for @p after in a row in place of @p before.
    void recordPrefill(Base::Instant now, Base::Duration before, Base::Duration after);

    void addStream(Base::Duration allowed);

    /// A run whose first token came at @p firstToken has ended, with the pauses that were seen.
    void removeStream(Base::Duration allowed, Base::Instant firstToken, const ObservedPauses &seen);

private:
    struct Streams
    {
        double running = 0;
        double onTime = 0; ///< expected, of those
    };

    struct Burst
    {
        Base::Instant at {};
        Base::Duration length {};
    };

    Base::Duration expectedPause(Base::Duration burst) const;
    double lateProbabilityFor(Base::Duration burst, Base::Duration allowed) const;
    /// The longest that the engine read in a row at one time since then.
    Base::Duration longestBurst(Base::Instant since) const;
    void updateEstimates(Base::Instant firstToken, const ObservedPauses &seen);

    std::map<Base::Duration, Streams> m_streams; ///< by the pause they are allowed
    std::deque<Burst> m_bursts; ///< oldest first, each longer than all after it
    Base::Duration m_meanPause {}; ///< between events
    LongestPause m_longest;
    std::shared_ptr<LongestPause> m_poolLongestPause;
};

} // namespace Yokepond::Dispatch
