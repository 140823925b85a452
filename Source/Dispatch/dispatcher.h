// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The shards that this host dispatches.

#pragma once

#include "Dispatch/shard.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Yokepond::Dispatch {

/// Passes the messages of homes to the shards of this host, and refuses asks for other shards. It does no I/O.
class Dispatcher
{
public:
    explicit Dispatcher(std::string self);

    /// Adds the shards that @p map assigns to this host, and hands over those that it no longer does.
    void update(Base::Instant now, const ShardMap &map, std::shared_ptr<const Configuration::Catalogue> catalogue);

    void receive(Base::Instant now, const Home &home, const Peer::Ask &ask);
    void receive(Base::Instant now, const Home &home, const Peer::Withdrawal &withdrawal);
    void receive(Base::Instant now, const Home &home, const Peer::Release &release);
    void receive(Base::Instant now, const Home &home, const Peer::RunningReport &report);
    void receive(Base::Instant now, const Home &home, const Peer::EndpointUpdate &endpointUpdate);
    void receive(Base::Instant now, const Home &home, const Peer::PrefillEnded &ended);

    /// Drops all asks and permits of the home called @p name, except those of its incarnation @p keep (0: drops all).
    void removeHome(Base::Instant now, const std::string &name, std::uint64_t keep);

    /// Drops all asks and permits of the process @p ended of a home, which another one has replaced.
    void removeProcess(Base::Instant now, const Home &ended);

    /// Sets the endpoints that the platform lists as leaving.
    void setLeaving(Base::Instant now, std::vector<std::uint32_t> endpoints);

    /// Does the periodic work of all shards, see Shard::tick().
    void tick(Base::Instant now);

    /// Returns the messages to send, and clears the list.
    std::vector<Reply> takeReplies();

    const std::map<std::uint32_t, Shard> &shards() const;

private:
    std::string m_self;
    std::map<std::uint32_t, Shard> m_shards;
    std::vector<std::uint32_t> m_leaving;
    std::vector<Reply> m_replies;
};

} // namespace Yokepond::Dispatch
