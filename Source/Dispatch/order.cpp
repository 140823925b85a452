// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/order.h"

#include "Base/hash.h"

#include <algorithm>
#include <array>
#include <ranges>

namespace Yokepond::Dispatch {

namespace {

constexpr double promptTokensPerUnit = 512.0;
constexpr std::size_t maxOrganisationsChecked = 16;

/// Returns the cost that is charged to the organisation for an ask: one unit, plus an amount in proportion to the prompt.
double cost(const QueuedAsk &ask)
{
    return 1.0 + static_cast<double>(ask.ask.promptTokens) / promptTokensPerUnit;
}

/// Returns the earliest arrival for which the target can still be met if the run starts now.
Base::Instant oldestOnTime(const ClassParameters &parameters, Base::Instant now, Base::Duration expected)
{
    return now + expected - parameters.firstToken;
}

} // namespace

std::size_t AskKeyHash::operator()(const AskKey &key) const
{
    // Unlike Abseil's hash, this one is the same in every process, so that a seeded test run can be repeated.
    const std::array<std::uint64_t, 2> words = {key.home, key.id.request};
    return Base::hash64({reinterpret_cast<const char *>(words.data()), sizeof words}, key.id.attempt);
}

// --- FifoOrder

void FifoOrder::insert(const QueuedAsk &ask)
{
    remove(ask.key);
    m_asks.emplace(ask.key, ask);
    m_byArrival.emplace(ask.arrival, ask.key);
}

std::optional<QueuedAsk> FifoOrder::remove(AskKey key)
{
    const auto entry = m_asks.find(key);
    if (entry == m_asks.end()) {
        return std::nullopt;
    }
    QueuedAsk ask = std::move(entry->second);
    m_asks.erase(entry);
    m_byArrival.erase({ask.arrival, key});
    return ask;
}

std::optional<AskKey> FifoOrder::next(Base::Instant, Base::Duration) const
{
    return m_byArrival.empty() ? std::nullopt : std::optional(m_byArrival.begin()->second);
}

std::optional<QueuedAsk> FifoOrder::serve(AskKey key)
{
    return remove(key);
}

AskKey FifoOrder::evictionCandidate(const QueuedAsk &newAsk) const
{
    return newAsk.key;
}

const QueuedAsk *FifoOrder::find(AskKey key) const
{
    const auto entry = m_asks.find(key);
    return entry == m_asks.end() ? nullptr : &entry->second;
}

std::size_t FifoOrder::size() const
{
    return m_asks.size();
}

std::size_t FifoOrder::countAtLeastAsUrgent(const Configuration::Urgency &) const
{
    return m_asks.size();
}

std::vector<AskKey> FifoOrder::expired(Base::Instant now) const
{
    std::vector<AskKey> keys;
    for (const auto &[key, ask] : m_asks) {
        if (ask.deadline <= now) {
            keys.push_back(key);
        }
    }
    return keys;
}

std::vector<const QueuedAsk *> FifoOrder::all() const
{
    std::vector<const QueuedAsk *> asks;
    std::ranges::transform(m_asks | std::views::values, std::back_inserter(asks), [](const QueuedAsk &ask) { return &ask; });
    return asks;
}

// --- TieredOrder

TieredOrder::TieredOrder(double guaranteedShare)
    : m_guaranteedShare(guaranteedShare)
{
}

void TieredOrder::insert(const QueuedAsk &ask)
{
    remove(ask.key);
    m_asks.emplace(ask.key, ask);
    UrgencyGroup &group = m_groups[ask.parameters.urgency];
    group.byDeadline.emplace(ask.deadline, ask.key);
    ClassQueue &queue = group.classes[ask.parameters.number];
    queue.parameters = ask.parameters;
    queue.byArrival.emplace(ask.arrival, ask.key);
    OrganisationQueue &organisation = queue.organisations[ask.ask.organisation];
    organisation.weight = ask.weight;
    if (organisation.byArrival.empty()) {
        // An organisation without queued asks does not accumulate credit for that time.
        organisation.virtualTime = std::max(organisation.virtualTime, queue.virtualTime);
        queue.active.emplace(organisation.virtualTime, ask.ask.organisation);
    }
    organisation.byArrival.emplace(ask.arrival, ask.key);
}

std::optional<QueuedAsk> TieredOrder::remove(AskKey key)
{
    const auto entry = m_asks.find(key);
    if (entry == m_asks.end()) {
        return std::nullopt;
    }
    QueuedAsk ask = std::move(entry->second);
    m_asks.erase(entry);
    UrgencyGroup &group = m_groups.at(ask.parameters.urgency);
    group.byDeadline.erase({ask.deadline, key});
    ClassQueue &queue = group.classes.at(ask.parameters.number);
    queue.byArrival.erase({ask.arrival, key});
    OrganisationQueue &organisation = queue.organisations.at(ask.ask.organisation);
    organisation.byArrival.erase({ask.arrival, key});
    if (organisation.byArrival.empty()) {
        queue.active.erase({organisation.virtualTime, ask.ask.organisation});
    }
    return ask;
}

const TieredOrder::ClassQueue *TieredOrder::overdueClass(Base::Instant now) const
{
    const ClassQueue *found = nullptr;
    double longest = 1.0;
    for (const UrgencyGroup &group : m_groups | std::views::values) {
        for (const ClassQueue &queue : group.classes | std::views::values) {
            if (queue.byArrival.empty()) {
                continue;
            }
            const double waited
                = Base::seconds(now - queue.byArrival.begin()->first) / Base::seconds(queue.parameters.starvationBound);
            if (waited >= longest) {
                longest = waited;
                found = &queue;
            }
        }
    }
    return found;
}

const TieredOrder::ClassQueue *TieredOrder::classWithMinSlack(const UrgencyGroup &group, Base::Instant now,
                                                              Base::Duration expected)
{
    const ClassQueue *best = nullptr;
    std::pair<bool, Base::Instant> bestRank;
    for (const ClassQueue &queue : group.classes | std::views::values) {
        if (queue.byArrival.empty()) {
            continue;
        }
        auto first = queue.byArrival.lower_bound({oldestOnTime(queue.parameters, now, expected), AskKey {}});
        const bool late = first == queue.byArrival.end();
        if (late) {
            first = queue.byArrival.begin();
        }
        const std::pair<bool, Base::Instant> rank {late, first->first + queue.parameters.firstToken};
        if (best == nullptr || rank < bestRank) {
            best = &queue;
            bestRank = rank;
        }
    }
    return best;
}

AskKey TieredOrder::nextByFairness(const ClassQueue &queue, Base::Instant now, Base::Duration expected)
{
    const Base::Instant bound = oldestOnTime(queue.parameters, now, expected);
    for (const auto &[virtualTime, number] : queue.active | std::views::take(maxOrganisationsChecked)) {
        const ByTime &asks = queue.organisations.at(number).byArrival;
        const auto onTime = asks.lower_bound({bound, AskKey {}});
        if (onTime != asks.end()) {
            return onTime->second;
        }
    }
    return queue.organisations.at(queue.active.begin()->second).byArrival.begin()->second;
}

std::optional<AskKey> TieredOrder::next(Base::Instant now, Base::Duration expected)
{
    m_nextIsOverdue = false;
    if (m_asks.empty()) {
        return std::nullopt;
    }
    const ClassQueue *overdue = overdueClass(now);
    if (overdue != nullptr && m_overdueCredit >= 1.0) {
        m_nextIsOverdue = true;
        return overdue->byArrival.begin()->second;
    }
    if (overdue == nullptr) {
        m_overdueCredit = 0;
    }
    const auto group = std::ranges::find_if(m_groups, [](const auto &entry) { return !entry.second.byDeadline.empty(); });
    return nextByFairness(*classWithMinSlack(group->second, now, expected), now, expected);
}

bool TieredOrder::nextIsGuaranteed() const
{
    return m_nextIsOverdue;
}

std::optional<QueuedAsk> TieredOrder::serve(AskKey key)
{
    auto ask = remove(key);
    if (!ask) {
        return std::nullopt;
    }
    m_overdueCredit = std::min(m_overdueCredit + m_guaranteedShare, 1.0);
    if (m_nextIsOverdue) {
        m_overdueCredit = 0;
        m_nextIsOverdue = false;
    }
    charge(m_groups.at(ask->parameters.urgency).classes.at(ask->parameters.number), *ask);
    return ask;
}

void TieredOrder::charge(ClassQueue &queue, const QueuedAsk &ask)
{
    OrganisationQueue &organisation = queue.organisations.at(ask.ask.organisation);
    const bool waiting = !organisation.byArrival.empty();
    if (waiting) {
        queue.active.erase({organisation.virtualTime, ask.ask.organisation});
    }
    queue.virtualTime = std::max(queue.virtualTime, organisation.virtualTime);
    organisation.virtualTime += cost(ask) / organisation.weight;
    if (waiting) {
        queue.active.emplace(organisation.virtualTime, ask.ask.organisation);
    }
}

AskKey TieredOrder::evictionCandidate(const QueuedAsk &newAsk) const
{
    const auto leastUrgent
        = std::find_if(m_groups.rbegin(), m_groups.rend(), [](const auto &entry) { return !entry.second.byDeadline.empty(); });
    if (leastUrgent == m_groups.rend() || newAsk.parameters.urgency > leastUrgent->first) {
        return newAsk.key;
    }
    const auto &[deadline, key] = *leastUrgent->second.byDeadline.begin();
    const bool isAsUrgent = newAsk.parameters.urgency == leastUrgent->first;
    return isAsUrgent && newAsk.deadline < deadline ? newAsk.key : key;
}

const QueuedAsk *TieredOrder::find(AskKey key) const
{
    const auto entry = m_asks.find(key);
    return entry == m_asks.end() ? nullptr : &entry->second;
}

std::size_t TieredOrder::size() const
{
    return m_asks.size();
}

std::size_t TieredOrder::countAtLeastAsUrgent(const Configuration::Urgency &urgency) const
{
    std::size_t count = 0;
    for (const auto &[groupUrgency, group] : m_groups) {
        count += groupUrgency <= urgency ? group.byDeadline.size() : 0;
    }
    return count;
}

std::vector<AskKey> TieredOrder::expired(Base::Instant now) const
{
    std::vector<AskKey> keys;
    for (const UrgencyGroup &group : m_groups | std::views::values) {
        const auto end = std::ranges::find_if(group.byDeadline, [&](const auto &entry) { return entry.first > now; });
        std::transform(group.byDeadline.begin(), end, std::back_inserter(keys), [](const auto &entry) { return entry.second; });
    }
    return keys;
}

std::vector<const QueuedAsk *> TieredOrder::all() const
{
    std::vector<const QueuedAsk *> asks;
    std::ranges::transform(m_asks | std::views::values, std::back_inserter(asks), [](const QueuedAsk &ask) { return &ask; });
    return asks;
}

} // namespace Yokepond::Dispatch
