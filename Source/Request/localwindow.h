// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Runs a home starts on its own while a shard's dispatcher cannot be reached.

#pragma once

#include "Configuration/catalogue.h"
#include "Dispatch/shardmap.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace Yokepond::Request {

/// Counts the home's runs on each endpoint, and says where one more fits into the home's fair share.
class LocalWindow
{
public:
    void started(std::uint32_t endpoint);
    void ended(std::uint32_t endpoint);

    /// The endpoint of @p shard with the fewest of this home's runs that is below its slots divided by @p hosts (at least
    /// one); nothing if there is none. Among equals, the one that is preferred for what begins with @p shared: homes that all
    /// do without their dispatcher at one time must not all choose the same. None of @p closed is chosen.
    std::optional<std::uint32_t> choose(const Dispatch::ShardInfo &shard, const Configuration::Catalogue &catalogue,
                                        std::size_t hosts, std::uint64_t shared,
                                        const std::set<std::uint32_t> &closed = {}) const;

private:
    std::uint32_t running(std::uint32_t endpoint) const;

    std::map<std::uint32_t, std::uint32_t> m_running;
};

} // namespace Yokepond::Request
