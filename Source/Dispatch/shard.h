// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The dispatcher's state of one shard: the queue of asks from all homes, the load of the endpoints, and the outstanding permits.
/// A shard is a group of endpoints of one pool in one data centre. A home is the host that accepted a request; it asks the
/// dispatcher of a shard for an endpoint and then runs the request there.

#pragma once

#include "Configuration/catalogue.h"
#include "Dispatch/askqueue.h"
#include "Dispatch/endpointstates.h"
#include "Dispatch/laterefusals.h"
#include "Dispatch/placement.h"
#include "Dispatch/poolparameters.h"
#include "Dispatch/queuedask.h"
#include "Dispatch/shardmap.h"
#include "Dispatch/waitestimates.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Yokepond::Dispatch {

/// A message that the dispatcher sends to a home.
struct Reply
{
    Home home;
    Peer::Message message;
};

/// Counts events since this host became the dispatcher of the shard.
struct ShardCounters
{
    std::uint64_t asked = 0;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t shed = 0; ///< evicted because the queue was full
    std::uint64_t withdrawn = 0; ///< withdrawn by their home, or removed with it
    std::uint64_t released = 0;
    std::uint64_t ejections = 0;
    std::uint64_t held = 0; ///< times that an ask was put on hold while an engine prefilled a prefix of its prompt
    std::uint64_t evaluations = 0; ///< asks that were evaluated against the endpoints, granted or not
};

/// The position of an ask in the queue, or its permit.
struct AskView
{
    bool queued = false;
    std::size_t atLeastAsUrgent = 0; ///< queued asks that are at least as urgent, itself included
    std::size_t total = 0; ///< all queued asks of the shard
    std::uint32_t endpoint = 0; ///< endpoint of its permit, 0 if it has none
};

/// Queues the asks of one shard and grants them endpoints. It does no I/O: the caller passes in the time and the messages, and
/// collects the replies with takeReplies(). Every ask ends exactly once, with a grant, a refusal or a withdrawal by its home.
class Shard
{
public:
    Shard(const ShardInfo &info, std::shared_ptr<const Configuration::Catalogue> catalogue, Base::Instant now);

    /// Returns whether these are the configuration and the endpoints that were applied last.
    bool isConfigured(const ShardInfo &info, const std::shared_ptr<const Configuration::Catalogue> &catalogue) const;

    /// Applies a changed configuration or set of endpoints. Queued asks get the new parameters of their class.
    void configure(const ShardInfo &info, std::shared_ptr<const Configuration::Catalogue> catalogue, Base::Instant now);

    /// Grants, queues or refuses an ask of @p home. A repeated ask gets the reply of the first one again.
    void ask(Base::Instant now, const Home &home, const Peer::Ask &ask);

    /// Removes a queued ask, or returns its permit if the grant is already on its way.
    void withdraw(Base::Instant now, const Home &home, const Peer::Withdrawal &withdrawal);

    /// Returns a permit and records the result of its run.
    void release(Base::Instant now, const Home &home, const Peer::Release &release);

    /// Records that the first token of a run came.
    void prefillEnded(Base::Instant now, const Home &home, const Peer::PrefillEnded &ended);

    /// Synchronises the permits of @p home with its report: adds permits that are unknown here, and drops those that it does not
    /// list.
    void report(Base::Instant now, const Home &home, const Peer::RunningReport &report);

    /// Applies what an endpoint advertised in its responses to @p home: its rate limit, a cooldown, or that it is leaving.
    void applyEndpointUpdate(Base::Instant now, const Home &home, const Peer::EndpointUpdate &endpointUpdate);

    /// Drops all asks and permits of the home called @p name, except those of its incarnation @p keep (0: drops all).
    void removeHome(Base::Instant now, const std::string &name, std::uint64_t keep);

    /// Drops all asks and permits of the process @p ended of a home, which another one has replaced.
    void removeProcess(Base::Instant now, const Home &ended);

    /// Sets the endpoints that the platform lists as leaving.
    void setLeaving(Base::Instant now, const std::vector<std::uint32_t> &endpoints);

    /// Refuses asks that passed their deadline, ejects endpoints and returns ejected ones, and grants asks while slots are free.
    void tick(Base::Instant now);

    /// Refuses every queued ask with RefusalReason::NotDispatcher, since another host becomes the dispatcher.
    void handOver();

    /// Returns the messages to send since the last call.
    std::vector<Reply> takeReplies();

    const ShardInfo &info() const;
    const ShardCounters &counters() const;
    std::size_t queued() const;
    /// Returns the number of queued asks that are on hold while an engine prefills a prefix of their prompt.
    std::size_t held() const;
    /// Returns the number of engines that are set aside for tight streams.
    std::size_t streamEngines() const;
    std::size_t permits() const;
    std::vector<EndpointView> endpoints() const;
    AskView find(const AskKey &key) const;
    std::vector<const QueuedAsk *> queuedAsks() const;

private:
    enum class GrantAttempt {
        Granted,
        NotNow, ///< none of the endpoints that have a free slot can take it now
        NoneForIt, ///< all endpoints that have a free slot are in regions where it is not served, or are set aside for others
    };

    /// A grant that has not been released yet.
    struct Permit
    {
        Home home;
        std::uint32_t endpoint = 0;
        ClassParameters parameters;
        Base::Instant grantedAt {};
        Peer::Grant grant;
        bool windowWasFull = false; ///< the window of the endpoint was full after the grant
        PlacedRun placed;
        Base::Instant expires = Base::Instant::max(); ///< by this time the run has ended; a missing release was lost
        bool accepted = false; ///< no rejection arrived in time, so the endpoint accepted the run
    };

    static Placement makePlacement(const Configuration::Policies &policies);
    Window makeWindow(std::uint32_t slots) const;

    /// Creates the queue and the placement that the configuration asks for, and moves the queued asks to the new queue.
    void buildPolicies();
    void configureEndpoints(Base::Instant now);
    /// Marks the unusable endpoints as unreliable in the placement: other engines cannot fetch prompts from them.
    void markUnusableUnreliable();
    void markReplaced(std::uint32_t endpoint);
    PoolParameters poolParameters() const;
    void enqueue(const QueuedAsk &ask);
    /// Evicts one ask if the queue is over its limit.
    void shedOverLimit(const QueuedAsk &newAsk);
    /// Returns whether the ask has passed its deadline, or, with the setting hopeless-shedding, would pass it in the queue at the
    /// current rate of grants.
    bool willMissDeadline(Base::Instant now, const QueuedAsk &ask) const;
    void refuse(const QueuedAsk &ask, Peer::RefusalReason reason);
    void refuse(const QueuedAsk &ask, Peer::RefusalReason reason, Base::Duration retryAfter);
    /// Grants queued asks while slots are free. Stops after @p maxSkipped asks that were evaluated and that no endpoint can take
    /// now.
    void dispatchQueued(Base::Instant now, std::size_t maxSkipped);
    bool holdForPrefix(Base::Instant now, const QueuedAsk &waiting);
    /// Grants @p waiting if one of the endpoints in @p withFreeSlots can take it now.
    GrantAttempt tryGrant(Base::Instant now, const QueuedAsk &waiting, const std::vector<Candidate> &withFreeSlots);
    std::vector<Candidate> candidates(Base::Instant now) const;
    /// Returns the free slots in the window of an endpoint.
    std::uint32_t freeSlots(const EndpointState &state, Base::Instant now) const;
    void grant(Base::Instant now, const QueuedAsk &ask, std::uint32_t endpoint);
    /// Drops all asks and permits of the homes that @p isRemoved names.
    void removeHomes(Base::Instant now, const std::function<bool(const Home &)> &isRemoved);
    void dropPermit(Base::Instant now, const AskKey &key, const ObservedTokens &seen = {});
    /// Returns whether a late ask is to be refused. A refusal because of its target uses up one of those that LateRefusals allows
    /// its tier.
    bool tryLateRefusal(const QueuedAsk &ask, const WaitEstimate &estimate);
    WaitEstimate estimateFor(Base::Instant now, const QueuedAsk &ask) const;
    WaitEstimate estimateAtVersion(Base::Instant now, const QueuedAsk &ask) const;
    /// Returns the queued asks that are served before @p ask; if it needs a software version, only those that need it too.
    QueueAhead aheadOf(const QueuedAsk &ask) const;
    void addTo(QueueAhead &ahead, const QueuedAsk &ask) const;
    void refuseLate(Base::Instant now);
    /// Drops permits that have expired, and marks as accepted the runs that were not rejected within maxRejectionDelay.
    void dropExpiredPermits(Base::Instant now);
    /// Ejects endpoints that fail, and those that are much worse than the median of the shard.
    void ejectUnhealthy(Base::Instant now);
    void applyRateUpdate(Base::Instant now, const Home &home, const Peer::EndpointUpdate &endpointUpdate, EndpointState &state);
    void applyLeavingUpdate(Base::Instant now, const Home &home, const Peer::EndpointUpdate &endpointUpdate,
                            EndpointState &state);
    void applyCooldownUpdate(Base::Instant now, const Home &home, const Peer::EndpointUpdate &endpointUpdate,
                             EndpointState &state);
    void recordRejectedRun(Base::Instant now, const Home &home, std::uint32_t endpoint, bool brittle);
    /// Removes the cooldowns and announcements of leaving that have ended.
    void expireAnnouncements(Base::Instant now);
    bool mayServe(const QueuedAsk &ask, std::uint32_t endpoint) const;
    /// Returns whether @p endpoint may serve the ask, and no cooldown of it prevents a run of the ask's home.
    bool isAllowed(Base::Instant now, const QueuedAsk &ask, std::uint32_t endpoint) const;
    /// Returns the expected time from a grant to the first token; zero without observations.
    Base::Duration expectedFirstToken() const;
    /// Returns the time that the queue needs to drain at the current rate of grants, within bounds.
    Base::Duration retryAfter() const;
    static Base::Duration retryAfterLate(const QueuedAsk &ask, const WaitEstimate &estimate);
    /// Returns the load of the shard: the queued asks and the permits per thousand slots of the endpoints' windows.
    std::uint32_t pressure() const;
    /// Returns why no endpoint can accept work, or nothing if one can.
    std::optional<Peer::RefusalReason> reasonForNoEndpoint() const;
    /// Returns why no endpoint can accept @p ask, or nothing if one can.
    std::optional<Peer::RefusalReason> reasonForNoEndpoint(const QueuedAsk &ask) const;
    /// Refuses the queued asks that no endpoint can accept.
    void refuseIfNoEndpoint();
    void refuseRestrictedWithoutEndpoint();
    /// Checks the invariant that the endpoints' run counts add up to the permits.
    void checkPermits() const;

    ShardInfo m_info;
    std::shared_ptr<const Configuration::Catalogue> m_catalogue;
    Base::Instant m_takeoverAt; ///< when this host became the dispatcher
    Configuration::PlacementPolicy m_placementPolicy {};
    AskQueue m_queue;
    Placement m_placement;
    EndpointStates m_endpoints;
    std::unordered_map<AskKey, Permit, AskKeyHash> m_permits; ///< outstanding permits
    std::vector<Reply> m_replies;
    ShardCounters m_counters;
    double m_grantsPerSecond = 0; ///< moving average
    std::uint64_t m_grantsInPeriod = 0;
    Base::Instant m_periodBegan {};
    Base::Instant m_lastAdjustment {};
    LateRefusals m_lateRefusals;
    std::set<std::uint32_t> m_coolingDown; ///< endpoints that have a cooldown for at least one home
    bool m_saturated = false; ///< asks were queued at the end of the last rate period
};

} // namespace Yokepond::Dispatch
