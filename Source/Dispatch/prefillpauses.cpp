// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/prefillpauses.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace Yokepond::Dispatch {

namespace {

using Base::Duration;
using Base::Instant;

/// Relative uncertainty of an expected pause. A stream is expected to be on time if the pause is shorter than the allowed one by
/// at least this share, and late if it is longer by at least this share. The probability rises linearly between the two.
constexpr double uncertainty = 0.2;
/// The longest prefill within this period is taken as the prediction for an engine. This keeps streams that allow only short
/// pauses away from an engine between two long prefills. With a period shorter than a typical response (2.6 s), slightly fewer
/// runs are on time. With one that is too long, each engine has had a long prefill within it.
constexpr Duration recentPeriod = std::chrono::seconds(4);
/// Bursts are kept for this time, which is longer than any active run has lasted.
constexpr Duration burstRetention = std::chrono::seconds(30);
/// Weight of the latest run in the moving averages. The longest pause rises with a weight fifty times that with which it falls,
/// and so stays near the longest of fifty runs. This is needed because most runs overlap only a part of a prefill and see shorter
/// pauses.
constexpr double latestWeight = 0.1;
constexpr double latestWeightIfShorter = 0.002;

Duration movingAverage(Duration mean, Duration latest, double share)
{
    return mean + std::chrono::duration_cast<Duration>((latest - mean) * share);
}

} // namespace

void LongestPause::update(Duration seen)
{
    if (m_value == Duration::zero()) {
        m_value = seen;
    } else {
        m_value = movingAverage(m_value, seen, seen > m_value ? latestWeight : latestWeightIfShorter);
    }
}

Duration LongestPause::value() const
{
    return m_value;
}

PrefillPauses::PrefillPauses(std::shared_ptr<LongestPause> poolLongestPause)
    : m_poolLongestPause(std::move(poolLongestPause))
{
}

Duration PrefillPauses::expectedPause(Duration burst) const
{
    const bool known = m_longest.value() > Duration::zero();
    return std::min(burst + m_meanPause, known ? m_longest.value() : m_poolLongestPause->value());
}

double PrefillPauses::lateProbabilityFor(Duration burst, Duration allowed) const
{
    if (allowed <= Duration::zero() || burst <= Duration::zero()) {
        return 0;
    }
    const double pause = Base::milliseconds(expectedPause(burst)) / Base::milliseconds(allowed);
    return std::clamp((pause - 1.0 + uncertainty) / (2.0 * uncertainty), 0.0, 1.0);
}

double PrefillPauses::expectedNewlyLate(Duration oldLength, Duration newLength) const
{
    double sum = 0;
    for (const auto &[allowed, streams] : m_streams) {
        sum += streams.onTime * std::max(0.0, lateProbabilityFor(newLength, allowed) - lateProbabilityFor(oldLength, allowed));
    }
    return sum;
}

Duration PrefillPauses::longestBurst(Instant since) const
{
    Duration longest {};
    for (const Burst &burst : m_bursts) {
        longest = std::max(longest, burst.length - std::max(Duration::zero(), since - burst.at));
    }
    return longest;
}

double PrefillPauses::lateProbability(Duration allowed, Instant now) const
{
    return lateProbabilityFor(longestBurst(now - recentPeriod), allowed);
}

void PrefillPauses::recordPrefill(Instant now, Duration oldLength, Duration newLength)
{
    for (auto &[allowed, streams] : m_streams) {
        streams.onTime *= 1.0 - std::max(0.0, lateProbabilityFor(newLength, allowed) - lateProbabilityFor(oldLength, allowed));
    }
    while (!m_bursts.empty() && m_bursts.back().length <= newLength) {
        m_bursts.pop_back();
    }
    m_bursts.push_back({now, newLength});
    while (m_bursts.front().at < now - burstRetention) {
        m_bursts.pop_front();
    }
}

void PrefillPauses::addStream(Duration allowed)
{
    Streams &streams = m_streams[allowed];
    streams.running += 1;
    streams.onTime += 1;
}

void PrefillPauses::removeStream(Duration allowed, Instant firstToken, const ObservedPauses &seen)
{
    const auto entry = m_streams.find(allowed);
    if (entry == m_streams.end()) {
        return;
    }
    Streams &streams = entry->second;
    streams.onTime -= streams.onTime / streams.running;
    streams.running -= 1;
    if (streams.running < 1) {
        m_streams.erase(entry);
    }
    updateEstimates(firstToken, seen);
}

void PrefillPauses::updateEstimates(Instant firstToken, const ObservedPauses &seen)
{
    if (seen.longest <= Duration::zero()) {
        return;
    }
    m_meanPause = m_meanPause == Duration::zero() ? seen.mean : movingAverage(m_meanPause, seen.mean, latestWeight);
    // A pause longer than the prefill has another cause.
    if (longestBurst(firstToken) < seen.longest) {
        return;
    }
    m_longest.update(seen.longest);
    m_poolLongestPause->update(seen.longest);
}

} // namespace Yokepond::Dispatch
