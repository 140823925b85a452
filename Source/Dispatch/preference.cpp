// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/preference.h"

#include "Base/hash.h"

namespace Yokepond::Dispatch {

std::uint64_t sharedPrefix(std::span<const std::uint64_t> prefix)
{
    if (prefix.empty()) {
        return 0;
    }
    return prefix.size() > 1 ? prefix[prefix.size() - 2] : prefix.front();
}

std::uint64_t rendezvousWeight(std::uint32_t endpoint, std::uint64_t shared)
{
    return Base::combineHashes(shared, endpoint);
}

} // namespace Yokepond::Dispatch
