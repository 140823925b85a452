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

/// Number of hosts that count the crashes of one work: two, so that the count survives the loss of either.
constexpr std::size_t countingHosts = 2;
/// A run that had just begun when its endpoint crashed counts in full. A run that may have been waiting there, or had run for
/// long, counts half: it mostly shared the endpoint with the work that caused the crash, and its retries meet that work again at
/// other endpoints.
constexpr std::uint32_t fullWeight = 2;
constexpr std::uint32_t halfWeight = 1;
/// Work that completed within this time before the first crash is considered harmless. Without this rule, the requests of a class
/// that all ask for the same were refused from then on after three of nine endpoints had crashed together: 1,897 of 2,477
/// requests in the load test of this case.
constexpr Duration harmlessPeriod = std::chrono::minutes(1);
/// Duration of a quarantine. The work may run again afterwards, in case its endpoints have been repaired; one more crash then
/// quarantines it again.
constexpr Duration quarantineDuration = std::chrono::minutes(10);
/// The same for a part that was sound before, and that many prompts may share.
constexpr Duration soundPartQuarantineDuration = std::chrono::seconds(30);
/// Time for which crashes count. It is longer than a quarantine, so that earlier crashes count when the work runs again.
constexpr Duration crashRetention = quarantineDuration * 2;
/// A crashed endpoint leaves a suspicion for each of about 100 runs in its slots and queue. The limit is enough for 40 endpoints
/// that crash at a time and takes 0.4 MB; the oldest suspicions are dropped.
constexpr std::size_t maxSuspicions = 4096;
/// Five minutes at 14 requests per second, a host's share of the target load.
constexpr std::size_t maxCompleted = 4096;
/// Each entry stands for three crashed endpoints. More entries than this at a time have another cause than single requests. A
/// message with all entries takes 8 kB.
constexpr std::size_t maxEntries = 256;
/// Interval of the gossip. Hosts that missed a message, have just started or were cut off catch up within a few intervals. The
/// deployment platform gives them three seconds for it.
constexpr Duration gossipInterval = std::chrono::milliseconds(500);
/// Time for which a host that has just started, or was frozen, sends its digest even without entries, so that others reply with
/// theirs.
constexpr Duration catchUpPeriod = std::chrono::seconds(3);
/// A host that was not called for this time was frozen.
constexpr Duration frozenAfter = std::chrono::seconds(1);
/// Shortest time between two replies that contain all entries.
constexpr Duration minReplyInterval = std::chrono::milliseconds(50);

/// Work of requests that have no hash.
constexpr std::uint64_t noWork = 0;

std::uint32_t crashWeight(const Peer::RunBroke &broke)
{
    return broke.justBegan ? fullWeight : halfWeight;
}

} // namespace

Quarantine::Quarantine(std::string self, std::uint64_t seed)
    : m_self(std::move(self))
    , m_seed(seed)
{
}

void Quarantine::updateView(Instant now, const std::vector<Peer::Member> &members, std::uint32_t maxCrashes)
{
    if (m_members.empty()) {
        m_catchUpUntil = now + catchUpPeriod;
    }
    m_maxCrashes = maxCrashes;
    // Each host sends to the others in an order of its own. Every member thus receives a digest from some host soon.
    std::vector<std::pair<std::uint64_t, const Peer::Member *>> order;
    std::ranges::transform(members, std::back_inserter(order),
                           [this](const Peer::Member &member) { return std::pair(Base::hash64(member.name, m_seed), &member); });
    std::ranges::sort(order, {}, [](const auto &entry) { return entry.first; });
    m_members.clear();
    std::ranges::transform(order, std::back_inserter(m_members), [](const auto &entry) { return *entry.second; });
}

bool Quarantine::isQuarantined(std::uint64_t work) const
{
    const auto entry = m_entries.find(work);
    return m_maxCrashes > 0 && entry != m_entries.end() && entry->second.quarantined;
}

// --- Runs of this host

void Quarantine::runBroke(Instant now, std::uint64_t work, std::uint32_t endpoint, bool justBegan)
{
    if (m_maxCrashes == 0 || work == noWork) {
        return;
    }
    ++m_counters.suspected;
    const Peer::RunBroke broke {work, endpoint, justBegan};
    for (const std::string &host : Membership::selectMembers(Base::hexadecimal(work), m_members, countingHosts)) {
        if (host == m_self) {
            recordCrash(now, broke);
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
    if (m_completedOrder.size() > maxCompleted) {
        m_completed.erase(m_completedOrder.front());
        m_completedOrder.pop_front();
    }
    if (const auto entry = m_entries.find(work); entry != m_entries.end() && entry->second.quarantined) {
        clear(now, work, entry->second);
    }
}

bool Quarantine::releaseWork(Instant now, std::uint64_t work)
{
    const auto entry = m_entries.find(work);
    if (entry == m_entries.end() || !entry->second.quarantined) {
        return false;
    }
    clear(now, work, entry->second);
    return true;
}

// --- Counting of crashes

void Quarantine::receive(Instant now, const Peer::Process &, const Peer::RunBroke &broke)
{
    recordCrash(now, broke);
}

void Quarantine::recordCrash(Instant now, const Peer::RunBroke &broke)
{
    const auto [found, added] = m_suspicions.try_emplace(broke.work);
    if (added) {
        m_suspicionOrder.push_back(broke.work);
    }
    if (m_suspicionOrder.size() > maxSuspicions) {
        m_suspicions.erase(m_suspicionOrder.front());
        m_suspicionOrder.pop_front();
    }
    std::vector<Crash> &crashes = found->second.crashes;
    std::erase_if(crashes, [&](const Crash &crash) { return now - crash.at > crashRetention; });
    // Several hosts report one crash. Repeated breaks of connections to one endpoint count once as well, since the network may
    // cause them.
    const auto same = std::ranges::find(crashes, broke.endpoint, &Crash::endpoint);
    if (same == crashes.end()) {
        crashes.push_back({broke.endpoint, now, crashWeight(broke)});
    } else {
        same->weight = std::max(same->weight, crashWeight(broke));
    }
    const std::uint32_t weight = std::accumulate(crashes.begin(), crashes.end(), 0U,
                                                 [](std::uint32_t sum, const Crash &crash) { return sum + crash.weight; });
    if (weight < m_maxCrashes * fullWeight || isQuarantined(broke.work)) {
        return;
    }
    if (recentlyCompleted(broke.work, crashes.front().at)) {
        forget(broke.work);
    } else {
        std::vector<std::uint32_t> endpoints;
        std::ranges::transform(crashes, std::back_inserter(endpoints), &Crash::endpoint);
        quarantineWork(now, broke.work, crashes.front().at, endpoints);
    }
}

/// Returns whether this host has seen the work complete recently, which shows that it does not crash endpoints: they crashed
/// because of other work, or together for another reason.
bool Quarantine::recentlyCompleted(std::uint64_t work, Instant firstCrash) const
{
    const auto completed = m_completed.find(work);
    return completed != m_completed.end() && completed->second > firstCrash - harmlessPeriod;
}

/// Forgets the crashes under @p work.
void Quarantine::forget(std::uint64_t work)
{
    m_suspicions.erase(work);
    std::erase(m_suspicionOrder, work);
}

void Quarantine::quarantineWork(Instant now, std::uint64_t work, Instant firstCrash, const std::vector<std::uint32_t> &endpoints)
{
    if (work != noWork && !isQuarantined(work)) {
        quarantineEntry(now, work, firstCrash, endpoints, {}, quarantineDuration);
    }
}

void Quarantine::quarantineEntry(Instant now, std::uint64_t work, Instant firstCrash, const std::vector<std::uint32_t> &endpoints,
                                 const Peer::PromptPart &part, Duration duration)
{
    Entry &entry = m_entries[work];
    ++entry.round;
    entry.quarantined = true;
    entry.firstCrash = firstCrash;
    entry.until = now + duration;
    entry.part = part;
    ++m_counters.quarantined;
    m_newlyQuarantined.push_back(work);
    nlohmann::json fields = logFields(work, entry.round, part);
    fields["endpoints"] = endpoints;
    fields["first-s-ago"] = Base::seconds(now - firstCrash);
    fields["for-s"] = Base::seconds(duration);
    Base::log(Base::LogLevel::Warning, Base::LogEvent::WorkQuarantined, std::move(fields));
    removeExpired(now);
    sendToAll(now, work);
}

nlohmann::json Quarantine::logFields(std::uint64_t work, std::uint32_t round, const Peer::PromptPart &part)
{
    nlohmann::json fields = {{"work", Base::hexadecimal(work)}, {"round", round}};
    if (part.pool != 0) {
        fields["part"] = Base::hexadecimal(part.id);
        fields["pool"] = part.pool;
    }
    return fields;
}

// --- Parts of prompts

std::uint64_t Quarantine::keyOf(const Peer::PromptPart &part)
{
    return Base::combineHashes(part.id, part.pool);
}

void Quarantine::quarantinePart(Instant now, const Peer::PromptPart &part, Instant firstCrash,
                                const std::vector<std::uint32_t> &endpoints, bool wasSound)
{
    const std::uint64_t key = keyOf(part);
    if (!isQuarantined(key)) {
        quarantineEntry(now, key, firstCrash, endpoints, part, wasSound ? soundPartQuarantineDuration : quarantineDuration);
    }
}

std::optional<QuarantinedPart> Quarantine::quarantinedPart(std::uint64_t key) const
{
    const auto entry = m_entries.find(key);
    if (entry == m_entries.end() || !entry->second.quarantined || entry->second.part.pool == 0) {
        return std::nullopt;
    }
    return QuarantinedPart {entry->second.part, entry->second.firstCrash};
}

std::unordered_set<std::uint64_t> Quarantine::quarantinedWorks() const
{
    std::unordered_set<std::uint64_t> found;
    for (const auto &[work, entry] : m_entries) {
        if (entry.quarantined && entry.part.pool == 0) {
            found.insert(work);
        }
    }
    return found;
}

std::map<std::uint32_t, std::unordered_set<std::uint64_t>> Quarantine::quarantinedParts() const
{
    std::map<std::uint32_t, std::unordered_set<std::uint64_t>> found;
    for (const Entry &entry : m_entries | std::views::values) {
        if (entry.quarantined && entry.part.pool != 0) {
            found[entry.part.pool].insert(entry.part.id);
        }
    }
    return found;
}

void Quarantine::clear(Instant now, std::uint64_t work, Entry &entry)
{
    entry.quarantined = false;
    ++m_counters.cleared;
    forget(work);
    std::erase(m_newlyQuarantined, work);
    nlohmann::json fields = logFields(work, entry.round, entry.part);
    fields["from"] = m_self;
    Base::log(Base::LogLevel::Info, Base::LogEvent::WorkCleared, std::move(fields));
    sendToAll(now, work);
}

// --- Messages between hosts

/// Returns whether @p update replaces @p current: a later round does, and within a round a clearance replaces a quarantine.
bool Quarantine::supersedes(const Peer::QuarantineEntry &update, const Entry &current)
{
    const bool cleared = update.round == current.round && current.quarantined && !update.quarantined;
    return update.round > current.round || cleared;
}

void Quarantine::receive(Instant now, const Peer::Process &from, const Peer::QuarantineUpdate &update)
{
    std::ranges::for_each(update.entries, [&](const Peer::QuarantineEntry &entry) { applyEntry(now, from.name, entry); });
    if (update.digest != digest() && now - m_lastFullReply >= minReplyInterval) {
        m_lastFullReply = now;
        m_messages.push_back({from, allEntries(now)});
    }
}

void Quarantine::applyEntry(Instant now, const std::string &from, const Peer::QuarantineEntry &update)
{
    const auto current = m_entries.find(update.work);
    if (update.remaining <= Duration::zero() || (current != m_entries.end() && !supersedes(update, current->second))) {
        return;
    }
    Entry &entry = m_entries[update.work];
    entry = {update.round, update.quarantined, now - update.firstCrashAge, now + std::min(update.remaining, quarantineDuration),
             update.part};
    nlohmann::json fields = logFields(update.work, update.round, update.part);
    fields["from"] = from;
    if (!update.quarantined) {
        forget(update.work);
        std::erase(m_newlyQuarantined, update.work);
        Base::log(Base::LogLevel::Info, Base::LogEvent::WorkCleared, std::move(fields));
        removeExpired(now);
        return;
    }
    fields["first-s-ago"] = Base::seconds(update.firstCrashAge);
    fields["for-s"] = Base::seconds(update.remaining);
    Base::log(Base::LogLevel::Warning, Base::LogEvent::WorkQuarantined, std::move(fields));
    ++m_counters.quarantined;
    if (recentlyCompleted(update.work, entry.firstCrash)) {
        clear(now, update.work, entry);
    } else {
        m_newlyQuarantined.push_back(update.work);
    }
    removeExpired(now);
}

Peer::QuarantineEntry Quarantine::messageEntry(Instant now, std::uint64_t work, const Entry &entry) const
{
    return {work, entry.round, entry.quarantined, now - entry.firstCrash, entry.until - now, entry.part};
}

Peer::QuarantineUpdate Quarantine::allEntries(Instant now) const
{
    Peer::QuarantineUpdate update {digest(), {}};
    std::ranges::transform(m_entries, std::back_inserter(update.entries),
                           [&](const auto &entry) { return messageEntry(now, entry.first, entry.second); });
    return update;
}

std::uint64_t Quarantine::digest() const
{
    return std::accumulate(m_entries.begin(), m_entries.end(), std::uint64_t {0}, [](std::uint64_t sum, const auto &entry) {
        const std::uint64_t state = std::uint64_t {entry.second.round} * 2 + (entry.second.quarantined ? 1 : 0);
        return sum ^ Base::combineHashes(entry.first, state);
    });
}

void Quarantine::sendToAll(Instant now, std::uint64_t work)
{
    const Peer::QuarantineUpdate update {digest(), {messageEntry(now, work, m_entries.at(work))}};
    for (const Peer::Member &member : m_members) {
        if (member.name != m_self) {
            m_messages.push_back({member.name, update});
        }
    }
}

/// Sends the digest of the entries to the next member, which replies with its entries if its digest differs.
void Quarantine::sendToNextMember(Instant now)
{
    if (m_members.size() < 2) {
        return;
    }
    m_lastMember = (m_lastMember + 1) % m_members.size();
    if (m_members[m_lastMember].name == m_self) {
        m_lastMember = (m_lastMember + 1) % m_members.size();
    }
    m_messages.push_back({m_members[m_lastMember].name, Peer::QuarantineUpdate {digest(), {}}});
    m_nextGossip = now + gossipInterval;
}

void Quarantine::tick(Instant now)
{
    removeExpired(now);
    const bool wasFrozen = m_lastTick != Instant {} && now - m_lastTick > frozenAfter;
    m_lastTick = now;
    if (wasFrozen) {
        m_catchUpUntil = now + catchUpPeriod;
    }
    if (now >= m_nextGossip && (!m_entries.empty() || now < m_catchUpUntil)) {
        sendToNextMember(now);
    }
}

void Quarantine::removeExpired(Instant now)
{
    std::erase_if(m_entries, [&](const auto &entry) { return entry.second.until <= now; });
    while (m_entries.size() > maxEntries) {
        m_entries.erase(std::ranges::min_element(m_entries, {}, [](const auto &entry) { return entry.second.until; }));
    }
}

// --- Queries

std::vector<SendToMember> Quarantine::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::vector<std::uint64_t> Quarantine::takeNewlyQuarantined()
{
    return std::exchange(m_newlyQuarantined, {});
}

std::vector<QuarantineView> Quarantine::view(Instant now) const
{
    std::vector<QuarantineView> rows;
    std::ranges::transform(m_entries, std::back_inserter(rows), [&](const auto &entry) {
        const auto part = entry.second.part.pool == 0 ? std::nullopt : std::optional(entry.second.part);
        return QuarantineView {entry.first, part, entry.second.quarantined, entry.second.round, entry.second.until - now};
    });
    return rows;
}

const QuarantineCounters &Quarantine::counters() const
{
    return m_counters;
}

} // namespace Yokepond::Request
