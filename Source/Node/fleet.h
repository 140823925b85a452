// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A host's view of the fleet: its members, the configuration, and which host dispatches which shard.

#pragma once

#include "Base/loop.h"
#include "Configuration/replica.h"
#include "Configuration/siterecords.h"
#include "Configuration/store.h"
#include "Dispatch/shardmap.h"
#include "Http/client.h"
#include "Membership/swim.h"
#include "Node/collisionlog.h"
#include "Node/pullscheduler.h"
#include "Node/recordexchange.h"
#include "Node/settings.h"
#include "Node/unusablerecords.h"
#include "Platform/etcdtable.h"
#include "Platform/hostlist.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Yokepond::Node {

/// Callbacks of Fleet; all are called on the event loop's thread.
struct FleetCallbacks
{
    std::function<void(const Peer::Recipient &to, Peer::Message message)> send;
    std::function<void()> changed; ///< the members, the configuration or the shards have changed
    /// A member has died or restarted. currentIncarnation is the incarnation after a restart, 0 after a death.
    std::function<void(const std::string &member, std::uint64_t currentIncarnation)> incarnationEnded;
    /// A host has another process than @p ended, which therefore has ended for certain.
    std::function<void(const Peer::Process &ended, std::uint64_t currentIncarnation)> processReplaced;
    std::function<void(std::vector<std::uint32_t> endpoints)> endpointsLeaving; ///< all that the platform lists as leaving
};

/// Why a host follows the platform's store, that is, reads its change feed itself instead of getting changes from other hosts.
enum class FollowReason {
    Selected, ///< selected by rank as one of the followers of the fleet
    Alone, ///< it receives no messages from other hosts
    NoConfiguration, ///< it has no configuration yet
    FollowerUnresponsive, ///< a selected follower responded neither to this host's probes nor to indirect ones
    Requested, ///< a selected follower without responses from the store asked this host to follow
};

inline constexpr Base::NameTable<FollowReason, 5> followReasonNames = {{
    {FollowReason::Selected, "picked"},
    {FollowReason::Alone, "alone"},
    {FollowReason::NoConfiguration, "no-configuration"},
    {FollowReason::FollowerUnresponsive, "follower-silent"},
    {FollowReason::Requested, "asked"},
}};

/// The version of the platform's configuration that a host has applied.
struct ActiveConfiguration
{
    std::uint64_t version = 0; ///< version of the record; 0 if there is none
    std::string from; ///< the host that sent it, or `store` if this host read it from the store
    Base::Instant since {}; ///< when it was applied
};

/// Decodes records in the platform's format into the parts of a catalogue. What has not changed may be taken from @p previous.
using RecordDecoder = std::function<absl::StatusOr<Configuration::CatalogueParts>(const Configuration::SiteRecords &records,
                                                                                  const Configuration::Catalogue *previous)>;

/// Combines the membership (SWIM), the local copy of the configuration and the shard map, and keeps them up to date. With
/// PlatformForm::Table, the configuration is a replica of a table in the platform's table service (store()), which each host
/// polls. With PlatformForm::Records, it consists of records in a store of the platform, which followers read and send to the
/// other hosts.
class Fleet
{
public:
    /// @p decode is used only with PlatformForm::Records.
    Fleet(const Settings &settings, Http::Client &client, std::uint64_t incarnation, Peer::Member self, FleetCallbacks callbacks,
          RecordDecoder decode);

    void tick(Base::Instant now);

    /// Handles messages about the membership and the configuration, and ignores all others.
    void receive(Base::Instant now, const Peer::Process &from, const Peer::Message &message);

    /// Adds the seeds of the settings to the membership, after the settings were reloaded.
    void addSeeds();

    /// Announces to the other members that this host is leaving.
    void leave();

    /// Merges @p records, which this host read from the store, into its copy. Counts those that cannot be used.
    void mergeRecords(const std::vector<Configuration::Record> &records);

    /// Notes that the records that are merged next are all that the store has of @p kind.
    void beginList(Configuration::RecordKind kind);

    /// Notes that all that the store had at @p version were merged; see SiteRecords::endList().
    void endList(Configuration::RecordKind kind, std::uint64_t version);

    /// Returns whether this host can tell others which records of @p kind were removed.
    bool knowsRemovals(Configuration::RecordKind kind) const;

    /// Notes that this host read rows in the table of @p kind that no record can be made of, each with one of @p faults.
    void skipRows(Base::Instant now, Configuration::RecordKind kind, const std::vector<Configuration::RecordFault> &faults);

    /// Returns the rows and records of the store that cannot be used; only with PlatformForm::Records.
    const UnusableRecords &unusableRecords() const;

    /// Returns the number of collisions of names in the catalogue in force.
    std::size_t nameCollisions() const;

    /// Returns the records of @p kind that are not removed, read by this host or received from others.
    std::vector<Configuration::Record> presentRecords(Configuration::RecordKind kind) const;

    /// Notes that the store has a newer state of a record, such as a deferred removal, that is not merged yet. Until a state with
    /// at least that version is merged, the revisions of this copy do not include it.
    void markRecordUnconfirmed(const Configuration::Record &record);

    /// Records whether the store responds. To be called if StoreFollower calls the store and not Fleet itself.
    void updateStoreState(Base::Instant now, bool responds);

    /// Returns all known members, dead ones and this host included, by name.
    const std::map<std::string, Peer::Member> &members() const;

    /// Returns the members that are alive, suspected or leaving, this host included.
    std::vector<Peer::Member> present() const;

    /// Returns the peer address of a present member, or an empty string.
    std::string addressOf(const std::string &member) const;

    /// Returns the name of the member with peer address @p address, or an empty string.
    std::string memberByAddress(const std::string &address) const;

    /// Returns the applied configuration.
    std::shared_ptr<const Configuration::Catalogue> catalogue() const;
    std::shared_ptr<const Dispatch::ShardMap> shards() const;
    const Configuration::Replica &replica() const;

    /// Returns the revisions of this host's copy of the records; only with PlatformForm::Records.
    Configuration::RecordRevisions recordRevisions() const;

    /// Returns hashes of this host's copy of the records, equal at hosts that hold the same.
    Configuration::RecordHashes recordHashes() const;

    /// Returns for how long no other host has had the same records as this host, as far as it has heard of others; only with
    /// PlatformForm::Records.
    Base::Duration recordsDifferFor(Base::Instant now) const;

    /// Returns the version and the source of the applied configuration; only with PlatformForm::Records.
    const ActiveConfiguration &activeConfiguration() const;

    /// Returns the revision of the applied configuration, a counter that never decreases. Probes carry this counter with
    /// PlatformForm::Table, but a digest of the records with PlatformForm::Records.
    std::uint64_t revision() const;
    Configuration::Store<Platform::EtcdTable> &store();
    Platform::EtcdTable &table();

    /// Returns OK, or the reason why load balancers should not send callers to this host.
    absl::Status readiness(Base::Instant now) const;

    /// Returns whether the last call to the platform's store was successful.
    bool storeResponds() const;

    /// Returns why this host is to follow the store by its own decision, or nothing if it is not to; requests of other hosts are
    /// handled by StoreFollower. In a large fleet only a few selected hosts follow it, and the others request changes from them.
    /// A host without a configuration, or without contact to other hosts, follows too.
    std::optional<FollowReason> followReason(Base::Instant now) const;

    /// Returns the present hosts that are neither selected followers nor suspected. They get changes from the followers, and each
    /// of them can substitute for a follower.
    const std::vector<std::string> &nonFollowers() const;

private:
    /// What rebuild() has reported of a member.
    struct KnownState
    {
        std::uint64_t incarnation = 0;
        Peer::MemberState state {};
    };

    void receive(Base::Instant now, const Peer::Process &from, const Peer::Probe &probe);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::Acknowledgement &acknowledgement);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::ChangesRequest &request);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::Changes &changes);

    void pollStore(Base::Instant now);
    void pollHostList(Base::Instant now);
    void applyHostList(const std::vector<Platform::ListedHost> &hosts);
    void applyRecordChanges(Base::Instant now, const Peer::Process &from, const Peer::Changes &changes);
    void pullIfBehind(Base::Instant now, const std::string &from, std::uint64_t revision);
    void configurationUpdated();
    void gossipConfiguration();
    /// Sends @p changes to a few random members.
    void gossip(const Peer::Changes &changes);
    /// Announces the new revision to other hosts and schedules the decoding of the records.
    void recordsChanged();
    void updateConfigurationSource(std::uint64_t versionBefore, const std::string &source);
    void decodeRecords(Base::Instant now);
    void applyParts(Base::Instant now, Configuration::CatalogueParts parts);
    void updateUnusableRecords(const std::vector<Configuration::RejectedRecord> &rejectedEndpoints);
    /// Logs once that the newest configuration is malformed, and returns whether it is, so that @p parts has the one before.
    bool newestConfigurationIsIgnored(const Configuration::CatalogueParts &parts);
    /// Returns whether the platform keeps the configuration as records (PlatformForm::Records).
    bool usesRecords() const;
    void flushMembership();
    void substituteForUnresponsiveFollowers(Base::Instant now);
    void selectFollowers(const std::vector<Peer::Member> &presentMembers);
    void reportMemberChanges();
    void reportMemberChange(const std::string &name, const KnownState &before);
    /// Updates the shard map and the followers after a change of members or configuration, and reports members that died or
    /// restarted.
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
    RecordExchange m_exchange; ///< keeps m_records equal to those of the other hosts
    std::string m_configurationSource; ///< source of the newest configuration
    ActiveConfiguration m_activeConfiguration;
    std::shared_ptr<const Configuration::Catalogue> m_recordCatalogue; ///< decoded from m_records
    RecordDecoder m_decode;
    Platform::EtcdTable m_table;
    Configuration::Store<Platform::EtcdTable> m_store;
    std::shared_ptr<const Dispatch::ShardMap> m_shards;
    std::shared_ptr<const Configuration::Catalogue> m_shardCatalogue; ///< the configuration that m_shards was made for
    PullScheduler m_pullScheduler {RevisionOrder::Counter}; ///< only with PlatformForm::Table
    std::map<std::string, KnownState> m_knownStates; ///< the states of the members at the last rebuild()
    Base::Instant m_nextRebuild {};
    std::uint64_t m_lastGeneration = 0;
    Base::Instant m_nextPoll {};
    Base::Instant m_nextHostList {};
    Base::Instant m_lastStoreContact {};
    bool m_polling = false;
    bool m_storeResponds = false;
    bool m_storeEverResponded = false;
    bool m_endpointsEverKnown = false; ///< some configuration had endpoints; only with PlatformForm::Records
    UnusableRecords m_unusableRecords;
    CollisionLog m_collisions;
    std::uint64_t m_ignoredConfiguration = 0; ///< version of the malformed configuration that was logged last
    bool m_decodePending = false; ///< the records have changed since they were last decoded
    Base::Instant m_nextDecode {};
    bool m_isSelected = true; ///< this host is one of m_followers
    std::vector<std::string> m_followers; ///< the hosts selected to follow the store
    std::vector<std::string> m_nonFollowers;
    Base::Instant m_substituteUntil {}; ///< until then this host substitutes for an unresponsive follower
};

} // namespace Yokepond::Node
