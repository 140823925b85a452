// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Membership/duty.h"

#include "Base/hash.h"

#include <algorithm>
#include <tuple>

namespace Yokepond::Membership {

bool isPicked(std::string_view self, std::string_view duty, const std::vector<Peer::Member> &members, std::size_t count)
{
    const auto weight = [seed = Base::hash64(duty)](const Peer::Member &member) {
        // The store's answers are large at times; hosts with much processor are those with wide links too.
        return std::tuple(member.state != Peer::MemberState::Leaving, member.milliCores, Base::hash64(member.name, seed));
    };
    const auto own = std::ranges::find(members, self, &Peer::Member::name);
    if (own == members.end()) {
        return false;
    }
    const auto ahead = std::ranges::count_if(members, [&](const Peer::Member &other) { return weight(other) > weight(*own); });
    return static_cast<std::size_t>(ahead) < count;
}

} // namespace Yokepond::Membership
