// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/shardmap.h"

#include "Base/hash.h"
#include "Configuration/namenumbers.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <ranges>

namespace Yokepond::Dispatch {

namespace {

using Configuration::Endpoint;
using Peer::Member;
using Peer::MemberState;

/// Share of a dispatcher's processor time for scheduling decisions at the rate below. The remaining time is for its own callers,
/// messages and bursts.
constexpr double cpuShareForDecisions = 1.0 / 3.0;
/// Requests per second for each endpoint at the target size of 5,600 requests per second and 600 endpoints. The largest
/// deployment at present has a third of this rate.
constexpr double decisionsPerSecondPerEndpoint = 9.3;
/// Processor time of one decision for each endpoint of the shard. Derived from 0.044 of a core for 320 endpoints and 960
/// requests per second, measured at the busiest host under high load, including the cost of its own callers.
constexpr double cpuSecondsPerDecisionPerEndpoint = 0.14e-6;
/// Shard size when the hosts' processors are not known, and the minimum.
constexpr std::size_t minEndpointsPerShard = 32;

struct GroupKey
{
    std::uint32_t pool = 0;
    std::string dataCentre;

    auto operator<=>(const GroupKey &) const = default;
};

std::string identityOf(const ShardInfo &shard)
{
    return fmt::format("{}/{}/{}", shard.pool, shard.dataCentre, shard.index);
}

/// Sets the ids of the shards, which differ from each other.
void identify(std::vector<ShardInfo> &shards)
{
    std::vector<Configuration::NumberedName> names;
    std::ranges::transform(shards, std::back_inserter(names), [](const ShardInfo &shard) {
        const std::string identity = identityOf(shard);
        return Configuration::NumberedName {identity, Configuration::nameNumber(identity)};
    });
    Configuration::separate(names);
    for (std::size_t index = 0; index < shards.size(); ++index) {
        shards[index].id = names[index].number;
    }
}

/// Assigns the endpoints of one pool and data centre to its shards. The shards get equal shares of the asks, so their sizes must
/// be equal as well. Uses rendezvous hashing (Thaler and Ravishankar, 1998) with bounded loads (Mirrokni, Thorup and
/// Zadimoghaddam, 2018): an endpoint goes to the shard with the highest hash that is not full. Few endpoints change their shard
/// when one is added or removed.
std::vector<std::vector<const Endpoint *>> assignToShards(const std::vector<const Endpoint *> &endpoints, std::size_t shards)
{
    const std::size_t maxShardSize = (endpoints.size() + shards - 1) / shards;
    std::vector<std::vector<const Endpoint *>> divided(shards);
    std::vector<std::pair<std::uint64_t, const Endpoint *>> hashed;
    std::ranges::transform(endpoints, std::back_inserter(hashed),
                           [](const Endpoint *endpoint) { return std::pair(Base::hash64(endpoint->name), endpoint); });
    // The order decides which endpoints find a shard full, so it must be the same on all hosts.
    std::ranges::sort(hashed, {}, [](const auto &entry) { return entry.first; });
    for (const auto &[hash, endpoint] : hashed) {
        auto open = std::views::iota(std::size_t {0}, shards)
            | std::views::filter([&](std::size_t index) { return divided[index].size() < maxShardSize; });
        const auto weight = [own = hash](std::size_t index) { return Base::combineHashes(own, index + 1); };
        divided[*std::ranges::max_element(open, {}, weight)].push_back(endpoint);
    }
    return divided;
}

/// Returns the largest shard that a host with this processor can dispatch. A decision evaluates each endpoint, and the rate of
/// decisions is proportional to the number of endpoints, so the load grows with the square of the shard size.
std::size_t maxEndpointsForCpu(std::uint32_t milliCores)
{
    constexpr double perCore = 1000.0;
    const double time = milliCores / perCore * cpuShareForDecisions;
    return static_cast<std::size_t>(std::sqrt(time / (cpuSecondsPerDecisionPerEndpoint * decisionsPerSecondPerEndpoint)));
}

/// Returns the intended shard size: the configured one, or the largest that the hosts with the most processor time can dispatch,
/// since those become dispatchers. Few large shards are better than many small ones. Their dispatchers have more information
/// about cached prompts, free slots and lost endpoints, and lose less of it when endpoints change their shard; and a home gets
/// messages from each of them more often. Many small shards lower the share of requests that are served in time; larger ones
/// overload their dispatchers.
std::size_t endpointsPerShard(const Configuration::Policies &policies, const std::vector<Member> &members)
{
    if (policies.shardSize > 0) {
        return policies.shardSize;
    }
    const auto strongest = std::ranges::max_element(members, {}, &Member::milliCores);
    return strongest == members.end() ? minEndpointsPerShard
                                      : std::max(minEndpointsPerShard, maxEndpointsForCpu(strongest->milliCores));
}

/// Returns the number of shards for a number of endpoints. If the size is computed from the hosts' processors, the result is a
/// power of two, so it changes only when the number of endpoints about doubles. Each change moves half of the endpoints or more
/// to other dispatchers, which lack the state of these endpoints. Without the rounding this would occur when many endpoints
/// crash: the platform still lists them for some seconds beside their replacements, half as many again if a third of a pool
/// crashes.
std::size_t shardsFor(std::size_t endpoints, std::size_t shardSize, bool sizedByCpu)
{
    if (!sizedByCpu) {
        return (endpoints + shardSize - 1) / shardSize;
    }
    const double ratio = static_cast<double>(endpoints) / static_cast<double>(shardSize);
    return std::size_t {1} << static_cast<unsigned int>(std::max(0L, std::lround(std::log2(std::max(1.0, ratio)))));
}

/// A member and the hash of its name.
struct HashedMember
{
    std::uint64_t hash = 0;
    const Member *member = nullptr;
};

std::string chooseDispatcher(const ShardInfo &shard, const std::vector<HashedMember> &members)
{
    const auto preference = [&](const HashedMember &hashed) {
        const Member &member = *hashed.member;
        const bool stays = member.state != MemberState::Leaving;
        const bool near = member.dataCentre == shard.dataCentre;
        // The load of a dispatcher grows with the fleet, so a small host among larger ones would run out of processor time first.
        return std::tuple(stays, near, member.milliCores, Base::combineHashes(hashed.hash, shard.id));
    };
    const auto best = std::ranges::max_element(members, {}, preference);
    return best == members.end() ? std::string() : best->member->name;
}

} // namespace

ShardMap::ShardMap(const Configuration::Catalogue &catalogue, const std::vector<Member> &members)
    : m_shardSize(endpointsPerShard(catalogue.policies(), members))
{
    divide(catalogue);
    chooseDispatchers(members);
}

ShardMap ShardMap::withMembers(const Configuration::Catalogue &catalogue, const std::vector<Member> &members) const
{
    if (endpointsPerShard(catalogue.policies(), members) != m_shardSize) {
        return {catalogue, members};
    }
    ShardMap changed = *this;
    changed.chooseDispatchers(members);
    return changed;
}

void ShardMap::divide(const Configuration::Catalogue &catalogue)
{
    std::map<GroupKey, std::vector<const Endpoint *>> groups;
    for (const Endpoint &endpoint : catalogue.endpoints()) {
        const bool whole = catalogue.policies().wholePoolShards;
        groups[{endpoint.pool, whole ? std::string() : endpoint.dataCentre}].push_back(&endpoint);
    }
    for (const auto &[key, endpoints] : groups) {
        const std::size_t count = shardsFor(endpoints.size(), m_shardSize, catalogue.policies().shardSize == 0);
        const auto divided = assignToShards(endpoints, count);
        for (std::size_t index = 0; index < count; ++index) {
            ShardInfo shard {0, key.pool, key.dataCentre, static_cast<std::uint32_t>(index), {}, {}};
            std::ranges::transform(divided[index], std::back_inserter(shard.endpoints), &Endpoint::number);
            std::ranges::sort(shard.endpoints);
            if (!shard.endpoints.empty()) {
                m_shards.push_back(std::move(shard));
            }
        }
    }
    identify(m_shards);
    std::ranges::sort(m_shards, {}, &ShardInfo::id);
}

void ShardMap::chooseDispatchers(const std::vector<Member> &members)
{
    std::vector<HashedMember> hashed;
    std::ranges::transform(members, std::back_inserter(hashed), [](const Member &member) {
        return HashedMember {Base::hash64(member.name), &member};
    });
    for (ShardInfo &shard : m_shards) {
        shard.dispatcher = chooseDispatcher(shard, hashed);
    }
}

const std::vector<ShardInfo> &ShardMap::shards() const
{
    return m_shards;
}

const ShardInfo *ShardMap::find(std::uint32_t id) const
{
    const auto shard = std::ranges::lower_bound(m_shards, id, {}, &ShardInfo::id);
    return shard == m_shards.end() || shard->id != id ? nullptr : &*shard;
}

std::vector<const ShardInfo *> ShardMap::ofPool(std::uint32_t pool) const
{
    std::vector<const ShardInfo *> found;
    for (const ShardInfo &shard : m_shards) {
        if (shard.pool == pool) {
            found.push_back(&shard);
        }
    }
    return found;
}

} // namespace Yokepond::Dispatch
