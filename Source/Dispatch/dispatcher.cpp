// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/dispatcher.h"

#include <algorithm>
#include <ranges>

namespace Yokepond::Dispatch {

Dispatcher::Dispatcher(std::string self)
    : m_self(std::move(self))
{
}

void Dispatcher::update(Base::Instant now, const ShardMap &map, std::shared_ptr<const Configuration::Catalogue> catalogue)
{
    for (auto entry = m_shards.begin(); entry != m_shards.end();) {
        const ShardInfo *info = map.find(entry->first);
        if (info != nullptr && info->dispatcher == m_self) {
            ++entry;
            continue;
        }
        entry->second.handOver();
        std::ranges::move(entry->second.takeReplies(), std::back_inserter(m_replies));
        entry = m_shards.erase(entry);
    }
    for (const ShardInfo &info : map.shards()) {
        if (info.dispatcher != m_self) {
            continue;
        }
        const auto [entry, added] = m_shards.try_emplace(info.id, info, catalogue, now);
        if (!added && !entry->second.isConfigured(info, catalogue)) {
            entry->second.configure(info, catalogue, now);
        }
        entry->second.setLeaving(now, m_leaving);
    }
}

void Dispatcher::receive(Base::Instant now, const Home &home, const Peer::Ask &ask)
{
    const auto shard = m_shards.find(ask.shard);
    if (shard == m_shards.end()) {
        m_replies.push_back({home, Peer::Refusal {ask.id, Peer::RefusalReason::NotDispatcher, Base::Duration::zero(), 0}});
        return;
    }
    shard->second.ask(now, home, ask);
}

void Dispatcher::receive(Base::Instant now, const Home &home, const Peer::Withdrawal &withdrawal)
{
    if (const auto shard = m_shards.find(withdrawal.shard); shard != m_shards.end()) {
        shard->second.withdraw(now, home, withdrawal);
    }
}

void Dispatcher::receive(Base::Instant now, const Home &home, const Peer::Release &release)
{
    if (const auto shard = m_shards.find(release.shard); shard != m_shards.end()) {
        shard->second.release(now, home, release);
    }
}

void Dispatcher::receive(Base::Instant now, const Home &home, const Peer::RunningReport &report)
{
    if (const auto shard = m_shards.find(report.shard); shard != m_shards.end()) {
        shard->second.report(now, home, report);
    }
}

void Dispatcher::receive(Base::Instant now, const Home &home, const Peer::EndpointUpdate &endpointUpdate)
{
    if (const auto shard = m_shards.find(endpointUpdate.shard); shard != m_shards.end()) {
        shard->second.applyEndpointUpdate(now, home, endpointUpdate);
    }
}

void Dispatcher::receive(Base::Instant now, const Home &home, const Peer::PrefillEnded &ended)
{
    if (const auto shard = m_shards.find(ended.shard); shard != m_shards.end()) {
        shard->second.prefillEnded(now, home, ended);
    }
}

void Dispatcher::removeHome(Base::Instant now, const std::string &name, std::uint64_t keep)
{
    for (Shard &shard : m_shards | std::views::values) {
        shard.removeHome(now, name, keep);
    }
}

void Dispatcher::removeProcess(Base::Instant now, const Home &ended)
{
    for (Shard &shard : m_shards | std::views::values) {
        shard.removeProcess(now, ended);
    }
}

void Dispatcher::setLeaving(Base::Instant now, std::vector<std::uint32_t> endpoints)
{
    m_leaving = std::move(endpoints);
    for (Shard &shard : m_shards | std::views::values) {
        shard.setLeaving(now, m_leaving);
    }
}

void Dispatcher::tick(Base::Instant now)
{
    for (Shard &shard : m_shards | std::views::values) {
        shard.tick(now);
    }
}

std::vector<Reply> Dispatcher::takeReplies()
{
    for (Shard &shard : m_shards | std::views::values) {
        std::ranges::move(shard.takeReplies(), std::back_inserter(m_replies));
    }
    return std::exchange(m_replies, {});
}

const std::map<std::uint32_t, Shard> &Dispatcher::shards() const
{
    return m_shards;
}

} // namespace Yokepond::Dispatch
