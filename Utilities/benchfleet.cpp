// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Measures what one host of a large fleet spends on the members and the endpoint records of the whole fleet: the time of one
/// change of each kind, and the memory of a member and of a record.

#include "Configuration/changescodec.h"
#include "Dispatch/shardmap.h"
#include "Membership/swim.h"
#include "Request/home.h"
#include "platform/siteform.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <malloc.h>
#include <memory>

using namespace Yokepond;

namespace {

struct FleetSize
{
    std::size_t hosts;
    std::size_t endpoints;
};

constexpr std::array fleetSizes
    = {FleetSize {100, 1'000}, FleetSize {300, 3'000}, FleetSize {1'000, 10'000}, FleetSize {2'000, 20'000}};
constexpr std::size_t dataCentres = 5;
constexpr int repetitions = 10;
constexpr std::uint64_t otherDigest = 1; ///< digest of a member table that differs

/// Returns the median time of @p action in milliseconds.
template<typename Action>
double measure(Action action)
{
    std::array<double, repetitions> times {};
    for (double &time : times) {
        const Base::Instant begin = Base::now();
        action();
        time = Base::milliseconds(Base::now() - begin);
    }
    std::ranges::sort(times);
    return times[repetitions / 2];
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

Configuration::Record endpointRecord(std::size_t index, std::uint64_t version, std::string_view state)
{
    const std::string value = fmt::format(
        R"({{"address":"10.{}.{}.{}:8443","models":[{{"adapters":[],"name":"m","version":1}}],"phase":"unified","service":"modelo",)"
        R"("slots":64,"state":"{}","version":"v1","zone":"dc-{}"}})",
        index % dataCentres, index / 250, index % 250, state, index % dataCentres);
    return {Configuration::RecordKind::Endpoint, fmt::format("i-{:010x}", index * 2'654'435'761U), version, false, value};
}

Configuration::SiteRecords makeRecords(std::size_t endpoints)
{
    Configuration::SiteRecords records;
    records.merge({Configuration::RecordKind::Configuration, "config", 1, false,
                   R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/","type":"streaming","timeout_ms":6000,)"
                   R"("target_latency_ms":2000,"service":"modelo"}],)"
                   R"("services":[{"name":"modelo","engine":{"slots":64,"kv_capacity":478161}}]})"});
    for (std::size_t index = 0; index < endpoints; ++index) {
        records.merge(endpointRecord(index, index + 2, "ready"));
    }
    return records;
}

Peer::Member makeMember(std::size_t index)
{
    const std::string address = fmt::format("10.{}.{}.{}", index % dataCentres, index / 250, index % 250);
    return {fmt::format("edge-dc-{}-{}", index % dataCentres, index),
            1'000'000 + index,
            1,
            Peer::MemberState::Alive,
            fmt::format("dc-{}", index % dataCentres),
            address + ":8229",
            address + ":8220",
            address + ":8227",
            index % 20 == 0 ? 1000U : 120U};
}

std::shared_ptr<const Configuration::Catalogue> makeCatalogue(const Configuration::SiteRecords &records,
                                                              const Configuration::Catalogue *previous = nullptr)
{
    Configuration::CatalogueParts parts = *Platform::decodeSite(records, previous);
    parts.policies.wholePoolShards = true;
    return Configuration::Catalogue::assemble(std::move(parts));
}

/// Prints the costs of the endpoint records.
void measureRecords(const FleetSize &size)
{
    const std::size_t before = heapBytes();
    Configuration::SiteRecords records = makeRecords(size.endpoints);
    const std::size_t withRecords = heapBytes();
    auto catalogue = makeCatalogue(records);
    const std::size_t withCatalogue = heapBytes();
    std::uint64_t version = size.endpoints + 2;
    const double change = measure([&] {
        records.merge(endpointRecord(version % size.endpoints, version, version % 2 == 0 ? "draining" : "ready"));
        ++version;
        catalogue = makeCatalogue(records, catalogue.get());
    });
    Configuration::ChangesCodec codec;
    std::size_t packedBytes = 0;
    const double pack
        = measure([&] { packedBytes = codec.pack(records, {}, Configuration::RecordKind::Endpoint)->bytes.size(); });
    const auto packed = *codec.pack(records, {}, Configuration::RecordKind::Endpoint);
    const double unpack = measure([&] {
        Configuration::SiteRecords copy;
        copy.merge(*Configuration::ChangesCodec::unpack(copy, packed));
    });
    const Configuration::RecordRevisions latest {1, version - 2};
    const double packOne = measure([&] { (void)codec.pack(records, latest, Configuration::RecordKind::Endpoint); });
    fmt::print("{:>9} endpoints: {:5.0f} B a record, {:5.0f} B in the catalogue; a change applied {:7.2f} ms, packed {:6.2f} ms; "
               "all packed {:7.1f} ms, {:7} B, unpacked {:7.1f} ms\n",
               size.endpoints, static_cast<double>(withRecords - before) / static_cast<double>(size.endpoints),
               static_cast<double>(withCatalogue - withRecords) / static_cast<double>(size.endpoints), change, packOne, pack,
               packedBytes, unpack);
}

/// Prints the costs of the members.
void measureMembers(const FleetSize &size)
{
    const auto catalogue = makeCatalogue(makeRecords(size.endpoints));
    std::vector<Peer::Member> members;
    for (std::size_t index = 0; index < size.hosts; ++index) {
        members.push_back(makeMember(index));
    }
    const std::size_t before = heapBytes();
    auto swim = std::make_unique<Membership::Swim>(members.front(), Membership::SwimOptions {}, 1);
    const double table = measure([&] {
        swim = std::make_unique<Membership::Swim>(members.front(), Membership::SwimOptions {}, 1);
        swim->receive(Base::now(), members[1].name, Peer::Probe {1, members, 0, otherDigest, {}});
        swim->takeOutgoing();
    });
    const std::size_t held = heapBytes() - before;
    std::size_t next = 1;
    const double change = measure([&] {
        Peer::Member changed = members[++next];
        changed.state = Peer::MemberState::Suspect;
        swim->receive(Base::now(), members[1].name,
                      Peer::Probe {static_cast<std::uint32_t>(next), {changed}, 0, otherDigest, {}});
        swim->takeOutgoing();
    });
    // Half of all hosts are suspected one after the other, as after a loss of power.
    const double half = measure([&] {
        for (std::size_t index = 0; index < size.hosts / 2; ++index) {
            Peer::Member changed = members[index];
            changed.state = Peer::MemberState::Suspect;
            changed.version += static_cast<std::uint32_t>(++next);
            swim->receive(Base::now(), members[1].name,
                          Peer::Probe {static_cast<std::uint32_t>(next), {changed}, 0, otherDigest, {}});
        }
        swim->takeOutgoing();
    });
    auto shards = std::make_shared<Dispatch::ShardMap>(*catalogue, members);
    Request::Home home(members.front().name, 1);
    const double view = measure([&] {
        const std::vector<Peer::Member> present = swim->present();
        shards = std::make_shared<Dispatch::ShardMap>(shards->withMembers(*catalogue, present));
        home.updateView(Base::now(), catalogue, shards, present);
    });
    fmt::print("{:>9} hosts: {:5.0f} B a member; table received {:7.2f} ms, a change {:7.3f} ms, half of all changed one by one "
               "{:8.2f} ms; view of the fleet {:7.2f} ms, {} shards\n",
               size.hosts, static_cast<double>(held) / static_cast<double>(size.hosts), table, change, half, view,
               shards->shards().size());
}

} // namespace

int main()
{
    std::ranges::for_each(fleetSizes, measureRecords);
    std::ranges::for_each(fleetSizes, measureMembers);
    return 0;
}
