// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The home of requests: the only host that may start their runs. It requests endpoints from dispatchers and decides on retries.

#pragma once

#include "Availability/endpointavailabilities.h"
#include "Configuration/catalogue.h"
#include "Dispatch/shardmap.h"
#include "Rate/endpointrates.h"
#include "Request/crashprotection.h"
#include "Request/localwindow.h"
#include "Request/retrybudgets.h"
#include "Request/runlengths.h"
#include "Request/shardchoice.h"
#include "Request/streamorigins.h"
#include "Request/types.h"
#include "Request/versionhistory.h"
#include "Request/versionsurvey.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Yokepond::Request {

/// State of a pending request: it waits for other hosts that may know where its stream began, for a dispatcher's reply, for the
/// end of a backoff, or for the end of its run.
enum class Phase { LookingUpStream, Asking, BackingOff, Running };

inline constexpr Base::NameTable<Phase, 4> phaseNames = {{
    {Phase::LookingUpStream, "looking-up-stream"},
    {Phase::Asking, "waiting"},
    {Phase::BackingOff, "backing-off"},
    {Phase::Running, "running"},
}};

/// State of a pending request as the operators' queries show it.
struct RequestView
{
    std::uint64_t id = 0;
    std::string state; ///< name of a Phase
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
    std::uint64_t localRuns = 0; ///< runs started without a dispatcher
    std::uint64_t staleGrants = 0; ///< grants that arrived after their start-by time
    std::uint64_t returnedGrants = 0; ///< grants returned since the dispatcher's information on the endpoint was out of date
    std::uint64_t rejectedRuns = 0; ///< runs that their endpoints rejected
    std::uint64_t sentToUnavailable = 0; ///< runs sent to endpoints that had announced that they leave or asked for a cooldown
};

/// The home of a request is the host that accepted it from the caller. This class owns the host's requests from arrival to the
/// final response.
///
/// For each attempt it sends an ask to the dispatcher of a shard, that is, to the host that schedules some endpoints of the
/// request's pool. The dispatcher refuses the ask, queues it, or grants an endpoint. A grant that has not been released yet is a
/// permit. The home starts a run at the granted endpoint, releases the permit when the run ends, and decides whether the request
/// is retried. While a dispatcher is unreachable, the home starts runs by itself, within its own share of the endpoints (see
/// LocalWindow).
///
/// It is a pure state machine: the caller passes in the time, and takeActions() returns the actions to carry out. Each request
/// ends with exactly one Fail or Finished action, except one whose caller has disconnected, which ends without an action.
class Home
{
public:
    Home(std::string self, std::uint64_t seed);

    /// Sets the current configuration, shards and members. Asks whose dispatcher has changed are sent to the new one.
    void updateView(Base::Instant now, std::shared_ptr<const Configuration::Catalogue> catalogue,
                    std::shared_ptr<const Dispatch::ShardMap> shards, const std::vector<Peer::Member> &members);

    /// Sets whether this host follows the platform's store and gets no responses from it, so that there may be endpoints that
    /// neither it nor the hosts that rely on it know.
    void setListInDoubt(bool inDoubt);

    /// Accepts a request and asks for an endpoint. Fails the request if its class is unknown, or if its work or a part of its
    /// prompt is quarantined.
    void start(Base::Instant now, const NewRequest &request);

    /// Handles a message of a dispatcher, or of another host's quarantine or record of streams; @p from is the sender.
    void receive(Base::Instant now, const Peer::Process &from, const Peer::Grant &grant);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::Refusal &refusal);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::Queued &queued);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::RunBroke &broke);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::QuarantineUpdate &update);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::PromptRunBroke &broke);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::SoundPartsQuery &query);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::SoundPartsReply &reply);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::StreamBegan &began);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::StreamOriginQuery &query);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::StreamOriginReply &reply);

    /// Applies what the head of a response from @p endpoint advertises, and informs the dispatcher if that is new.
    void endpointAdvertised(Base::Instant now, const Peer::AttemptId &id, std::uint32_t endpoint,
                            const EndpointAdvertisement &advertised);

    /// Handles the first token of a run: informs the dispatcher, and records where the stream began.
    void firstTokenReceived(Base::Instant now, const Peer::AttemptId &id);

    /// Handles the end of a run: finishes, retries or fails the request.
    void runEnded(Base::Instant now, const RunReport &report);

    /// Ends the request after its caller has disconnected; one that is running ends with the report of its run.
    void callerDisconnected(Base::Instant now, std::uint64_t request);

    /// Cancels a request on an operator's command. Returns false if it is not pending.
    bool cancel(Base::Instant now, std::uint64_t request);

    /// Releases a work or a part of prompts from quarantine. Returns false if it is not quarantined.
    bool releaseWork(Base::Instant now, std::uint64_t work);

    /// Fails each request without a current run, that is, in the phases Asking and BackingOff, with @p error.
    void failWaiting(Base::Instant now, const absl::Status &error);

    /// Makes known that runs are cut at @p end. From now on, requests without a current run fail with @p error as soon as a run
    /// of theirs is not expected to end by then.
    void limitRuns(Base::Instant now, Base::Instant end, const absl::Status &error);

    /// Handles the loss of the connection to @p member. Messages in both directions may have been lost.
    void connectionLost(Base::Instant now, const std::string &member);

    /// Handles timeouts, delayed retries and periodic reports; to be called regularly.
    void tick(Base::Instant now);

    /// Returns the actions since the last call.
    std::vector<Action> takeActions();

    /// Returns the number of pending requests.
    std::size_t active() const;
    const HomeCounters &counters() const;
    const CrashProtection &crashProtection() const;
    const StreamOrigins &streamOrigins() const;
    std::vector<RequestView> requests(Base::Instant now) const;

    /// Returns the trace of a pending or recently ended request, oldest step first; null if there is none.
    const std::vector<TraceEntry> *trace(std::uint64_t request) const;

private:
    struct Pending
    {
        NewRequest request;
        Configuration::RequestClass classSettings; ///< as they were when the request was accepted
        Base::Instant arrival {};
        Base::Instant deadline {};
        Phase phase = Phase::LookingUpStream;
        std::uint8_t attempt = 0;
        std::uint32_t shard = 0;
        std::string dispatcher;
        std::uint32_t endpoint = 0; ///< endpoint of the latest run or returned grant
        std::uint32_t runVersion = 0; ///< number of the software version of the latest run's endpoint when that run began
        std::uint32_t softwareVersion = 0; ///< number of the only software version that may continue the stream; 0 for any
        std::set<std::uint32_t> shardsWithout; ///< shards whose dispatchers have no endpoint that may serve the request
        std::uint32_t avoid = 0; ///< endpoint that further asks avoid, after a failed run or repeated wrong grants; 0 for none
        std::uint32_t runs = 0; ///< number of runs started so far
        std::uint32_t sentRuns = 0; ///< runs that may have reached their endpoint
        bool mayHaveRun = false; ///< an endpoint may have processed the request; never reset
        Rate::RateState grantedRate; ///< rate limit that the dispatcher applied when it granted the run
        Base::Instant runStartedAt {};
        Base::Instant firstTokenAt {}; ///< of the latest run; zero if there was none or it was not reported
        bool wentOn = false; ///< the latest run has gone on for long enough to show that its parts crash no endpoint
        bool reportsPrefill = false; ///< the dispatcher wants to know when the latest run's first token comes
        bool grantReturned = false; ///< a grant was returned because the dispatcher's information was out of date
        bool queuedAtDispatcher = false; ///< the dispatcher has confirmed that it queued the ask
        unsigned int misdirectedRefusals = 0; ///< consecutive refusals by hosts whose view of the fleet differs from this host's
        Base::Instant askedAt {}; ///< time of the latest ask
        Base::Duration repeatAfter {}; ///< time after which an ask without a reply is sent again
        Base::Instant retryAt {}; ///< end of the backoff
        std::vector<TraceEntry> trace;
    };

    /// Sets the numbers of the request's class and pool to those that their names have in the present catalogue.
    void renumber(Pending &pending) const;
    /// Returns whether a run that begins now is expected to end before runs are cut. It takes as long as the latest runs of its
    /// class: a request that may be repeated as long as usual, since its caller can send it again, and another one as long as the
    /// longest. Without any, it takes all the time that the request has.
    bool endsInTime(Base::Instant now, const Pending &pending) const;
    /// Fails the requests without a current run for which @p applies returns true.
    template<typename Predicate>
    void failWaitingIf(Base::Instant now, const absl::Status &error, Predicate applies);
    /// Returns the shards of the pool with an endpoint that may serve the request.
    std::vector<const Dispatch::ShardInfo *> shardsFor(const Pending &pending) const;
    /// Returns what decides which endpoints of the pool may serve the request.
    static Configuration::EndpointCriteria criteriaOf(const Pending &pending);
    bool mayServe(const Pending &pending, std::uint32_t endpoint) const;
    /// Returns whether the present catalogue has the endpoint in another pool than the request's.
    bool isOfAnotherPool(const Pending &pending, std::uint32_t endpoint) const;
    absl::Status noEndpointError(const Pending &pending) const;
    /// Binds a request whose caller has seen events of the latest run to the software version of that run's endpoint.
    void bindToVersion(Pending &pending) const;
    /// Returns whether the request's stream may be taken up, but only at the software version that began it.
    bool isBoundStream(const Pending &pending) const;
    /// Returns how long after its beginning a stream of this class may be taken up.
    static Base::Duration streamLifetime(const Pending &pending);
    /// Returns VersionHistory::seenVersion() for as long as streams of @p pool last; version 0, for several, while the list of
    /// endpoints is in doubt.
    std::optional<Peer::OnlyVersion> seenVersion(Base::Instant now, std::uint32_t pool);
    /// Returns how long after its beginning any stream of @p pool may be taken up, as far as this host knows its callers.
    Base::Duration longestStream(std::uint32_t pool) const;
    /// Sends the messages of m_streamOrigins and m_versionSurvey, and continues the requests whose look-ups have ended.
    void applyOrigins(Base::Instant now);
    void originFound(Base::Instant now, Pending &pending, const OriginFound &found);
    void surveyEnded(Base::Instant now, Pending &pending, const SurveyEnded &survey);
    /// Continues a stream at @p version; refuses it if that is not known.
    void continueStream(Base::Instant now, Pending &pending, std::optional<std::uint32_t> version, std::string_view source);
    std::string versionName(std::uint32_t number) const;
    void refusedForNoEndpoint(Base::Instant now, Pending &pending, const Peer::Refusal &refusal);
    void requestEndpoint(Base::Instant now, Pending &pending);
    void sendAsk(Base::Instant now, Pending &pending);
    void bypassDispatcher(Base::Instant now, Pending &pending);
    void tryLocalWindow(Base::Instant now, Pending &pending);
    void returnGrant(Base::Instant now, Pending &pending, const Peer::Grant &grant, std::string reason);
    bool correctDispatcherRate(Base::Instant now, const Pending &pending, const Peer::Grant &grant);
    void sendEndpointUpdate(Base::Instant now, const Pending &pending, std::uint32_t endpoint);
    void beginRun(Base::Instant now, Pending &pending, std::uint32_t endpoint, Base::Instant startBy,
                  const Peer::Grant &grant = {});
    void release(const Pending &pending, const RunReport &report, Peer::RunResult result);
    void reportToCrashProtection(Base::Instant now, const Pending &pending, const RunReport &report);
    static BrokenRun brokenRun(const Pending &pending, const RunReport &report);
    void noteRunsThatWentOn(Base::Instant now);
    void enforceQuarantine(Base::Instant now);
    void retryOrFail(Base::Instant now, Pending &pending, const RunReport &report);
    bool mayRetry(const Pending &pending, const RunReport &report) const;
    void expire(Base::Instant now, Pending &pending);
    void cancelRun(Pending &pending);
    void stopRequest(Base::Instant now, Pending &pending, const absl::Status &error);
    void backOff(Base::Instant now, Pending &pending, Base::Duration minDelay);
    void withdraw(Pending &pending);
    /// Ends a request with an error. @p refusal tells why a dispatcher refused it, if that is the reason.
    void fail(Base::Instant now, Pending &pending, const absl::Status &error, Base::Duration retryAfter,
              std::optional<Peer::RefusalReason> refusal = {});
    void finish(std::uint64_t request);
    void end(std::uint64_t request);
    void reportRunning(std::uint32_t shard);
    bool isUnreachable(const std::string &member) const;
    Pending *find(std::uint64_t request);
    static void addTraceEntry(Pending &pending, Base::Instant now, Step step, std::string detail);

    std::string m_self;
    std::mt19937_64 m_random;
    std::shared_ptr<const Configuration::Catalogue> m_catalogue;
    std::shared_ptr<const Dispatch::ShardMap> m_shards;
    std::size_t m_hosts = 1;
    /// Suspected members, and members that have sent nothing since their connection was lost.
    std::set<std::string> m_unreachable;
    std::map<std::uint64_t, Pending> m_pending;
    ShardChoice m_shardChoice;
    RetryBudgets m_retryBudgets;
    RunLengths m_runLengths;
    Base::Instant m_runsEndBy = Base::Instant::max(); ///< see limitRuns()
    absl::Status m_limitError; ///< see limitRuns()
    /// Shards that get another report: the last one listed permits, or the connection was lost since.
    std::set<std::uint32_t> m_reportedShards;
    LocalWindow m_localWindow;
    CrashProtection m_crashProtection;
    StreamOrigins m_streamOrigins;
    VersionHistory m_versionHistory;
    VersionSurvey m_versionSurvey;
    std::map<std::uint32_t, Base::Duration> m_longestStreams; ///< longest streamLifetime() of the requests so far, by pool
    bool m_listInDoubt = false; ///< see setListInDoubt()
    bool m_hadOtherMembers = false; ///< the fleet had other hosts at some time
    Rate::EndpointRates m_rates;
    Availability::EndpointAvailabilities m_availabilities;
    Base::Instant m_nextReport {};
    std::deque<std::pair<std::uint64_t, std::vector<TraceEntry>>> m_endedTraces;
    HomeCounters m_counters;
    std::vector<Action> m_actions;
};

} // namespace Yokepond::Request
