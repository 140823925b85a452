// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/shardmap.h"

#include "Base/hash.h"

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

/// Of a dispatcher's processor, for its decisions at the rate below. The rest is for its own callers, messages and bursts.
constexpr double cpuShareForDecisions = 1.0 / 3.0;
/// Requests a second before one endpoint at the target size (5,600 before 600). Today's largest deployment has a third of it.
constexpr double decisionsPerSecondPerEndpoint = 9.3;
/// Processor time of a request at its dispatcher for each endpoint of the shard: 0.044 of a core with 320 endpoints and 960
/// requests a second (a day of high load of the large deployment, the busiest host, its own callers included).
constexpr double cpuSecondsPerDecisionPerEndpoint = 0.14e-6;
/// Where the processor is not known, or small.
constexpr std::size_t minEndpointsPerShard = 32;

struct GroupKey
{
    std::uint32_t pool = 0;
    std::string dataCentre;

    auto operator<=>(const GroupKey &) const = default;
};

std::uint32_t shardId(const GroupKey &group, std::size_t index)
{
    return static_cast<std::uint32_t>(Base::hash64(fmt::format("{}/{}/{}", group.pool, group.dataCentre, index)));
}

/// The shards of one group; each gets the same share of the asks, so that their sizes must not differ. Rendezvous hashing
/// (Thaler and Ravishankar, 1998) with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018): the shard with the highest
/// hash wins unless it is full, so that an endpoint that comes or goes moves few others.
std::vector<std::vector<const Endpoint *>> assignToShards(const std::vector<const Endpoint *> &endpoints, std::size_t shards)
{
    const std::size_t most = (endpoints.size() + shards - 1) / shards;
    std::vector<std::vector<const Endpoint *>> divided(shards);
    std::vector<std::pair<std::uint64_t, const Endpoint *>> hashed;
    std::ranges::transform(endpoints, std::back_inserter(hashed),
                           [](const Endpoint *endpoint) { return std::pair(Base::hash64(endpoint->name), endpoint); });
    // The order decides who finds a shard full; it must be the same on all hosts.
    std::ranges::sort(hashed, {}, [](const auto &entry) { return entry.first; });
    for (const auto &[hash, endpoint] : hashed) {
        auto open = std::views::iota(std::size_t {0}, shards)
            | std::views::filter([&](std::size_t index) { return divided[index].size() < most; });
        const auto weight = [own = hash](std::size_t index) { return Base::combineHashes(own, index + 1); };
        divided[*std::ranges::max_element(open, {}, weight)].push_back(endpoint);
    }
    return divided;
}

/// Endpoints of one shard, by what its dispatcher can bear: a decision looks at each of them, and decisions come in proportion
/// to them too, so that a dispatcher's work grows with their square.
std::size_t maxEndpointsForCpu(std::uint32_t milliCores)
{
    constexpr double perCore = 1000.0;
    const double time = milliCores / perCore * cpuShareForDecisions;
    return static_cast<std::size_t>(std::sqrt(time / (cpuSecondsPerDecisionPerEndpoint * decisionsPerSecondPerEndpoint)));
}

/// Few large shards know more than many small ones: of the prompts that endpoints keep, of who has room and of who is gone, also
/// of an endpoint that moves when another comes or goes; and a home hears from each of them more often. As large as the hosts
/// with the most processor bear, since these dispatch. Worth of a day of high load at the large deployment, 320 endpoints, single
/// plays without processor time, which differ by 0.03: ten shards 0.49 and 0.53, two 0.57, one 0.55 and 0.60.
std::size_t endpointsPerShard(const Configuration::Policies &policies, const std::vector<Member> &members)
{
    if (policies.shardSize > 0) {
        return policies.shardSize;
    }
    const auto most = std::ranges::max_element(members, {}, &Member::milliCores);
    return most == members.end() ? minEndpointsPerShard : std::max(minEndpointsPerShard, maxEndpointsForCpu(most->milliCores));
}

/// A number that changes moves half of the endpoints or more, and with them goes what their dispatchers know. Endpoints that
/// ended are listed for some seconds beside those that take their places, half as many again when a third of a pool crashes: by
/// powers of two, the number changes where the endpoints double, and not with each wave.
std::size_t shardsFor(std::size_t endpoints, std::size_t shardSize, bool sizedByCpu)
{
    if (!sizedByCpu) {
        return (endpoints + shardSize - 1) / shardSize;
    }
    const double ratio = static_cast<double>(endpoints) / static_cast<double>(shardSize);
    return std::size_t {1} << static_cast<unsigned int>(std::max(0L, std::lround(std::log2(std::max(1.0, ratio)))));
}

/// A member, and the hash of its name.
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
        // Its work grows with the fleet: a small host among larger ones would run out of processor time first.
        return std::tuple(stays, near, member.milliCores, Base::combineHashes(hashed.hash, shard.id));
    };
    const auto best = std::ranges::max_element(members, {}, preference);
    return best == members.end() ? std::string() : best->member->name;
}

} // namespace

ShardMap::ShardMap(const Configuration::Catalogue &catalogue, const std::vector<Member> &members)
{
    std::vector<HashedMember> hashed;
    std::ranges::transform(members, std::back_inserter(hashed), [](const Member &member) {
        return HashedMember {Base::hash64(member.name), &member};
    });
    std::map<GroupKey, std::vector<const Endpoint *>> groups;
    for (const Endpoint &endpoint : catalogue.endpoints()) {
        const bool whole = catalogue.policies().wholePoolShards;
        groups[{endpoint.pool, whole ? std::string() : endpoint.dataCentre}].push_back(&endpoint);
    }
    const std::size_t shardSize = endpointsPerShard(catalogue.policies(), members);
    for (const auto &[key, endpoints] : groups) {
        const std::size_t count = shardsFor(endpoints.size(), shardSize, catalogue.policies().shardSize == 0);
        std::vector<ShardInfo> shards(count);
        for (std::size_t index = 0; index < count; ++index) {
            shards[index] = {shardId(key, index), key.pool, key.dataCentre, static_cast<std::uint32_t>(index), {}, {}};
            shards[index].dispatcher = chooseDispatcher(shards[index], hashed);
        }
        const auto divided = assignToShards(endpoints, count);
        for (std::size_t index = 0; index < count; ++index) {
            std::ranges::transform(divided[index], std::back_inserter(shards[index].endpoints), &Endpoint::number);
            std::ranges::sort(shards[index].endpoints);
        }
        std::ranges::move(shards, std::back_inserter(m_shards));
    }
    std::erase_if(m_shards, [](const ShardInfo &shard) { return shard.endpoints.empty(); });
    std::ranges::sort(m_shards, {}, &ShardInfo::id);
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
