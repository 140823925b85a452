// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// All asks that wait at the dispatcher of a shard.

#pragma once

#include "Configuration/catalogue.h"
#include "Dispatch/order.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Yokepond::Dispatch {

/// Asks in the order of the configured policy, and asks on hold. An ask is on hold while an engine prefills a prefix of its
/// prompt, so that the others behind it can be granted. It then returns to its place in the order.
class AskQueue
{
public:
    explicit AskQueue(const Configuration::Policies &policies);

    void insert(const QueuedAsk &ask);
    std::optional<QueuedAsk> remove(const AskKey &key);

    /// Returns the ask to serve now, see OrderPolicy. Asks on hold are not served.
    std::optional<AskKey> next(Base::Instant now, Base::Duration expected);

    /// Returns whether the last ask of next() is served for the guaranteed share of its class.
    bool nextIsGuaranteed() const;

    /// Removes the ask that next() returned and accounts for it.
    std::optional<QueuedAsk> serve(const AskKey &key);

    /// Puts an ask on hold until @p until, or until the prefix @p hash has been prefilled.
    void hold(const AskKey &key, std::uint64_t hash, Base::Instant until);

    /// Returns the asks to the order whose hold has ended at @p now.
    void returnDue(Base::Instant now);

    /// Returns the asks to the order that are on hold for one of the prefixes @p hashes.
    void returnFor(std::span<const std::uint64_t> hashes);

    /// Returns the ask to evict, see OrderPolicy. It may be on hold.
    AskKey evictionCandidate(const QueuedAsk &newAsk) const;

    const QueuedAsk *find(const AskKey &key) const;
    std::size_t size() const;

    bool isHeld(const AskKey &key) const;

    /// Returns the number of asks on hold.
    std::size_t held() const;

    /// Returns the number of asks, also on hold, that are at least as urgent as @p urgency.
    std::size_t countAtLeastAsUrgent(const Configuration::Urgency &urgency) const;
    std::vector<AskKey> expired(Base::Instant now) const;
    std::vector<const QueuedAsk *> all() const;
    bool isTiered() const;

private:
    struct Held
    {
        QueuedAsk ask;
        std::uint64_t hash = 0; ///< of the prefix that it waits for
        Base::Instant until {};
    };

    template<typename Predicate>
    void returnIf(Predicate predicate);

    std::variant<FifoOrder, TieredOrder> m_order;
    std::unordered_map<AskKey, Held, AskKeyHash> m_held;
};

} // namespace Yokepond::Dispatch
