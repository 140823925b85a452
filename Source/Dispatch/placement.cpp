// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/placement.h"

#include "Base/log.h"
#include "Dispatch/preference.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace Yokepond::Dispatch {

namespace {

constexpr std::size_t mostPrefixes = 20'000;
constexpr std::size_t holdersPerPrefix = 3;
/// Part of its window by which a holder of the prefix may be fuller than the least loaded endpoint.
constexpr double loadSlack = 0.35;

double loadOf(const Candidate &candidate)
{
    return static_cast<double>(candidate.running) / std::max(1U, candidate.window);
}

const Candidate &leastLoaded(std::span<const Candidate> candidates)
{
    return *std::ranges::min_element(candidates, {}, loadOf);
}

} // namespace

std::optional<std::uint32_t> RoundRobin::choose(const QueuedAsk &, std::span<const Candidate> candidates, Base::Instant) const
{
    const auto next
        = std::ranges::find_if(candidates, [this](const Candidate &candidate) { return candidate.endpoint > m_last; });
    return next == candidates.end() ? candidates.front().endpoint : next->endpoint;
}

PlacedRun RoundRobin::placed(const QueuedAsk &, const Candidate &candidate, Base::Instant)
{
    m_last = candidate.endpoint;
    return {.endpoint = candidate.endpoint};
}

std::optional<std::uint32_t> LeastLoaded::choose(const QueuedAsk &, std::span<const Candidate> candidates, Base::Instant) const
{
    return leastLoaded(candidates).endpoint;
}

PlacedRun LeastLoaded::placed(const QueuedAsk &, const Candidate &candidate, Base::Instant)
{
    return {.endpoint = candidate.endpoint};
}

std::optional<std::uint32_t> PrefixAffinity::holder(const QueuedAsk &ask, std::span<const Candidate> candidates,
                                                    double mostLoad) const
{
    // The last hash stands for the longest beginning.
    for (const std::uint64_t prefix : ask.ask.prefix | std::views::reverse) {
        const auto holders = m_holders.find(prefix);
        if (holders == m_holders.end()) {
            continue;
        }
        for (const std::uint32_t endpoint : holders->second) {
            const auto candidate = std::ranges::find(candidates, endpoint, &Candidate::endpoint);
            if (candidate != candidates.end() && loadOf(*candidate) <= mostLoad) {
                return endpoint;
            }
        }
    }
    return std::nullopt;
}

std::optional<std::uint32_t> PrefixAffinity::choose(const QueuedAsk &ask, std::span<const Candidate> candidates,
                                                    Base::Instant) const
{
    const Candidate &least = leastLoaded(candidates);
    return holder(ask, candidates, loadOf(least) + loadSlack).value_or(least.endpoint);
}

PlacedRun PrefixAffinity::placed(const QueuedAsk &ask, const Candidate &candidate, Base::Instant)
{
    const std::uint32_t endpoint = candidate.endpoint;
    for (const std::uint64_t prefix : ask.ask.prefix) {
        const auto [entry, added] = m_holders.try_emplace(prefix);
        if (added) {
            m_byAge.push_back(prefix);
        }
        Holders &holders = entry->second;
        std::erase(holders, endpoint);
        holders.insert(holders.begin(), endpoint);
        if (holders.size() > holdersPerPrefix) {
            holders.pop_back();
        }
    }
    while (m_byAge.size() > mostPrefixes) {
        m_holders.erase(m_byAge.front());
        m_byAge.pop_front();
    }
    return {.endpoint = endpoint};
}

void PrefixAffinity::forget(std::uint32_t endpoint)
{
    for (Holders &holders : m_holders | std::views::values) {
        std::erase(holders, endpoint);
    }
}

// --- SoonestFirstToken

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
/// Each run at an engine waits for its tokens while another's prompt is read.
constexpr double slowsOthers = 0.1;
/// Of the latest observation, when the reading speed is learned. A run that was faster than expected shows what an engine can
/// do; one that was slower may have met work that the model does not know of.
constexpr double latestShareIfFaster = 0.3;
constexpr double latestShareIfSlower = 0.02;
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

/// How much an engine may still have to read for @p ask, which has @p own to read and @p kept there, to be sent to it.
Base::Duration longestBacklog(const QueuedAsk &ask, std::uint32_t kept, Base::Duration own)
{
    const bool mostKept = kept * 2 > ask.ask.promptTokens;
    Base::Duration longest = part(ask.terms.firstToken, mostKept ? backlogShareIfKept : backlogShare);
    if (ask.terms.tightestAbove > Base::Duration::zero()) {
        const Base::Duration reading = part(own, 1.0 / readingShare);
        longest = std::min(longest, part(ask.terms.tightestAbove, shareOfTightestAbove) - reading);
    }
    return std::max(longest, freeBacklog);
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

SoonestFirstToken::Cost SoonestFirstToken::costAt(const QueuedAsk &ask, const Candidate &candidate, bool preferred,
                                                  Base::Instant now) const
{
    const Engine *engine = engineOf(candidate.endpoint);
    const std::uint32_t kept = engine == nullptr ? 0 : keptOf(*engine, ask);
    const std::uint32_t unread = ask.ask.promptTokens - kept;
    Cost cost;
    cost.backlog = engine == nullptr ? Base::Duration::zero() : backlogOf(*engine, ask.terms.rank, now);
    cost.own = timeToRead(unread);
    cost.kept = kept;
    const double readFactor = preferred ? 1.0 : readAgainFactor;
    cost.load = Base::milliseconds(cost.backlog) + Base::milliseconds(cost.own) * readFactor + loadOf(candidate) * fullWindowMs
        + Base::milliseconds(cost.own) * candidate.running * slowsOthers;
    return cost;
}

/// @p kept: tokens of the prompt that the engine keeps.
bool SoonestFirstToken::fits(const QueuedAsk &ask, const Candidate &candidate, std::uint32_t kept) const
{
    const Engine *engine = engineOf(candidate.endpoint);
    if (engine == nullptr || candidate.memoryTokens == 0 || engine->runningTokens == 0) {
        return true;
    }
    const bool mostUrgent = ask.terms.tightestAbove == Base::Duration::zero();
    const double share = mostUrgent ? runningShareOfMostUrgent : runningShare;
    const auto most = static_cast<std::uint64_t>(share * static_cast<double>(candidate.memoryTokens));
    return engine->runningTokens + memoryOf(ask) - kept <= most;
}

std::optional<std::uint32_t> SoonestFirstToken::choose(const QueuedAsk &ask, std::span<const Candidate> candidates,
                                                       Base::Instant now) const
{
    std::optional<std::uint32_t> best;
    double least = 0;
    const std::uint32_t preferred = preferredEndpoint(ask, candidates);
    for (const Candidate &candidate : candidates) {
        const Cost cost = costAt(ask, candidate, candidate.endpoint == preferred, now);
        // What is late already gains nothing by waiting here.
        const bool waits = now < ask.target() && cost.backlog > longestBacklog(ask, cost.kept, cost.own);
        if (waits || !fits(ask, candidate, cost.kept)) {
            continue;
        }
        if (!best || cost.load < least) {
            best = candidate.endpoint;
            least = cost.load;
        }
    }
    return best;
}

Base::Duration SoonestFirstToken::expected(const QueuedAsk &ask, std::span<const Candidate> candidates, Base::Instant now) const
{
    Base::Duration soonest = Base::Duration::max();
    for (const Candidate &candidate : candidates) {
        const Cost cost = costAt(ask, candidate, false, now);
        soonest = std::min(soonest, cost.backlog + cost.own + overhead);
    }
    return soonest;
}

PlacedRun SoonestFirstToken::placed(const QueuedAsk &ask, const Candidate &candidate, Base::Instant now)
{
    Engine &engine = m_engines[candidate.endpoint];
    const std::uint32_t kept = keptOf(engine, ask);
    PlacedRun run;
    run.endpoint = candidate.endpoint;
    // Parts that are kept are there once, whatever number of runs use them.
    run.tokens = memoryOf(ask) - kept;
    run.unread = ask.ask.promptTokens - kept;
    readOn(engine, now);
    const Base::Duration backlog = backlogOf(engine, ask.terms.rank, now);
    const Base::Duration reading = timeToRead(run.unread);
    run.alone = std::ranges::all_of(engine.unread | std::views::values,
                                    [](Base::Duration time) { return time == Base::Duration::zero(); });
    run.expected = backlog + reading;
    run.rank = ask.terms.rank;
    run.reading = part(reading, 1.0 / readingShare);
    engine.unread[run.rank] += run.reading;
    engine.underWay[run.rank] += run.reading;
    engine.runningTokens += run.tokens;
    engine.cache.read(chainOf(ask));
    if (candidate.memoryTokens > 0) {
        // Runs and kept prompts share the memory; what runs does not give way.
        engine.cache.shrink(candidate.memoryTokens - std::min(candidate.memoryTokens, engine.runningTokens));
    }
    return run;
}

void SoonestFirstToken::ended(const PlacedRun &run, Base::Duration firstToken)
{
    const auto engine = m_engines.find(run.endpoint);
    if (engine == m_engines.end()) {
        return;
    }
    engine->second.runningTokens -= std::min(engine->second.runningTokens, run.tokens);
    // What an ended run left unread will not be read: there is no more to read than the prompts of those under way.
    Base::Duration &underWay = engine->second.underWay[run.rank];
    underWay = std::max(Base::Duration::zero(), underWay - run.reading);
    Base::Duration &unread = engine->second.unread[run.rank];
    unread = std::min(unread, underWay);
    // Behind other prompts the time tells of the model's errors rather than of the engine's speed.
    if (run.alone && firstToken > Base::Duration::zero() && run.unread >= leastTokensToLearn) {
        learnSpeed(run, firstToken);
    }
}

void SoonestFirstToken::learnSpeed(const PlacedRun &run, Base::Duration firstToken)
{
    const Base::Duration reading = std::max(firstToken - overhead, firstToken / 2);
    const double ratio = std::clamp(Base::milliseconds(run.expected) / Base::milliseconds(reading), 0.5, 2.0);
    const double change = m_tokensPerMs * ratio - m_tokensPerMs;
    const double share = change > 0 ? latestShareIfFaster : latestShareIfSlower;
    m_tokensPerMs = std::clamp(m_tokensPerMs + share * change, slowestTokensPerMs, fastestTokensPerMs);
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
void SoonestFirstToken::forget(std::uint32_t)
{
}

} // namespace Yokepond::Dispatch
