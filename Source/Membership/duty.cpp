// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Membership/duty.h"

#include "Base/hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Yokepond::Membership {

namespace {

using Weight = std::tuple<bool, std::uint32_t, std::uint64_t>;

Weight weightOf(const Peer::Member &member, std::uint64_t seed)
{
    // Responses of the store can be large, and hosts with more processor capacity also have faster links.
    return {member.state != Peer::MemberState::Leaving, member.milliCores, Base::hash64(member.name, seed)};
}

} // namespace

std::optional<std::size_t> rankOf(std::string_view self, std::string_view duty, const std::vector<Peer::Member> &members)
{
    const std::uint64_t seed = Base::hash64(duty);
    const auto own = std::ranges::find(members, self, &Peer::Member::name);
    if (own == members.end()) {
        return std::nullopt;
    }
    const Weight weight = weightOf(*own, seed);
    return static_cast<std::size_t>(
        std::ranges::count_if(members, [&](const Peer::Member &other) { return weightOf(other, seed) > weight; }));
}

bool isSelected(std::string_view self, std::string_view duty, const std::vector<Peer::Member> &members, std::size_t count)
{
    const auto rank = rankOf(self, duty, members);
    return rank && *rank < count;
}

std::vector<std::string> selectMembers(std::string_view duty, const std::vector<Peer::Member> &members, std::size_t count)
{
    const std::uint64_t seed = Base::hash64(duty);
    std::vector<std::pair<Weight, const Peer::Member *>> weighted;
    std::ranges::transform(members, std::back_inserter(weighted),
                           [&](const Peer::Member &member) { return std::pair(weightOf(member, seed), &member); });
    const auto end = weighted.begin() + static_cast<std::ptrdiff_t>(std::min(count, weighted.size()));
    std::partial_sort(weighted.begin(), end, weighted.end(), std::greater<>());
    std::vector<std::string> names;
    std::transform(weighted.begin(), end, std::back_inserter(names), [](const auto &entry) { return entry.second->name; });
    return names;
}

} // namespace Yokepond::Membership
