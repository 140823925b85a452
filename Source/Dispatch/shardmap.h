// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Which endpoints form a shard, and which host dispatches it. Computed alike on every host from the configuration and the
/// membership; nothing is agreed.

#pragma once

#include "Configuration/catalogue.h"
#include "Peer/message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Yokepond::Dispatch {

struct ShardInfo
{
    std::uint32_t id = 0;
    std::uint32_t pool = 0;
    std::string dataCentre;
    std::uint32_t index = 0; ///< among the shards of this pool and data centre
    std::vector<std::uint32_t> endpoints;
    std::string dispatcher; ///< name of a member; empty if there is none
};

class ShardMap
{
public:
    ShardMap() = default;

    /// @p members are those not dead; leaving ones get no shard unless no other is left.
    ShardMap(const Configuration::Catalogue &catalogue, const std::vector<Peer::Member> &members);

    const std::vector<ShardInfo> &shards() const;

    /// The shard, or null.
    const ShardInfo *find(std::uint32_t id) const;

    /// The shards of a pool.
    std::vector<const ShardInfo *> ofPool(std::uint32_t pool) const;

private:
    std::vector<ShardInfo> m_shards; ///< by id
};

} // namespace Yokepond::Dispatch
