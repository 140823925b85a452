// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/shardmap.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace Yokepond;
using namespace Yokepond::Dispatch;
using Peer::Member;
using Peer::MemberState;

TEST_GROUP(ShardMap)
{
    std::shared_ptr<const Configuration::Catalogue> catalogue;
    std::vector<Member> members;

    void setup() override
    {
        std::string statements = "create pool main\ncreate setting shard-size value 8\n";
        for (int index = 0; index < 60; ++index) {
            statements += fmt::format("create endpoint e{} pool main address 127.0.0.1:{} data-centre d{}\n", index, 1000 + index,
                                      index % 3);
        }
        catalogue = Configuration::Catalogue::build(Tests::objectsOf(statements));
        for (int index = 0; index < 9; ++index) {
            members.push_back(
                {fmt::format("h{}", index), 1, 1, MemberState::Alive, "", fmt::format("d{}", index % 3), "", "", 0});
        }
    }
};

TEST(ShardMap, everyEndpointIsInOneShard)
{
    const ShardMap map(*catalogue, members);
    std::size_t endpoints = 0;
    for (const ShardInfo &shard : map.shards()) {
        endpoints += shard.endpoints.size();
    }
    CHECK_EQUAL(60U, endpoints);
}

TEST(ShardMap, shardsOfOneDataCentreDifferByOneEndpointAtMost)
{
    const ShardMap map(*catalogue, members);
    for (const ShardInfo &shard : map.shards()) {
        CHECK_TRUE(shard.endpoints.size() == 6 || shard.endpoints.size() == 7);
    }
}

TEST(ShardMap, removingAnEndpointMovesFewOthers)
{
    const ShardMap before(*catalogue, members);
    std::string statements = "create pool main\ncreate setting shard-size value 8\n";
    for (int index = 0; index < 57; ++index) {
        statements += fmt::format("create endpoint e{} pool main address 127.0.0.1:{} data-centre d{}\n", index, 1000 + index,
                                  index % 3);
    }
    const auto smaller = Configuration::Catalogue::build(Tests::objectsOf(statements));
    const ShardMap after(*smaller, members);
    const auto shardOf = [](const ShardMap &map, std::uint32_t endpoint) {
        const auto shard = std::ranges::find_if(map.shards(), [&](const ShardInfo &candidate) {
            return std::ranges::find(candidate.endpoints, endpoint) != candidate.endpoints.end();
        });
        return shard == map.shards().end() ? 0U : shard->id;
    };
    const auto moved = std::ranges::count_if(smaller->endpoints(), [&](const Configuration::Endpoint &endpoint) {
        const auto same = std::ranges::find(catalogue->endpoints(), endpoint.name, &Configuration::Endpoint::name);
        return shardOf(before, same->number) != shardOf(after, endpoint.number);
    });
    CHECK_TRUE(moved <= 57 / 4);
}

TEST(ShardMap, theDispatcherIsInTheDataCentreOfTheShard)
{
    const ShardMap map(*catalogue, members);
    for (const ShardInfo &shard : map.shards()) {
        const auto member = std::ranges::find(members, shard.dispatcher, &Member::name);
        STRCMP_EQUAL(shard.dataCentre.c_str(), member->dataCentre.c_str());
    }
}

TEST(ShardMap, hostsWithTheMostProcessorBecomeDispatchers)
{
    for (Member &member : members) {
        member.milliCores = member.name < "h3" ? 500 : 120;
    }
    const ShardMap map(*catalogue, members);
    for (const ShardInfo &shard : map.shards()) {
        CHECK_TRUE(shard.dispatcher < "h3");
    }
}

TEST(ShardMap, removingAHostMovesOnlyItsOwnShards)
{
    const ShardMap before(*catalogue, members);
    const std::string removed = before.shards().front().dispatcher;
    std::erase_if(members, [&](const Member &member) { return member.name == removed; });
    const ShardMap after(*catalogue, members);
    for (const ShardInfo &shard : before.shards()) {
        if (shard.dispatcher != removed) {
            STRCMP_EQUAL(shard.dispatcher.c_str(), after.find(shard.id)->dispatcher.c_str());
        }
    }
}

TEST(ShardMap, leavingHostsGetNoShards)
{
    members.front().state = MemberState::Leaving;
    const ShardMap map(*catalogue, members);
    for (const ShardInfo &shard : map.shards()) {
        CHECK_FALSE(shard.dispatcher == members.front().name);
    }
}

TEST(ShardMap, anotherDataCentreTakesOverWhenAllHostsOfOneAreRemoved)
{
    std::erase_if(members, [](const Member &member) { return member.dataCentre == "d0"; });
    const ShardMap map(*catalogue, members);
    for (const ShardInfo &shard : map.shards()) {
        CHECK_FALSE(shard.dispatcher.empty());
    }
}

/// Guards against hosts that divide all endpoints anew with each member that joins or leaves, and against a map that differs from
/// that of a host which has just started.
TEST(ShardMap, aMapWithOtherMembersIsThatOfAHostThatStartsWithThem)
{
    ShardMap map(*catalogue, members);
    for (std::size_t count = members.size(); count > 0; --count) {
        members[count - 1].state = MemberState::Leaving;
        map = map.withMembers(*catalogue, members);
        CHECK_TRUE(map.shards() == ShardMap(*catalogue, members).shards());
        members.resize(count - 1);
        if (!members.empty()) {
            // Larger hosts dispatch larger shards.
            members.front().milliCores = static_cast<std::uint32_t>(count * 500);
        }
        map = map.withMembers(*catalogue, members);
        CHECK_TRUE(map.shards() == ShardMap(*catalogue, members).shards());
    }
}

TEST_GROUP(ShardSize)
{
    std::vector<Member> members;

    void setup() override
    {
        for (int index = 0; index < 20; ++index) {
            Member member;
            member.name = fmt::format("h{}", index);
            member.incarnation = 1;
            member.milliCores = index < 5 ? 500 : 120;
            members.push_back(member);
        }
    }

    /// Returns the number of shards of a pool with @p endpoints endpoints.
    std::size_t shardsOf(int endpoints) const
    {
        std::string statements = "create pool main\n";
        for (int index = 0; index < endpoints; ++index) {
            statements += fmt::format("create endpoint e{} pool main address 127.0.0.1:{}\n", index, 1000 + index);
        }
        return ShardMap(*Configuration::Catalogue::build(Tests::objectsOf(statements)), members).shards().size();
    }
};

TEST(ShardSize, aPoolThatOneLargeHostCanDispatchIsOneShard)
{
    CHECK_EQUAL(1U, shardsOf(320));
}

TEST(ShardSize, aLargerPoolIsDivided)
{
    CHECK_EQUAL(2U, shardsOf(600));
}

/// Guards against dispatchers that lose half of their state when many endpoints crash. When a pool was divided above 358
/// endpoints, 320 engines were one shard, but two shards while 126 crashed engines were still listed beside their replacements.
/// Within seconds half of the dispatchers' state was lost twice.
TEST(ShardSize, replacementsListedBesideCrashedEndpointsDoNotDivideThePool)
{
    CHECK_EQUAL(shardsOf(320), shardsOf(446));
    CHECK_EQUAL(shardsOf(600), shardsOf(840));
}

TEST(ShardSize, smallerHostsGetSmallerShards)
{
    std::erase_if(members, [](const Member &member) { return member.milliCores == 500; });
    CHECK_TRUE(shardsOf(600) > 2);
}

TEST(ShardSize, smallHostsBesideLargeOnesDoNotChangeTheShards)
{
    const std::size_t before = shardsOf(320);
    std::erase_if(members, [](const Member &member) { return member.milliCores == 120; });
    CHECK_EQUAL(before, shardsOf(320));
}

TEST(ShardSize, withoutProcessorInformationShardsStaySmall)
{
    for (Member &member : members) {
        member.milliCores = 0;
    }
    CHECK_EQUAL(8U, shardsOf(320));
}

// Guards against a shard whose requests another shard gets, because their identities have the same hash.
TEST(ShardMap, shardsWhoseIdentitiesCollideHaveIdsOfTheirOwn)
{
    Configuration::CatalogueParts parts;
    parts.policies.shardSize = 8;
    std::uint32_t number = 0;
    for (const char *dataCentre : {"dc-0a937", "dc-13fdc", "dc-3"}) {
        Configuration::Endpoint endpoint;
        endpoint.number = ++number;
        endpoint.name = dataCentre;
        endpoint.pool
            = 7; // the identities of the first two shards, 7/dc-0a937/0 and 7/dc-13fdc/0, have the same 32 bits of a hash
        endpoint.dataCentre = dataCentre;
        parts.endpoints.push_back(endpoint);
    }
    const ShardMap map(*Configuration::Catalogue::assemble(std::move(parts)), members);
    CHECK_EQUAL(3U, map.shards().size());
    for (const ShardInfo &shard : map.shards()) {
        POINTERS_EQUAL(&shard, map.find(shard.id));
    }
}
