// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Simulation of a fleet without a network, under one simulated clock: the real homes, dispatchers and shard map in front of a
/// simple model of engines. Each load test names the pattern of load that it covers.

#pragma once

#include "Base/error.h"
#include "Dispatch/dispatcher.h"
#include "Request/home.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Yokepond::Tests {

/// The fleet and the pool. The defaults are those of the large deployment as its operators state them: number of hosts and
/// engines, and an engine's slots, queue, prefill speed and memory.
struct FleetLoadOptions
{
    std::size_t hosts = 295;
    std::size_t largeHosts = 15; ///< number of hosts with the larger processor quota
    std::uint32_t largeMilliCores = 500;
    std::uint32_t smallMilliCores = 120;
    std::size_t engines = 320;
    std::uint32_t slots = 32;
    std::uint32_t engineQueue = 67; ///< queue length of an engine; it rejects further requests
    double prefillTokensPerMs = 36.7; ///< prefill speed of an engine
    std::uint64_t kvCacheTokens = 506'735;
    /// Transfer speed of a cached prefix over an engine's link of 180 Gbit/s at 18,432 bytes per token.
    double transferTokensPerMs = 1220.0;
    Base::Duration eventInterval = std::chrono::milliseconds(70); ///< time between the events of a stream
    Base::Duration messageDelay = std::chrono::microseconds(900); ///< delay of a message between two hosts
    Base::Duration engineRestart = std::chrono::milliseconds(3300); ///< restart time of an engine that a request crashed
    Base::Duration propagationTime = std::chrono::seconds(3); ///< time within which information has to reach all hosts
    /// Time after which a host must not send to an engine that has announced to it that it leaves.
    Base::Duration leavingGracePeriod = std::chrono::seconds(2);
    Configuration::Policies policies {.placement = Configuration::PlacementPolicy::SoonestFirstToken,
                                      .window = Configuration::WindowPolicy::Fixed,
                                      .ejectSlow = false,
                                      .refuseLate = true,
                                      .retryPercent = 20,
                                      .initialRetryBudget = 252.0,
                                      .maxRetryBudget = 252.0,
                                      .retryBudgetIsShared = true,
                                      .wholePoolShards = true};
};

/// A class of requests and its arrival process.
struct Stream
{
    std::string name;
    int rank = 1;
    double perSecond = 0;
    std::uint64_t prefixCount = 1; ///< number of different shared prefixes; each request has one of them, drawn uniformly
    std::uint32_t sharedTokens = 0;
    std::uint32_t ownTokens = 0;
    std::uint32_t events = 1;
    Base::Duration firstToken {}; ///< target
    Base::Duration deadline {};
    bool sameWork = false; ///< all requests have the same path, organisation and body
    bool crashesEngines = false; ///< an engine crashes as soon as it starts one of the requests
    std::uint64_t badPart = 0; ///< a part of all their prompts, between the shared part and the request's own; 0 for none
    bool sharesFirstPart = false; ///< their prompts begin with the same part as those of all streams that have this set
};

/// Results of a simulation.
struct FleetLoadCounts
{
    std::uint64_t offered = 0;
    std::uint64_t inTime = 0; ///< first event within the target, counted from the arrival of the request
    std::uint64_t late = 0;
    std::uint64_t refused = 0; ///< ended with the outcome `not-run`
    std::uint64_t failed = 0; ///< ended with the outcome `unknown`
    std::uint64_t arrivals = 0; ///< requests that arrived at engines
    std::uint64_t repeats = 0; ///< arrivals beyond the first one of each request
    std::uint64_t rejected = 0; ///< rejections by engines that were full, or that had replaced the intended one at its address
    std::uint64_t localRuns = 0; ///< runs started without a dispatcher
    std::uint64_t prefilledAgain = 0; ///< shared tokens that an engine prefilled though another one had prefilled them before
    std::uint32_t maxAtOneEngine = 0; ///< largest number of requests at one engine at a time
    std::uint32_t enginesCrashed = 0; ///< engines crashed by requests of a stream with crashesEngines
    /// Crashing requests sent to engines more than `propagationTime` after the third crash.
    std::uint64_t crashingRunsSentLate = 0;
    /// Crashing requests sent to engines more than `propagationTime` after the fifth crash.
    std::uint64_t crashingRunsSentAfterFifth = 0;
    std::uint64_t othersRefused = 0; ///< requests of other streams that ended as not run
    std::uint64_t othersQuarantined = 0; ///< requests of other streams that were refused because their work was quarantined
    /// Largest excess, in requests within 4 s at an engine, over what its advertised rate allows; negative: never exceeded.
    double maxOverRate = -1e9;
    std::uint64_t arrivalsAtLimited = 0; ///< arrivals at engines that advertise a rate
    /// Number of times that a host first received a response announcing that its engine leaves.
    std::uint64_t informedOfLeaving = 0;
    std::uint64_t arrivalsAtLeaving = 0; ///< arrivals at engines that announce that they leave
    std::uint64_t sentToLeaving = 0; ///< arrivals more than `leavingGracePeriod` after their host received the announcement
    std::uint64_t rejectedWithCapacity = 0; ///< requests that engines rejected though they had room
    /// Largest number of requests from one host within a cooldown that the engine had asked it for.
    std::uint64_t maxDuringCooldown = 0;
};

/// Runs a simulated fleet under load and counts the results.
class FleetLoad
{
public:
    FleetLoad(const FleetLoadOptions &options, std::vector<Stream> streams, std::uint64_t seed)
        : m_options(options)
        , m_streams(std::move(streams))
        , m_random(seed)
        , m_engines(m_options.engines)
    {
        buildCatalogue();
        for (std::size_t index = 0; index < m_options.hosts; ++index) {
            Peer::Member member;
            member.name = fmt::format("h{}", index);
            member.incarnation = index + 1;
            member.milliCores = index < m_options.largeHosts ? m_options.largeMilliCores : m_options.smallMilliCores;
            m_members.push_back(member);
            m_hosts.push_back(
                {std::make_unique<Dispatch::Dispatcher>(member.name), std::make_unique<Request::Home>(member.name, m_random())});
        }
        updateViews();
        for (std::size_t stream = 0; stream < m_streams.size(); ++stream) {
            m_events.push({m_now + interArrivalTime(stream), [this, stream] { arrive(stream); }});
        }
    }

    void run(Base::Duration duration)
    {
        const Base::Instant end = m_now + duration;
        while (m_now < end) {
            const Base::Instant tick = m_now + tickPeriod;
            while (!m_events.empty() && m_events.top().due <= tick) {
                const Event next = m_events.top();
                m_events.pop();
                m_now = std::max(m_now, next.due);
                next.action();
            }
            m_now = tick;
            for (std::size_t host = 0; host < m_hosts.size(); ++host) {
                if (isFrozen(host)) {
                    continue;
                }
                m_hosts[host].dispatcher->tick(m_now);
                m_hosts[host].home->tick(m_now);
                takeOutputs(host);
            }
        }
    }

    /// Drops all messages between hosts, as a failing switch does, until it is called with false.
    void setDropMessages(bool dropMessages)
    {
        m_dropMessages = dropMessages;
    }

    /// Stops the dispatchers of all shards at once; the other hosts detect it after @p detectedAfter.
    void loseDispatchers(Base::Duration detectedAfter)
    {
        for (const Dispatch::ShardInfo &shard : m_shards->shards()) {
            m_lostHosts.insert(indexOf(shard.dispatcher));
        }
        m_events.push({m_now + detectedAfter, [this] {
                           std::erase_if(m_members, [this](const Peer::Member &member) {
                               return m_lostHosts.contains(indexOf(member.name));
                           });
                           updateViews();
                       }});
    }

    /// Freezes a host for @p duration; messages to it are delivered afterwards.
    void freeze(std::size_t host, Base::Duration duration)
    {
        m_hosts[host].frozenUntil = m_now + duration;
    }

    /// Returns the index of the dispatcher of a shard selected by @p randomNumber.
    std::size_t randomDispatcher(std::uint64_t randomNumber) const
    {
        return indexOf(m_shards->shards()[randomNumber % m_shards->shards().size()].dispatcher);
    }

    /// Returns the number of requests that have arrived at engine @p index.
    std::uint64_t arrivalsAt(std::size_t index) const
    {
        return m_engines[index].allArrivals;
    }

    /// Crashes the first @p count engines; they restart after @p down with empty caches.
    void crash(std::size_t count, Base::Duration down)
    {
        for (std::size_t index = 0; index < count; ++index) {
            crashEngine(index, down);
        }
    }

    /// Replaces the first @p count engines by processes that respond at their addresses and reject the requests meant for them.
    /// The configuration still lists the replaced ones.
    void replaceEngines(std::size_t count)
    {
        crash(count, std::chrono::hours(1));
        for (std::size_t index = 0; index < count; ++index) {
            m_engines[index].replaced = true;
        }
    }

    /// Makes the responses of engine @p index advertise @p perSecond requests per second from now on; nothing: they advertise no
    /// rate.
    void setRate(std::size_t index, std::optional<double> perSecond)
    {
        m_engines[index].rate = perSecond;
        m_engines[index].firstAdvertised.reset();
        m_engines[index].informed.clear();
        m_engines[index].arrivals.clear();
    }

    /// Makes the responses of engine @p index announce that it leaves, or stop announcing it.
    void setLeaving(std::size_t index, bool leaves)
    {
        m_engines[index].leaves = leaves;
    }

    /// Makes engine @p index reject @p share of its requests at once and ask for a cooldown of @p cooldown (zero: none).
    void setRejecting(std::size_t index, double share, Base::Duration cooldown)
    {
        m_engines[index].rejectedShare = share;
        m_engines[index].cooldown = cooldown;
    }

    const FleetLoadCounts &counts()
    {
        m_counts.localRuns = 0;
        for (const Host &host : m_hosts) {
            m_counts.localRuns += host.home->counters().localRuns;
        }
        return m_counts;
    }

    const std::vector<Dispatch::ShardInfo> &shards() const
    {
        return m_shards->shards();
    }

private:
    static constexpr Base::Duration tickPeriod = std::chrono::milliseconds(10);
    static constexpr std::uint32_t poolNumber = 1;
    static constexpr std::uint32_t organisationNumber = 1;
    static constexpr std::uint32_t firstEndpoint = 100;
    static constexpr std::uint32_t firstClass = 10;
    static constexpr std::uint64_t firstPart = 0xf1a57;

    struct Event
    {
        Base::Instant due {};
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return due > other.due;
        }
    };

    struct Host
    {
        std::unique_ptr<Dispatch::Dispatcher> dispatcher;
        std::unique_ptr<Request::Home> home;
        Base::Instant frozenUntil {};
    };

    struct Run
    {
        std::size_t host = 0;
        Peer::AttemptId id;
        Base::Instant sent {};
        Base::Instant firstEvent {};

        bool operator==(const Run &other) const
        {
            return host == other.host && id == other.id;
        }
    };

    /// A cooldown that an engine has asked a host for.
    struct Cooldown
    {
        std::size_t host = 0;
        Base::Instant countedFrom {}; ///< requests that arrive after this time count
        Base::Instant until {};
        std::uint64_t received = 0;
    };

    struct Engine
    {
        bool up = true;
        bool replaced = false; ///< another process responds at its address
        std::uint32_t generation = 0;
        std::vector<Run> runs; ///< running and queued runs
        Base::Instant prefillEnd {};
        std::set<std::uint64_t> cachedPrefixes; ///< shared prefixes that it has prefilled
        std::uint64_t allArrivals = 0;
        std::optional<double> rate; ///< requests per second that its responses advertise
        std::optional<Base::Instant> firstAdvertised;
        std::map<std::size_t, Base::Instant> informed; ///< by host: arrival of the first response that advertised the rate
        std::deque<Base::Instant> arrivals; ///< arrivals within 4 s from hosts that had received the rate half a second before
        bool leaves = false;
        std::map<std::size_t, Base::Instant> informedOfLeaving; ///< by host: arrival of the first response that announced it
        double rejectedShare = 0;
        Base::Duration cooldown {};
        std::vector<Cooldown> cooldowns;
    };

    struct Call
    {
        std::size_t stream = 0;
        std::uint64_t prefixId = 0;
        Base::Instant arrived {};
        bool sent = false; ///< whether it has been sent to an engine
    };

    void buildCatalogue()
    {
        Configuration::CatalogueParts parts;
        parts.revision = 1;
        parts.policies = m_options.policies;
        Configuration::Pool pool;
        pool.number = poolNumber;
        pool.name = "main";
        parts.pools.push_back(pool);
        Configuration::Organisation organisation;
        organisation.number = organisationNumber;
        organisation.name = "small";
        parts.organisations.push_back(organisation);
        for (std::size_t index = 0; index < m_streams.size(); ++index) {
            const Stream &stream = m_streams[index];
            Configuration::RequestClass requestClass;
            requestClass.number = firstClass + static_cast<std::uint32_t>(index);
            requestClass.name = stream.name;
            requestClass.rank = stream.rank;
            requestClass.pool = poolNumber;
            requestClass.firstToken = stream.firstToken;
            requestClass.tokenGap = std::chrono::milliseconds(500);
            requestClass.deadline = stream.deadline;
            requestClass.starvationBound = stream.deadline / 2;
            requestClass.deadlineEndsRun = true;
            requestClass.maxRuns = 2;
            parts.classes.push_back(requestClass);
        }
        for (std::size_t index = 0; index < m_options.engines; ++index) {
            Configuration::Endpoint endpoint;
            endpoint.number = firstEndpoint + static_cast<std::uint32_t>(index);
            endpoint.name = fmt::format("e{}", index);
            endpoint.pool = poolNumber;
            endpoint.slots = m_options.slots;
            endpoint.kvCacheTokens = m_options.kvCacheTokens;
            endpoint.transferTokensPerMs = m_options.transferTokensPerMs;
            parts.endpoints.push_back(endpoint);
        }
        m_catalogue = Configuration::Catalogue::assemble(std::move(parts));
    }

    static std::uint32_t endpointOf(std::size_t index)
    {
        return firstEndpoint + static_cast<std::uint32_t>(index);
    }

    static std::size_t indexOf(const std::string &name)
    {
        return std::stoul(name.substr(1));
    }

    void crashEngine(std::size_t index, Base::Duration down)
    {
        Engine &engine = m_engines[index];
        const auto runs = std::exchange(engine.runs, {});
        engine = {.up = false, .generation = engine.generation + 1};
        for (const Run &run : runs) {
            report(run, Request::RunStage::Sent);
        }
        m_events.push({m_now + down, [this, index] { m_engines[index].up = true; }});
    }

    /// Starts a request that crashes its engine.
    void beginCrashingRun(std::size_t index, const Run &run, std::uint32_t generation)
    {
        Engine &engine = m_engines[index];
        if (engine.generation != generation || std::ranges::find(engine.runs, run) == engine.runs.end()) {
            return;
        }
        ++m_counts.enginesCrashed;
        m_thirdCrash = m_counts.enginesCrashed == 3 ? m_now : m_thirdCrash;
        m_fifthCrash = m_counts.enginesCrashed == 5 ? m_now : m_fifthCrash;
        crashEngine(index, m_options.engineRestart);
    }

    void updateViews()
    {
        m_shards = std::make_shared<Dispatch::ShardMap>(*m_catalogue, m_members);
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            m_hosts[host].dispatcher->update(m_now, *m_shards, m_catalogue);
            m_hosts[host].home->updateView(m_now, m_catalogue, m_shards, m_members);
            takeOutputs(host);
        }
    }

    Base::Duration interArrivalTime(std::size_t stream)
    {
        const double seconds = std::exponential_distribution<double>(m_streams[stream].perSecond)(m_random);
        return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(seconds));
    }

    void arrive(std::size_t stream)
    {
        m_events.push({m_now + interArrivalTime(stream), [this, stream] { arrive(stream); }});
        std::size_t host = m_random() % m_hosts.size();
        while (m_lostHosts.contains(host) || isFrozen(host)) {
            host = m_random() % m_hosts.size();
        }
        const Stream &parameters = m_streams[stream];
        const std::uint64_t prefixId = (stream << 32U) + 1 + m_random() % parameters.prefixCount;
        const std::uint64_t id = m_nextRequest++;
        m_calls[id] = {stream, prefixId, m_now};
        ++m_counts.offered;
        Request::NewRequest request;
        request.id = id;
        request.requestClass = firstClass + static_cast<std::uint32_t>(stream);
        request.organisation = organisationNumber;
        request.promptTokens = parameters.sharedTokens + parameters.ownTokens;
        request.prefix = {prefixId, (std::uint64_t {1} << 63U) + id};
        request.prefixTokens = {parameters.sharedTokens, request.promptTokens};
        request.expectedTokens = parameters.events * 8;
        if (parameters.sharesFirstPart) {
            request.parts.push_back(firstPart);
        }
        request.parts.push_back(prefixId);
        if (parameters.badPart != 0) {
            request.parts.push_back(parameters.badPart);
        }
        request.streams = true;
        request.work = parameters.sameWork ? prefixId : id;
        m_hosts[host].home->start(m_now, request);
        takeOutputs(host);
    }

    void takeOutputs(std::size_t host)
    {
        if (m_lostHosts.contains(host)) {
            m_hosts[host].dispatcher->takeReplies();
            m_hosts[host].home->takeActions();
            return;
        }
        for (const Dispatch::Reply &reply : m_hosts[host].dispatcher->takeReplies()) {
            send(host, indexOf(reply.home.name), reply.message);
        }
        for (const Request::Action &action : m_hosts[host].home->takeActions()) {
            handleAction(host, action);
        }
    }

    void send(std::size_t from, std::size_t to, const Peer::Message &message)
    {
        if (from != to && (m_dropMessages || m_lostHosts.contains(to))) {
            return;
        }
        const Base::Duration messageDelay = from == to ? Base::Duration::zero() : m_options.messageDelay;
        m_events.push({m_now + messageDelay, [this, from, to, message] { deliver(from, to, message); }});
    }

    bool isFrozen(std::size_t host) const
    {
        return m_now < m_hosts[host].frozenUntil;
    }

    void deliver(std::size_t from, std::size_t to, const Peer::Message &message)
    {
        Host &host = m_hosts[to];
        if (isFrozen(to)) {
            m_events.push({host.frozenUntil, [this, from, to, message] { deliver(from, to, message); }});
            return;
        }
        const Dispatch::Home sender {fmt::format("h{}", from), from + 1};
        std::visit(
            [&](const auto &content) {
                if constexpr (requires { host.dispatcher->receive(m_now, sender, content); }) {
                    host.dispatcher->receive(m_now, sender, content);
                } else if constexpr (requires { host.home->receive(m_now, sender.name, content); }) {
                    host.home->receive(m_now, sender.name, content);
                }
            },
            message);
        takeOutputs(to);
    }

    void handleAction(std::size_t host, const Request::Action &action)
    {
        if (const auto *message = std::get_if<Request::SendToMember>(&action)) {
            send(host, indexOf(message->member.name), message->message);
        } else if (const auto *run = std::get_if<Request::StartRun>(&action)) {
            startRun(host, *run);
        } else if (const auto *cancel = std::get_if<Request::CancelRun>(&action)) {
            for (Engine &engine : m_engines) {
                std::erase_if(engine.runs,
                              [&](const Run &other) { return other.host == host && other.id.request == cancel->request; });
            }
        } else if (const auto *fail = std::get_if<Request::Fail>(&action)) {
            const bool notRun = fail->outcome == Request::Outcome::NotRun;
            ++(notRun ? m_counts.refused : m_counts.failed);
            const auto call = m_calls.find(fail->request);
            const bool isOther = call != m_calls.end() && !m_streams[call->second.stream].crashesEngines;
            m_counts.othersRefused += notRun && isOther ? 1 : 0;
            const bool quarantined = Base::errorKind(fail->error) == Base::ErrorKind::CrashesEndpoints;
            m_counts.othersQuarantined += quarantined && isOther ? 1 : 0;
            m_calls.erase(fail->request);
        }
    }

    void startRun(std::size_t host, const Request::StartRun &start)
    {
        const std::size_t index = start.endpoint - firstEndpoint;
        Engine &engine = m_engines[index];
        const Run run {host, start.id, m_now, {}};
        if (!engine.up && !engine.replaced) {
            m_events.push({m_now, [this, run] { report(run, Request::RunStage::NotSent); }});
            return;
        }
        ++m_counts.arrivals;
        ++engine.allArrivals;
        m_counts.repeats += std::exchange(m_calls.at(start.id.request).sent, true) ? 1 : 0;
        if (engine.replaced) {
            ++m_counts.rejected;
            // The response comes after a new connection has been made.
            m_events.push(
                {m_now + m_options.messageDelay * 4, [this, run] { report(run, Request::RunStage::EndpointReplaced); }});
            return;
        }
        if (engine.runs.size() >= m_options.slots + m_options.engineQueue) {
            ++m_counts.rejected;
            m_events.push({m_now, [this, run] { report(run, Request::RunStage::Rejected); }});
            return;
        }
        countAgainstAvailability(engine, host);
        if (engine.rejectedShare > 0 && std::uniform_real_distribution<double>()(m_random) < engine.rejectedShare) {
            ++m_counts.rejectedWithCapacity;
            m_events.push({m_now + m_options.messageDelay * 4, [this, index, run] { rejectRun(index, run); }});
            return;
        }
        if (engine.rate) {
            countAgainstRate(engine, host);
        }
        const Call &call = m_calls.at(start.id.request);
        const Stream &parameters = m_streams[call.stream];
        m_counts.crashingRunsSentLate += parameters.crashesEngines && m_now > m_thirdCrash + m_options.propagationTime ? 1 : 0;
        m_counts.crashingRunsSentAfterFifth
            += parameters.crashesEngines && m_now > m_fifthCrash + m_options.propagationTime ? 1 : 0;
        engine.runs.push_back(run);
        m_counts.maxAtOneEngine = std::max(m_counts.maxAtOneEngine, static_cast<std::uint32_t>(engine.runs.size()));
        const bool cached = !engine.cachedPrefixes.insert(call.prefixId).second;
        const bool transferred
            = !cached && start.keeper != 0 && m_engines[start.keeper - firstEndpoint].cachedPrefixes.contains(call.prefixId);
        if (!cached && !m_prefilledPrefixes.insert(call.prefixId).second && !transferred) {
            m_counts.prefilledAgain += parameters.sharedTokens;
        }
        const double tokens = parameters.ownTokens + (cached || transferred ? 0.0 : parameters.sharedTokens);
        const auto prefill = std::chrono::duration_cast<Base::Duration>(
            std::chrono::duration<double, std::milli>(tokens / m_options.prefillTokensPerMs));
        engine.prefillEnd = std::max(engine.prefillEnd, m_now) + prefill;
        const Base::Instant end = engine.prefillEnd + m_options.eventInterval * parameters.events;
        Run ended = run;
        ended.firstEvent = engine.prefillEnd;
        engine.runs.back() = ended;
        if (parameters.crashesEngines) {
            m_events.push({engine.prefillEnd,
                           [this, index, ended, generation = engine.generation] { beginCrashingRun(index, ended, generation); }});
        }
        m_events.push({engine.prefillEnd, [this, index, ended, generation = engine.generation, start] {
                           beginResponse(index, ended, generation, start);
                       }});
        m_events.push({end, [this, index, ended, generation = engine.generation] { finish(index, ended, generation); }});
    }

    void countAgainstAvailability(Engine &engine, std::size_t host)
    {
        m_counts.arrivalsAtLeaving += engine.leaves ? 1 : 0;
        const auto informed = engine.informedOfLeaving.find(host);
        const Base::Instant hostFrozenUntil = m_hosts[host].frozenUntil;
        m_counts.sentToLeaving += informed != engine.informedOfLeaving.end() && informed->second > hostFrozenUntil
                && m_now > informed->second + m_options.leavingGracePeriod
            ? 1
            : 0;
        for (Cooldown &cooldown : engine.cooldowns) {
            if (cooldown.host == host && m_now > cooldown.countedFrom && m_now < cooldown.until
                && cooldown.countedFrom > hostFrozenUntil) {
                m_counts.maxDuringCooldown = std::max(m_counts.maxDuringCooldown, ++cooldown.received);
            }
        }
    }

    void rejectRun(std::size_t index, const Run &run)
    {
        constexpr Base::Duration graceTime = std::chrono::milliseconds(500);
        if (m_lostHosts.contains(run.host)) {
            return;
        }
        if (isFrozen(run.host)) {
            m_events.push({m_hosts[run.host].frozenUntil, [this, index, run] { rejectRun(index, run); }});
            return;
        }
        Engine &engine = m_engines[index];
        Request::EndpointAdvertisement advertised;
        advertised.availability.cooldown = engine.cooldown;
        if (engine.cooldown > Base::Duration::zero()) {
            engine.cooldowns.push_back({run.host, m_now + graceTime, m_now + engine.cooldown, 0});
        }
        m_hosts[run.host].home->endpointAdvertised(m_now, run.id, endpointOf(index), advertised);
        report(run, Request::RunStage::Rejected);
    }

    /// Checks the arrivals at an engine that advertises a rate. Within any 4 s, one and a half times the rate plus 5 requests are
    /// allowed. Only hosts that received the rate half a second before count, and only once it had the time to reach the whole
    /// fleet.
    void countAgainstRate(Engine &engine, std::size_t host)
    {
        constexpr Base::Duration window = std::chrono::seconds(4);
        constexpr Base::Duration informedBefore = std::chrono::milliseconds(500);
        ++m_counts.arrivalsAtLimited;
        const auto informed = engine.informed.find(host);
        const bool recentlyFrozen = m_now < m_hosts[host].frozenUntil + m_options.propagationTime;
        if (recentlyFrozen || informed == engine.informed.end() || m_now < informed->second + informedBefore
            || m_now < *engine.firstAdvertised + m_options.propagationTime) {
            return;
        }
        engine.arrivals.push_back(m_now);
        while (engine.arrivals.front() <= m_now - window) {
            engine.arrivals.pop_front();
        }
        const double allowed = 1.5 * *engine.rate * Base::seconds(window) + 5;
        m_counts.maxOverRate = std::max(m_counts.maxOverRate, static_cast<double>(engine.arrivals.size()) - allowed);
    }

    /// Handles the first event of a run: the home reports what the response advertises, and the end of the prefill.
    void beginResponse(std::size_t index, const Run &run, std::uint32_t generation, const Request::StartRun &start)
    {
        Engine &engine = m_engines[index];
        if (engine.generation != generation || std::ranges::find(engine.runs, run) == engine.runs.end()
            || m_lostHosts.contains(run.host)) {
            return;
        }
        if (isFrozen(run.host)) {
            m_events.push({m_hosts[run.host].frozenUntil,
                           [this, index, run, generation, start] { beginResponse(index, run, generation, start); }});
            return;
        }
        if (engine.rate) {
            engine.firstAdvertised = engine.firstAdvertised.value_or(m_now);
            engine.informed.try_emplace(run.host, m_now);
        }
        if (engine.leaves) {
            m_counts.informedOfLeaving += engine.informedOfLeaving.try_emplace(run.host, m_now).second ? 1 : 0;
        }
        if (engine.rate || start.reportRate || engine.leaves) {
            const auto header = engine.rate ? Rate::RateHeader::Limit : Rate::RateHeader::None;
            m_hosts[run.host].home->endpointAdvertised(
                m_now, run.id, endpointOf(index),
                {.rate = {header, engine.rate.value_or(0)}, .availability = {.leaves = engine.leaves}});
            takeOutputs(run.host);
        }
        if (start.reportFirstToken) {
            m_hosts[run.host].home->firstTokenReceived(m_now, run.id);
            takeOutputs(run.host);
        }
    }

    void finish(std::size_t index, const Run &run, std::uint32_t generation)
    {
        Engine &engine = m_engines[index];
        if (engine.generation != generation || std::erase(engine.runs, run) == 0) {
            return;
        }
        if (const auto call = m_calls.find(run.id.request); call != m_calls.end()) {
            const bool inTime = run.firstEvent - call->second.arrived <= m_streams[call->second.stream].firstToken;
            ++(inTime ? m_counts.inTime : m_counts.late);
        }
        report(run, Request::RunStage::ResponseComplete);
        m_calls.erase(run.id.request);
    }

    void report(const Run &run, Request::RunStage stage)
    {
        if (m_lostHosts.contains(run.host)) {
            return;
        }
        if (isFrozen(run.host)) {
            m_events.push({m_hosts[run.host].frozenUntil, [this, run, stage] { report(run, stage); }});
            return;
        }
        Request::RunReport report;
        report.id = run.id;
        report.stage = stage;
        report.status = run.firstEvent != Base::Instant {} && run.firstEvent <= m_now ? 200 : 0;
        if (stage == Request::RunStage::ResponseComplete) {
            report.firstToken = run.firstEvent - run.sent;
            report.gap = m_options.eventInterval;
            report.longestGap = m_options.eventInterval;
            report.tokens = 8;
        }
        m_hosts[run.host].home->runEnded(m_now, report);
        takeOutputs(run.host);
    }

    FleetLoadOptions m_options;
    std::vector<Stream> m_streams;
    std::mt19937_64 m_random;
    std::vector<Engine> m_engines;
    std::shared_ptr<const Configuration::Catalogue> m_catalogue;
    std::shared_ptr<const Dispatch::ShardMap> m_shards;
    std::vector<Peer::Member> m_members;
    std::vector<Host> m_hosts;
    std::set<std::size_t> m_lostHosts;
    std::priority_queue<Event> m_events;
    std::map<std::uint64_t, Call> m_calls;
    std::set<std::uint64_t> m_prefilledPrefixes;
    Base::Instant m_thirdCrash = Base::Instant(std::chrono::hours(24 * 365));
    Base::Instant m_fifthCrash = m_thirdCrash;
    Base::Instant m_now = Base::Instant(std::chrono::seconds(1000));
    std::uint64_t m_nextRequest = 1;
    bool m_dropMessages = false;
    FleetLoadCounts m_counts;
};

} // namespace Yokepond::Tests
