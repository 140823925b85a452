// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/shardchoice.h"

#include "Base/hash.h"
#include "Dispatch/preference.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace Yokepond::Request {

namespace {

using Base::Duration;
using Base::Instant;
using Dispatch::ShardInfo;

/// Part of its windows by which the shard that has the prompt's prefix may be fuller than another, per thousand.
constexpr std::uint32_t pressureSlack = 300;
/// What a shard last said of itself counts this long.
constexpr Duration newsKept = std::chrono::seconds(2);
constexpr Duration avoidedFor = std::chrono::seconds(1);

/// Requests that share a long beginning meet in one shard. By the first part of their prompts alone, which thousands of different
/// beginnings may have in common, each of a pool's shards came to read every one of them.
std::uint64_t affinityOf(const NewRequest &request)
{
    return request.prefix.empty() ? Base::hash64(fmt::format("{}", request.id)) : Dispatch::sharedPrefix(request.prefix);
}

} // namespace

const ShardInfo *ShardChoice::choose(Instant now, const Dispatch::ShardMap &map, std::uint32_t pool, const NewRequest &request,
                                     std::uint32_t avoid, std::mt19937_64 &random) const
{
    std::vector<const ShardInfo *> shards = map.ofPool(pool);
    std::erase_if(shards, [&](const ShardInfo *shard) { return isAvoided(now, shard->id) || shard->dispatcher.empty(); });
    if (shards.empty()) {
        return nullptr;
    }
    const std::uint64_t affinity = affinityOf(request);
    const auto score = [&](const ShardInfo *shard) { return Base::hash64(fmt::format("{}", shard->id), affinity); };
    const ShardInfo *first = *std::ranges::max_element(shards, {}, score);
    if (shards.size() == 1) {
        return first;
    }
    std::erase(shards, first);
    const ShardInfo *second = shards[random() % shards.size()];
    // The better of two choices (Mitzenmacher, 2001), with a preference for where the prefix was before.
    const bool firstIsAvoided = avoid != 0 && first->endpoints.size() == 1 && first->endpoints.front() == avoid;
    return firstIsAvoided || pressureOf(now, first->id) > pressureOf(now, second->id) + pressureSlack ? second : first;
}

bool ShardChoice::isAvoided(Instant now, std::uint32_t shard) const
{
    const auto news = m_news.find(shard);
    return news != m_news.end() && news->second.avoidedUntil > now;
}

bool ShardChoice::someIsDown(Instant now, const Dispatch::ShardMap &shards, std::uint32_t pool) const
{
    return std::ranges::any_of(shards.ofPool(pool), [&](const ShardInfo *shard) {
        const auto news = m_news.find(shard->id);
        return news != m_news.end() && news->second.down && news->second.avoidedUntil > now;
    });
}

std::uint32_t ShardChoice::pressureOf(Instant now, std::uint32_t shard) const
{
    const auto news = m_news.find(shard);
    return news == m_news.end() || now - news->second.at > newsKept ? 0 : news->second.pressure;
}

void ShardChoice::hearPressure(Instant now, std::uint32_t shard, std::uint32_t pressure)
{
    m_news[shard].pressure = pressure;
    m_news[shard].at = now;
}

void ShardChoice::hearNoEndpoint(Instant now, std::uint32_t shard, bool down)
{
    m_news[shard].avoidedUntil = now + avoidedFor;
    m_news[shard].down = down;
}

} // namespace Yokepond::Request
