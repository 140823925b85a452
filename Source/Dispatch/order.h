// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Queue disciplines for asks: the order in which they are served, and the ask that is evicted when the queue is full.

#pragma once

#include "Dispatch/queuedask.h"

#include <concepts>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Yokepond::Dispatch {

/// A queue of asks. next() returns the key of the ask to serve without removing it; serve() removes an ask that is granted and
/// accounts for it; insert() and remove() account for nothing.
template<typename T>
concept OrderPolicy
    = requires(T order, const T &constant, const QueuedAsk &ask, AskKey key, Base::Instant now, Base::Duration expected) {
          order.insert(ask);
          {
              order.remove(key)
          } -> std::same_as<std::optional<QueuedAsk>>;
          {
              order.next(now, expected)
          } -> std::same_as<std::optional<AskKey>>;
          {
              order.serve(key)
          } -> std::same_as<std::optional<QueuedAsk>>;
          {
              constant.evictionCandidate(ask)
          } -> std::same_as<AskKey>;
          {
              constant.find(key)
          } -> std::same_as<const QueuedAsk *>;
          {
              constant.size()
          } -> std::same_as<std::size_t>;
          {
              constant.countAtLeastAsUrgent(Configuration::Urgency {})
          } -> std::same_as<std::size_t>;
          {
              constant.expired(now)
          } -> std::same_as<std::vector<AskKey>>;
          {
              constant.all()
          } -> std::same_as<std::vector<const QueuedAsk *>>;
      };

struct AskKeyHash
{
    std::size_t operator()(const AskKey &key) const;
};

/// Baseline policy that serves asks strictly by arrival. When the queue is full, the new ask is refused.
class FifoOrder
{
public:
    void insert(const QueuedAsk &ask);
    std::optional<QueuedAsk> remove(AskKey key);
    std::optional<AskKey> next(Base::Instant now, Base::Duration expected) const;
    std::optional<QueuedAsk> serve(AskKey key);
    AskKey evictionCandidate(const QueuedAsk &newAsk) const;
    const QueuedAsk *find(AskKey key) const;
    std::size_t size() const;
    std::size_t countAtLeastAsUrgent(const Configuration::Urgency &urgency) const;
    std::vector<AskKey> expired(Base::Instant now) const;
    std::vector<const QueuedAsk *> all() const;

private:
    std::unordered_map<AskKey, QueuedAsk, AskKeyHash> m_asks;
    std::set<std::pair<Base::Instant, AskKey>> m_byArrival;
};

/// Serves the most urgent asks first. Among equally urgent ones it serves the class with the least slack to its first-token
/// target, and asks that can still meet the target before late ones. Within a class it shares among organisations by weight
/// (start-time fair queueing), and it serves the asks of an organisation by arrival.
///
/// A class whose oldest ask has waited longer than the starvation bound gets a guaranteed share of the served asks. This share
/// affects the order only, not which ask is evicted.
class TieredOrder
{
public:
    /// @p guaranteedShare is the share of served asks, from 0 to 1, that goes to classes past their starvation bound.
    explicit TieredOrder(double guaranteedShare = 0.05);

    void insert(const QueuedAsk &ask);
    std::optional<QueuedAsk> remove(AskKey key);

    /// Returns the ask to serve now, or nothing if the queue is empty. @p expected is the expected time from the start of a run
    /// to its first token.
    std::optional<AskKey> next(Base::Instant now, Base::Duration expected);

    /// Returns whether the last ask of next() is of a class past its starvation bound and is served for its guaranteed share.
    bool nextIsGuaranteed() const;

    /// Removes the ask that next() returned and charges its class and organisation for it.
    std::optional<QueuedAsk> serve(AskKey key);

    /// Returns the ask to evict, which may be @p newAsk: the one with the nearest deadline among the least urgent ones.
    AskKey evictionCandidate(const QueuedAsk &newAsk) const;

    const QueuedAsk *find(AskKey key) const;
    std::size_t size() const;

    /// Returns the number of asks that are at least as urgent as @p urgency.
    std::size_t countAtLeastAsUrgent(const Configuration::Urgency &urgency) const;

    /// Returns the asks whose deadline has passed.
    std::vector<AskKey> expired(Base::Instant now) const;
    std::vector<const QueuedAsk *> all() const;

private:
    using ByTime = std::set<std::pair<Base::Instant, AskKey>>;

    struct OrganisationQueue
    {
        ByTime byArrival;
        double virtualTime = 0;
        std::uint32_t weight = 1;
    };

    struct ClassQueue
    {
        ClassParameters parameters;
        std::map<std::uint32_t, OrganisationQueue> organisations;
        std::set<std::pair<double, std::uint32_t>> active; ///< organisations with queued asks, by virtual time
        ByTime byArrival;
        double virtualTime = 0;
    };

    /// The asks of one urgency.
    struct UrgencyGroup
    {
        std::map<std::uint32_t, ClassQueue> classes;
        ByTime byDeadline;
    };

    /// Returns the class that has waited longest relative to its starvation bound, or null if none is past it.
    const ClassQueue *overdueClass(Base::Instant now) const;
    /// Returns the class of the group with the least slack; classes that only have late asks come last.
    static const ClassQueue *classWithMinSlack(const UrgencyGroup &group, Base::Instant now, Base::Duration expected);
    /// Returns the next ask of the class by fair queueing, preferring one that can still meet its target.
    static AskKey nextByFairness(const ClassQueue &queue, Base::Instant now, Base::Duration expected);
    /// Adds the cost of a served ask to the virtual time of its organisation.
    static void charge(ClassQueue &queue, const QueuedAsk &ask);

    double m_guaranteedShare;
    double m_overdueCredit = 0; ///< an overdue class is served when this reaches 1
    bool m_nextIsOverdue = false; ///< the last next() returned an ask of an overdue class
    std::unordered_map<AskKey, QueuedAsk, AskKeyHash> m_asks;
    std::map<Configuration::Urgency, UrgencyGroup> m_groups;
};

static_assert(OrderPolicy<FifoOrder>);
static_assert(OrderPolicy<TieredOrder>);

} // namespace Yokepond::Dispatch
