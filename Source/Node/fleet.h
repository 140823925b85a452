// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What a host knows of the fleet: members, configuration, and which host dispatches what.

#pragma once

#include "Base/loop.h"
#include "Configuration/changescodec.h"
#include "Configuration/replica.h"
#include "Configuration/siterecords.h"
#include "Configuration/store.h"
#include "Dispatch/shardmap.h"
#include "Http/client.h"
#include "Membership/swim.h"
#include "Node/pullscheduler.h"
#include "Node/settings.h"
#include "Platform/etcdtable.h"
#include "Platform/hostlist.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Yokepond::Node {

/// What Fleet calls; all on the loop's thread.
struct FleetCallbacks
{
    std::function<void(const std::string &address, Peer::Message message)> send;
    std::function<void()> changed; ///< members, configuration or shards
    std::function<void(const std::string &member, std::uint64_t keptIncarnation)> incarnationEnded; ///< 0: no incarnation is left
    std::function<void(std::vector<std::uint32_t> endpoints)> endpointsLeaving; ///< by the platform's list
};

/// Why a host follows the platform's records itself.
enum class FollowReason {
    Selected, ///< it is one of the few that do for all
    Alone, ///< it hears of no other host
    NoConfiguration, ///< it knows none yet
    FollowerSilent, ///< one that was picked answered neither it nor others
    Requested, ///< a host that was picked asked it to, since the platform does not answer that one
};

inline constexpr Base::NameTable<FollowReason, 5> followReasonNames = {{
    {FollowReason::Selected, "picked"},
    {FollowReason::Alone, "alone"},
    {FollowReason::NoConfiguration, "no-configuration"},
    {FollowReason::FollowerSilent, "follower-silent"},
    {FollowReason::Requested, "asked"},
}};

/// The platform's configuration that a host acts on.
struct ActiveConfiguration
{
    std::uint64_t version = 0; ///< of its record; 0 if there is none
    std::string from; ///< the host that told of it, or the platform's own name for a host that read it itself
    Base::Instant since {};
};

/// Makes the parts of a catalogue of records in the platform's form.
using DecodeSite = std::function<absl::StatusOr<Configuration::CatalogueParts>(const Configuration::SiteRecords &records)>;

class Fleet
{
public:
    /// @p decode is used only where the settings say that the platform keeps the configuration as records.
    Fleet(const Settings &settings, Http::Client &client, std::uint64_t incarnation, Peer::Member self, FleetCallbacks callbacks,
          DecodeSite decode);

    void tick(Base::Instant now);
    void receive(Base::Instant now, const std::string &from, const Peer::Message &message);

    /// The settings name other seeds.
    void seedsChanged();

    /// Announces that this host leaves.
    void leave();

    /// Takes in what the platform's records say now.
    void mergeRecords(const std::vector<Configuration::Record> &records);

    /// The platform's records of endpoints that are there, whoever told of them.
    std::vector<Configuration::Record> endpointRecords() const;

    /// Notes that a record is known of and not believed yet.
    void markRecordPending(const Configuration::Record &record);

    /// Notes whether the platform answers, where something else than this fleet asks it.
    void updateStoreState(Base::Instant now, bool answers);

    const std::map<std::string, Peer::Member> &members() const;
    std::vector<Peer::Member> present() const;

    /// The peer address of a member that is present, or an empty text.
    std::string addressOf(const std::string &member) const;

    /// The member that listens for peers on @p address, or an empty text.
    std::string memberAt(const std::string &address) const;

    std::shared_ptr<const Configuration::Catalogue> catalogue() const;
    std::shared_ptr<const Dispatch::ShardMap> shards() const;
    const Configuration::Replica &replica() const;

    /// Where the platform keeps the configuration as records.
    const ActiveConfiguration &activeConfiguration() const;

    /// Of the configuration in force here; grows only.
    std::uint64_t revision() const;
    Configuration::Store<Platform::EtcdTable> &store();
    Platform::EtcdTable &table();

    /// OK, or why callers should not be sent here.
    absl::Status readiness(Base::Instant now) const;

    bool storeResponds() const;

    /// Whether this host is to follow the platform's records itself. In a large fleet a few do, and the others ask them for
    /// what changed; a host that knows no configuration or hears of no other host does so too.
    std::optional<FollowReason> followReason(Base::Instant now) const;

    /// The hosts that learn from those that follow; any of them can follow in the place of one of those.
    const std::vector<std::string> &nonFollowers() const;

private:
    void receive(Base::Instant now, const std::string &from, const Peer::Probe &probe);
    void receive(Base::Instant now, const std::string &from, const Peer::Acknowledgement &acknowledgement);
    void receive(Base::Instant now, const std::string &from, const Peer::ChangesRequest &request);
    void receive(Base::Instant now, const std::string &from, const Peer::Changes &changes);

    void pollStore(Base::Instant now);
    void pollHostList(Base::Instant now);
    void applyHostList(const std::vector<Platform::ListedHost> &hosts);
    void replyWithRecords(const std::string &from, const Peer::ChangesRequest &request);
    void sendRecords(const std::string &to, const Configuration::RecordRevisions &since, Configuration::RecordKind kind);
    void applyRecordChanges(Base::Instant now, const std::string &from, const Peer::Changes &changes);
    void pullIfBehind(Base::Instant now, const std::string &from, std::uint64_t revision);
    void configurationUpdated();
    void gossipConfiguration();
    void gossip(const Peer::Changes &changes);
    void recordsChanged();
    void updateConfigurationSource(std::uint64_t versionBefore, const std::string &source);
    void decodeRecords(Base::Instant now);
    void logRejected(std::vector<Configuration::RejectedRecord> rejected);
    bool usesRecords() const;
    void flushMembership();
    void replaceUnresponsiveFollowers(Base::Instant now);
    void selectFollowers(const std::vector<Peer::Member> &presentMembers);
    void rebuild();
    Base::Duration pollPeriod();
    std::int64_t hostCount() const;

    const Settings &m_settings;
    Http::Client &m_client;
    FleetCallbacks m_callbacks;
    std::mt19937_64 m_random;
    Membership::Swim m_swim;
    Configuration::Replica m_replica;
    Configuration::SiteRecords m_records;
    Configuration::ChangesCodec m_codec;
    bool m_baseMissing = false; ///< the last changes were against a configuration that is not held here
    std::string m_configurationSource; ///< who told of the newest configuration
    ActiveConfiguration m_activeConfiguration;
    std::shared_ptr<const Configuration::Catalogue> m_siteCatalogue;
    DecodeSite m_decode;
    Platform::EtcdTable m_table;
    Configuration::Store<Platform::EtcdTable> m_store;
    std::shared_ptr<const Dispatch::ShardMap> m_shards;
    PullScheduler m_pullScheduler;
    std::map<std::string, Peer::Member> m_lastMembers;
    std::uint64_t m_lastGeneration = 0;
    Base::Instant m_nextPoll {};
    Base::Instant m_nextHostList {};
    Base::Instant m_lastStoreContact {};
    bool m_polling = false;
    bool m_storeResponds = false;
    bool m_storeEverResponded = false;
    bool m_endpointsEverKnown = false; ///< of a platform's records
    std::vector<Configuration::RejectedRecord> m_rejected; ///< as logged
    bool m_recordsChanged = false; ///< they have changed since they were decoded
    Base::Instant m_nextDecode {};
    bool m_isSelected = true; ///< picked by the present membership
    std::vector<std::string> m_followers; ///< those picked
    std::vector<std::string> m_nonFollowers;
    Base::Instant m_substituteUntil {}; ///< until then this host follows in the place of one that was silent
};

} // namespace Yokepond::Node
