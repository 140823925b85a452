// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/askqueue.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace Yokepond::Dispatch {

namespace {

std::variant<FifoOrder, TieredOrder> makeOrder(const Configuration::Policies &policies)
{
    constexpr double percent = 100.0;
    if (policies.order == Configuration::OrderPolicy::Fifo) {
        return FifoOrder();
    }
    return TieredOrder(policies.guaranteedPercent / percent);
}

/// Returns whether @p ask is less urgent than @p other, or as urgent and has the nearer deadline.
bool isEvictedBefore(const QueuedAsk &ask, const QueuedAsk &other)
{
    return std::pair(other.parameters.urgency, ask.deadline) < std::pair(ask.parameters.urgency, other.deadline);
}

} // namespace

AskQueue::AskQueue(const Configuration::Policies &policies)
    : m_order(makeOrder(policies))
{
}

void AskQueue::insert(const QueuedAsk &ask)
{
    std::visit([&](auto &order) { order.insert(ask); }, m_order);
}

std::optional<QueuedAsk> AskQueue::remove(const AskKey &key)
{
    if (const auto held = m_held.find(key); held != m_held.end()) {
        std::optional<QueuedAsk> ask(std::move(held->second.ask));
        m_held.erase(held);
        return ask;
    }
    return std::visit([&](auto &order) { return order.remove(key); }, m_order);
}

std::optional<AskKey> AskQueue::next(Base::Instant now, Base::Duration expected)
{
    return std::visit([&](auto &order) { return order.next(now, expected); }, m_order);
}

bool AskQueue::nextIsGuaranteed() const
{
    const auto *tiered = std::get_if<TieredOrder>(&m_order);
    return tiered != nullptr && tiered->nextIsGuaranteed();
}

std::optional<QueuedAsk> AskQueue::serve(const AskKey &key)
{
    return std::visit([&](auto &order) { return order.serve(key); }, m_order);
}

void AskQueue::hold(const AskKey &key, std::uint64_t hash, Base::Instant until)
{
    if (auto ask = std::visit([&](auto &order) { return order.remove(key); }, m_order)) {
        m_held.emplace(key, Held {std::move(*ask), hash, until});
    }
}

template<typename Predicate>
void AskQueue::returnIf(Predicate predicate)
{
    std::erase_if(m_held, [&](const auto &entry) {
        const bool returns = predicate(entry.second);
        if (returns) {
            insert(entry.second.ask);
        }
        return returns;
    });
}

void AskQueue::returnDue(Base::Instant now)
{
    returnIf([&](const Held &held) { return held.until <= now; });
}

void AskQueue::returnFor(std::span<const std::uint64_t> hashes)
{
    returnIf([&](const Held &held) { return std::ranges::find(hashes, held.hash) != hashes.end(); });
}

AskKey AskQueue::evictionCandidate(const QueuedAsk &newAsk) const
{
    const AskKey ofOrder = std::visit([&](const auto &order) { return order.evictionCandidate(newAsk); }, m_order);
    if (!isTiered()) {
        return ofOrder;
    }
    const QueuedAsk *candidate = ofOrder == newAsk.key ? &newAsk : find(ofOrder);
    for (const Held &held : m_held | std::views::values) {
        if (isEvictedBefore(held.ask, *candidate)) {
            candidate = &held.ask;
        }
    }
    return candidate->key;
}

bool AskQueue::isHeld(const AskKey &key) const
{
    return m_held.contains(key);
}

const QueuedAsk *AskQueue::find(const AskKey &key) const
{
    const auto held = m_held.find(key);
    return held != m_held.end() ? &held->second.ask : std::visit([&](const auto &order) { return order.find(key); }, m_order);
}

std::size_t AskQueue::size() const
{
    return m_held.size() + std::visit([](const auto &order) { return order.size(); }, m_order);
}

std::size_t AskQueue::held() const
{
    return m_held.size();
}

std::size_t AskQueue::countAtLeastAsUrgent(const Configuration::Urgency &urgency) const
{
    const auto isAsUrgent = [&](const Held &held) { return held.ask.parameters.urgency <= urgency; };
    return static_cast<std::size_t>(std::ranges::count_if(m_held | std::views::values, isAsUrgent))
        + std::visit([&](const auto &order) { return order.countAtLeastAsUrgent(urgency); }, m_order);
}

std::vector<AskKey> AskQueue::expired(Base::Instant now) const
{
    std::vector<AskKey> keys = std::visit([&](const auto &order) { return order.expired(now); }, m_order);
    for (const auto &[key, held] : m_held) {
        if (held.ask.deadline <= now) {
            keys.push_back(key);
        }
    }
    return keys;
}

std::vector<const QueuedAsk *> AskQueue::all() const
{
    std::vector<const QueuedAsk *> asks = std::visit([](const auto &order) { return order.all(); }, m_order);
    std::ranges::transform(m_held | std::views::values, std::back_inserter(asks), [](const Held &held) { return &held.ask; });
    return asks;
}

bool AskQueue::isTiered() const
{
    return std::holds_alternative<TieredOrder>(m_order);
}

} // namespace Yokepond::Dispatch
