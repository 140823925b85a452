// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/shardmap.h"

#include "Base/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <ranges>

namespace Yokepond::Dispatch {

namespace {

using Configuration::Endpoint;
using Peer::Member;
using Peer::MemberState;

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
std::vector<std::vector<const Endpoint *>> divide(const std::vector<const Endpoint *> &endpoints, std::size_t shards)
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
        const auto weight = [own = hash](std::size_t index) { return Base::mixed(own, index + 1); };
        divided[*std::ranges::max_element(open, {}, weight)].push_back(endpoint);
    }
    return divided;
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
        return std::tuple(stays, near, member.milliCores, Base::mixed(hashed.hash, shard.id));
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
    for (const auto &[key, endpoints] : groups) {
        const std::size_t shardSize = catalogue.policies().shardSize;
        const std::size_t count = (endpoints.size() + shardSize - 1) / shardSize;
        std::vector<ShardInfo> shards(count);
        for (std::size_t index = 0; index < count; ++index) {
            shards[index] = {shardId(key, index), key.pool, key.dataCentre, static_cast<std::uint32_t>(index), {}, {}};
            shards[index].dispatcher = chooseDispatcher(shards[index], hashed);
        }
        const auto divided = divide(endpoints, count);
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
