// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The home of requests: the one process that may start them. It asks dispatchers for endpoints and decides on retries.

#pragma once

#include "Availability/endpointavailabilities.h"
#include "Base/tokenbucket.h"
#include "Configuration/catalogue.h"
#include "Dispatch/shardmap.h"
#include "Rate/endpointrates.h"
#include "Request/localwindow.h"
#include "Request/quarantine.h"
#include "Request/shardchoice.h"
#include "Request/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Yokepond::Request {

enum class Phase { Asking, BackingOff, Running };

inline constexpr Base::NameTable<Phase, 3> phaseNames = {{
    {Phase::Asking, "waiting"},
    {Phase::BackingOff, "backing-off"},
    {Phase::Running, "running"},
}};

/// A request under way, or one that has ended, as operators see it.
struct RequestView
{
    std::uint64_t id = 0;
    std::string state; ///< a phase's name, or `ended`
    std::uint32_t requestClass = 0;
    std::uint32_t organisation = 0;
    std::uint32_t shard = 0;
    std::uint32_t endpoint = 0;
    unsigned int attempt = 0;
    Base::Duration age {};
    std::string dispatcher;
};

struct HomeCounters
{
    std::uint64_t arrived = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t retried = 0;
    std::uint64_t localRuns = 0;
    std::uint64_t staleGrants = 0;
    std::uint64_t returnedGrants = 0; ///< by dispatchers that did not know the endpoint's rate
    std::uint64_t rejectedRuns = 0; ///< runs that their endpoints refused
    std::uint64_t sentToUnavailable = 0; ///< runs at endpoints that had said that they leave or want rest
};

/// Pure state machine: time and randomness come in, actions come out of takeActions(). Each request ends with exactly one
/// Fail or Finished.
class Home
{
public:
    Home(std::string self, std::uint64_t seed);

    /// The present configuration, shards and members; asks at dispatchers that have changed are moved.
    void updateView(Base::Instant now, std::shared_ptr<const Configuration::Catalogue> catalogue,
                    std::shared_ptr<const Dispatch::ShardMap> shards, const std::vector<Peer::Member> &members);

    void start(Base::Instant now, const NewRequest &request);

    /// @p from is the dispatcher that sent it.
    void receive(Base::Instant now, const std::string &from, const Peer::Grant &grant);
    void receive(Base::Instant now, const std::string &from, const Peer::Refusal &refusal);
    void receive(Base::Instant now, const std::string &from, const Peer::Queued &queued);
    void receive(Base::Instant now, const std::string &from, const Peer::RunBroke &broke);
    void receive(Base::Instant now, const std::string &from, const Peer::QuarantineUpdate &news);

    /// The answer of a run at @p endpoint has begun and says @p stated of it.
    void endpointAdvertised(Base::Instant now, const Peer::AttemptId &id, std::uint32_t endpoint,
                            const EndpointAdvertisement &stated);

    void runEnded(Base::Instant now, const RunReport &report);
    void callerDisconnected(Base::Instant now, std::uint64_t request);

    /// Ends a request by an operator's command; false if it is not under way.
    bool cancel(Base::Instant now, std::uint64_t request);

    /// Lets work run again that is held; false if it is not.
    bool releaseWork(Base::Instant now, std::uint64_t work);

    /// Ends each request that waits for an endpoint, as not run, with @p error.
    void failWaiting(Base::Instant now, const absl::Status &error);

    /// Messages to @p member may have been lost.
    void memberLost(Base::Instant now, const std::string &member);

    void tick(Base::Instant now);

    std::vector<Action> takeActions();

    std::size_t active() const;
    const HomeCounters &counters() const;
    const Quarantine &quarantine() const;
    std::vector<RequestView> requests(Base::Instant now) const;

    /// The way of a request under way or lately ended, oldest step first; null if it is not known.
    const std::vector<TraceEntry> *trace(std::uint64_t request) const;

private:
    struct Pending
    {
        NewRequest request;
        Configuration::RequestClass terms; ///< of the class when the request was accepted
        Base::Instant arrival {};
        Base::Instant deadline {};
        Phase phase = Phase::Asking;
        std::uint8_t attempt = 0;
        std::uint32_t shard = 0;
        std::string dispatcher;
        std::uint32_t endpoint = 0;
        std::uint32_t avoid = 0;
        std::uint32_t runs = 0; ///< started so far
        std::uint32_t sends = 0; ///< of these, those of which the endpoint may have seen something
        bool mayHaveRun = false; ///< some run's request may have been processed; never taken back
        Rate::RateState grantedRate; ///< by which the dispatcher counted when it granted the run
        bool returned = false; ///< a grant has been given back since the dispatcher did not know the endpoint's rate
        bool heard = false; ///< the dispatcher has told that the ask waits there
        unsigned int misdirected = 0; ///< refusals in a row by hosts whose view differs from this one's
        Base::Instant askedAt {};
        Base::Duration repeatAfter {}; ///< an ask that is not answered is sent again
        Base::Instant retryAt {};
        std::vector<TraceEntry> trace;
    };

    void ask(Base::Instant now, Pending &pending);
    void sendAsk(Base::Instant now, Pending &pending);
    void doWithoutDispatcher(Base::Instant now, Pending &pending);
    void tryLocalWindow(Base::Instant now, Pending &pending);
    void returnGrant(Base::Instant now, Pending &pending, const Peer::Grant &grant, std::string reason);
    bool correctsDispatcher(Base::Instant now, const Pending &pending, const Peer::Grant &grant);
    void tellEndpoint(Base::Instant now, const Pending &pending, std::uint32_t endpoint);
    void beginRun(Base::Instant now, Pending &pending, std::uint32_t endpoint, Base::Instant startBy, std::uint32_t keeper = 0);
    void release(const Pending &pending, const RunReport &report, Peer::RunResult result);
    void judgeWork(Base::Instant now, const Pending &pending, const RunReport &report);
    void enforceQuarantine(Base::Instant now);
    void retryOrFail(Base::Instant now, Pending &pending, const RunReport &report);
    bool mayRetry(const Pending &pending, const RunReport &report) const;
    void expire(Base::Instant now, Pending &pending);
    /// Retries of the pool: filled by first tries, so that retries cannot multiply an overload.
    Base::TokenBucket &budgetOf(const Pending &pending);
    void stopRun(Pending &pending);
    void stopWith(Base::Instant now, Pending &pending, const absl::Status &error);
    void backOff(Base::Instant now, Pending &pending, Base::Duration least);
    void withdraw(Pending &pending);
    void fail(Base::Instant now, Pending &pending, const absl::Status &error, Base::Duration retryAfter);
    void finish(std::uint64_t request);
    void end(std::uint64_t request);
    void reportRunning(std::uint32_t shard);
    bool unreachable(const std::string &member) const;
    Pending *find(std::uint64_t request);
    static void note(Pending &pending, Base::Instant now, Step step, std::string detail);

    std::string m_self;
    std::mt19937_64 m_random;
    std::shared_ptr<const Configuration::Catalogue> m_catalogue;
    std::shared_ptr<const Dispatch::ShardMap> m_shards;
    std::size_t m_hosts = 1;
    std::set<std::string> m_unreachable; ///< suspected members, and those that have not been heard of since
    std::map<std::uint64_t, Pending> m_pending;
    ShardChoice m_shardChoice;
    std::map<std::uint32_t, Base::TokenBucket> m_budgets; ///< retries, by pool
    std::set<std::uint32_t> m_reported; ///< shards that had permits in the last report
    LocalWindow m_localWindow;
    Quarantine m_quarantine;
    Rate::EndpointRates m_rates;
    Availability::EndpointAvailabilities m_availabilities;
    Base::Instant m_nextReport {};
    std::deque<std::pair<std::uint64_t, std::vector<TraceEntry>>> m_ended;
    HomeCounters m_counters;
    std::vector<Action> m_actions;
};

} // namespace Yokepond::Request
