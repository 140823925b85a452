// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Logs names whose numbers collide.

#pragma once

#include "Configuration/namenumbers.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace Yokepond::Node {

/// Logs a line when names begin to collide. A collision that lasts is not logged again.
class CollisionLog
{
public:
    /// Replaces the collisions of the catalogue in force.
    void update(const std::vector<Configuration::NameCollision> &collisions);

    /// Returns the number of collisions now.
    std::size_t count() const;

private:
    std::set<std::vector<std::string>> m_known; ///< the names of each collision
};

} // namespace Yokepond::Node
