// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/quarantine.h"

#include "Base/hash.h"
#include "Base/log.h"
#include "Membership/duty.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace Yokepond::Request {

namespace {

using Base::Duration;
using Base::Instant;

/// Of the endings of one work: two, so that the count outlives the loss of either.
constexpr std::size_t countingHosts = 2;
/// What had just begun as its endpoint ended counts in full. What may have been waiting there, or had run on for long, counts
/// half: a neighbour of the guilty one is such a run in most cases, and is sent to other endpoints that the guilty one ends too.
constexpr std::uint32_t fullWeight = 2;
constexpr std::uint32_t halfWeight = 1;
/// Work that ended well so long before the first ending does not end what runs it. Without it, lookups that are all alike were
/// refused for good once three of nine engines ended together: 1,897 of 2,477 requests of the load test for this pattern.
constexpr Duration presumedHarmlessFor = std::chrono::minutes(1);
/// Work is tried again after so long, in case its endpoints have been mended: one ending more then holds it again.
constexpr Duration heldFor = std::chrono::minutes(10);
/// Longer than work is held, so that the endings before count for the try after it.
constexpr Duration endingsKept = heldFor * 2;
/// An endpoint that ends has some 100 runs, slots and queue: those of 40 endpoints at a time, in 0.4 MB. The oldest are
/// forgotten.
constexpr std::size_t mostSuspicions = 4096;
/// At 14 requests a second and host, the target's share, five minutes.
constexpr std::size_t mostCompleted = 4096;
/// Each has cost three endpoints; more than so many at a time are another matter. 8 kB on the wire.
constexpr std::size_t mostEntries = 256;
/// Hosts that missed a message, have just started or were cut off learn within a few of these; a platform gives them three
/// seconds.
constexpr Duration newsPeriod = std::chrono::milliseconds(500);
/// A host that has just started or was frozen asks for so long, though it knows of nothing.
constexpr Duration learningTime = std::chrono::seconds(3);
constexpr Duration frozenAfter = std::chrono::seconds(1);
/// Between two answers with all that is known.
constexpr Duration answerPause = std::chrono::milliseconds(50);

/// Of requests that were not told apart.
constexpr std::uint64_t noWork = 0;

std::uint32_t weightOf(const Peer::RunBroke &broke)
{
    return broke.justBegan ? fullWeight : halfWeight;
}

} // namespace

Quarantine::Quarantine(std::string self, std::uint64_t seed)
    : m_self(std::move(self))
    , m_seed(seed)
{
}

void Quarantine::updateView(Instant now, const std::vector<Peer::Member> &members, std::uint32_t mostEndings)
{
    if (m_members.empty()) {
        m_learnUntil = now + learningTime;
    }
    m_members = members;
    m_mostEndings = mostEndings;
    // Each host goes round the others in an order of its own, so that none waits long to be told by one of them.
    std::ranges::sort(m_members, {}, [this](const Peer::Member &member) { return Base::hash64(member.name, m_seed); });
}

bool Quarantine::holds(std::uint64_t work) const
{
    const auto entry = m_entries.find(work);
    return m_mostEndings > 0 && entry != m_entries.end() && entry->second.quarantined;
}

// --- What is seen here

void Quarantine::runBroke(Instant now, std::uint64_t work, std::uint32_t endpoint, bool justBegan)
{
    if (m_mostEndings == 0 || work == noWork) {
        return;
    }
    ++m_counters.suspected;
    const Peer::RunBroke broke {work, endpoint, justBegan};
    for (const std::string &host : Membership::selectMembers(Base::hexadecimal(work), m_members, countingHosts)) {
        if (host == m_self) {
            suspect(now, broke);
        } else {
            m_messages.push_back({host, broke});
        }
    }
}

void Quarantine::runCompleted(Instant now, std::uint64_t work)
{
    if (work == noWork) {
        return;
    }
    if (m_completed.insert_or_assign(work, now).second) {
        m_completedOrder.push_back(work);
    }
    if (m_completedOrder.size() > mostCompleted) {
        m_completed.erase(m_completedOrder.front());
        m_completedOrder.pop_front();
    }
    if (const auto entry = m_entries.find(work); entry != m_entries.end() && entry->second.quarantined) {
        clear(now, work, entry->second);
    }
}

bool Quarantine::release(Instant now, std::uint64_t work)
{
    const auto entry = m_entries.find(work);
    if (entry == m_entries.end() || !entry->second.quarantined) {
        return false;
    }
    clear(now, work, entry->second);
    return true;
}

// --- Counting

void Quarantine::receive(Instant now, const std::string &, const Peer::RunBroke &broke)
{
    suspect(now, broke);
}

void Quarantine::suspect(Instant now, const Peer::RunBroke &broke)
{
    const auto [found, added] = m_suspicions.try_emplace(broke.work);
    if (added) {
        m_suspicionOrder.push_back(broke.work);
    }
    if (m_suspicionOrder.size() > mostSuspicions) {
        m_suspicions.erase(m_suspicionOrder.front());
        m_suspicionOrder.pop_front();
    }
    std::vector<Ending> &endings = found->second.endings;
    std::erase_if(endings, [&](const Ending &ending) { return now - ending.at > endingsKept; });
    // Several hosts tell of one ending; and where connections to one endpoint break time and again, the way to it may be at
    // fault.
    const auto same = std::ranges::find(endings, broke.endpoint, &Ending::endpoint);
    if (same == endings.end()) {
        endings.push_back({broke.endpoint, now, weightOf(broke)});
    } else {
        same->weight = std::max(same->weight, weightOf(broke));
    }
    const std::uint32_t weight = std::accumulate(endings.begin(), endings.end(), 0U,
                                                 [](std::uint32_t sum, const Ending &ending) { return sum + ending.weight; });
    if (weight < m_mostEndings * fullWeight || holds(broke.work)) {
        return;
    }
    if (endsWell(broke.work, endings.front().at)) {
        forget(broke.work);
    } else {
        hold(now, broke.work, found->second);
    }
}

/// Whether it was seen here that the work does not end what runs it: it was beside what does, or endpoints ended together.
bool Quarantine::endsWell(std::uint64_t work, Instant firstEnding) const
{
    const auto completed = m_completed.find(work);
    return completed != m_completed.end() && completed->second > firstEnding - presumedHarmlessFor;
}

void Quarantine::forget(std::uint64_t work)
{
    m_suspicions.erase(work);
    std::erase(m_suspicionOrder, work);
}

void Quarantine::hold(Instant now, std::uint64_t work, const Suspicion &suspicion)
{
    Entry &entry = m_entries[work];
    ++entry.round;
    entry.quarantined = true;
    entry.firstEnding = suspicion.endings.front().at;
    entry.until = now + heldFor;
    ++m_counters.quarantined;
    m_newlyHeld.push_back(work);
    std::vector<std::uint32_t> endpoints;
    std::ranges::transform(suspicion.endings, std::back_inserter(endpoints), &Ending::endpoint);
    Base::log(Base::LogLevel::Warning, Base::LogEvent::WorkQuarantined,
              {{"work", Base::hexadecimal(work)},
               {"round", entry.round},
               {"endpoints", endpoints},
               {"first-s-ago", Base::seconds(now - entry.firstEnding)},
               {"for-s", Base::seconds(heldFor)}});
    dropOld(now);
    tellAll(now, work);
}

void Quarantine::clear(Instant now, std::uint64_t work, Entry &entry)
{
    entry.quarantined = false;
    ++m_counters.cleared;
    forget(work);
    std::erase(m_newlyHeld, work);
    Base::log(Base::LogLevel::Info, Base::LogEvent::WorkCleared,
              {{"work", Base::hexadecimal(work)}, {"round", entry.round}, {"from", m_self}});
    tellAll(now, work);
}

// --- What hosts tell each other

bool Quarantine::supersedes(const Peer::QuarantineEntry &news, const Entry &known)
{
    const bool cleared = news.round == known.round && known.quarantined && !news.quarantined;
    return news.round > known.round || cleared;
}

void Quarantine::receive(Instant now, const std::string &from, const Peer::QuarantineUpdate &news)
{
    std::ranges::for_each(news.entries, [&](const Peer::QuarantineEntry &entry) { take(now, from, entry); });
    if (news.digest != digest() && now - m_lastAnswer >= answerPause) {
        m_lastAnswer = now;
        m_messages.push_back({from, everything(now)});
    }
}

void Quarantine::take(Instant now, const std::string &from, const Peer::QuarantineEntry &news)
{
    const auto known = m_entries.find(news.work);
    if (news.remaining <= Duration::zero() || (known != m_entries.end() && !supersedes(news, known->second))) {
        return;
    }
    Entry &entry = m_entries[news.work];
    entry = {news.round, news.quarantined, now - news.firstCrashAge, now + std::min(news.remaining, heldFor)};
    if (!news.quarantined) {
        forget(news.work);
        std::erase(m_newlyHeld, news.work);
        Base::log(Base::LogLevel::Info, Base::LogEvent::WorkCleared,
                  {{"work", Base::hexadecimal(news.work)}, {"round", news.round}, {"from", from}});
        dropOld(now);
        return;
    }
    Base::log(Base::LogLevel::Warning, Base::LogEvent::WorkQuarantined,
              {{"work", Base::hexadecimal(news.work)},
               {"round", news.round},
               {"from", from},
               {"first-s-ago", Base::seconds(news.firstCrashAge)},
               {"for-s", Base::seconds(news.remaining)}});
    ++m_counters.quarantined;
    if (endsWell(news.work, entry.firstEnding)) {
        clear(now, news.work, entry);
    } else {
        m_newlyHeld.push_back(news.work);
    }
    dropOld(now);
}

Peer::QuarantineEntry Quarantine::describe(Instant now, std::uint64_t work, const Entry &entry) const
{
    return {work, entry.round, entry.quarantined, now - entry.firstEnding, entry.until - now};
}

Peer::QuarantineUpdate Quarantine::everything(Instant now) const
{
    Peer::QuarantineUpdate news {digest(), {}};
    std::ranges::transform(m_entries, std::back_inserter(news.entries),
                           [&](const auto &entry) { return describe(now, entry.first, entry.second); });
    return news;
}

std::uint64_t Quarantine::digest() const
{
    return std::accumulate(m_entries.begin(), m_entries.end(), std::uint64_t {0}, [](std::uint64_t sum, const auto &entry) {
        const std::uint64_t state = std::uint64_t {entry.second.round} * 2 + (entry.second.quarantined ? 1 : 0);
        return sum ^ Base::combineHashes(entry.first, state);
    });
}

void Quarantine::tellAll(Instant now, std::uint64_t work)
{
    const Peer::QuarantineUpdate news {digest(), {describe(now, work, m_entries.at(work))}};
    for (const Peer::Member &member : m_members) {
        if (member.name != m_self) {
            m_messages.push_back({member.name, news});
        }
    }
}

void Quarantine::tellNext(Instant now)
{
    if (m_members.size() < 2) {
        return;
    }
    m_nextMember = (m_nextMember + 1) % m_members.size();
    if (m_members[m_nextMember].name == m_self) {
        m_nextMember = (m_nextMember + 1) % m_members.size();
    }
    m_messages.push_back({m_members[m_nextMember].name, Peer::QuarantineUpdate {digest(), {}}});
    m_nextNews = now + newsPeriod;
}

void Quarantine::tick(Instant now)
{
    dropOld(now);
    const bool wasFrozen = m_lastTick != Instant {} && now - m_lastTick > frozenAfter;
    m_lastTick = now;
    if (wasFrozen) {
        m_learnUntil = now + learningTime;
    }
    if (now >= m_nextNews && (!m_entries.empty() || now < m_learnUntil)) {
        tellNext(now);
    }
}

void Quarantine::dropOld(Instant now)
{
    std::erase_if(m_entries, [&](const auto &entry) { return entry.second.until <= now; });
    while (m_entries.size() > mostEntries) {
        m_entries.erase(std::ranges::min_element(m_entries, {}, [](const auto &entry) { return entry.second.until; }));
    }
}

// --- What is asked

std::vector<SendToMember> Quarantine::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::vector<std::uint64_t> Quarantine::takeHeld()
{
    return std::exchange(m_newlyHeld, {});
}

std::vector<QuarantineView> Quarantine::view(Instant now) const
{
    std::vector<QuarantineView> rows;
    std::ranges::transform(m_entries, std::back_inserter(rows), [&](const auto &entry) {
        return QuarantineView {entry.first, entry.second.quarantined, entry.second.round, entry.second.until - now};
    });
    return rows;
}

const QuarantineCounters &Quarantine::counters() const
{
    return m_counters;
}

} // namespace Yokepond::Request
