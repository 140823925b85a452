// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/soonestfirsttoken.h"

#include "Base/log.h"
#include "Dispatch/preference.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace Yokepond::Dispatch {

namespace {

/// Share of an engine's time that is available for prefill. The remaining time goes to the tokens of its active runs.
constexpr double prefillShare = 0.75;
/// Share of an engine's KV cache that active runs may use. The remaining part caches prompts for later runs. The most urgent tier
/// may use a larger share.
constexpr double runningMemoryShare = 0.55;
constexpr double runningMemoryShareOfMostUrgent = 0.75;
/// Share of its first-token target that a run may wait in an engine's backlog.
constexpr double backlogShare = 0.4;
/// The larger share for an engine that caches most of the prompt, since any other engine would need a full prefill.
constexpr double backlogShareIfCached = 0.6;
/// Limit on the backlog of an engine, including this run, so that more urgent tiers find engines in time. It is relative to the
/// shortest first-token target of the more urgent tiers.
constexpr double shareOfTightestAbove = 0.6;
/// A shorter backlog is ignored, so that a prompt that is too long for the limits above can still be placed.
constexpr Base::Duration negligibleBacklog = std::chrono::milliseconds(20);
/// Factor on the cost of a prefill at an engine that is not the preferred one of the prompt. The prefill may be done at the
/// preferred engine as well, and it displaces cached prompts here, which later need another prefill.
constexpr double nonPreferredPrefillFactor = 2.5;
/// Cost of the load of an engine: this many milliseconds in proportion to the used share of its window. Each token takes longer
/// with more active runs.
constexpr double loadCostMs = 300.0;
/// Cost of each run that a prefill pause is expected to make late, in milliseconds of prefill. It directs long prefills to
/// engines with few streams that allow only short pauses, and such streams to engines with little prefill. With a much smaller
/// cost, more runs of a class that allows 200 ms between events are late, since three chunks of a prompt take about that long. A
/// larger one has no further benefit.
constexpr double lateRunMs = 300.0;
/// Share of the prefill time that is added to the cost for each active run, since these runs wait during a prefill.
constexpr double interferenceFactor = 0.1;
/// Factor on the expected prefill time, after which other engines may fetch the prompt.
constexpr double prefillMargin = 1.5;
/// Time before the first byte of a transfer: a round trip to the keeper and the connection setup.
constexpr Base::Duration transferSetupTime = std::chrono::milliseconds(10);
/// The prefill time that a transfer saves must be longer than the transfer by this factor.
constexpr double minTransferGain = 2.0;
/// Additional cost of a transfer, as a share of the prefill time that it saves, because the prompt then takes up memory twice.
constexpr double transferCostFactor = 0.6;
/// Callers' hints may be wrong by any factor.
constexpr double maxExpectedEvents = 1e5;
/// The prefill speed is learned only from prompts with at least this many tokens to prefill, since the time of shorter ones is
/// mostly that of the network.
constexpr std::uint32_t minTokensToLearn = 2000;
/// Weight of the latest run in the moving average of the time between events.
constexpr double latestIntervalWeight = 0.02;
/// A shorter prefill takes less than one step of the engine and is not tracked.
constexpr std::uint32_t minTrackedTokens = 512;
/// An estimate is logged again when it has changed by this share of the value logged last.
constexpr double minLoggedChange = 0.2;
/// Time from the grant to the first token apart from the prefill: the network delay to the engine and the first decoding step.
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

/// Returns the preferred endpoint of the ask's prompt, where a prefill costs least if no engine has cached it. It is chosen by
/// rendezvous hashing of the shared prefix, so a new dispatcher sends prompts to the same engines as its predecessor.
std::uint32_t preferredEndpoint(const QueuedAsk &ask, std::span<const Candidate> candidates)
{
    const std::uint64_t shared = sharedPrefix(ask.ask.prefix);
    const auto weight = [&](const Candidate &candidate) { return rendezvousWeight(candidate.endpoint, shared); };
    return std::ranges::max_element(candidates, {}, weight)->endpoint;
}

/// Returns whether the pool has no tier above that of the class.
bool isMostUrgent(const ClassParameters &parameters)
{
    return parameters.tightestAbove == Base::Duration::zero();
}

Base::Duration scaled(Base::Duration whole, double share)
{
    return std::chrono::duration_cast<Base::Duration>(whole * share);
}

/// Returns the longest backlog that an engine may have to be given @p ask, whose own prefill takes @p prefillTime there.
Base::Duration longestBacklog(const QueuedAsk &ask, bool mostlyCached, Base::Duration prefillTime)
{
    Base::Duration longest = scaled(ask.parameters.firstToken, mostlyCached ? backlogShareIfCached : backlogShare);
    if (!isMostUrgent(ask.parameters)) {
        longest = std::min(longest, scaled(ask.parameters.tightestAbove, shareOfTightestAbove) - prefillTime);
    }
    return std::max(longest, negligibleBacklog);
}

Base::Duration longestBacklog(const QueuedAsk &ask, std::uint32_t cachedTokens, Base::Duration ownTime)
{
    return longestBacklog(ask, cachedTokens * 2 > ask.ask.promptTokens, scaled(ownTime, 1.0 / prefillShare));
}

/// Returns the longest backlog that is allowed for any prompt of the ask's class.
Base::Duration longestBacklogOfClass(const QueuedAsk &ask)
{
    return longestBacklog(ask, true, Base::Duration::zero());
}

} // namespace

void SoonestFirstToken::setOptions(Options options)
{
    m_options = options;
    if (!options.streamEngines) {
        m_streamEngines.clear();
    }
}

const EngineModel::StreamEngines &SoonestFirstToken::streamEngines() const
{
    return m_streamEngines;
}

const SoonestFirstToken::Engine *SoonestFirstToken::engineOf(std::uint32_t endpoint) const
{
    const auto engine = m_engines.find(endpoint);
    return engine == m_engines.end() ? nullptr : &engine->second;
}

/// Returns how many tokens of the ask's prompt are in the cache of @p engine. The result is at most the length of the prompt,
/// even if the part lengths in the ask are wrong.
std::uint32_t SoonestFirstToken::cachedTokensAt(const Engine &engine, const QueuedAsk &ask)
{
    return std::min(ask.ask.promptTokens, engine.cache.cachedTokens(chainOf(ask)));
}

Base::Duration SoonestFirstToken::timeToPrefill(std::uint32_t tokens) const
{
    return fromMs(static_cast<double>(tokens) / m_poolSpeed.tokensPerMs());
}

Base::Duration SoonestFirstToken::timeToPrefill(const Engine *engine, std::uint32_t tokens) const
{
    return engine == nullptr ? timeToPrefill(tokens) : fromMs(tokens / engine->speed.tokensPerMs());
}

Base::Duration SoonestFirstToken::backlogOf(const Engine &engine, const ClassParameters &parameters, Base::Instant now)
{
    const Base::Duration backlog = engine.prefills.backlog(parameters.urgency, engine.speed.tokensPerMs(), now);
    return isMostUrgent(parameters) ? backlog : backlog + std::max(Base::Duration::zero(), engine.restUntil - now);
}

Base::Duration SoonestFirstToken::backlogOf(const Engine &engine, Base::Instant now)
{
    return engine.prefills.backlog(engine.speed.tokensPerMs(), now);
}

/// Returns the expected number of streams with pauses longer than allowed if @p engine also prefills @p ask for @p prefillTime.
/// It counts the streams that run there and that of the ask itself.
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

Base::Duration SoonestFirstToken::backlogAt(std::uint32_t endpoint, const ClassParameters &parameters, Base::Instant now) const
{
    const Engine *engine = engineOf(endpoint);
    return engine == nullptr ? Base::Duration::zero() : backlogOf(*engine, parameters, now);
}

/// Returns the prefill time of half of the prompt. Much of a queued prompt is cached by some engine or soon will be. Of one that
/// waits for a prefix, only the last part is left.
Base::Duration SoonestFirstToken::expectedPrefillTime(const QueuedAsk &ask, bool isHeld) const
{
    const std::vector<std::uint32_t> &ends = ask.ask.prefixTokens;
    if (isHeld && ends.size() > 1) {
        return timeToPrefill(ask.ask.promptTokens - std::min(ask.ask.promptTokens, ends[ends.size() - 2]));
    }
    return timeToPrefill(ask.ask.promptTokens) / 2;
}

Base::Duration SoonestFirstToken::expectedResponseTime(const QueuedAsk &ask) const
{
    const double events = m_lengths.expectedEvents(ask.ask.requestClass, ask.ask.organisation, ask.ask.expectedTokens);
    return scaled(m_eventInterval, std::min(events, maxExpectedEvents));
}

SoonestFirstToken::Keeper SoonestFirstToken::keeperOf(const QueuedAsk &ask, Base::Instant now) const
{
    Keeper best;
    for (const auto &[endpoint, engine] : m_engines) {
        if (!engine.allowsTransfers) {
            continue;
        }
        const std::uint32_t tokens = std::min(ask.ask.promptTokens, engine.cache.cachedTokensBy(chainOf(ask), now));
        const Base::Duration busy = std::max(Base::Duration::zero(), engine.transfersUntil - now);
        if (tokens > best.tokens || (tokens > 0 && tokens == best.tokens && busy < best.transferDelay)) {
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
    plan.keeperTokens = keeper.tokens;
    if (candidate.transferTokensPerMs > 0 && keeper.tokens > plan.cachedTokens && keeper.endpoint != candidate.endpoint) {
        const std::uint32_t transferred = keeper.tokens - plan.cachedTokens;
        const Base::Duration transferTime
            = keeper.transferDelay + transferSetupTime + fromMs(transferred / candidate.transferTokensPerMs);
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
    cost.backlog = engine == nullptr ? Base::Duration::zero() : backlogOf(*engine, ask.parameters, now);
    cost.ownTime = plan.transferTime + plan.prefillTime;
    cost.effectivePrefillTime = scaled(plan.prefillTime, 1.0 / prefillShare);
    cost.cachedTokens = plan.cachedTokens;
    cost.kvTokens = kvTokensFor(ask, plan);
    // Uses the average speed of the pool, since a prefill takes the same capacity from the pool at each engine. A slow engine
    // still has a higher cost because of its longer backlog, its longer pauses and its late first tokens.
    const double ownMs = Base::milliseconds(plan.transferTime + timeToPrefill(ask.ask.promptTokens - plan.cachedTokens));
    const double prefillFactor = preferred || plan.keeper != 0 ? 1.0 : nonPreferredPrefillFactor;
    cost.baseMs = Base::milliseconds(cost.backlog) + ownMs * prefillFactor + loadOf(candidate) * loadCostMs
        + ownMs * candidate.running * interferenceFactor
        + Base::milliseconds(timeToPrefill(plan.transferredTokens)) * transferCostFactor;
    return cost;
}

/// Cached parts are shared by all runs that use them, so they need no further memory. Transferred parts do.
std::uint64_t SoonestFirstToken::kvTokensFor(const QueuedAsk &ask, const PrefillPlan &plan)
{
    return kvTokensOf(ask) - plan.cachedTokens + plan.transferredTokens;
}

/// Returns whether a run that needs @p kvTokens of the KV cache fits into the share for active runs.
bool SoonestFirstToken::fits(const QueuedAsk &ask, const Candidate &candidate, std::uint64_t kvTokens) const
{
    const Engine *engine = engineOf(candidate.endpoint);
    if (engine == nullptr || candidate.kvCacheTokens == 0 || engine->runningTokens == 0) {
        return true;
    }
    const double share = isMostUrgent(ask.parameters) ? runningMemoryShareOfMostUrgent : runningMemoryShare;
    const auto maxRunningTokens = static_cast<std::uint64_t>(share * static_cast<double>(candidate.kvCacheTokens));
    return engine->runningTokens + kvTokens <= maxRunningTokens;
}

bool SoonestFirstToken::mayUseAny(const QueuedAsk &ask, std::span<const Candidate> candidates) const
{
    const auto isForIt = [&](const Candidate &candidate) { return isOnSideOf(ask, candidate.endpoint); };
    const bool usesAll = m_streamEngines.empty() || ask.parameters.hasTightestGap || ask.restricted;
    return usesAll || std::ranges::any_of(candidates, isForIt);
}

bool SoonestFirstToken::isOnSideOf(const QueuedAsk &ask, std::uint32_t endpoint) const
{
    return m_streamEngines.contains(endpoint) == ask.parameters.hasTightestGap;
}

std::vector<Candidate> SoonestFirstToken::sideOf(const QueuedAsk &ask, std::span<const Candidate> candidates) const
{
    std::vector<Candidate> side;
    std::ranges::copy_if(candidates, std::back_inserter(side),
                         [&](const Candidate &candidate) { return isOnSideOf(ask, candidate.endpoint); });
    return side.empty() ? std::vector<Candidate>(candidates.begin(), candidates.end()) : side;
}

std::optional<std::uint32_t> SoonestFirstToken::choose(const QueuedAsk &ask, std::span<const Candidate> candidates,
                                                       Base::Instant now) const
{
    // The engines that may serve a restricted ask may all be set aside.
    if (m_streamEngines.empty() || (ask.restricted && !ask.parameters.hasTightestGap)) {
        return chooseFrom(ask, candidates, now);
    }
    const std::vector<Candidate> side = sideOf(ask, candidates);
    if (ask.parameters.hasTightestGap) {
        const auto endpoint = chooseFrom(ask, side, now);
        // A tight stream may be on time beside other prompts as well, and would be late if it waited.
        return endpoint ? endpoint : chooseFrom(ask, candidates, now);
    }
    // Other prompts do not use the engines for streams while those have streams, also if all others are busy.
    return isOnSideOf(ask, side.front().endpoint) ? chooseFrom(ask, side, now) : std::nullopt;
}

std::optional<std::uint32_t> SoonestFirstToken::chooseFrom(const QueuedAsk &ask, std::span<const Candidate> candidates,
                                                           Base::Instant now) const
{
    std::optional<std::uint32_t> best;
    double lowestCost = 0;
    const Base::Duration longest = longestBacklogOfClass(ask);
    // An ask that has missed its target waits as well: at an engine with a long backlog it would delay all others there.
    const bool mayWait = !ask.isGuaranteed && now + longest < ask.deadline;
    std::optional<std::uint32_t> preferred;
    std::optional<Keeper> keeper;
    for (const Candidate &candidate : candidates) {
        // With this backlog even a fully cached prompt would have to wait, so the cache need not be checked.
        if (mayWait && backlogAt(candidate.endpoint, ask.parameters, now) > longest) {
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
            = cost.baseMs + expectedLateRuns(ask, engineOf(candidate.endpoint), cost.effectivePrefillTime, now) * lateRunMs;
        if (!best || costMs < lowestCost) {
            best = candidate.endpoint;
            lowestCost = costMs;
        }
    }
    return best;
}

MinBacklog SoonestFirstToken::minBacklog(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const
{
    MinBacklog shortest {0, Base::Duration::max()};
    for (const Candidate &candidate : sideOf(ask, candidates)) {
        if (const Base::Duration backlog = backlogAt(candidate.endpoint, ask.parameters, now); backlog < shortest.time) {
            shortest = {candidate.endpoint, backlog};
        }
    }
    return shortest;
}

Base::Duration SoonestFirstToken::firstTokenUpperBound(const QueuedAsk &ask, const MinBacklog &shortest) const
{
    if (shortest.time == Base::Duration::max()) {
        return shortest.time;
    }
    // Transfers need no term of their own, since one is used only if it takes less time than the prefill at the pool's speed.
    const std::uint32_t tokens = ask.ask.promptTokens;
    return shortest.time + std::max(timeToPrefill(tokens), timeToPrefill(engineOf(shortest.endpoint), tokens)) + overhead;
}

Base::Duration SoonestFirstToken::timeToFirstToken(const QueuedAsk &ask, const Candidate &candidate, const Keeper &keeper,
                                                   Base::Instant now) const
{
    const PrefillPlan plan = prefillPlanAt(ask, candidate, keeper);
    return backlogAt(candidate.endpoint, ask.parameters, now) + plan.transferTime + plan.prefillTime + overhead;
}

Base::Duration SoonestFirstToken::expectedFirstToken(const QueuedAsk &ask, std::span<const Candidate> candidates,
                                                     Base::Instant now) const
{
    Base::Duration earliest = Base::Duration::max();
    const Keeper keeper = keeperOf(ask, now);
    for (const Candidate &candidate : sideOf(ask, candidates)) {
        earliest = std::min(earliest, timeToFirstToken(ask, candidate, keeper, now));
    }
    return earliest;
}

std::optional<EngineModel::PendingPrefix> SoonestFirstToken::prefixToAwait(const QueuedAsk &ask, Base::Instant now) const
{
    const auto pending = m_pendingPrefixes.longest(ask.ask.prefix);
    if (!pending || !m_options.sharePrefills) {
        return std::nullopt;
    }
    // Waiting saves a prefill of the prefix, so it is right if it takes no longer, or if the ask still meets its target. A
    // prefill that is late by the whole time of the prompt may never end.
    const std::uint32_t rest = ask.ask.promptTokens - std::min(ask.ask.promptTokens, pending->tokens);
    const bool isSooner = pending->expectedEnd < now + timeToPrefill(pending->tokens) + overhead;
    const bool meetsTarget = pending->expectedEnd + timeToPrefill(rest) + overhead <= ask.target();
    const bool mayEnd = now < pending->expectedEnd + timeToPrefill(ask.ask.promptTokens) + overhead;
    const bool worthwhile = (isSooner || meetsTarget) && mayEnd;
    return worthwhile ? pending : std::nullopt;
}

/// Records the prefixes that the prefill of @p run adds to the cached ones, of which the longest has @p cachedTokens.
void SoonestFirstToken::addPendingPrefixes(const QueuedAsk &ask, const PlacedRun &run, std::uint32_t cachedTokens,
                                           Base::Instant expectedEnd)
{
    const std::size_t parts = std::min(ask.ask.prefix.size(), ask.ask.prefixTokens.size());
    for (std::size_t index = 0; index < parts; ++index) {
        if (ask.ask.prefixTokens[index] >= cachedTokens + minTrackedTokens) {
            m_pendingPrefixes.add({run.endpoint, ask.ask.prefix[index], ask.ask.prefixTokens[index], expectedEnd, run.prefill},
                                  run.placedAt);
        }
    }
}

void SoonestFirstToken::addPrefill(const QueuedAsk &ask, const PrefillPlan &plan, Engine &engine, PlacedRun &run,
                                   Base::Instant now)
{
    if (run.prefillTokens < minTrackedTokens) {
        return;
    }
    run.prefill = ++m_lastPrefill;
    run.prefillReported = ask.ask.reportsPrefill;
    const Base::Duration backlog = backlogOf(engine, ask.parameters, now);
    // The prompt has to reach the engine, and its first token the home.
    const Base::Instant begins = now + plan.transferTime + overhead / 2;
    engine.prefills.add(
        {run.prefill, ask.parameters.urgency, static_cast<double>(run.prefillTokens), begins, run.prefillReported}, now);
    addPendingPrefixes(ask, run, std::max(plan.cachedTokens, plan.keeperTokens), begins + backlog + plan.prefillTime);
}

PlacedRun SoonestFirstToken::recordPlacement(const QueuedAsk &ask, const Candidate &candidate, Base::Instant now)
{
    const PrefillPlan plan = prefillPlanAt(ask, candidate, keeperOf(ask, now));
    if (const auto keeper = m_engines.find(plan.keeper); keeper != m_engines.end()) {
        keeper->second.transfersUntil = now + plan.transferTime;
    }
    Engine &engine = m_engines.try_emplace(candidate.endpoint, m_longestPause, m_poolSpeed.tokensPerMs()).first->second;
    engine.prefills.removeOverdue(engine.speed.tokensPerMs(), now);
    PlacedRun run;
    run.endpoint = candidate.endpoint;
    run.keeper = plan.keeper;
    run.reliabilityEpoch = engine.reliabilityEpoch;
    run.kvTokens = kvTokensFor(ask, plan);
    run.prefillTokens = ask.ask.promptTokens - plan.cachedTokens;
    run.requestClass = ask.ask.requestClass;
    run.organisation = ask.ask.organisation;
    run.expectedTokens = ask.ask.expectedTokens;
    run.prefix = ask.ask.prefix;
    run.placedAt = now;
    run.allowedPause = ask.parameters.tokenGap;
    const Base::Duration backlog = backlogOf(engine, ask.parameters, now);
    const Base::Duration burst = backlogOf(engine, now);
    engine.pauses.recordPrefill(now, burst, burst + plan.prefillTime);
    engine.pauses.addStream(run.allowedPause);
    run.tightStream = ask.parameters.hasTightestGap;
    if (run.tightStream) {
        m_streamEngines.streamStarted(plan.prefillTime);
    }
    run.expectedPrefillEnd = now + scaled(backlog + plan.transferTime + plan.prefillTime, prefillMargin);
    addPrefill(ask, plan, engine, run, now);
    engine.runningTokens += run.kvTokens;
    engine.cache.insert(chainOf(ask), run.prefillReported ? Base::Instant::max() : run.expectedPrefillEnd);
    if (candidate.kvCacheTokens > 0) {
        // Active runs and cached prompts share the memory, and active runs are not evicted.
        engine.cache.shrink(candidate.kvCacheTokens - std::min(candidate.kvCacheTokens, engine.runningTokens));
    }
    return run;
}

void SoonestFirstToken::recordPrefillEnd(const PlacedRun &run, Base::Instant now)
{
    const auto engine = m_engines.find(run.endpoint);
    if (engine == m_engines.end()) {
        return;
    }
    engine->second.cache.setRead(run.prefix, now);
    m_pendingPrefixes.remove(run.prefix, run.prefill);
    if (const auto completed = engine->second.prefills.complete(run.prefill, now)) {
        updatePrefillSpeed(engine->second, run, *completed);
        // Between two prompts the engine produces tokens without the delay of a prefill, so that its runs end in time.
        const Base::Duration busy = std::min(completed->duration, timeToPrefill(&engine->second, run.prefillTokens));
        engine->second.restUntil = std::max(engine->second.restUntil, now) + scaled(busy, (1.0 - prefillShare) / prefillShare);
    }
}

void SoonestFirstToken::recordEnd(const PlacedRun &run, const ObservedTokens &seen, Base::Instant now)
{
    m_pendingPrefixes.remove(run.prefix, run.prefill);
    if (run.tightStream) {
        const bool hadEvents = seen.first > Base::Duration::zero();
        m_streamEngines.streamEnded(hadEvents ? std::optional(seen.pauses.longest > run.allowedPause) : std::nullopt, now);
    }
    if (run.endpoint != 0) {
        observeLength(run, seen);
    }
    const auto engine = m_engines.find(run.endpoint);
    if (engine == m_engines.end()) {
        return;
    }
    engine->second.prefills.remove(run.prefill, now);
    engine->second.cache.setRead(run.prefix, run.expectedPrefillEnd);
    engine->second.runningTokens -= std::min(engine->second.runningTokens, run.kvTokens);
    engine->second.pauses.removeStream(run.allowedPause, run.placedAt + seen.first, seen.pauses);
    logLongestPause(run, seen);
    if (seen.first > Base::Duration::zero() && run.reliabilityEpoch == engine->second.reliabilityEpoch) {
        engine->second.allowsTransfers = true;
    }
}

void SoonestFirstToken::observeLength(const PlacedRun &run, const ObservedTokens &seen)
{
    m_lengths.add(run.requestClass, run.organisation, run.expectedTokens, seen.completedEvents);
    if (seen.pauses.mean > Base::Duration::zero()) {
        const Base::Duration change = seen.pauses.mean - m_eventInterval;
        m_eventInterval += m_eventInterval == Base::Duration::zero() ? change : scaled(change, latestIntervalWeight);
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

void SoonestFirstToken::updatePrefillSpeed(Engine &engine, const PlacedRun &run, const EngineModel::CompletedPrefill &completed)
{
    if (run.prefillTokens < minTokensToLearn) {
        return;
    }
    engine.speed.add(completed);
    m_poolSpeed.add(completed);
    const double poolTokensPerMs = m_poolSpeed.tokensPerMs();
    if (std::abs(poolTokensPerMs - m_loggedTokensPerMs) > minLoggedChange * m_loggedTokensPerMs) {
        m_loggedTokensPerMs = poolTokensPerMs;
        Base::log(Base::LogLevel::Info, Base::LogEvent::PrefillSpeedLearned,
                  {{"tokens-per-ms", poolTokensPerMs},
                   {"endpoint", run.endpoint},
                   {"endpoint-tokens-per-ms", engine.speed.tokensPerMs()},
                   {"unread", run.prefillTokens},
                   {"prefill-ms", Base::milliseconds(completed.duration)}});
    }
}

void SoonestFirstToken::adjust(std::span<const Candidate> candidates, Base::Instant now)
{
    for (Engine &engine : m_engines | std::views::values) {
        engine.prefills.removeOverdue(engine.speed.tokensPerMs(), now);
    }
    if (!m_options.streamEngines) {
        return;
    }
    std::vector<EngineModel::StreamEngineCandidate> engines;
    for (const Candidate &candidate : candidates) {
        const Engine *engine = engineOf(candidate.endpoint);
        const double speed = engine == nullptr ? m_poolSpeed.tokensPerMs() : engine->speed.tokensPerMs();
        const Base::Duration backlog = engine == nullptr ? Base::Duration::zero() : backlogOf(*engine, now);
        engines.push_back({candidate.endpoint, candidate.window, speed, backlog});
    }
    const std::size_t before = m_streamEngines.size();
    if (m_streamEngines.update(engines, now) != EngineModel::StreamEnginesChange::None) {
        Base::log(Base::LogLevel::Info, Base::LogEvent::StreamEnginesChanged,
                  {{"engines", m_streamEngines.size()},
                   {"before", before},
                   {"of", engines.size()},
                   {"streams", m_streamEngines.activeStreams()},
                   {"late-share", m_streamEngines.lateShare()}});
    }
}

/// Stops transfers from the engine, but keeps the estimate of its cache: an engine that fails some runs still has its prompts. An
/// engine that restarts becomes a new endpoint where the platform reports restarts. Elsewhere, higher first-token times of its
/// next runs show that it has lost its cache.
void SoonestFirstToken::markUnreliable(std::uint32_t endpoint)
{
    if (const auto engine = m_engines.find(endpoint); engine != m_engines.end()) {
        engine->second.allowsTransfers = false;
        ++engine->second.reliabilityEpoch;
    }
}

void SoonestFirstToken::removeEndpoint(std::uint32_t endpoint)
{
    m_engines.erase(endpoint);
}

} // namespace Yokepond::Dispatch
