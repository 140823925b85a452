// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A simulated fleet of hosts in one process, connected by links of limited bandwidth. A message is delivered after all messages
/// sent before it on the links of its sender and its receiver. Time is simulated. With a store, the hosts follow it as daemons
/// do.

#pragma once

#include "Node/fleet.h"
#include "Node/simulatedstore.h"
#include "Node/storefollower.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace Yokepond::Tests {

/// Where the hosts of a LinkedFleet get records from: only from the test, or from a simulated store.
enum class Source { Test, Store };

/// Runs the Fleet and, with a store, the StoreFollower of each host.
class LinkedFleet
{
public:
    /// @p bytesPerSecond: bandwidth of each host's link in each direction.
    LinkedFleet(std::size_t hosts, double bytesPerSecond, Source source = Source::Test, std::uint64_t seed = 0)
        : m_source(source)
        , m_bytesPerSecond(bytesPerSecond)
        , m_seed(seed)
    {
        m_settings.reserve(hosts);
        for (std::size_t index = 0; index < hosts; ++index) {
            Node::Settings settings;
            settings.name = fmt::format("h{}", index);
            settings.advertisedPeer = addressOf(index);
            settings.platformForm = Node::PlatformForm::Records;
            settings.notReadyAfter = std::chrono::seconds(15);
            settings.seeds = {addressOf(0), addressOf(1)};
            m_settings.push_back(std::move(settings));
        }
        for (std::size_t index = 0; index < hosts; ++index) {
            m_hosts.push_back(std::make_unique<Host>());
            start(index);
        }
    }

    /// Advances the simulated time by @p duration.
    void run(Base::Duration duration)
    {
        const Base::Instant end = m_now + duration;
        while (m_now < end) {
            m_now += tickPeriod;
            deliver();
            m_store.deliver(m_now, [this](std::size_t index) { return !m_frozen.contains(index); });
            for (std::size_t index = 0; index < m_hosts.size(); ++index) {
                if (!m_frozen.contains(index)) {
                    tick(*m_hosts[index]);
                }
            }
        }
    }

    /// Gives @p records to host @p index, as if it had read them from the store.
    void deliverRecords(std::size_t index, const std::vector<Configuration::Record> &records)
    {
        m_hosts[index]->fleet->mergeRecords(records);
    }

    void post(std::size_t from, std::size_t to, const Peer::Message &message)
    {
        send(from, addressOf(to), message);
    }

    /// Cuts the links of host @p index; messages in transit are lost.
    void cut(std::size_t index)
    {
        m_cut.insert(index);
    }

    /// Cuts the connections between the hosts of @p group and all others; messages in transit are lost.
    void partition(const std::set<std::size_t> &group)
    {
        m_partition = group;
    }

    /// Silently drops all messages from the first to the second host of each of @p pairs.
    void blockMessages(const std::set<std::pair<std::size_t, std::size_t>> &pairs)
    {
        m_blockedPairs = pairs;
    }

    /// Freezes the process of host @p index; messages to it wait.
    void freeze(std::size_t index)
    {
        m_frozen.insert(index);
    }

    void unfreeze(std::size_t index)
    {
        m_frozen.erase(index);
    }

    /// Replaces the process of host @p index by a new one without any state.
    void restart(std::size_t index)
    {
        start(index);
    }

    SimulatedStore &store()
    {
        return m_store;
    }

    Base::Instant now() const
    {
        return m_now;
    }

    /// Returns the hosts that follow the store.
    std::set<std::size_t> followers() const
    {
        std::set<std::size_t> found;
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            if (m_hosts[index]->follower != nullptr && m_hosts[index]->follower->reason()) {
                found.insert(index);
            }
        }
        return found;
    }

    std::size_t size() const
    {
        return m_hosts.size();
    }

    /// Returns the revisions up to which host @p index has applied all records.
    Configuration::RecordRevisions appliedRevisions(std::size_t index) const
    {
        return m_hosts[index]->appliedRevisions;
    }

    /// Returns hashes of what host @p index holds.
    Configuration::RecordHashes hashesAt(std::size_t index) const
    {
        return m_hosts[index]->fleet->recordHashes();
    }

    /// Returns the hosts whose copies hold other records than the store.
    std::set<std::size_t> hostsThatDifferFromTheStore() const
    {
        std::set<std::size_t> found;
        const Configuration::RecordHashes stored = m_store.hashes();
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            if (!(m_hosts[index]->fleet->recordHashes() == stored)) {
                found.insert(index);
            }
        }
        return found;
    }

    /// Returns the number of hosts that have applied @p version of the records of @p kind.
    std::size_t hostsWith(Configuration::RecordKind kind, std::uint64_t version) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_hosts, [&](const auto &host) { return host->appliedRevisions.forKind(kind) >= version; }));
    }

    /// Returns the number of members that are present in the view of host @p index, itself included.
    std::size_t presentAt(std::size_t index) const
    {
        return m_hosts[index]->fleet->present().size();
    }

    bool isReady(std::size_t index) const
    {
        return m_hosts[index]->fleet->readiness(m_now).ok();
    }

    /// Returns the number of bytes of changes that all hosts have received so far.
    std::size_t changesReceived() const
    {
        return m_changesReceived;
    }

private:
    static constexpr Base::Duration tickPeriod = std::chrono::milliseconds(50);
    static constexpr Base::Duration delay = std::chrono::microseconds(500);
    static constexpr std::size_t smallMessage = 150; ///< size in bytes of any message without changes; about that of a probe

    struct Host
    {
        std::unique_ptr<Node::Fleet> fleet;
        std::unique_ptr<StoreClient> client;
        std::unique_ptr<Node::StoreFollower<StoreClient>> follower;
        Configuration::RecordRevisions appliedRevisions;
        Base::Instant outgoingFreeAt {}; ///< when the link has sent all messages
        Base::Instant incomingFreeAt {}; ///< when the link has received all messages
    };

    struct Sent
    {
        Base::Instant arrives {};
        std::uint64_t order = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        Peer::Message message;

        bool operator<(const Sent &other) const
        {
            return std::pair(arrives, order) > std::pair(other.arrives, other.order);
        }
    };

    static std::string addressOf(std::size_t index)
    {
        return fmt::format("10.0.0.1:{}", 1000 + index);
    }

    static std::size_t bytesOf(const Peer::Message &message)
    {
        const auto *changes = std::get_if<Peer::Changes>(&message);
        return smallMessage + (changes == nullptr ? 0 : changes->snapshot.size() + changes->packed.size());
    }

    void tick(Host &host)
    {
        host.fleet->tick(m_now);
        if (host.follower != nullptr) {
            host.follower->tick(m_now);
        }
    }

    void follow(std::size_t index, std::uint64_t seed)
    {
        Host &host = *m_hosts[index];
        m_store.dropCalls(index);
        host.client = std::make_unique<StoreClient>(m_store, index, m_now);
        host.follower = std::make_unique<Node::StoreFollower<StoreClient>>(
            *host.client, *host.fleet,
            Node::StoreFollowerOptions {
                .platform = "store",
                .watcher = {.holdTime = Node::maxHoldTime(std::chrono::seconds(4), SimulatedStore::callTimeout),
                            .clock = [this] { return m_now; }},
                .seed = seed,
                .send
                = [this, index](const Peer::Process &to,
                                const Peer::Message &message) { send(index, addressOf(std::stoul(to.name.substr(1))), message); },
            });
    }

    bool isPartitioned(std::size_t from, std::size_t to) const
    {
        return m_partition.contains(from) != m_partition.contains(to);
    }

    void start(std::size_t index)
    {
        const Node::Settings &settings = m_settings[index];
        const std::uint64_t incarnation = 100 + index + 1000 * ++m_starts + (m_seed << 32U);
        const Peer::Member self {
            settings.name, incarnation, 1, Peer::MemberState::Alive, settings.advertisedPeer, "dc", "", "", 0};
        Host &host = *m_hosts[index];
        host.appliedRevisions = {};
        host.fleet = std::make_unique<Node::Fleet>(
            settings, m_client, incarnation, self,
            Node::FleetCallbacks {.send = [this, index](const Peer::Recipient &to,
                                                        const Peer::Message &message) { send(index, to.address, message); },
                                  .changed = [] {},
                                  .incarnationEnded = [](const std::string &, std::uint64_t) {},
                                  .processReplaced = [](const Peer::Process &, std::uint64_t) {},
                                  .endpointsLeaving = [](const std::vector<std::uint32_t> &) {}},
            [&host](const Configuration::SiteRecords &records,
                    const Configuration::Catalogue *) -> absl::StatusOr<Configuration::CatalogueParts> {
                host.appliedRevisions = records.revisions();
                Configuration::CatalogueParts parts;
                parts.routes.resize(records.present(Configuration::RecordKind::Configuration).size());
                parts.endpoints.resize(records.present(Configuration::RecordKind::Endpoint).size());
                return parts;
            });
        if (m_source == Source::Store) {
            follow(index, incarnation);
        }
    }

    void send(std::size_t from, const std::string &address, const Peer::Message &message)
    {
        const auto port = address.rfind(':');
        if (port == std::string::npos) {
            return;
        }
        const std::size_t to = std::stoul(address.substr(port + 1)) - 1000;
        const Base::Duration transmissionTime(
            static_cast<std::int64_t>(static_cast<double>(bytesOf(message)) / m_bytesPerSecond * 1e6));
        Host &sender = *m_hosts[from];
        Host &receiver = *m_hosts[to];
        sender.outgoingFreeAt = std::max(sender.outgoingFreeAt, m_now) + transmissionTime;
        receiver.incomingFreeAt = std::max(receiver.incomingFreeAt + transmissionTime, sender.outgoingFreeAt + delay);
        m_sent.push({receiver.incomingFreeAt, ++m_order, from, to, message});
    }

    void receive(Host &host, const std::string &from, const Peer::Message &message)
    {
        host.fleet->receive(m_now, from, message);
        if (host.follower == nullptr) {
            return;
        }
        if (const auto *ask = std::get_if<Peer::FollowStore>(&message)) {
            host.follower->receive(m_now, from, *ask);
        } else if (const auto *answer = std::get_if<Peer::FollowAnswer>(&message)) {
            host.follower->receive(m_now, from, *answer);
        }
    }

    void deliver()
    {
        std::vector<Sent> waiting;
        while (!m_sent.empty() && m_sent.top().arrives <= m_now) {
            const Sent next = m_sent.top();
            m_sent.pop();
            const bool blocked = m_blockedPairs.contains({next.from, next.to});
            if (blocked || m_cut.contains(next.from) || m_cut.contains(next.to) || isPartitioned(next.from, next.to)) {
                continue;
            }
            if (m_frozen.contains(next.to)) {
                waiting.push_back(next);
                continue;
            }
            if (std::holds_alternative<Peer::Changes>(next.message)) {
                m_changesReceived += bytesOf(next.message);
            }
            receive(*m_hosts[next.to], m_settings[next.from].name, next.message);
        }
        std::ranges::for_each(waiting, [this](const Sent &sent) { m_sent.push(sent); });
    }

    Base::Loop m_loop;
    Http::Client m_client {m_loop};
    SimulatedStore m_store;
    Source m_source;
    std::vector<Node::Settings> m_settings;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::priority_queue<Sent> m_sent;
    std::set<std::size_t> m_cut;
    std::set<std::size_t> m_partition;
    std::set<std::pair<std::size_t, std::size_t>> m_blockedPairs;
    std::set<std::size_t> m_frozen;
    double m_bytesPerSecond;
    std::uint64_t m_seed;
    Base::Instant m_now = Base::now();
    std::uint64_t m_order = 0;
    std::uint64_t m_starts = 0;
    std::size_t m_changesReceived = 0;
};

} // namespace Yokepond::Tests
