// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/crashattribution.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <ranges>
#include <tuple>

namespace Yokepond::Request {

namespace {

using Base::Duration;
using Base::Instant;

/// A run whose response had begun counts in full against its parts. One that may have been waiting counts half.
constexpr std::uint32_t fullWeight = 2;
constexpr std::uint32_t halfWeight = 1;
/// Crashes that are reported within this time count as one. The time is longer than the connections to endpoints that are lost
/// together take to break.
constexpr Duration simultaneous = std::chrono::milliseconds(100);
/// A part that was sound shortly before is blamed for this many times as many crashes as others.
constexpr std::uint32_t crashesPerSoundPart = 3;
/// Where more other endpoints crash at the same time, it is not due to a part that was sound until then.
constexpr std::size_t maxOthersAtOnce = 1;
/// An endpoint that keeps its name has started anew, and may crash again, if it began a response to a run that was sent this long
/// after its crash. Otherwise all broken connections to it are due to one crash.
constexpr Duration shortestRestart = std::chrono::seconds(1);
/// A part is taken for sound before the crashes if a run with it went on this long before the first of them.
constexpr Duration soundPeriod = std::chrono::minutes(1);
constexpr Duration crashRetention = std::chrono::minutes(20);
/// Crashes under a part that nothing quarantined explains, from which on those that are explained count against it too. One may
/// be due to a part that has not been found yet.
constexpr std::uint32_t minUnexplained = 2;
constexpr std::size_t maxCrashesKept = 128;
constexpr std::size_t maxPartsPerCrash = 256;
constexpr std::size_t maxSoundParts = 1024;

} // namespace

void CrashAttribution::recordBroken(Instant now, const std::string &from, const Peer::PromptRunBroke &broke)
{
    const Instant sentAt = now - broke.sentAgo;
    const auto latest = std::ranges::find(m_crashes | std::views::reverse, broke.endpoint, &Crash::endpoint);
    const bool isKnown = latest != m_crashes.rend();
    const bool isBack = isKnown && broke.began && sentAt > latest->at + shortestRestart;
    Crash *const crash = isKnown && !isBack ? &*latest : &addCrash(now, broke.endpoint, from);
    crash->confirmed = crash->confirmed || !broke.pathInDoubt || crash->reportedBy != from;
    const std::uint32_t weight = broke.began ? fullWeight : halfWeight;
    for (std::size_t position = 0; position < broke.parts.size(); ++position) {
        const auto known = std::ranges::find(crash->parts, broke.parts[position], &SuspectPart::part);
        if (known != crash->parts.end()) {
            known->weight = std::max(known->weight, weight);
            known->sentAt = std::max(known->sentAt, sentAt);
        } else if (crash->parts.size() < maxPartsPerCrash) {
            const bool isWork = position + 1 == broke.parts.size();
            crash->parts.push_back({broke.parts[position], isWork ? broke.work : 0, position, weight, sentAt});
        }
    }
}

CrashAttribution::Crash &CrashAttribution::addCrash(Instant now, std::uint32_t endpoint, const std::string &from)
{
    if (m_crashes.size() >= maxCrashesKept) {
        m_crashes.pop_front();
    }
    Crash crash {endpoint, now, from, 0, false, {}};
    for (Crash &other : m_crashes) {
        if (now - other.at < simultaneous) {
            ++other.atOnce;
            ++crash.atOnce;
        }
    }
    return m_crashes.emplace_back(std::move(crash));
}

void CrashAttribution::recordSound(std::uint64_t part, Instant began)
{
    if (!m_sound.contains(part) && m_sound.size() >= maxSoundParts) {
        m_sound.erase(std::ranges::min_element(m_sound, {}, [](const auto &entry) { return entry.second; }));
    }
    Instant &known = m_sound.try_emplace(part, began).first->second;
    known = std::max(known, began);
}

std::optional<Instant> CrashAttribution::lastSound(std::uint64_t part) const
{
    const auto entry = m_sound.find(part);
    return entry == m_sound.end() ? std::nullopt : std::optional(entry->second);
}

bool CrashAttribution::isExplained(const Crash &crash, const QuarantinedIds &quarantined)
{
    return std::ranges::any_of(crash.parts, [&](const SuspectPart &suspect) {
        return suspect.work == 0 ? quarantined.parts.contains(suspect.part) : quarantined.works.contains(suspect.work);
    });
}

CrashAttribution::Charge CrashAttribution::chargeAgainst(std::uint64_t part, const QuarantinedIds &quarantined) const
{
    const auto sound = lastSound(part);
    Charge charge;
    for (const Crash &crash : m_crashes) {
        const auto suspect = std::ranges::find(crash.parts, part, &SuspectPart::part);
        if (!crash.confirmed || suspect == crash.parts.end() || (sound && crash.at <= *sound)) {
            continue;
        }
        charge.unexplained += isExplained(crash, quarantined) ? 0 : 1;
        const bool isFirst = charge.weight == 0;
        const bool wasSound = sound && *sound > crash.at - soundPeriod;
        const bool atOnce = !isFirst && crash.at < charge.last + simultaneous;
        const bool sentBefore = !isFirst && suspect->sentAt < charge.last - simultaneous;
        if (atOnce || (wasSound && (sentBefore || crash.atOnce > maxOthersAtOnce))) {
            continue;
        }
        charge.first = isFirst ? crash.at : charge.first;
        charge.last = crash.at;
        charge.wasSound = charge.wasSound || wasSound;
        charge.weight += suspect->weight;
        charge.work = suspect->work;
        charge.position = std::max(charge.position, suspect->position);
        charge.endpoints.push_back(crash.endpoint);
    }
    return charge;
}

/// Returns whether enough counts against a part to quarantine it.
bool CrashAttribution::isInFull(const Charge &charge, std::uint32_t maxCrashes)
{
    const std::uint32_t crashes = charge.wasSound ? maxCrashes * crashesPerSoundPart : maxCrashes;
    return charge.weight >= crashes * fullWeight && charge.unexplained >= std::min(minUnexplained, maxCrashes);
}

std::vector<std::uint64_t> CrashAttribution::suspects(std::uint32_t maxCrashes, const QuarantinedIds &quarantined) const
{
    // Most parts stand under one crash only, and are not worth a closer look.
    std::unordered_map<std::uint64_t, std::uint32_t> weights;
    for (const Crash &crash : m_crashes) {
        for (const SuspectPart &suspect : crash.parts) {
            weights[suspect.part] += suspect.weight;
        }
    }
    bool anyInFull = false;
    std::vector<std::pair<std::uint32_t, std::uint64_t>> charged;
    for (const auto &[part, most] : weights) {
        const Charge charge = most >= maxCrashes ? chargeAgainst(part, quarantined) : Charge {};
        if (charge.weight >= maxCrashes && charge.unexplained >= std::min(minUnexplained, maxCrashes)) {
            anyInFull = anyInFull || isInFull(charge, maxCrashes);
            charged.emplace_back(charge.weight, part);
        }
    }
    std::ranges::sort(charged, std::greater());
    std::vector<std::uint64_t> found;
    if (anyInFull) {
        std::ranges::copy(charged | std::views::values, std::back_inserter(found));
    }
    return found;
}

std::optional<BlamedPart> CrashAttribution::blame(std::uint32_t maxCrashes, const QuarantinedIds &quarantined,
                                                  const Parts &candidates) const
{
    std::optional<BlamedPart> worst;
    auto worstKey = std::tuple<Instant, std::int64_t, std::int64_t>();
    for (const std::uint64_t part : candidates) {
        Charge charge = chargeAgainst(part, quarantined);
        if (!isInFull(charge, maxCrashes)) {
            continue;
        }
        const auto sound = lastSound(part);
        const auto key
            = std::tuple(sound.value_or(Instant {}), -std::int64_t {charge.weight}, -static_cast<std::int64_t>(charge.position));
        if (!worst || key < worstKey) {
            worst = BlamedPart {part, charge.work, charge.first, std::move(charge.endpoints), charge.wasSound};
            worstKey = key;
        }
    }
    return worst;
}

void CrashAttribution::forget(std::uint64_t part)
{
    for (Crash &crash : m_crashes) {
        std::erase_if(crash.parts, [&](const SuspectPart &suspect) { return suspect.part == part; });
    }
}

void CrashAttribution::removeExpired(Instant now)
{
    while (!m_crashes.empty() && now - m_crashes.front().at > crashRetention) {
        m_crashes.pop_front();
    }
    std::erase_if(m_sound, [&](const auto &entry) { return now - entry.second > crashRetention; });
}

bool CrashAttribution::isEmpty() const
{
    return m_crashes.empty() && m_sound.empty();
}

std::size_t CrashAttribution::crashes() const
{
    return m_crashes.size();
}

} // namespace Yokepond::Request
