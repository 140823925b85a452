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
constexpr double prefillShare = 0.75;
/// Part of an engine's memory that runs may take up; the rest keeps prompts for those to come. The most urgent tier finds
/// room where the others do not.
constexpr double runningMemoryShare = 0.55;
constexpr double runningMemoryShareOfMostUrgent = 0.75;
/// Part of its target that a run may wait at the engine.
constexpr double backlogShare = 0.4;
/// The same where most of the prompt is kept: elsewhere it would have to be read.
constexpr double backlogShareIfCached = 0.6;
/// Part of the target of the tiers above that all reading at an engine may take, this run's included.
constexpr double shareOfTightestAbove = 0.6;
/// An engine with less than this to read counts as free: a prompt too long for the bounds above is sent there.
constexpr Base::Duration freeBacklog = std::chrono::milliseconds(20);
/// Reading a prompt again that another engine keeps costs this much more than the time it takes here: the part it displaces
/// will be read again too.
constexpr double repeatedPrefillFactor = 2.5;
/// What a full window adds to the cost of an engine: each token comes slower the more run there.
constexpr double fullWindowMs = 300.0;
/// A run that a pause makes late costs as much as so much reading, so that long reads gather where few tight streams run and
/// tight streams go where little is read. Where 200 ms are allowed between events, and three pieces of a prompt take about as
/// long, it brings that class from 0.70 to 0.78 in time (trials of twelve days); a thousand gains no more there.
constexpr double lateRunMs = 300.0;
/// Each run at an engine waits for its tokens while another's prompt is read.
constexpr double interferenceFactor = 0.1;
/// Of the latest observation, when the reading speed is learned. A run that was faster than expected shows what an engine can
/// do; one that was slower may have met work that the model does not know of.
constexpr double latestWeightIfFaster = 0.3;
constexpr double latestWeightIfSlower = 0.02;
/// The pool's speed, for engines that have shown none yet, follows that of the engine that ended a run.
constexpr double poolWeightOfOneEngine = 0.1;
/// Of the time after which a prompt is expected to have been read: until it is over, others are not sent to take it.
constexpr double prefillMargin = 1.5;
/// Before the first byte of a move: the way to the engine that keeps the prompt and back, and its link's set-up.
constexpr Base::Duration transferSetupTime = std::chrono::milliseconds(10);
/// A move must save at least this many times its own time of reading.
constexpr double minTransferGain = 2.0;
/// What a move costs beside its time: this part of the reading it saves, for the memory that is taken twice.
constexpr double transferCostFactor = 0.6;
constexpr std::uint32_t minTokensToLearn = 4000;
/// Of the belief that was logged last.
constexpr double minLoggedChange = 0.2;
constexpr double minTokensPerMs = 4.0;
constexpr double maxTokensPerMs = 400.0;
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

std::uint64_t kvTokensOf(const QueuedAsk &ask)
{
    return std::uint64_t {ask.ask.promptTokens} + ask.ask.expectedTokens;
}

/// Where a prompt that no engine keeps is best read: the same on every host by rendezvous hashing, so that a dispatcher that
/// takes over sends prompts where its predecessor did.
std::uint32_t preferredEndpoint(const QueuedAsk &ask, std::span<const Candidate> candidates)
{
    const std::uint64_t shared = sharedPrefix(ask.ask.prefix);
    const auto weight = [&](const Candidate &candidate) { return rendezvousWeight(candidate.endpoint, shared); };
    return std::ranges::max_element(candidates, {}, weight)->endpoint;
}

Base::Duration scaled(Base::Duration whole, double share)
{
    return std::chrono::duration_cast<Base::Duration>(whole * share);
}

/// How much an engine may still have to read for @p ask, which takes @p reading there, to be sent to it.
Base::Duration longestBacklog(const QueuedAsk &ask, bool mostlyCached, Base::Duration prefillTime)
{
    Base::Duration longest = scaled(ask.parameters.firstToken, mostlyCached ? backlogShareIfCached : backlogShare);
    if (ask.parameters.tightestAbove > Base::Duration::zero()) {
        longest = std::min(longest, scaled(ask.parameters.tightestAbove, shareOfTightestAbove) - prefillTime);
    }
    return std::max(longest, freeBacklog);
}

Base::Duration longestBacklog(const QueuedAsk &ask, std::uint32_t cachedTokens, Base::Duration ownTime)
{
    return longestBacklog(ask, cachedTokens * 2 > ask.ask.promptTokens, scaled(ownTime, 1.0 / prefillShare));
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
std::uint32_t SoonestFirstToken::cachedTokensAt(const Engine &engine, const QueuedAsk &ask)
{
    return std::min(ask.ask.promptTokens, engine.cache.cachedTokens(chainOf(ask)));
}

Base::Duration SoonestFirstToken::timeToPrefill(std::uint32_t tokens) const
{
    return fromMs(static_cast<double>(tokens) / m_tokensPerMs);
}

Base::Duration SoonestFirstToken::timeToPrefill(const Engine *engine, std::uint32_t tokens) const
{
    const bool known = engine != nullptr && engine->tokensPerMs > 0;
    return known ? fromMs(tokens / engine->tokensPerMs) : timeToPrefill(tokens);
}

/// Time until all that is read before a new prompt of @p rank has been read.
Base::Duration SoonestFirstToken::backlogOf(const Engine &engine, int rank, Base::Instant now)
{
    Base::Duration before {};
    for (const auto &[pendingRank, time] : engine.pendingPrefill) {
        before += pendingRank <= rank ? time : Base::Duration::zero();
    }
    const Base::Duration passed = now - engine.updatedAt;
    return before > passed ? before - passed : Base::Duration::zero();
}

Base::Duration SoonestFirstToken::backlogOf(const Engine &engine, Base::Instant now)
{
    return backlogOf(engine, std::numeric_limits<int>::max(), now);
}

/// Streams that are expected to miss their pauses if @p engine also reads @p ask for @p reading: those that run there, and the
/// ask's own.
double SoonestFirstToken::expectedLateRuns(const QueuedAsk &ask, const Engine *engine, Base::Duration prefillTime,
                                           Base::Instant now) const
{
    if (engine == nullptr) {
        return 0;
    }
    const Base::Duration before = backlogOf(*engine, now);
    return engine->pauses.expectedNewlyLate(before, before + prefillTime)
        + engine->pauses.lateProbability(ask.parameters.tokenGap, now);
}

Base::Duration SoonestFirstToken::backlogAt(std::uint32_t endpoint, int rank, Base::Instant now) const
{
    const Engine *engine = engineOf(endpoint);
    return engine == nullptr ? Base::Duration::zero() : backlogOf(*engine, rank, now);
}

/// Takes off what has been read by @p now.
void SoonestFirstToken::advance(Engine &engine, Base::Instant now)
{
    Base::Duration passed = now - engine.updatedAt;
    engine.updatedAt = now;
    for (Base::Duration &time : engine.pendingPrefill | std::views::values) {
        const Base::Duration read = std::min(time, passed);
        time -= read;
        passed -= read;
    }
}

/// Half of a prompt, since most of one that waits is kept somewhere or soon will be.
Base::Duration SoonestFirstToken::prefillTime(const QueuedAsk &ask) const
{
    return timeToPrefill(ask.ask.promptTokens) / 2;
}

SoonestFirstToken::Keeper SoonestFirstToken::keeperOf(const QueuedAsk &ask, Base::Instant now) const
{
    Keeper best;
    for (const auto &[endpoint, engine] : m_engines) {
        if (!engine.lendsPrompts) {
            continue;
        }
        const std::uint32_t tokens = std::min(ask.ask.promptTokens, engine.cache.cachedTokensBy(chainOf(ask), now));
        const Base::Duration busy = std::max(Base::Duration::zero(), engine.transfersUntil - now);
        if (tokens > best.tokens || (tokens > 0 && tokens == best.tokens && busy < best.linkBusy)) {
            best = {endpoint, tokens, busy};
        }
    }
    return best;
}

SoonestFirstToken::PrefillPlan SoonestFirstToken::prefillPlanAt(const QueuedAsk &ask, const Candidate &candidate,
                                                                const Keeper &keeper) const
{
    const Engine *engine = engineOf(candidate.endpoint);
    PrefillPlan plan;
    plan.cachedTokens = engine == nullptr ? 0 : cachedTokensAt(*engine, ask);
    if (candidate.transferTokensPerMs > 0 && keeper.tokens > plan.cachedTokens && keeper.endpoint != candidate.endpoint) {
        const std::uint32_t transferred = keeper.tokens - plan.cachedTokens;
        const Base::Duration transferTime
            = keeper.linkBusy + transferSetupTime + fromMs(transferred / candidate.transferTokensPerMs);
        if (timeToPrefill(transferred) > transferTime * minTransferGain) {
            plan.cachedTokens = keeper.tokens;
            plan.keeper = keeper.endpoint;
            plan.transferredTokens = transferred;
            plan.transferTime = transferTime;
        }
    }
    plan.prefillTime = timeToPrefill(engine, ask.ask.promptTokens - plan.cachedTokens);
    return plan;
}

SoonestFirstToken::Cost SoonestFirstToken::costAt(const QueuedAsk &ask, const Candidate &candidate, const Keeper &keeper,
                                                  bool preferred, Base::Instant now) const
{
    const Engine *engine = engineOf(candidate.endpoint);
    const PrefillPlan plan = prefillPlanAt(ask, candidate, keeper);
    Cost cost;
    cost.backlog = engine == nullptr ? Base::Duration::zero() : backlogOf(*engine, ask.parameters.rank, now);
    cost.ownTime = plan.transferTime + plan.prefillTime;
    cost.prefillTime = scaled(plan.prefillTime, 1.0 / prefillShare);
    cost.cachedTokens = plan.cachedTokens;
    cost.kvTokens = kvTokensFor(ask, plan);
    // What reading costs the pool is the same everywhere: a slow engine shows by its backlog, its pauses and late first tokens.
    const double own = Base::milliseconds(plan.transferTime + timeToPrefill(ask.ask.promptTokens - plan.cachedTokens));
    const double readFactor = preferred || plan.keeper != 0 ? 1.0 : repeatedPrefillFactor;
    cost.baseMs = Base::milliseconds(cost.backlog) + own * readFactor + loadOf(candidate) * fullWindowMs
        + own * candidate.running * interferenceFactor
        + Base::milliseconds(timeToPrefill(plan.transferredTokens)) * transferCostFactor;
    return cost;
}

/// Parts that are kept are there once, whatever number of runs use them; those taken from another engine are new there.
std::uint64_t SoonestFirstToken::kvTokensFor(const QueuedAsk &ask, const PrefillPlan &plan)
{
    return kvTokensOf(ask) - plan.cachedTokens + plan.transferredTokens;
}

/// @p memory: tokens that the run would take up.
bool SoonestFirstToken::fits(const QueuedAsk &ask, const Candidate &candidate, std::uint64_t kvTokens) const
{
    const Engine *engine = engineOf(candidate.endpoint);
    if (engine == nullptr || candidate.kvCacheTokens == 0 || engine->runningTokens == 0) {
        return true;
    }
    const bool mostUrgent = ask.parameters.tightestAbove == Base::Duration::zero();
    const double share = mostUrgent ? runningMemoryShareOfMostUrgent : runningMemoryShare;
    const auto most = static_cast<std::uint64_t>(share * static_cast<double>(candidate.kvCacheTokens));
    return engine->runningTokens + kvTokens <= most;
}

std::optional<std::uint32_t> SoonestFirstToken::choose(const QueuedAsk &ask, std::span<const Candidate> candidates,
                                                       Base::Instant now) const
{
    std::optional<std::uint32_t> best;
    double lowestCost = 0;
    // What is late already gains nothing by waiting here.
    const bool mayWait = now < ask.target();
    const Base::Duration longest = longestBacklogOfClass(ask);
    std::optional<std::uint32_t> preferred;
    std::optional<Keeper> keeper;
    for (const Candidate &candidate : candidates) {
        // What is kept there need not be looked for where even a prompt that is kept whole would wait.
        if (mayWait && backlogAt(candidate.endpoint, ask.parameters.rank, now) > longest) {
            continue;
        }
        if (!keeper) {
            keeper = keeperOf(ask, now);
            preferred = preferredEndpoint(ask, candidates);
        }
        const Cost cost = costAt(ask, candidate, *keeper, candidate.endpoint == *preferred, now);
        const bool waits = mayWait && cost.backlog > longestBacklog(ask, cost.cachedTokens, cost.ownTime);
        if (waits || !fits(ask, candidate, cost.kvTokens) || (best && cost.baseMs >= lowestCost)) {
            continue;
        }
        const double costMs
            = cost.baseMs + expectedLateRuns(ask, engineOf(candidate.endpoint), cost.prefillTime, now) * lateRunMs;
        if (!best || costMs < lowestCost) {
            best = candidate.endpoint;
            lowestCost = costMs;
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

Base::Duration SoonestFirstToken::maxExpectedFirstToken(const QueuedAsk &ask, const LeastBacklog &least) const
{
    if (least.time == Base::Duration::max()) {
        return least.time;
    }
    // A prompt that is taken from another engine comes sooner than it would be read at the pool's speed.
    const std::uint32_t tokens = ask.ask.promptTokens;
    return least.time + std::max(timeToPrefill(tokens), timeToPrefill(engineOf(least.endpoint), tokens)) + overhead;
}

Base::Duration SoonestFirstToken::timeToFirstToken(const QueuedAsk &ask, const Candidate &candidate, const Keeper &keeper,
                                                   Base::Instant now) const
{
    const PrefillPlan plan = prefillPlanAt(ask, candidate, keeper);
    return backlogAt(candidate.endpoint, ask.parameters.rank, now) + plan.transferTime + plan.prefillTime + overhead;
}

Base::Duration SoonestFirstToken::expectedFirstToken(const QueuedAsk &ask, std::span<const Candidate> candidates,
                                                     Base::Instant now) const
{
    Base::Duration earliest = Base::Duration::max();
    const Keeper keeper = keeperOf(ask, now);
    for (const Candidate &candidate : candidates) {
        earliest = std::min(earliest, timeToFirstToken(ask, candidate, keeper, now));
    }
    return earliest;
}

PlacedRun SoonestFirstToken::recordPlacement(const QueuedAsk &ask, const Candidate &candidate, Base::Instant now)
{
    const PrefillPlan plan = prefillPlanAt(ask, candidate, keeperOf(ask, now));
    if (const auto keeper = m_engines.find(plan.keeper); keeper != m_engines.end()) {
        keeper->second.transfersUntil = now + plan.transferTime;
    }
    Engine &engine = m_engines.try_emplace(candidate.endpoint, m_longestPause).first->second;
    PlacedRun run;
    run.endpoint = candidate.endpoint;
    run.keeper = plan.keeper;
    run.reliabilityEpoch = engine.reliabilityEpoch;
    run.kvTokens = kvTokensFor(ask, plan);
    run.prefillTokens = ask.ask.promptTokens - plan.cachedTokens;
    advance(engine, now);
    const Base::Duration backlog = backlogOf(engine, ask.parameters.rank, now);
    const Base::Duration prefillTime = plan.prefillTime;
    run.wasOnlyPrefill = std::ranges::all_of(engine.pendingPrefill | std::views::values,
                                             [](Base::Duration time) { return time == Base::Duration::zero(); });
    run.expectedFirstToken = backlog + plan.transferTime + prefillTime;
    run.rank = ask.parameters.rank;
    run.prefillTime = scaled(prefillTime, 1.0 / prefillShare);
    run.placedAt = now;
    run.allowedPause = ask.parameters.tokenGap;
    const Base::Duration burst = backlogOf(engine, now);
    engine.pauses.recordPrefill(now, burst, burst + run.prefillTime);
    engine.pauses.addStream(run.allowedPause);
    engine.pendingPrefill[run.rank] += run.prefillTime;
    engine.activePrefill[run.rank] += run.prefillTime;
    engine.runningTokens += run.kvTokens;
    engine.cache.insert(chainOf(ask), now + scaled(backlog + plan.transferTime + run.prefillTime, prefillMargin));
    if (candidate.kvCacheTokens > 0) {
        // Runs and kept prompts share the memory; what runs does not give way.
        engine.cache.shrink(candidate.kvCacheTokens - std::min(candidate.kvCacheTokens, engine.runningTokens));
    }
    return run;
}

void SoonestFirstToken::recordEnd(const PlacedRun &run, const ObservedTokens &seen)
{
    const auto engine = m_engines.find(run.endpoint);
    if (engine == m_engines.end()) {
        return;
    }
    engine->second.runningTokens -= std::min(engine->second.runningTokens, run.kvTokens);
    engine->second.pauses.removeStream(run.allowedPause, run.placedAt + seen.first, seen.pauses);
    logLongestPause(run, seen);
    if (seen.first > Base::Duration::zero() && run.reliabilityEpoch == engine->second.reliabilityEpoch) {
        engine->second.lendsPrompts = true;
    }
    // What an ended run left unread will not be read: there is no more to read than the prompts of those under way.
    Base::Duration &activePrefill = engine->second.activePrefill[run.rank];
    activePrefill = std::max(Base::Duration::zero(), activePrefill - run.prefillTime);
    Base::Duration &pendingPrefill = engine->second.pendingPrefill[run.rank];
    pendingPrefill = std::min(pendingPrefill, activePrefill);
    // Behind other prompts the time tells of the model's errors rather than of the engine's speed.
    if (run.wasOnlyPrefill && seen.first > Base::Duration::zero() && run.prefillTokens >= minTokensToLearn) {
        updatePrefillSpeed(engine->second, run, seen.first);
    }
}

void SoonestFirstToken::logLongestPause(const PlacedRun &run, const ObservedTokens &seen)
{
    const double estimated = Base::milliseconds(m_longestPause->value());
    const double logged = Base::milliseconds(m_loggedLongestPause);
    if (std::abs(estimated - logged) > minLoggedChange * logged) {
        m_loggedLongestPause = m_longestPause->value();
        Base::log(Base::LogLevel::Info, Base::LogEvent::LongestPauseLearned,
                  {{"longest-ms", estimated},
                   {"endpoint", run.endpoint},
                   {"seen-ms", Base::milliseconds(seen.pauses.longest)},
                   {"allowed-ms", Base::milliseconds(run.allowedPause)}});
    }
}

void SoonestFirstToken::updatePrefillSpeed(Engine &engine, const PlacedRun &run, Base::Duration firstToken)
{
    const Base::Duration prefillTime = std::max(firstToken - overhead, firstToken / 2);
    const double ratio = std::clamp(Base::milliseconds(run.expectedFirstToken) / Base::milliseconds(prefillTime), 0.5, 2.0);
    // What was expected was expected at the speed believed when the run was placed, which is about the present one.
    const auto learned = [&](double estimated) {
        const double change = estimated * ratio - estimated;
        const double share = change > 0 ? latestWeightIfFaster : latestWeightIfSlower;
        return std::clamp(estimated + share * change, minTokensPerMs, maxTokensPerMs);
    };
    engine.tokensPerMs = learned(engine.tokensPerMs > 0 ? engine.tokensPerMs : m_tokensPerMs);
    m_tokensPerMs += poolWeightOfOneEngine * (engine.tokensPerMs - m_tokensPerMs);
    if (std::abs(m_tokensPerMs - m_loggedTokensPerMs) > minLoggedChange * m_loggedTokensPerMs) {
        m_loggedTokensPerMs = m_tokensPerMs;
        Base::log(Base::LogLevel::Info, Base::LogEvent::PrefillSpeedLearned,
                  {{"tokens-per-ms", m_tokensPerMs},
                   {"endpoint", run.endpoint},
                   {"unread", run.prefillTokens},
                   {"expected-ms", Base::milliseconds(run.expectedFirstToken)},
                   {"first-token-ms", Base::milliseconds(firstToken)}});
    }
}

/// An engine that fails some runs still keeps its prompts. One that starts anew has a new name where the platform says so, and
/// elsewhere shows by its next runs' first-token times what it lost.
void SoonestFirstToken::markUnreliable(std::uint32_t endpoint)
{
    if (const auto engine = m_engines.find(endpoint); engine != m_engines.end()) {
        engine->second.lendsPrompts = false;
        ++engine->second.reliabilityEpoch;
    }
}

void SoonestFirstToken::removeEndpoint(std::uint32_t endpoint)
{
    m_engines.erase(endpoint);
}

} // namespace Yokepond::Dispatch
