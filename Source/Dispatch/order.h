// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// In which order queued asks are served, and which is given up when the queue is full.

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

/// A queue of asks. insert() and remove() are exact; next() looks without removing; serve() removes what is granted.
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
              constant.aheadOf(1)
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

/// Baseline: strictly by arrival; when the queue is full the newcomer is refused.
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
    std::size_t aheadOf(int rank) const;
    std::vector<AskKey> expired(Base::Instant now) const;
    std::vector<const QueuedAsk *> all() const;

private:
    std::unordered_map<AskKey, QueuedAsk, AskKeyHash> m_asks;
    std::set<std::pair<Base::Instant, AskKey>> m_byArrival;
};

/// By tier; within a tier by the classes' slack to their target, those that can still meet it first; within a class fair
/// among organisations by weight (start-time fair queueing); within an organisation by arrival.
///
/// A class that has waited past its bound gets a guaranteed share of what is served. That acts on order only.
class TieredOrder
{
public:
    /// @p guaranteedShare of what is served goes to classes past their bound, from 0 to 1.
    explicit TieredOrder(double guaranteedShare = 0.05);

    void insert(const QueuedAsk &ask);
    std::optional<QueuedAsk> remove(AskKey key);

    /// The ask to serve now; @p expected is how long a run takes to its first token.
    std::optional<AskKey> next(Base::Instant now, Base::Duration expected);

    /// Removes what next() named and charges its class and organisation for it.
    std::optional<QueuedAsk> serve(AskKey key);

    /// Of all asks and @p newcomer, the one to give up: of the lowest tier there is, the one whose deadline is nearest.
    AskKey evictionCandidate(const QueuedAsk &newAsk) const;

    const QueuedAsk *find(AskKey key) const;
    std::size_t size() const;

    /// Asks in tiers of @p rank and above.
    std::size_t aheadOf(int rank) const;

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
        std::set<std::pair<double, std::uint32_t>> active; ///< organisations with asks, by virtual time
        ByTime byArrival;
        double virtualTime = 0;
    };

    struct Tier
    {
        std::map<std::uint32_t, ClassQueue> classes;
        ByTime byDeadline;
    };

    const ClassQueue *overdueClass(Base::Instant now) const;
    static const ClassQueue *leastSlack(const Tier &tier, Base::Instant now, Base::Duration expected);
    static AskKey nextByFairness(const ClassQueue &queue, Base::Instant now, Base::Duration expected);
    static void charge(ClassQueue &queue, const QueuedAsk &ask);

    double m_guaranteedShare;
    double m_overdueCredit = 0;
    bool m_nextIsOverdue = false;
    std::unordered_map<AskKey, QueuedAsk, AskKeyHash> m_asks;
    std::map<int, Tier> m_tiers;
};

static_assert(OrderPolicy<FifoOrder>);
static_assert(OrderPolicy<TieredOrder>);

} // namespace Yokepond::Dispatch
