// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/partsuspicions.h"

#include "Base/hash.h"
#include "Base/log.h"
#include "Membership/duty.h"

#include <fmt/format.h>

#include <algorithm>
#include <ranges>

namespace Yokepond::Request {

namespace {

using Base::Duration;
using Base::Instant;

/// Number of hosts that count the crashes of one pool: two, so that the count survives the loss of either.
constexpr std::size_t countingHosts = 2;
/// How long replies to an inquiry are awaited: a round trip between regions, and the pause of a host whose processor quota is
/// used up.
constexpr Duration inquiryTime = std::chrono::milliseconds(200);
/// Shortest time between two inquiries after parts of one pool. Each costs a message to every host.
constexpr Duration inquiryInterval = std::chrono::milliseconds(500);
constexpr std::size_t maxPartsPerInquiry = 32;

std::string dutyName(std::uint32_t pool)
{
    return fmt::format("crashes of pool {}", pool);
}

} // namespace

PartSuspicions::PartSuspicions(std::string self)
    : m_self(std::move(self))
{
}

void PartSuspicions::updateView(const std::vector<Peer::Member> &members, std::uint32_t maxCrashes)
{
    m_members = members;
    m_maxCrashes = maxCrashes;
}

bool PartSuspicions::isEnabled() const
{
    return m_maxCrashes > 0;
}

bool PartSuspicions::countsCrashes() const
{
    return !m_pools.empty();
}

// --- Runs of this host

void PartSuspicions::runBroke(Instant now, const Peer::PromptRunBroke &broke)
{
    if (!isEnabled()) {
        return;
    }
    ++m_counters.reported;
    for (const std::string &host : Membership::selectMembers(dutyName(broke.pool), m_members, countingHosts)) {
        if (host == m_self) {
            receive(now, m_self, broke);
        } else {
            m_messages.push_back({host, broke});
        }
    }
}

void PartSuspicions::runWentOn(std::uint32_t pool, const std::vector<std::uint64_t> &parts, Instant began)
{
    if (isEnabled()) {
        m_soundParts.record(pool, parts, began);
    }
}

bool PartSuspicions::wasSoundSince(const Peer::PromptPart &part, Instant since) const
{
    const auto began = m_soundParts.lastBegan(part);
    return began && *began > since;
}

// --- Counting of crashes

void PartSuspicions::receive(Instant now, const Peer::Process &from, const Peer::PromptRunBroke &broke)
{
    if (isEnabled()) {
        Pool &pool = m_pools[broke.pool];
        pool.attribution.recordBroken(now, from.name, broke);
        pool.changed = true;
    }
}

void PartSuspicions::setQuarantined(std::map<std::uint32_t, CrashAttribution::Parts> parts, CrashAttribution::Parts works)
{
    m_quarantinedParts = std::move(parts);
    m_quarantinedWorks = std::move(works);
}

QuarantinedIds PartSuspicions::quarantinedIds(std::uint32_t pool) const
{
    const auto entry = m_quarantinedParts.find(pool);
    return {entry == m_quarantinedParts.end() ? CrashAttribution::Parts {} : entry->second, m_quarantinedWorks};
}

void PartSuspicions::forget(const Peer::PromptPart &part)
{
    if (const auto pool = m_pools.find(part.pool); pool != m_pools.end()) {
        pool->second.attribution.forget(part.id);
    }
}

void PartSuspicions::tick(Instant now)
{
    for (auto &[number, pool] : m_pools) {
        pool.attribution.removeExpired(now);
        if (!pool.asked.empty() && now >= pool.askedAt + inquiryTime) {
            endInquiry(now, number, pool);
        }
        if (pool.asked.empty() && pool.changed && now >= pool.nextInquiry) {
            beginInquiry(now, number, pool);
        }
    }
    std::erase_if(m_pools, [](const auto &entry) { return entry.second.attribution.isEmpty(); });
}

void PartSuspicions::beginInquiry(Instant now, std::uint32_t number, Pool &pool)
{
    pool.changed = false;
    Peer::SoundPartsQuery query {number, pool.attribution.suspects(m_maxCrashes, quarantinedIds(number))};
    if (query.parts.empty()) {
        return;
    }
    query.parts.resize(std::min(query.parts.size(), maxPartsPerInquiry));
    ++m_counters.inquiries;
    pool.asked = {query.parts.begin(), query.parts.end()};
    pool.askedAt = now;
    pool.nextInquiry = now + inquiryInterval;
    for (const Peer::Member &member : m_members) {
        if (member.name != m_self) {
            m_messages.push_back({member.name, query});
        }
    }
    receive(now, m_self, Peer::SoundPartsReply {number, soundParts(now, query)});
}

void PartSuspicions::endInquiry(Instant now, std::uint32_t number, Pool &pool)
{
    const CrashAttribution::Parts asked = std::exchange(pool.asked, {});
    QuarantinedIds quarantined = quarantinedIds(number);
    std::size_t found = 0;
    while (auto blame = pool.attribution.blame(m_maxCrashes, quarantined, asked)) {
        (blame->work == 0 ? quarantined.parts : quarantined.works).insert(blame->work == 0 ? blame->part : blame->work);
        ++m_counters.blamed;
        ++found;
        m_verdicts.push_back({{number, blame->part}, std::move(*blame)});
    }
    std::vector<std::string> parts;
    std::ranges::transform(asked, std::back_inserter(parts), [](std::uint64_t part) { return Base::hexadecimal(part); });
    std::ranges::sort(parts);
    Base::log(Base::LogLevel::Info, Base::LogEvent::PartsSuspected,
              {{"pool", number},
               {"parts", parts},
               {"crashes", pool.attribution.crashes()},
               {"hosts-asked", m_members.empty() ? 0 : m_members.size() - 1},
               {"blamed", found},
               {"ms", Base::milliseconds(now - pool.askedAt)}});
}

// --- Inquiries

std::vector<Peer::SoundPart> PartSuspicions::soundParts(Instant now, const Peer::SoundPartsQuery &query) const
{
    std::vector<Peer::SoundPart> found;
    for (const std::uint64_t part : query.parts) {
        if (const auto began = m_soundParts.lastBegan({query.pool, part})) {
            found.push_back({part, now - *began});
        }
    }
    return found;
}

void PartSuspicions::receive(Instant now, const Peer::Process &from, const Peer::SoundPartsQuery &query)
{
    Peer::SoundPartsReply reply {query.pool, soundParts(now, query)};
    if (!reply.parts.empty()) {
        m_messages.push_back({from, std::move(reply)});
    }
}

void PartSuspicions::receive(Instant now, const Peer::Process &, const Peer::SoundPartsReply &reply)
{
    const auto pool = m_pools.find(reply.pool);
    if (pool == m_pools.end()) {
        return;
    }
    for (const Peer::SoundPart &sound : reply.parts) {
        pool->second.attribution.recordSound(sound.part, now - sound.ago);
    }
}

std::vector<SendToMember> PartSuspicions::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::vector<PartVerdict> PartSuspicions::takeVerdicts()
{
    return std::exchange(m_verdicts, {});
}

const PartSuspicionCounters &PartSuspicions::counters() const
{
    return m_counters;
}

} // namespace Yokepond::Request
