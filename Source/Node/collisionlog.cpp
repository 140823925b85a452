// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/collisionlog.h"

#include "Base/log.h"

#include <fmt/format.h>

namespace Yokepond::Node {

namespace {

/// Number of lines that are logged at a time; the metric has the number of all collisions.
constexpr std::size_t maxLinesPerUpdate = 20;

} // namespace

void CollisionLog::update(const std::vector<Configuration::NameCollision> &collisions)
{
    std::set<std::vector<std::string>> present;
    std::size_t lines = 0;
    for (const Configuration::NameCollision &collision : collisions) {
        present.insert(collision.names);
        if (!m_known.contains(collision.names) && lines < maxLinesPerUpdate) {
            Base::log(Base::LogLevel::Warning, Base::LogEvent::NamesCollide,
                      {{"names", collision.names}, {"number", fmt::format("{:08x}", collision.number)}});
            ++lines;
        }
    }
    m_known = std::move(present);
}

std::size_t CollisionLog::count() const
{
    return m_known.size();
}

} // namespace Yokepond::Node
