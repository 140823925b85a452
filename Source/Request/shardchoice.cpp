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

/// Load by which the shard that has the prompt's prefix may exceed another before the other is chosen, per thousand of its slots.
constexpr std::uint32_t pressureSlack = 300;
/// Time for which a reported pressure is used.
constexpr Duration pressureValidity = std::chrono::seconds(2);
/// Time for which a shard without a usable endpoint is not asked.
constexpr Duration avoidDuration = std::chrono::seconds(1);

/// Returns the hash that decides which shard a request prefers. Requests that share a long prefix prefer the same shard. The
/// first part of the prompt alone is not enough: thousands of different prefixes may share it, and each shard of a pool then had
/// to prefill all of them.
std::uint64_t affinityHash(const NewRequest &request)
{
    return request.prefix.empty() ? Base::hash64(fmt::format("{}", request.id)) : Dispatch::sharedPrefix(request.prefix);
}

} // namespace

const ShardInfo *ShardChoice::choose(Instant now, std::vector<const ShardInfo *> shards, const NewRequest &request,
                                     std::uint32_t avoid, std::mt19937_64 &random) const
{
    std::erase_if(shards, [&](const ShardInfo *shard) { return isAvoided(now, shard->id) || shard->dispatcher.empty(); });
    if (shards.empty()) {
        return nullptr;
    }
    const std::uint64_t affinity = affinityHash(request);
    const auto score = [&](const ShardInfo *shard) { return Base::hash64(fmt::format("{}", shard->id), affinity); };
    const ShardInfo *first = *std::ranges::max_element(shards, {}, score);
    if (shards.size() == 1) {
        return first;
    }
    std::erase(shards, first);
    const ShardInfo *second = shards[random() % shards.size()];
    // Power of two choices (Mitzenmacher, 2001), with a preference for the shard that probably has the prefix in its cache.
    const bool firstIsAvoided = avoid != 0 && first->endpoints.size() == 1 && first->endpoints.front() == avoid;
    return firstIsAvoided || pressureOf(now, first->id) > pressureOf(now, second->id) + pressureSlack ? second : first;
}

bool ShardChoice::isAvoided(Instant now, std::uint32_t shard) const
{
    const auto state = m_states.find(shard);
    return state != m_states.end() && state->second.avoidedUntil > now;
}

bool ShardChoice::anyShardIsDown(Instant now, const Dispatch::ShardMap &shards, std::uint32_t pool) const
{
    return std::ranges::any_of(shards.ofPool(pool), [&](const ShardInfo *shard) {
        const auto state = m_states.find(shard->id);
        return state != m_states.end() && state->second.down && state->second.avoidedUntil > now;
    });
}

std::uint32_t ShardChoice::pressureOf(Instant now, std::uint32_t shard) const
{
    const auto state = m_states.find(shard);
    return state == m_states.end() || now - state->second.updatedAt > pressureValidity ? 0 : state->second.pressure;
}

void ShardChoice::updatePressure(Instant now, std::uint32_t shard, std::uint32_t pressure)
{
    m_states[shard].pressure = pressure;
    m_states[shard].updatedAt = now;
}

void ShardChoice::markWithoutEndpoint(Instant now, std::uint32_t shard, bool down)
{
    m_states[shard].avoidedUntil = now + avoidDuration;
    m_states[shard].down = down;
}

} // namespace Yokepond::Request
