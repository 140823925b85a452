// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/soonestfirsttoken.h"

#include "Base/log.h"
#include "Dispatch/preference.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <ranges>

namespace Yokepond::Dispatch {

namespace {

/// Part of an engine's time that prompts may take up: the tokens of all that runs there wait meanwhile.
constexpr double readingShare = 0.75;
/// Part of an engine's memory that runs may take up; the rest keeps prompts for those to come. The most urgent tier finds
/// room where the others do not.
constexpr double runningShare = 0.55;
constexpr double runningShareOfMostUrgent = 0.75;
/// Part of its target that a run may wait at the engine.
constexpr double backlogShare = 0.4;
/// The same where most of the prompt is kept: elsewhere it would have to be read.
constexpr double backlogShareIfKept = 0.6;
/// Part of the target of the tiers above that all reading at an engine may take, this run's included.
constexpr double shareOfTightestAbove = 0.6;
/// An engine with less than this to read counts as free: a prompt too long for the bounds above is sent there.
constexpr Base::Duration freeBacklog = std::chrono::milliseconds(20);
/// Reading a prompt again that another engine keeps costs this much more than the time it takes here: the part it displaces
/// will be read again too.
constexpr double readAgainFactor = 2.5;
/// What a full window adds to the cost of an engine: each token comes slower the more run there.
constexpr double fullWindowMs = 300.0;
/// A run that a pause makes late costs as much as so much reading, so that long reads gather where few tight streams run and
/// tight streams go where little is read. Where 200 ms are allowed between events, and three pieces of a prompt take about as
/// long, it brings that class from 0.70 to 0.78 in time (trials of twelve days); a thousand gains no more there.
constexpr double lateRunMs = 300.0;
/// Each run at an engine waits for its tokens while another's prompt is read.
constexpr double slowsOthers = 0.1;
/// Of the latest observation, when the reading speed is learned. A run that was faster than expected shows what an engine can
/// do; one that was slower may have met work that the model does not know of.
constexpr double latestShareIfFaster = 0.3;
constexpr double latestShareIfSlower = 0.02;
/// The pool's speed, for engines that have shown none yet, follows that of the engine that ended a run.
constexpr double poolShareOfOneEngine = 0.1;
/// Of the time after which a prompt is expected to have been read: until it is over, others are not sent to take it.
constexpr double readMargin = 1.5;
/// Before the first byte of a move: the way to the engine that keeps the prompt and back, and its link's set-up.
constexpr Base::Duration moveSetUp = std::chrono::milliseconds(10);
/// A move must save at least this many times its own time of reading.
constexpr double leastSavedByMove = 2.0;
/// What a move costs beside its time: this part of the reading it saves, for the memory that is taken twice.
constexpr double moveCostOfReading = 0.6;
constexpr std::uint32_t leastTokensToLearn = 4000;
/// Of the belief that was logged last.
constexpr double leastLoggedChange = 0.2;
constexpr double slowestTokensPerMs = 4.0;
constexpr double fastestTokensPerMs = 400.0;
/// Between an ask and the end of its reading, beside the reading itself: the way to the engine, and the first token.
constexpr Base::Duration overhead = std::chrono::milliseconds(30);

PromptChain chainOf(const QueuedAsk &ask)
{
    return {ask.ask.prefix, ask.ask.prefixTokens};
}

Base::Duration fromMs(double milliseconds)
{
    return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

std::uint64_t memoryOf(const QueuedAsk &ask)
{
    return std::uint64_t {ask.ask.promptTokens} + ask.ask.expectedTokens;
}

/// Where a prompt that no engine keeps is best read: the same on every host by rendezvous hashing, so that a dispatcher that
/// takes over sends prompts where its predecessor did.
std::uint32_t preferredEndpoint(const QueuedAsk &ask, std::span<const Candidate> candidates)
{
    const std::uint64_t shared = sharedBeginning(ask.ask.prefix);
    const auto weight = [&](const Candidate &candidate) { return preferenceWeight(candidate.endpoint, shared); };
    return std::ranges::max_element(candidates, {}, weight)->endpoint;
}

Base::Duration part(Base::Duration whole, double share)
{
    return std::chrono::duration_cast<Base::Duration>(whole * share);
}

/// How much an engine may still have to read for @p ask, which takes @p reading there, to be sent to it.
Base::Duration longestBacklog(const QueuedAsk &ask, bool mostKept, Base::Duration reading)
{
    Base::Duration longest = part(ask.terms.firstToken, mostKept ? backlogShareIfKept : backlogShare);
    if (ask.terms.tightestAbove > Base::Duration::zero()) {
        longest = std::min(longest, part(ask.terms.tightestAbove, shareOfTightestAbove) - reading);
    }
    return std::max(longest, freeBacklog);
}

Base::Duration longestBacklog(const QueuedAsk &ask, std::uint32_t kept, Base::Duration own)
{
    return longestBacklog(ask, kept * 2 > ask.ask.promptTokens, part(own, 1.0 / readingShare));
}

/// The most that is allowed any prompt of @p ask's class.
Base::Duration longestBacklogOfClass(const QueuedAsk &ask)
{
    return longestBacklog(ask, true, Base::Duration::zero());
}

} // namespace

const SoonestFirstToken::Engine *SoonestFirstToken::engineOf(std::uint32_t endpoint) const
{
    const auto engine = m_engines.find(endpoint);
    return engine == m_engines.end() ? nullptr : &engine->second;
}

/// Tokens of @p ask's prompt that @p engine keeps; no more than the prompt has, whatever its parts claim.
std::uint32_t SoonestFirstToken::keptOf(const Engine &engine, const QueuedAsk &ask)
{
    return std::min(ask.ask.promptTokens, engine.cache.kept(chainOf(ask)));
}

Base::Duration SoonestFirstToken::timeToRead(std::uint32_t tokens) const
{
    return fromMs(static_cast<double>(tokens) / m_tokensPerMs);
}

Base::Duration SoonestFirstToken::timeToRead(const Engine *engine, std::uint32_t tokens) const
{
    const bool known = engine != nullptr && engine->tokensPerMs > 0;
    return known ? fromMs(tokens / engine->tokensPerMs) : timeToRead(tokens);
}

/// Time until all that is read before a new prompt of @p rank has been read.
Base::Duration SoonestFirstToken::backlogOf(const Engine &engine, int rank, Base::Instant now)
{
    Base::Duration before {};
    for (const auto &[unreadRank, time] : engine.unread) {
        before += unreadRank <= rank ? time : Base::Duration::zero();
    }
    const Base::Duration passed = now - engine.asOf;
    return before > passed ? before - passed : Base::Duration::zero();
}

Base::Duration SoonestFirstToken::backlogOf(const Engine &engine, Base::Instant now)
{
    return backlogOf(engine, std::numeric_limits<int>::max(), now);
}

/// Streams that are expected to miss their pauses if @p engine also reads @p ask for @p reading: those that run there, and the
/// ask's own.
double SoonestFirstToken::lateRuns(const QueuedAsk &ask, const Engine *engine, Base::Duration reading, Base::Instant now) const
{
    if (engine == nullptr) {
        return 0;
    }
    const Base::Duration before = backlogOf(*engine, now);
    return engine->pauses.spoiled(before, before + reading) + engine->pauses.risk(ask.terms.tokenGap, now);
}

Base::Duration SoonestFirstToken::backlogAt(std::uint32_t endpoint, int rank, Base::Instant now) const
{
    const Engine *engine = engineOf(endpoint);
    return engine == nullptr ? Base::Duration::zero() : backlogOf(*engine, rank, now);
}

/// Takes off what has been read by @p now.
void SoonestFirstToken::readOn(Engine &engine, Base::Instant now)
{
    Base::Duration passed = now - engine.asOf;
    engine.asOf = now;
    for (Base::Duration &time : engine.unread | std::views::values) {
        const Base::Duration read = std::min(time, passed);
        time -= read;
        passed -= read;
    }
}

/// Half of a prompt, since most of one that waits is kept somewhere or soon will be.
Base::Duration SoonestFirstToken::work(const QueuedAsk &ask) const
{
    return timeToRead(ask.ask.promptTokens) / 2;
}

SoonestFirstToken::Keeper SoonestFirstToken::keeperOf(const QueuedAsk &ask, Base::Instant now) const
{
    Keeper best;
    for (const auto &[endpoint, engine] : m_engines) {
        if (!engine.lends) {
            continue;
        }
        const std::uint32_t tokens = std::min(ask.ask.promptTokens, engine.cache.keptBy(chainOf(ask), now));
        const Base::Duration busy = std::max(Base::Duration::zero(), engine.lendsUntil - now);
        if (tokens > best.tokens || (tokens > 0 && tokens == best.tokens && busy < best.linkBusy)) {
            best = {endpoint, tokens, busy};
        }
    }
    return best;
}

SoonestFirstToken::Reading SoonestFirstToken::readingAt(const QueuedAsk &ask, const Candidate &candidate,
                                                        const Keeper &keeper) const
{
    const Engine *engine = engineOf(candidate.endpoint);
    Reading reading;
    reading.kept = engine == nullptr ? 0 : keptOf(*engine, ask);
    if (candidate.transferTokensPerMs > 0 && keeper.tokens > reading.kept && keeper.endpoint != candidate.endpoint) {
        const std::uint32_t taken = keeper.tokens - reading.kept;
        const Base::Duration moving = keeper.linkBusy + moveSetUp + fromMs(taken / candidate.transferTokensPerMs);
        if (timeToRead(taken) > moving * leastSavedByMove) {
            reading.kept = keeper.tokens;
            reading.keeper = keeper.endpoint;
            reading.taken = taken;
            reading.moving = moving;
        }
    }
    reading.reading = timeToRead(engine, ask.ask.promptTokens - reading.kept);
    return reading;
}

SoonestFirstToken::Cost SoonestFirstToken::costAt(const QueuedAsk &ask, const Candidate &candidate, const Keeper &keeper,
                                                  bool preferred, Base::Instant now) const
{
    const Engine *engine = engineOf(candidate.endpoint);
    const Reading reading = readingAt(ask, candidate, keeper);
    Cost cost;
    cost.backlog = engine == nullptr ? Base::Duration::zero() : backlogOf(*engine, ask.terms.rank, now);
    cost.own = reading.moving + reading.reading;
    cost.reading = part(reading.reading, 1.0 / readingShare);
    cost.kept = reading.kept;
    cost.memory = memoryFor(ask, reading);
    // What reading costs the pool is the same everywhere: a slow engine shows by its backlog, its pauses and late first tokens.
    const double own = Base::milliseconds(reading.moving + timeToRead(ask.ask.promptTokens - reading.kept));
    const double readFactor = preferred || reading.keeper != 0 ? 1.0 : readAgainFactor;
    cost.load = Base::milliseconds(cost.backlog) + own * readFactor + loadOf(candidate) * fullWindowMs
        + own * candidate.running * slowsOthers + Base::milliseconds(timeToRead(reading.taken)) * moveCostOfReading;
    return cost;
}

/// Parts that are kept are there once, whatever number of runs use them; those taken from another engine are new there.
std::uint64_t SoonestFirstToken::memoryFor(const QueuedAsk &ask, const Reading &reading)
{
    return memoryOf(ask) - reading.kept + reading.taken;
}

/// @p memory: tokens that the run would take up.
bool SoonestFirstToken::fits(const QueuedAsk &ask, const Candidate &candidate, std::uint64_t memory) const
{
    const Engine *engine = engineOf(candidate.endpoint);
    if (engine == nullptr || candidate.kvCacheTokens == 0 || engine->runningTokens == 0) {
        return true;
    }
    const bool mostUrgent = ask.terms.tightestAbove == Base::Duration::zero();
    const double share = mostUrgent ? runningShareOfMostUrgent : runningShare;
    const auto most = static_cast<std::uint64_t>(share * static_cast<double>(candidate.kvCacheTokens));
    return engine->runningTokens + memory <= most;
}

std::optional<std::uint32_t> SoonestFirstToken::choose(const QueuedAsk &ask, std::span<const Candidate> candidates,
                                                       Base::Instant now) const
{
    std::optional<std::uint32_t> best;
    double least = 0;
    // What is late already gains nothing by waiting here.
    const bool mayWait = now < ask.target();
    const Base::Duration longest = longestBacklogOfClass(ask);
    std::optional<std::uint32_t> preferred;
    std::optional<Keeper> keeper;
    for (const Candidate &candidate : candidates) {
        // What is kept there need not be looked for where even a prompt that is kept whole would wait.
        if (mayWait && backlogAt(candidate.endpoint, ask.terms.rank, now) > longest) {
            continue;
        }
        if (!keeper) {
            keeper = keeperOf(ask, now);
            preferred = preferredEndpoint(ask, candidates);
        }
        const Cost cost = costAt(ask, candidate, *keeper, candidate.endpoint == *preferred, now);
        const bool waits = mayWait && cost.backlog > longestBacklog(ask, cost.kept, cost.own);
        if (waits || !fits(ask, candidate, cost.memory) || (best && cost.load >= least)) {
            continue;
        }
        const double load = cost.load + lateRuns(ask, engineOf(candidate.endpoint), cost.reading, now) * lateRunMs;
        if (!best || load < least) {
            best = candidate.endpoint;
            least = load;
        }
    }
    return best;
}

LeastBacklog SoonestFirstToken::leastBacklog(int rank, std::span<const Candidate> candidates, Base::Instant now) const
{
    LeastBacklog least {0, Base::Duration::max()};
    for (const Candidate &candidate : candidates) {
        if (const Base::Duration backlog = backlogAt(candidate.endpoint, rank, now); backlog < least.time) {
            least = {candidate.endpoint, backlog};
        }
    }
    return least;
}

Base::Duration SoonestFirstToken::expectedAtMost(const QueuedAsk &ask, const LeastBacklog &least) const
{
    if (least.time == Base::Duration::max()) {
        return least.time;
    }
    // A prompt that is taken from another engine comes sooner than it would be read at the pool's speed.
    const std::uint32_t tokens = ask.ask.promptTokens;
    return least.time + std::max(timeToRead(tokens), timeToRead(engineOf(least.endpoint), tokens)) + overhead;
}

Base::Duration SoonestFirstToken::timeToFirstToken(const QueuedAsk &ask, const Candidate &candidate, const Keeper &keeper,
                                                   Base::Instant now) const
{
    const Reading reading = readingAt(ask, candidate, keeper);
    return backlogAt(candidate.endpoint, ask.terms.rank, now) + reading.moving + reading.reading + overhead;
}

Base::Duration SoonestFirstToken::expected(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const
{
    Base::Duration soonest = Base::Duration::max();
    const Keeper keeper = keeperOf(ask, now);
    for (const Candidate &candidate : candidates) {
        soonest = std::min(soonest, timeToFirstToken(ask, candidate, keeper, now));
    }
    return soonest;
}

PlacedRun SoonestFirstToken::placed(const QueuedAsk &ask, const Candidate &candidate, Base::Instant now)
{
    const Reading plan = readingAt(ask, candidate, keeperOf(ask, now));
    if (const auto keeper = m_engines.find(plan.keeper); keeper != m_engines.end()) {
        keeper->second.lendsUntil = now + plan.moving;
    }
    Engine &engine = m_engines.try_emplace(candidate.endpoint, m_longestPause).first->second;
    PlacedRun run;
    run.endpoint = candidate.endpoint;
    run.keeper = plan.keeper;
    run.trust = engine.trust;
    run.tokens = memoryFor(ask, plan);
    run.unread = ask.ask.promptTokens - plan.kept;
    readOn(engine, now);
    const Base::Duration backlog = backlogOf(engine, ask.terms.rank, now);
    const Base::Duration reading = plan.reading;
    run.alone = std::ranges::all_of(engine.unread | std::views::values,
                                    [](Base::Duration time) { return time == Base::Duration::zero(); });
    run.expected = backlog + plan.moving + reading;
    run.rank = ask.terms.rank;
    run.reading = part(reading, 1.0 / readingShare);
    run.placedAt = now;
    run.allowedPause = ask.terms.tokenGap;
    const Base::Duration burst = backlogOf(engine, now);
    engine.pauses.read(now, burst, burst + run.reading);
    engine.pauses.began(run.allowedPause);
    engine.unread[run.rank] += run.reading;
    engine.underWay[run.rank] += run.reading;
    engine.runningTokens += run.tokens;
    engine.cache.read(chainOf(ask), now + part(backlog + plan.moving + run.reading, readMargin));
    if (candidate.kvCacheTokens > 0) {
        // Runs and kept prompts share the memory; what runs does not give way.
        engine.cache.shrink(candidate.kvCacheTokens - std::min(candidate.kvCacheTokens, engine.runningTokens));
    }
    return run;
}

void SoonestFirstToken::ended(const PlacedRun &run, const SeenTokens &seen)
{
    const auto engine = m_engines.find(run.endpoint);
    if (engine == m_engines.end()) {
        return;
    }
    engine->second.runningTokens -= std::min(engine->second.runningTokens, run.tokens);
    engine->second.pauses.ended(run.allowedPause, run.placedAt + seen.first, seen.pauses);
    logLongestPause(run, seen);
    if (seen.first > Base::Duration::zero() && run.trust == engine->second.trust) {
        engine->second.lends = true;
    }
    // What an ended run left unread will not be read: there is no more to read than the prompts of those under way.
    Base::Duration &underWay = engine->second.underWay[run.rank];
    underWay = std::max(Base::Duration::zero(), underWay - run.reading);
    Base::Duration &unread = engine->second.unread[run.rank];
    unread = std::min(unread, underWay);
    // Behind other prompts the time tells of the model's errors rather than of the engine's speed.
    if (run.alone && seen.first > Base::Duration::zero() && run.unread >= leastTokensToLearn) {
        learnSpeed(engine->second, run, seen.first);
    }
}

void SoonestFirstToken::logLongestPause(const PlacedRun &run, const SeenTokens &seen)
{
    const double believed = Base::milliseconds(m_longestPause->value());
    const double logged = Base::milliseconds(m_loggedLongestPause);
    if (std::abs(believed - logged) > leastLoggedChange * logged) {
        m_loggedLongestPause = m_longestPause->value();
        Base::log(Base::LogLevel::Info, Base::LogEvent::LongestPauseLearned,
                  {{"longest-ms", believed},
                   {"endpoint", run.endpoint},
                   {"seen-ms", Base::milliseconds(seen.pauses.longest)},
                   {"allowed-ms", Base::milliseconds(run.allowedPause)}});
    }
}

void SoonestFirstToken::learnSpeed(Engine &engine, const PlacedRun &run, Base::Duration firstToken)
{
    const Base::Duration reading = std::max(firstToken - overhead, firstToken / 2);
    const double ratio = std::clamp(Base::milliseconds(run.expected) / Base::milliseconds(reading), 0.5, 2.0);
    // What was expected was expected at the speed believed when the run was placed, which is about the present one.
    const auto learned = [&](double believed) {
        const double change = believed * ratio - believed;
        const double share = change > 0 ? latestShareIfFaster : latestShareIfSlower;
        return std::clamp(believed + share * change, slowestTokensPerMs, fastestTokensPerMs);
    };
    engine.tokensPerMs = learned(engine.tokensPerMs > 0 ? engine.tokensPerMs : m_tokensPerMs);
    m_tokensPerMs += poolShareOfOneEngine * (engine.tokensPerMs - m_tokensPerMs);
    if (std::abs(m_tokensPerMs - m_loggedTokensPerMs) > leastLoggedChange * m_loggedTokensPerMs) {
        m_loggedTokensPerMs = m_tokensPerMs;
        Base::log(Base::LogLevel::Info, Base::LogEvent::ReadingSpeedLearned,
                  {{"tokens-per-ms", m_tokensPerMs},
                   {"endpoint", run.endpoint},
                   {"unread", run.unread},
                   {"expected-ms", Base::milliseconds(run.expected)},
                   {"first-token-ms", Base::milliseconds(firstToken)}});
    }
}

/// An engine that fails some runs still keeps its prompts. One that starts anew has a new name where the platform says so, and
/// elsewhere shows by its next runs' first-token times what it lost.
void SoonestFirstToken::distrust(std::uint32_t endpoint)
{
    if (const auto engine = m_engines.find(endpoint); engine != m_engines.end()) {
        engine->second.lends = false;
        ++engine->second.trust;
    }
}

void SoonestFirstToken::forget(std::uint32_t endpoint)
{
    m_engines.erase(endpoint);
}

} // namespace Yokepond::Dispatch
