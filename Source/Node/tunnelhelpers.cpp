// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/tunnelhelpers.h"

#include "Base/address.h"
#include "Base/hash.h"

#include <algorithm>
#include <utility>

namespace Yokepond::Node {

namespace {

/// Helpers of one data centre: one may be without paths itself or about to stop.
constexpr std::size_t helpersPerDataCentre = 2;
/// Data centres from which helpers are chosen in each region.
constexpr std::size_t dataCentresPerRegion = 4;

/// A possible helper and its place in the user's order.
struct RankedMember
{
    std::uint64_t rank = 0;
    const Peer::Member *member = nullptr;
};

std::string regionOf(const std::map<std::string, std::string> &regions, const std::string &dataCentre)
{
    const auto region = regions.find(dataCentre);
    return region == regions.end() ? std::string() : region->second;
}

} // namespace

std::vector<Relay::TunnelHelper> chooseTunnelHelpers(const std::vector<Peer::Member> &members,
                                                     const std::map<std::string, std::string> &regions, const TunnelUser &user)
{
    const std::uint64_t seed = Base::hash64(user.name);
    std::vector<RankedMember> ranked;
    for (const Peer::Member &member : members) {
        if (member.name != user.name && member.state == Peer::MemberState::Alive) {
            ranked.push_back({Base::hash64(member.name, seed), &member});
        }
    }
    std::ranges::sort(ranked, {}, &RankedMember::rank);
    std::map<std::string, std::size_t> perDataCentre;
    std::map<std::string, std::size_t> dataCentresOfRegion;
    std::vector<Relay::TunnelHelper> helpers;
    for (const RankedMember &entry : ranked) {
        const Peer::Member &member = *entry.member;
        const auto address = Base::parseAddress(member.address);
        const std::string region = regionOf(regions, member.dataCentre);
        std::size_t &chosen = perDataCentre[member.dataCentre];
        std::size_t &dataCentres = dataCentresOfRegion[region];
        const bool newDataCentre = chosen == 0;
        if (!address.ok() || chosen >= helpersPerDataCentre || (newDataCentre && dataCentres >= dataCentresPerRegion)) {
            continue;
        }
        ++chosen;
        dataCentres += newDataCentre ? 1 : 0;
        helpers.push_back({Base::Address {address->ip, user.tunnelPort}.text(), region});
    }
    return helpers;
}

} // namespace Yokepond::Node
