// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// One shard at its dispatcher: the queue over all homes' asks, the endpoints' loads, and the permits given out.

#pragma once

#include "Configuration/catalogue.h"
#include "Dispatch/endpointstates.h"
#include "Dispatch/laterefusals.h"
#include "Dispatch/order.h"
#include "Dispatch/placement.h"
#include "Dispatch/poolparameters.h"
#include "Dispatch/queuedask.h"
#include "Dispatch/shardmap.h"
#include "Dispatch/waitestimates.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Yokepond::Dispatch {

/// A message to a home.
struct Reply
{
    Home home;
    Peer::Message message;
};

/// Totals since the shard came to this dispatcher.
struct ShardCounters
{
    std::uint64_t asked = 0;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t shed = 0;
    std::uint64_t withdrawn = 0;
    std::uint64_t released = 0;
    std::uint64_t ejections = 0;
    std::uint64_t evaluations = 0; ///< asks weighed against all endpoints, in vain or not
};

/// Where an ask stands.
struct AskView
{
    bool queued = false;
    std::size_t ahead = 0; ///< asks of its tier and above
    std::size_t total = 0;
    std::uint32_t endpoint = 0; ///< of its permit, 0 if it has none
};

/// Pure state machine. Every ask is answered exactly once: by a grant, a refusal, or its home's own withdrawal.
class Shard
{
public:
    Shard(const ShardInfo &info, std::shared_ptr<const Configuration::Catalogue> catalogue, Base::Instant now);

    /// Takes over a changed configuration or set of endpoints; queued asks follow their class's new terms.
    void configure(const ShardInfo &info, std::shared_ptr<const Configuration::Catalogue> catalogue, Base::Instant now);

    void ask(Base::Instant now, const Home &home, const Peer::Ask &ask);
    void withdraw(Base::Instant now, const Home &home, const Peer::Withdrawal &withdrawal);
    void release(Base::Instant now, const Home &home, const Peer::Release &release);

    /// Sets the permits of @p home to those it reports: unknown ones are added, and missing ones given up.
    void report(Base::Instant now, const Home &home, const Peer::RunningReport &report);

    /// A home knows something of an endpoint by the endpoint's own answers.
    void applyEndpointUpdate(Base::Instant now, const Home &home, const Peer::EndpointUpdate &news);

    /// Drops all asks and permits of a home that is dead; an incarnation of 0 stands for all but @p keep.
    void removeHome(Base::Instant now, const std::string &name, std::uint64_t keep);

    /// An endpoint that the platform lists as leaving, or no longer does.
    void setLeaving(Base::Instant now, const std::vector<std::uint32_t> &endpoints);

    /// Refuses what has passed its deadline, ejects and returns endpoints, and grants what there is room for.
    void tick(Base::Instant now);

    /// Answers every queued ask with RefusalReason::NotDispatcher.
    void handOver();

    std::vector<Reply> takeReplies();

    const ShardInfo &info() const;
    const ShardCounters &counters() const;
    std::size_t queued() const;
    std::size_t permits() const;
    std::vector<EndpointView> endpoints() const;
    AskView find(const AskKey &key) const;
    std::vector<const QueuedAsk *> queuedAsks() const;

private:
    using Order = std::variant<FifoOrder, TieredOrder>;

    struct Permit
    {
        Home home;
        std::uint32_t endpoint = 0;
        ClassParameters parameters;
        Base::Instant grantedAt {};
        Peer::Grant grant;
        bool windowWasFull = false;
        PlacedRun placed;
        Base::Instant expires = Base::Instant::max(); ///< a run cannot last longer; its release must have been lost
        bool accepted = false; ///< it would have been turned away by now
    };

    static Order makeOrder(const Configuration::Policies &policies);
    static Placement makePlacement(const Configuration::Policies &policies);
    Window makeWindow(std::uint32_t slots) const;

    void buildPolicies();
    void configureEndpoints(Base::Instant now);
    void markUnusableUnreliable();
    void markReplaced(std::uint32_t endpoint);
    PoolParameters poolParameters() const;
    void enqueue(const QueuedAsk &ask);
    void shedOverLimit(const QueuedAsk &newAsk);
    bool willMissDeadline(Base::Instant now, const QueuedAsk &ask) const;
    void refuse(const QueuedAsk &ask, Peer::RefusalReason reason);
    void refuse(const QueuedAsk &ask, Peer::RefusalReason reason, Base::Duration retryAfter);
    /// Grants what there is room for; looks at @p mostPassedOver asks in vain before it gives up.
    void dispatchQueued(Base::Instant now, std::size_t maxSkipped);
    bool tryGrant(Base::Instant now, const QueuedAsk &waiting, const std::vector<Candidate> &withFreeSlots);
    std::vector<Candidate> candidates(Base::Instant now) const;
    /// Slots of its window that are free.
    std::uint32_t freeSlots(const EndpointState &state, Base::Instant now) const;
    void grant(Base::Instant now, const QueuedAsk &ask, std::uint32_t endpoint);
    void dropPermit(const AskKey &key, const ObservedTokens &seen = {});
    bool mayRefuseAsLate(const QueuedAsk &ask, const WaitEstimate &estimate);
    QueueAhead aheadOf(const QueuedAsk &ask) const;
    void refuseLate(Base::Instant now);
    void dropExpiredPermits(Base::Instant now);
    void ejectUnhealthy(Base::Instant now);
    void applyRateUpdate(Base::Instant now, const Home &home, const Peer::EndpointUpdate &news, EndpointState &state);
    void applyLeavingUpdate(Base::Instant now, const Home &home, const Peer::EndpointUpdate &news, EndpointState &state);
    void applyCooldownUpdate(Base::Instant now, const Home &home, const Peer::EndpointUpdate &news, EndpointState &state);
    void recordRejectedRun(Base::Instant now, const Home &home, std::uint32_t endpoint);
    void expireAnnouncements(Base::Instant now);
    bool isAllowed(Base::Instant now, const QueuedAsk &ask, std::uint32_t endpoint) const;
    Base::Duration expectedFirstToken() const;
    Base::Duration retryAfter() const;
    static Base::Duration retryAfterLate(const QueuedAsk &ask, const WaitEstimate &estimate);
    std::uint32_t pressure() const;
    /// Why no endpoint can be expected to take work, if none can.
    std::optional<Peer::RefusalReason> reasonForNoEndpoint() const;
    void refuseAllIfNoEndpoint();
    void noteGrant(Base::Instant now);
    void checkPermits() const;

    ShardInfo m_info;
    std::shared_ptr<const Configuration::Catalogue> m_catalogue;
    Base::Instant m_takeoverAt;
    Configuration::PlacementPolicy m_placementPolicy {};
    Order m_order;
    Placement m_placement;
    EndpointStates m_endpoints;
    std::unordered_map<AskKey, Permit, AskKeyHash> m_permits;
    std::vector<Reply> m_replies;
    ShardCounters m_counters;
    double m_grantsPerSecond = 0;
    std::uint64_t m_grantsInPeriod = 0;
    Base::Instant m_periodBegan {};
    LateRefusals m_lateRefusals;
    std::set<std::uint32_t> m_coolingDown; ///< endpoints that have asked some home for rest
    bool m_saturated = false; ///< asks waited through the whole present period
};

} // namespace Yokepond::Dispatch
