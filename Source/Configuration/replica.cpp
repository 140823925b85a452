// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/replica.h"

#include <algorithm>

namespace Yokepond::Configuration {

namespace {

constexpr std::size_t maxRecentChanges = 512;

} // namespace

Replica::Replica()
{
    rebuild();
}

std::uint64_t Replica::revision() const
{
    return m_objects.revision();
}

const Objects &Replica::objects() const
{
    return m_objects;
}

std::shared_ptr<const Catalogue> Replica::catalogue() const
{
    return m_catalogue;
}

bool Replica::apply(const Change &change)
{
    if (change.revision <= revision()) {
        return true;
    }
    if (change.revision != revision() + 1) {
        return false;
    }
    m_objects.apply(change);
    m_recent.push_back(change);
    if (m_recent.size() > maxRecentChanges) {
        m_recent.pop_front();
    }
    rebuild();
    return true;
}

bool Replica::install(Objects snapshot)
{
    if (snapshot.revision() <= revision()) {
        return false;
    }
    m_objects = std::move(snapshot);
    // The changes that were kept do not lead to the new revision.
    m_recent.clear();
    rebuild();
    return true;
}

bool Replica::update(const Update &update)
{
    const std::uint64_t before = revision();
    if (!update.snapshot.empty()) {
        if (auto snapshot = Objects::fromJson(parseJson(update.snapshot)); snapshot.ok()) {
            install(std::move(*snapshot));
        }
    }
    for (const std::string &text : update.log) {
        const auto change = changeFromJson(parseJson(text));
        if (!change.ok() || !apply(*change)) {
            break;
        }
    }
    return revision() > before;
}

Update Replica::updateSince(std::uint64_t since) const
{
    Update update;
    if (since >= revision()) {
        return update;
    }
    const bool reachesBack = !m_recent.empty() && m_recent.front().revision <= since + 1;
    if (!reachesBack) {
        update.snapshot = m_objects.toJson().dump();
        return update;
    }
    for (const Change &change : m_recent) {
        if (change.revision > since) {
            update.log.push_back(changeToJson(change).dump());
        }
    }
    return update;
}

const std::deque<Change> &Replica::recentChanges() const
{
    return m_recent;
}

void Replica::rebuild()
{
    m_catalogue = Catalogue::build(m_objects);
}

} // namespace Yokepond::Configuration
