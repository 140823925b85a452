// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Pauses in the streams of an engine that are caused by prefill: the engine produces the tokens of active streams between the
/// chunks of a prompt.

#pragma once

#include "Base/time.h"

#include <deque>
#include <map>
#include <memory>

namespace Yokepond::Dispatch {

/// Pauses between the events of one stream as the run's home observed them; zero where there were none.
struct ObservedPauses
{
    Base::Duration mean {};
    Base::Duration longest {};
};

/// Estimates the longest pause that a prefill of any length causes. It stays close to the longest pauses of ended runs.
class LongestPause
{
public:
    /// Adds the longest pause of a run during which the engine did a prefill at least that long.
    void update(Base::Duration seen);

    /// Returns zero before the first observation.
    Base::Duration value() const;

private:
    Base::Duration m_value {};
};

/// Estimates how many streams of one engine a prefill would make late, that is, give a pause longer than their class allows.
///
/// A stream sends its tokens in events of one or more tokens. While an engine prefills for a time B without interruption, the
/// expected pause between two events is the smaller of two values: B plus the mean time between events, and a longest pause. The
/// longest pause is limited because the engine produces tokens between the chunks of a prompt, so an event waits only for as many
/// chunks as it has tokens. It is learned from the pauses of ended runs.
class PrefillPauses
{
public:
    /// @p poolLongestPause is shared by all engines of the pool and is used until this engine has observations of its own.
    explicit PrefillPauses(std::shared_ptr<LongestPause> poolLongestPause = std::make_shared<LongestPause>());

    /// Returns the expected number of active streams that are on time now and become late if the engine's uninterrupted prefill
    /// grows from the duration @p oldLength to @p newLength.
    double expectedNewlyLate(Base::Duration oldLength, Base::Duration newLength) const;

    /// Returns the probability that a new stream with the limit @p allowed becomes late, if the engine's prefill continues as it
    /// was recently.
    double lateProbability(Base::Duration allowed, Base::Instant now) const;

    /// Records that the engine's uninterrupted prefill grows from the duration @p oldLength to @p newLength.
    void recordPrefill(Base::Instant now, Base::Duration oldLength, Base::Duration newLength);

    /// Adds a stream whose pauses may be up to @p allowed; zero: it has no limit.
    void addStream(Base::Duration allowed);

    /// Removes a stream whose first token came at @p firstToken, and learns from its observed pauses.
    void removeStream(Base::Duration allowed, Base::Instant firstToken, const ObservedPauses &seen);

private:
    struct Streams
    {
        double running = 0; ///< active streams
        double onTime = 0; ///< expected number of active streams without a pause that was too long
    };

    /// A period of uninterrupted prefill.
    struct Burst
    {
        Base::Instant at {};
        Base::Duration length {};
    };

    Base::Duration expectedPause(Base::Duration burst) const;
    double lateProbabilityFor(Base::Duration burst, Base::Duration allowed) const;
    /// Returns the longest uninterrupted prefill since @p since. Counts only the part of an older burst that lies after it.
    Base::Duration longestBurst(Base::Instant since) const;
    void updateEstimates(Base::Instant firstToken, const ObservedPauses &seen);

    std::map<Base::Duration, Streams> m_streams; ///< by the longest allowed pause
    std::deque<Burst> m_bursts; ///< oldest first, each longer than all after it
    Base::Duration m_meanPause {}; ///< moving average of the time between events
    LongestPause m_longest;
    std::shared_ptr<LongestPause> m_poolLongestPause;
};

} // namespace Yokepond::Dispatch
