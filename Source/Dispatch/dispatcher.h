// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// All shards that this host dispatches.

#pragma once

#include "Dispatch/shard.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Yokepond::Dispatch {

/// Pure state machine around the shards; messages for shards of other hosts are refused.
class Dispatcher
{
public:
    explicit Dispatcher(std::string self);

    /// Takes up the shards that @p map gives this host and hands over those it does not.
    void update(Base::Instant now, const ShardMap &map, std::shared_ptr<const Configuration::Catalogue> catalogue);

    void receive(Base::Instant now, const Home &home, const Peer::Ask &ask);
    void receive(Base::Instant now, const Home &home, const Peer::Withdrawal &withdrawal);
    void receive(Base::Instant now, const Home &home, const Peer::Release &release);
    void receive(Base::Instant now, const Home &home, const Peer::RunningReport &report);
    void receive(Base::Instant now, const Home &home, const Peer::EndpointUpdate &news);

    /// Drops everything of a member's incarnations other than @p keep (0: all).
    void removeHome(Base::Instant now, const std::string &name, std::uint64_t keep);

    /// The endpoints that the platform lists as leaving.
    void setLeaving(Base::Instant now, std::vector<std::uint32_t> endpoints);

    void tick(Base::Instant now);

    std::vector<Reply> takeReplies();

    const std::map<std::uint32_t, Shard> &shards() const;

private:
    std::string m_self;
    std::map<std::uint32_t, Shard> m_shards;
    std::vector<std::uint32_t> m_leaving;
    std::vector<Reply> m_replies;
};

} // namespace Yokepond::Dispatch
