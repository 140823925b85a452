// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Many homes, their dispatchers and a pool of engines under one simulated clock, without a network: the real homes,
/// dispatchers and shard map before a simple model of engines. Load tests say which pattern of load they answer.

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

/// The fleet and the pool. The defaults are the large deployment's: hosts and engines by number, an engine's slots, queue,
/// reading speed and memory as its operators state them.
struct FleetLoadOptions
{
    std::size_t hosts = 295;
    std::size_t largeHosts = 15; ///< of these, with the most processor
    std::uint32_t largeMilliCores = 500;
    std::uint32_t smallMilliCores = 120;
    std::size_t engines = 320;
    std::uint32_t slots = 32;
    std::uint32_t engineQueue = 67; ///< requests that wait at an engine; it rejects those beyond
    double tokensPerMs = 36.7; ///< of prompts, that an engine reads
    std::uint64_t kvCacheTokens = 506'735;
    double transferTokensPerMs = 1220.0; ///< of a kept prompt, over an engine's link of 180 Gbit/s at 18,432 bytes a token
    Base::Duration event = std::chrono::milliseconds(70); ///< between the events of a stream
    Base::Duration way = std::chrono::microseconds(900); ///< of a message between two hosts
    Base::Duration engineStarts = std::chrono::milliseconds(3300); ///< until an engine that was ended by a request is back
    Base::Duration contact = std::chrono::seconds(3); ///< after which each host has to know what another saw
    Base::Duration leavingBound
        = std::chrono::seconds(2); ///< after which a host sends nothing to an engine that told it it leaves
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

/// One class of requests and how they come.
struct Stream
{
    std::string name;
    int rank = 1;
    double perSecond = 0;
    std::uint64_t subjects = 1; ///< different shared beginnings; each request is of one, drawn evenly
    std::uint32_t sharedTokens = 0;
    std::uint32_t ownTokens = 0;
    std::uint32_t events = 1;
    Base::Duration firstToken {}; ///< target
    Base::Duration deadline {};
    bool sameWork = false; ///< all its requests have one path, organisation and body
    bool endsEngines = false; ///< an engine ends as soon as it begins one of them
};

struct FleetLoadCounts
{
    std::uint64_t offered = 0;
    std::uint64_t inTime = 0; ///< first event within the target, counted from the caller's request
    std::uint64_t late = 0;
    std::uint64_t refused = 0; ///< ended as not run
    std::uint64_t failed = 0; ///< ended otherwise than whole
    std::uint64_t arrivals = 0; ///< at engines
    std::uint64_t repeats = 0; ///< of these, beyond the first of a request
    std::uint64_t rejected = 0; ///< by engines that were full, or had the address of the one that was meant
    std::uint64_t localRuns = 0; ///< begun without a dispatcher
    std::uint64_t readAgain = 0; ///< shared tokens read by an engine though some engine had read them before
    std::uint32_t mostAtOneEngine = 0; ///< requests at one moment
    std::uint32_t enginesEnded = 0; ///< by requests that end the engines that begin them
    std::uint64_t sentLater = 0; ///< such requests that were sent to engines over `contact` after the third had ended
    std::uint64_t othersRefused = 0; ///< of the requests that end no engines, as not run
    std::uint64_t othersHeld = 0; ///< of the requests that end no engines, refused since they were blamed for endings
    double mostOverRate = -1e9; ///< requests in 4 s at an engine beyond what the rate that it names allows; below 0: fewer
    std::uint64_t atLimited = 0; ///< arrivals at engines that name a rate
    std::uint64_t toldLeaving = 0; ///< hosts that got an answer by which its engine leaves
    std::uint64_t atLeaving = 0; ///< arrivals at engines that say that they leave
    std::uint64_t sentToLeaving = 0; ///< of these, over `leavingBound` after their host had got such an answer
    std::uint64_t turnedAway = 0; ///< requests that engines refused though they had room
    std::uint64_t mostInRest = 0; ///< requests from one host within one rest that it had been asked for
};

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
        showView();
        for (std::size_t stream = 0; stream < m_streams.size(); ++stream) {
            m_events.push({m_now + gapOf(stream), [this, stream] { arrive(stream); }});
        }
    }

    void run(Base::Duration duration)
    {
        const Base::Instant end = m_now + duration;
        while (m_now < end) {
            const Base::Instant tick = m_now + tickPeriod;
            while (!m_events.empty() && m_events.top().due <= tick) {
                const Event event = m_events.top();
                m_events.pop();
                m_now = std::max(m_now, event.due);
                event.action();
            }
            m_now = tick;
            for (std::size_t host = 0; host < m_hosts.size(); ++host) {
                if (isFrozen(host)) {
                    continue;
                }
                m_hosts[host].dispatcher->tick(m_now);
                m_hosts[host].home->tick(m_now);
                collect(host);
            }
        }
    }

    /// Messages between hosts are swallowed, as by a switch that fails, until it is called again.
    void setSwallowed(bool swallowed)
    {
        m_swallowed = swallowed;
    }

    /// The dispatchers of all shards end at once, and the others learn of it after @p learnedAfter.
    void loseDispatchers(Base::Duration learnedAfter)
    {
        for (const Dispatch::ShardInfo &shard : m_shards->shards()) {
            m_lost.insert(indexOf(shard.dispatcher));
        }
        m_events.push({m_now + learnedAfter, [this] {
                           std::erase_if(m_members,
                                         [this](const Peer::Member &member) { return m_lost.contains(indexOf(member.name)); });
                           showView();
                       }});
    }

    /// A host stands still for @p duration: what comes to it waits.
    void freeze(std::size_t host, Base::Duration duration)
    {
        m_hosts[host].frozenUntil = m_now + duration;
    }

    /// Of a shard, drawn from @p drawn.
    std::size_t someDispatcher(std::uint64_t drawn) const
    {
        return indexOf(m_shards->shards()[drawn % m_shards->shards().size()].dispatcher);
    }

    /// Requests that have come to engine @p index.
    std::uint64_t arrivalsAt(std::size_t index) const
    {
        return m_engines[index].allArrivals;
    }

    /// The first @p count engines end, and begin anew after @p down without what they kept.
    void crash(std::size_t count, Base::Duration down)
    {
        for (std::size_t index = 0; index < count; ++index) {
            endEngine(index, down);
        }
    }

    /// The first @p count engines end, and others that know nothing of them answer at their addresses. They stay listed.
    void replace(std::size_t count)
    {
        crash(count, std::chrono::hours(1));
        for (std::size_t index = 0; index < count; ++index) {
            m_engines[index].replaced = true;
        }
    }

    /// The answers of engine @p index name @p perSecond requests a second from now on; nothing: they name none any more.
    void nameRate(std::size_t index, std::optional<double> perSecond)
    {
        m_engines[index].rate = perSecond;
        m_engines[index].firstNamed.reset();
        m_engines[index].told.clear();
        m_engines[index].arrivals.clear();
    }

    /// The answers of engine @p index say from now on whether it leaves.
    void sayLeaving(std::size_t index, bool leaves)
    {
        m_engines[index].leaves = leaves;
    }

    /// Engine @p index turns @p share of what comes away at once and asks for @p rest, zero: for none; nothing else of it
    /// changes.
    void turnAway(std::size_t index, double share, Base::Duration cooldown)
    {
        m_engines[index].turnedAwayShare = share;
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

    /// A rest that an engine has asked a host for.
    struct AskedRest
    {
        std::size_t host = 0;
        Base::Instant counted {}; ///< requests that come later count
        Base::Instant until {};
        std::uint64_t got = 0;
    };

    struct Engine
    {
        bool up = true;
        bool replaced = false; ///< another answers at its address
        std::uint32_t generation = 0;
        std::vector<Run> runs; ///< running and waiting
        Base::Instant readUntil {};
        std::set<std::uint64_t> kept; ///< shared beginnings that it has read
        std::uint64_t allArrivals = 0;
        std::optional<double> rate; ///< requests a second, that its answers name
        std::optional<Base::Instant> firstNamed;
        std::map<std::size_t, Base::Instant> told; ///< by host: when an answer that named the rate first came to it
        std::deque<Base::Instant> arrivals; ///< in the last 4 s, from hosts that had been told half a second before
        bool leaves = false;
        std::map<std::size_t, Base::Instant> toldLeaving; ///< by host: when an answer that says so first came to it
        double turnedAwayShare = 0;
        Base::Duration cooldown {};
        std::vector<AskedRest> rests;
    };

    struct Call
    {
        std::size_t stream = 0;
        std::uint64_t subject = 0;
        Base::Instant arrived {};
        bool sent = false; ///< to some engine
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

    void endEngine(std::size_t index, Base::Duration down)
    {
        Engine &engine = m_engines[index];
        const auto runs = std::exchange(engine.runs, {});
        engine = {.up = false, .generation = engine.generation + 1};
        for (const Run &run : runs) {
            report(run, Request::RunStage::Sent);
        }
        m_events.push({m_now + down, [this, index] { m_engines[index].up = true; }});
    }

    /// An engine begins a request that ends it.
    void beginFatal(std::size_t index, const Run &run, std::uint32_t generation)
    {
        Engine &engine = m_engines[index];
        if (engine.generation != generation || std::ranges::find(engine.runs, run) == engine.runs.end()) {
            return;
        }
        if (++m_counts.enginesEnded == 3) {
            m_thirdEnd = m_now;
        }
        endEngine(index, m_options.engineStarts);
    }

    void showView()
    {
        m_shards = std::make_shared<Dispatch::ShardMap>(*m_catalogue, m_members);
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            m_hosts[host].dispatcher->update(m_now, *m_shards, m_catalogue);
            m_hosts[host].home->updateView(m_now, m_catalogue, m_shards, m_members);
            collect(host);
        }
    }

    Base::Duration gapOf(std::size_t stream)
    {
        const double seconds = std::exponential_distribution<double>(m_streams[stream].perSecond)(m_random);
        return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(seconds));
    }

    void arrive(std::size_t stream)
    {
        m_events.push({m_now + gapOf(stream), [this, stream] { arrive(stream); }});
        std::size_t host = m_random() % m_hosts.size();
        while (m_lost.contains(host) || isFrozen(host)) {
            host = m_random() % m_hosts.size();
        }
        const Stream &terms = m_streams[stream];
        const std::uint64_t subject = (stream << 32U) + 1 + m_random() % terms.subjects;
        const std::uint64_t id = m_nextRequest++;
        m_calls[id] = {stream, subject, m_now};
        ++m_counts.offered;
        Request::NewRequest request;
        request.id = id;
        request.requestClass = firstClass + static_cast<std::uint32_t>(stream);
        request.organisation = organisationNumber;
        request.promptTokens = terms.sharedTokens + terms.ownTokens;
        request.prefix = {subject, (std::uint64_t {1} << 63U) + id};
        request.prefixTokens = {terms.sharedTokens, request.promptTokens};
        request.expectedTokens = terms.events * 8;
        request.streams = true;
        request.work = terms.sameWork ? subject : id;
        m_hosts[host].home->start(m_now, request);
        collect(host);
    }

    void collect(std::size_t host)
    {
        if (m_lost.contains(host)) {
            m_hosts[host].dispatcher->takeReplies();
            m_hosts[host].home->takeActions();
            return;
        }
        for (const Dispatch::Reply &reply : m_hosts[host].dispatcher->takeReplies()) {
            send(host, indexOf(reply.home.name), reply.message);
        }
        for (const Request::Action &action : m_hosts[host].home->takeActions()) {
            act(host, action);
        }
    }

    void send(std::size_t from, std::size_t to, const Peer::Message &message)
    {
        if (from != to && (m_swallowed || m_lost.contains(to))) {
            return;
        }
        const Base::Duration way = from == to ? Base::Duration::zero() : m_options.way;
        m_events.push({m_now + way, [this, from, to, message] { deliver(from, to, message); }});
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
        collect(to);
    }

    void act(std::size_t host, const Request::Action &action)
    {
        if (const auto *message = std::get_if<Request::SendToMember>(&action)) {
            send(host, indexOf(message->member), message->message);
        } else if (const auto *run = std::get_if<Request::StartRun>(&action)) {
            begin(host, *run);
        } else if (const auto *cancel = std::get_if<Request::CancelRun>(&action)) {
            for (Engine &engine : m_engines) {
                std::erase_if(engine.runs,
                              [&](const Run &other) { return other.host == host && other.id.request == cancel->request; });
            }
        } else if (const auto *fail = std::get_if<Request::Fail>(&action)) {
            const bool notRun = fail->outcome == Request::Outcome::NotRun;
            ++(notRun ? m_counts.refused : m_counts.failed);
            const auto call = m_calls.find(fail->request);
            const bool ordinary = call != m_calls.end() && !m_streams[call->second.stream].endsEngines;
            m_counts.othersRefused += notRun && ordinary ? 1 : 0;
            const bool quarantined = Base::errorKind(fail->error) == Base::ErrorKind::CrashesEndpoints;
            m_counts.othersHeld += quarantined && ordinary ? 1 : 0;
            m_calls.erase(fail->request);
        }
    }

    void begin(std::size_t host, const Request::StartRun &start)
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
            // The answer comes after a connection of its own has been made.
            m_events.push({m_now + m_options.way * 4, [this, run] { report(run, Request::RunStage::EndpointReplaced); }});
            return;
        }
        if (engine.runs.size() >= m_options.slots + m_options.engineQueue) {
            ++m_counts.rejected;
            m_events.push({m_now, [this, run] { report(run, Request::RunStage::Rejected); }});
            return;
        }
        countAgainstAvailability(engine, host);
        if (engine.turnedAwayShare > 0 && std::uniform_real_distribution<double>()(m_random) < engine.turnedAwayShare) {
            ++m_counts.turnedAway;
            m_events.push({m_now + m_options.way * 4, [this, index, run] { answerTurnedAway(index, run); }});
            return;
        }
        if (engine.rate) {
            countAgainstRate(engine, host);
        }
        const Call &call = m_calls.at(start.id.request);
        const Stream &terms = m_streams[call.stream];
        m_counts.sentLater += terms.endsEngines && m_now > m_thirdEnd + m_options.contact ? 1 : 0;
        engine.runs.push_back(run);
        m_counts.mostAtOneEngine = std::max(m_counts.mostAtOneEngine, static_cast<std::uint32_t>(engine.runs.size()));
        const bool kept = !engine.kept.insert(call.subject).second;
        const bool moved = !kept && start.keeper != 0 && m_engines[start.keeper - firstEndpoint].kept.contains(call.subject);
        if (!kept && !m_readSomewhere.insert(call.subject).second && !moved) {
            m_counts.readAgain += terms.sharedTokens;
        }
        const double tokens = terms.ownTokens + (kept || moved ? 0.0 : terms.sharedTokens);
        const auto reading = std::chrono::duration_cast<Base::Duration>(
            std::chrono::duration<double, std::milli>(tokens / m_options.tokensPerMs));
        engine.readUntil = std::max(engine.readUntil, m_now) + reading;
        const Base::Instant end = engine.readUntil + m_options.event * terms.events;
        Run ended = run;
        ended.firstEvent = engine.readUntil;
        engine.runs.back() = ended;
        if (terms.endsEngines) {
            m_events.push({engine.readUntil,
                           [this, index, ended, generation = engine.generation] { beginFatal(index, ended, generation); }});
        }
        m_events.push({engine.readUntil, [this, index, ended, generation = engine.generation, reportRate = start.reportRate] {
                           beginAnswer(index, ended, generation, reportRate);
                       }});
        m_events.push({end, [this, index, ended, generation = engine.generation] { finish(index, ended, generation); }});
    }

    void countAgainstAvailability(Engine &engine, std::size_t host)
    {
        m_counts.atLeaving += engine.leaves ? 1 : 0;
        const auto told = engine.toldLeaving.find(host);
        const Base::Instant stoodStillUntil = m_hosts[host].frozenUntil;
        m_counts.sentToLeaving
            += told != engine.toldLeaving.end() && told->second > stoodStillUntil && m_now > told->second + m_options.leavingBound
            ? 1
            : 0;
        for (AskedRest &cooldown : engine.rests) {
            if (cooldown.host == host && m_now > cooldown.counted && m_now < cooldown.until
                && cooldown.counted > stoodStillUntil) {
                m_counts.mostInRest = std::max(m_counts.mostInRest, ++cooldown.got);
            }
        }
    }

    void answerTurnedAway(std::size_t index, const Run &run)
    {
        constexpr Base::Duration uncounted = std::chrono::milliseconds(500);
        if (m_lost.contains(run.host)) {
            return;
        }
        if (isFrozen(run.host)) {
            m_events.push({m_hosts[run.host].frozenUntil, [this, index, run] { answerTurnedAway(index, run); }});
            return;
        }
        Engine &engine = m_engines[index];
        Request::EndpointAdvertisement stated;
        stated.availability.cooldown = engine.cooldown;
        if (engine.cooldown > Base::Duration::zero()) {
            engine.rests.push_back({run.host, m_now + uncounted, m_now + engine.cooldown, 0});
        }
        m_hosts[run.host].home->endpointAdvertised(m_now, run.id, endpointOf(index), stated);
        report(run, Request::RunStage::Rejected);
    }

    /// What an engine that names a rate takes in some 4 s is one and a half times that and 5 requests, from the hosts that had
    /// its word for half a second, once the fleet had the time to hear of it.
    void countAgainstRate(Engine &engine, std::size_t host)
    {
        constexpr Base::Duration window = std::chrono::seconds(4);
        constexpr Base::Duration toldBefore = std::chrono::milliseconds(500);
        ++m_counts.atLimited;
        const auto told = engine.told.find(host);
        const bool stoodStill = m_now < m_hosts[host].frozenUntil + m_options.contact;
        if (stoodStill || told == engine.told.end() || m_now < told->second + toldBefore
            || m_now < *engine.firstNamed + m_options.contact) {
            return;
        }
        engine.arrivals.push_back(m_now);
        while (engine.arrivals.front() <= m_now - window) {
            engine.arrivals.pop_front();
        }
        const double allowed = 1.5 * *engine.rate * Base::seconds(window) + 5;
        m_counts.mostOverRate = std::max(m_counts.mostOverRate, static_cast<double>(engine.arrivals.size()) - allowed);
    }

    void beginAnswer(std::size_t index, const Run &run, std::uint32_t generation, bool reportRate)
    {
        Engine &engine = m_engines[index];
        if (engine.generation != generation || std::ranges::find(engine.runs, run) == engine.runs.end()
            || m_lost.contains(run.host)) {
            return;
        }
        if (isFrozen(run.host)) {
            m_events.push({m_hosts[run.host].frozenUntil,
                           [this, index, run, generation, reportRate] { beginAnswer(index, run, generation, reportRate); }});
            return;
        }
        if (engine.rate) {
            engine.firstNamed = engine.firstNamed.value_or(m_now);
            engine.told.try_emplace(run.host, m_now);
        }
        if (engine.leaves) {
            m_counts.toldLeaving += engine.toldLeaving.try_emplace(run.host, m_now).second ? 1 : 0;
        }
        if (engine.rate || reportRate || engine.leaves) {
            const auto header = engine.rate ? Rate::RateHeader::Limit : Rate::RateHeader::None;
            m_hosts[run.host].home->endpointAdvertised(
                m_now, run.id, endpointOf(index),
                {.rate = {header, engine.rate.value_or(0)}, .availability = {.leaves = engine.leaves}});
            collect(run.host);
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
        if (m_lost.contains(run.host)) {
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
            report.gap = m_options.event;
            report.longestGap = m_options.event;
            report.tokens = 8;
        }
        m_hosts[run.host].home->runEnded(m_now, report);
        collect(run.host);
    }

    FleetLoadOptions m_options;
    std::vector<Stream> m_streams;
    std::mt19937_64 m_random;
    std::vector<Engine> m_engines;
    std::shared_ptr<const Configuration::Catalogue> m_catalogue;
    std::shared_ptr<const Dispatch::ShardMap> m_shards;
    std::vector<Peer::Member> m_members;
    std::vector<Host> m_hosts;
    std::set<std::size_t> m_lost;
    std::priority_queue<Event> m_events;
    std::map<std::uint64_t, Call> m_calls;
    std::set<std::uint64_t> m_readSomewhere;
    Base::Instant m_thirdEnd = Base::Instant(std::chrono::hours(24 * 365));
    Base::Instant m_now = Base::Instant(std::chrono::seconds(1000));
    std::uint64_t m_nextRequest = 1;
    bool m_swallowed = false;
    FleetLoadCounts m_counts;
};

} // namespace Yokepond::Tests
