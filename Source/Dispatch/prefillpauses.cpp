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

/// Pauses are expected to within this part of what is allowed: below it a stream is in time, above its mirror image late.
constexpr double uncertainty = 0.2;
/// An engine is taken to read on as it did for so long, so that those with long reads stay apart from tight streams between two
/// such reads. Where answers take 2.6 s, mean worth was 0.701 with 2 s, 0.707 with 4 s and 0.709 with 8 s (trials of 10, 15 and
/// 15 days); a memory longer than needed finds no engine without long reads.
constexpr Duration recentPeriod = std::chrono::seconds(4);
/// Longer ago than any run that is still under way began.
constexpr Duration burstRetention = std::chrono::seconds(30);
/// Of the latest run, in what is learned. The longest pause follows what is longer fifty times faster than what is shorter, so
/// that it stays near the longest of fifty runs: most do not meet the whole of what the engine reads.
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

double PrefillPauses::expectedNewlyLate(Duration before, Duration after) const
{
    double sum = 0;
    for (const auto &[allowed, streams] : m_streams) {
        sum += streams.onTime * std::max(0.0, lateProbabilityFor(after, allowed) - lateProbabilityFor(before, allowed));
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

void PrefillPauses::recordPrefill(Instant now, Duration before, Duration after)
{
    for (auto &[allowed, streams] : m_streams) {
        streams.onTime *= 1.0 - std::max(0.0, lateProbabilityFor(after, allowed) - lateProbabilityFor(before, allowed));
    }
    while (!m_bursts.empty() && m_bursts.back().length <= after) {
        m_bursts.pop_back();
    }
    m_bursts.push_back({now, after});
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
    // A pause as long as the engine read tells nothing of how long one can get, and a longer one has another cause.
    if (longestBurst(firstToken) < seen.longest) {
        return;
    }
    m_longest.update(seen.longest);
    m_poolLongestPause->update(seen.longest);
}

} // namespace Yokepond::Dispatch
