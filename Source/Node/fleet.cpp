// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/fleet.h"

#include "Base/error.h"
#include "Base/hash.h"
#include "Base/invariant.h"
#include "Base/log.h"
#include "Base/text.h"
#include "Membership/duty.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <ranges>
#include <type_traits>

namespace Yokepond::Node {

namespace {

constexpr std::size_t gossipFanout = 3; ///< number of hosts to which a host sends a new change as soon as it learns of it
/// Minimum period of reading the store, per host of the fleet, so that the load on the store does not grow with the fleet.
constexpr Base::Duration pollPeriodPerHost = std::chrono::milliseconds(10);
constexpr Base::Duration hostListPeriod = std::chrono::seconds(1);
constexpr Base::Duration hostListPeriodPerHost = std::chrono::milliseconds(20);

/// Pause after the records or the members were applied, as a multiple of the time that it took. Without it, long lists that
/// change often would use all processor time of a small host. A change is applied within the maximum pause plus a tick, well
/// below the two seconds that a platform allows.
constexpr int pauseFactor = 8;
constexpr Base::Duration maxPause = std::chrono::milliseconds(400);
/// Source of a configuration that a host read from the store itself, in logs.
constexpr std::string_view storeSourceName = "store";
/// Name of the duty of following the store; hosts are ranked by its hash.
constexpr std::string_view followDuty = "follow-store";
/// How long a host substitutes for an unresponsive follower. After that time the whole fleet knows that the follower is
/// suspected, and the host with the next rank has replaced it.
constexpr Base::Duration substituteDuration = std::chrono::seconds(4);
/// A host receives a message from another at least once per membership period. After three periods without one it may have missed
/// changes.
constexpr Base::Duration peerUnresponsiveTimeout = std::chrono::milliseconds(1200);

Base::Duration pauseAfter(Base::Duration took)
{
    return std::min(maxPause, took * pauseFactor);
}

/// Returns how many organisations have each rank, for the log. Those without a rank of their own stand under "none".
nlohmann::json organisationsByRank(const Configuration::Catalogue &catalogue)
{
    std::map<std::string, std::size_t> counts;
    for (const Configuration::Organisation &organisation : catalogue.organisations()) {
        ++counts[organisation.rank ? fmt::format("{}", *organisation.rank) : "none"];
    }
    return counts;
}

/// Whether Fleet handles messages of type @p Kind. A test for a callable overload would not work here: any kind of message
/// converts to Peer::Message, so it would hold for all of them.
template<typename Kind>
constexpr bool isForFleet = std::is_same_v<Kind, Peer::Probe> || std::is_same_v<Kind, Peer::Acknowledgement>
    || std::is_same_v<Kind, Peer::ChangesRequest> || std::is_same_v<Kind, Peer::Changes>;

} // namespace

Fleet::Fleet(const Settings &settings, Http::Client &client, std::uint64_t incarnation, Peer::Member self,
             FleetCallbacks callbacks, RecordDecoder decode)
    : m_settings(settings)
    , m_client(client)
    , m_callbacks(std::move(callbacks))
    , m_random(incarnation)
    , m_swim(std::move(self), settings.membership, incarnation)
    , m_exchange(m_records,
                 [this](const Peer::Process &to, Peer::Message message) {
                     m_callbacks.send({addressOf(to.name), to.incarnation}, std::move(message));
                 })
    , m_recordCatalogue(Configuration::Catalogue::build({}))
    , m_decode(std::move(decode))
    , m_table(client, settings.platform, settings.platformTimeout)
    , m_store(m_table, m_replica, [this] { configurationUpdated(); })
    , m_shards(std::make_shared<Dispatch::ShardMap>())
{
    addSeeds();
}

void Fleet::addSeeds()
{
    for (const std::string &address : m_settings.seeds) {
        if (address != m_settings.advertisedPeer) {
            m_swim.addSeed(address);
        }
    }
}

void Fleet::tick(Base::Instant now)
{
    m_swim.tick(now);
    substituteForUnresponsiveFollowers(now);
    flushMembership();
    if (!usesRecords() && now >= m_nextPoll && !m_polling) {
        pollStore(now);
    }
    if (!usesRecords() && now >= m_nextHostList) {
        pollHostList(now);
    }
    if (m_decodePending && now >= m_nextDecode) {
        decodeRecords(now);
    }
    if (m_swim.generation() != m_lastGeneration && now >= m_nextRebuild) {
        const Base::Instant began = Base::now();
        rebuild();
        m_nextRebuild = now + pauseAfter(Base::now() - began);
    }
}

Base::Duration Fleet::pollPeriod()
{
    const Base::Duration period = std::max(m_settings.configurationPoll, pollPeriodPerHost * hostCount());
    const Base::Duration jitter(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(period.count())));
    return period / 2 + jitter;
}

std::int64_t Fleet::hostCount() const
{
    return static_cast<std::int64_t>(m_swim.members().size());
}

void Fleet::pollStore(Base::Instant now)
{
    m_polling = true;
    m_nextPoll = now + pollPeriod();
    m_store.poll([this](bool answered) {
        m_polling = false;
        if (answered != m_storeResponds) {
            Base::log(answered ? Base::LogLevel::Info : Base::LogLevel::Warning,
                      answered ? Base::LogEvent::StoreRecovered : Base::LogEvent::StoreLost,
                      {{"platform", m_settings.platform.text()}, {"revision", m_replica.revision()}});
        }
        m_storeResponds = answered;
        if (answered) {
            m_lastStoreContact = Base::now();
            m_storeEverResponded = true;
        }
    });
}

void Fleet::pollHostList(Base::Instant now)
{
    m_nextHostList = now + std::max(hostListPeriod, hostListPeriodPerHost * hostCount());
    Platform::fetchHostList(m_client, m_settings.platform, m_settings.platformTimeout,
                            [this](const absl::StatusOr<std::vector<Platform::ListedHost>> &hosts) {
                                if (hosts.ok()) {
                                    applyHostList(*hosts);
                                }
                            });
}

void Fleet::applyHostList(const std::vector<Platform::ListedHost> &hosts)
{
    std::vector<std::string> routers;
    std::vector<std::uint32_t> leaving;
    for (const Platform::ListedHost &host : hosts) {
        if (host.role == "router") {
            routers.push_back(host.address);
            if (host.state == Platform::ListedState::Live && host.address != m_settings.advertisedPeer) {
                m_swim.addSeed(host.address);
            }
        } else if (host.state == Platform::ListedState::Leaving) {
            const auto &endpoints = catalogue()->endpoints();
            const auto endpoint
                = std::ranges::find(endpoints, host.address, [](const auto &entry) { return entry.address.text(); });
            if (endpoint != endpoints.end()) {
                leaving.push_back(endpoint->number);
            }
        }
    }
    m_swim.forgetDead(routers);
    m_callbacks.endpointsLeaving(std::move(leaving));
}

void Fleet::receive(Base::Instant now, const Peer::Process &from, const Peer::Message &message)
{
    std::visit(
        [&](const auto &entry) {
            if constexpr (isForFleet<std::decay_t<decltype(entry)>>) {
                receive(now, from, entry);
            }
        },
        message);
}

void Fleet::receive(Base::Instant now, const Peer::Process &from, const Peer::Probe &probe)
{
    m_swim.receive(now, from, probe);
    flushMembership();
    pullIfBehind(now, from.name, probe.revision);
}

void Fleet::receive(Base::Instant now, const Peer::Process &from, const Peer::Acknowledgement &acknowledgement)
{
    m_swim.receive(now, from, acknowledgement);
    flushMembership();
    pullIfBehind(now, from.name, acknowledgement.revision);
}

void Fleet::pullIfBehind(Base::Instant now, const std::string &from, std::uint64_t revision)
{
    const std::string address = addressOf(from);
    if (address.empty()) {
        return;
    }
    if (usesRecords()) {
        m_exchange.receiveDigest(now, from, revision);
        return;
    }
    if (m_pullScheduler.selectPull(now, from, revision, this->revision()) != Pull::None) {
        m_callbacks.send({address}, Peer::ChangesRequest {this->revision()});
    }
}

void Fleet::receive(Base::Instant, const Peer::Process &from, const Peer::ChangesRequest &request)
{
    if (usesRecords()) {
        m_exchange.receive(from, request);
        return;
    }
    Configuration::Update update = m_replica.updateSince(request.since);
    m_callbacks.send({addressOf(from.name), from.incarnation},
                     Peer::Changes {std::move(update.snapshot), std::move(update.log), {}, 0});
}

void Fleet::receive(Base::Instant now, const Peer::Process &from, const Peer::Changes &changes)
{
    if (usesRecords()) {
        applyRecordChanges(now, from, changes);
        return;
    }
    m_pullScheduler.receiveReply(from.name);
    const std::uint64_t before = m_replica.revision();
    const bool grown = m_replica.update({changes.snapshot, changes.log});
    Base::checkInvariant(m_replica.revision() >= before, Base::Invariant::RevisionGrows);
    if (grown) {
        configurationUpdated();
    }
}

void Fleet::applyRecordChanges(Base::Instant now, const Peer::Process &from, const Peer::Changes &changes)
{
    const Configuration::RecordRevisions before = m_records.revisions();
    const bool changed = m_exchange.receive(now, from, changes);
    updateConfigurationSource(before.configuration, from.name);
    m_swim.setRevision(m_records.digest());
    // A revision that rises without a change of any record is in force, too.
    if (changed || !(m_records.revisions() == before)) {
        recordsChanged();
    }
}

void Fleet::configurationUpdated()
{
    m_swim.setRevision(m_replica.revision());
    Base::log(Base::LogLevel::Info, Base::LogEvent::ConfigurationApplied, {{"revision", m_replica.revision()}});
    rebuild();
    gossipConfiguration();
}

void Fleet::gossipConfiguration()
{
    if (m_replica.recentChanges().empty()) {
        return;
    }
    gossip(Peer::Changes {{}, {changeToJson(m_replica.recentChanges().back()).dump()}});
}

void Fleet::gossip(const Peer::Changes &changes)
{
    std::vector<Peer::Member> others;
    std::ranges::copy_if(present(), std::back_inserter(others),
                         [this](const Peer::Member &member) { return member.name != m_settings.name; });
    std::vector<Peer::Member> selected;
    std::ranges::sample(others, std::back_inserter(selected), gossipFanout, m_random);
    for (const Peer::Member &member : selected) {
        m_callbacks.send({member.address}, changes);
    }
}

void Fleet::flushMembership()
{
    for (Membership::Outgoing &outgoing : m_swim.takeOutgoing()) {
        m_callbacks.send({std::move(outgoing.address), outgoing.incarnation}, std::move(outgoing.message));
    }
}

/// Makes this host substitute for a follower that it has just begun to suspect. Otherwise no host might follow the store for a
/// second or two, until the suspicion has reached the hosts with the next ranks: all followers may be unresponsive at once.
void Fleet::substituteForUnresponsiveFollowers(Base::Instant now)
{
    for (const std::string &name : m_swim.takeNewSuspects()) {
        if (std::ranges::find(m_followers, name) != m_followers.end()) {
            m_substituteUntil = now + substituteDuration;
        }
    }
}

void Fleet::selectFollowers(const std::vector<Peer::Member> &presentMembers)
{
    // A suspected host may be frozen or partitioned, so another host follows in its place until that is known. Too many followers
    // only cost calls; without any, all hosts would keep an old configuration.
    std::vector<Peer::Member> unsuspected;
    std::ranges::copy_if(presentMembers, std::back_inserter(unsuspected), [this](const Peer::Member &member) {
        return member.state != Peer::MemberState::Suspect || member.name == m_settings.name;
    });
    m_followers = Membership::selectMembers(followDuty, unsuspected, m_settings.storeFollowers);
    m_isSelected = std::ranges::find(m_followers, m_settings.name) != m_followers.end();
    m_nonFollowers.clear();
    for (const Peer::Member &member : unsuspected) {
        if (std::ranges::find(m_followers, member.name) == m_followers.end()) {
            m_nonFollowers.push_back(member.name);
        }
    }
}

void Fleet::rebuild()
{
    m_lastGeneration = m_swim.generation();
    const std::vector<Peer::Member> presentMembers = present();
    const bool sameCatalogue = m_shardCatalogue == catalogue();
    m_shardCatalogue = catalogue();
    m_shards = std::make_shared<Dispatch::ShardMap>(sameCatalogue ? m_shards->withMembers(*m_shardCatalogue, presentMembers)
                                                                  : Dispatch::ShardMap(*m_shardCatalogue, presentMembers));
    selectFollowers(presentMembers);
    reportMemberChanges();
    m_callbacks.changed();
}

void Fleet::reportMemberChanges()
{
    for (const std::string &name : m_swim.takeChanged()) {
        if (const auto known = m_knownStates.find(name); known != m_knownStates.end()) {
            reportMemberChange(name, known->second);
        }
        const auto now = members().find(name);
        if (now == members().end()) {
            m_knownStates.erase(name);
        } else {
            m_knownStates[name] = {now->second.incarnation, now->second.state};
        }
    }
}

void Fleet::reportMemberChange(const std::string &name, const KnownState &before)
{
    const auto now = members().find(name);
    const bool isDead = now == members().end() || now->second.state == Peer::MemberState::Dead;
    const bool wasDead = before.state == Peer::MemberState::Dead;
    if (isDead && !wasDead) {
        m_callbacks.incarnationEnded(name, 0);
    } else if (!isDead && now->second.incarnation != before.incarnation) {
        m_callbacks.incarnationEnded(name, now->second.incarnation);
        m_callbacks.processReplaced({name, before.incarnation}, now->second.incarnation);
    }
    if (!isDead && now->second.state != before.state) {
        Base::log(Base::LogLevel::Info, Base::LogEvent::MemberChanged,
                  {{"member", name}, {"state", Base::nameOf(Peer::memberStateNames, now->second.state)}});
    } else if (isDead && !wasDead) {
        Base::log(Base::LogLevel::Warning, Base::LogEvent::MemberChanged, {{"member", name}, {"state", "dead"}});
    }
}

void Fleet::leave()
{
    m_swim.leave();
    flushMembership();
    rebuild();
}

const std::map<std::string, Peer::Member> &Fleet::members() const
{
    return m_swim.members();
}

std::vector<Peer::Member> Fleet::present() const
{
    return m_swim.present();
}

std::string Fleet::addressOf(const std::string &member) const
{
    const auto entry = members().find(member);
    return entry == members().end() || entry->second.state == Peer::MemberState::Dead ? std::string() : entry->second.address;
}

std::string Fleet::memberByAddress(const std::string &address) const
{
    const auto entry
        = std::ranges::find_if(members(), [&](const auto &candidate) { return candidate.second.address == address; });
    return entry == members().end() ? std::string() : entry->first;
}

bool Fleet::usesRecords() const
{
    return m_settings.platformForm == PlatformForm::Records;
}

void Fleet::mergeRecords(const std::vector<Configuration::Record> &records)
{
    const std::uint64_t before = m_records.revisions().configuration;
    bool changed = false;
    for (const Configuration::Record &record : records) {
        const bool usable = record.fault == Configuration::RecordFault::None;
        if (!usable) {
            m_unusableRecords.countRow(record.kind, record.fault);
        }
        if (record.kind == Configuration::RecordKind::Configuration) {
            // It is not stored if it cannot be used, and the one before stays in force.
            m_unusableRecords.update(record.kind,
                                     usable ? UnusableRecords::Reasons {}
                                            : UnusableRecords::Reasons {{record.key, Configuration::faultReason(record)}},
                                     m_records.revision());
        }
        changed = m_records.merge(record) || changed;
    }
    updateConfigurationSource(before, std::string(storeSourceName));
    if (changed) {
        recordsChanged();
    }
}

void Fleet::beginList(Configuration::RecordKind kind)
{
    m_records.beginList(kind);
}

void Fleet::endList(Configuration::RecordKind kind, std::uint64_t version)
{
    m_records.endList(kind, version);
    m_exchange.sendWaitingLists();
}

bool Fleet::knowsRemovals(Configuration::RecordKind kind) const
{
    return m_records.knowsRemovals(kind);
}

void Fleet::skipRows(Base::Instant now, Configuration::RecordKind kind, const std::vector<Configuration::RecordFault> &faults)
{
    std::ranges::for_each(faults, [&](Configuration::RecordFault fault) { m_unusableRecords.skipRow(now, kind, fault); });
}

std::size_t Fleet::nameCollisions() const
{
    return m_collisions.count();
}

const UnusableRecords &Fleet::unusableRecords() const
{
    return m_unusableRecords;
}

std::vector<Configuration::Record> Fleet::presentRecords(Configuration::RecordKind kind) const
{
    std::vector<Configuration::Record> found;
    std::ranges::transform(m_records.present(kind), std::back_inserter(found),
                           [](const Configuration::Record *record) { return *record; });
    return found;
}

void Fleet::markRecordUnconfirmed(const Configuration::Record &record)
{
    m_records.markUnconfirmed(record);
    m_swim.setRevision(m_records.digest());
}

void Fleet::updateConfigurationSource(std::uint64_t versionBefore, const std::string &source)
{
    if (m_records.revisions().configuration > versionBefore) {
        m_configurationSource = source;
    }
}

void Fleet::recordsChanged()
{
    m_swim.setRevision(m_records.digest());
    // The records are decoded at the next tick, so that changes that arrive together are decoded together.
    m_decodePending = true;
    // A host that gets the new revision and does not follow the store requests the changes that it lacks.
    m_swim.announceRevision(gossipFanout);
    flushMembership();
}

void Fleet::decodeRecords(Base::Instant now)
{
    m_decodePending = false;
    auto parts = m_decode(m_records, m_recordCatalogue.get());
    if (parts.ok()) {
        applyParts(now, std::move(*parts));
    } else {
        // The last valid configuration stays in effect.
        Base::log(Base::LogLevel::Warning, Base::LogEvent::ConfigurationIgnored,
                  {{"revision", m_records.revision()}, {"reason", Base::messageOf(parts.status())}});
    }
    const Base::Duration took = Base::now() - now;
    m_nextDecode = now + pauseAfter(took);
}

void Fleet::applyParts(Base::Instant now, Configuration::CatalogueParts parts)
{
    parts.policies = m_settings.policies;
    parts.regions = m_settings.regions;
    updateUnusableRecords(parts.rejected);
    const bool ignored = newestConfigurationIsIgnored(parts);
    m_recordCatalogue = Configuration::Catalogue::assemble(std::move(parts));
    m_collisions.update(m_recordCatalogue->parts().nameCollisions);
    m_endpointsEverKnown = m_endpointsEverKnown || !m_recordCatalogue->endpoints().empty();
    if (!ignored && m_activeConfiguration.version != m_records.revisions().configuration) {
        m_activeConfiguration = {m_records.revisions().configuration, m_configurationSource, now};
    }
    Base::log(Base::LogLevel::Info, Base::LogEvent::ConfigurationApplied,
              {{"revision", m_records.revision()},
               {"configuration-version", m_activeConfiguration.version},
               {"configuration-from", m_activeConfiguration.from},
               {"endpoints-version", m_records.revisions().endpoints},
               {"configuration-hash", Base::hexadecimal(m_records.hashes().configuration)},
               {"endpoints-hash", Base::hexadecimal(m_records.hashes().endpoints)},
               {"evacuated", m_recordCatalogue->evacuatedDataCentres()},
               {"routes", m_recordCatalogue->routes().size()},
               {"organisations-by-rank", organisationsByRank(*m_recordCatalogue)},
               {"endpoints", m_recordCatalogue->endpoints().size()}});
    rebuild();
}

bool Fleet::newestConfigurationIsIgnored(const Configuration::CatalogueParts &parts)
{
    const auto newest = m_records.presentWithVersions(Configuration::RecordKind::Configuration);
    if (parts.configurationVersion == 0 || newest.empty() || newest.front().changedAt == parts.configurationVersion) {
        return false;
    }
    if (std::exchange(m_ignoredConfiguration, newest.front().changedAt) != newest.front().changedAt) {
        Base::log(Base::LogLevel::Warning, Base::LogEvent::ConfigurationIgnored,
                  {{"revision", m_records.revision()}, {"reason", Base::messageOf(m_decode(m_records, nullptr).status())}});
    }
    return true;
}

void Fleet::updateUnusableRecords(const std::vector<Configuration::RejectedRecord> &rejectedEndpoints)
{
    UnusableRecords::Reasons endpoints;
    std::ranges::for_each(rejectedEndpoints, [&](const auto &record) { endpoints[record.key] = record.reason; });
    UnusableRecords::Reasons evacuations;
    for (const Configuration::Record *record : m_records.present(Configuration::RecordKind::Evacuation)) {
        if (record->fault != Configuration::RecordFault::None) {
            evacuations[record->key] = Configuration::faultReason(*record);
        }
    }
    m_unusableRecords.update(Configuration::RecordKind::Endpoint, endpoints, m_records.revision());
    m_unusableRecords.update(Configuration::RecordKind::Evacuation, evacuations, m_records.revision());
}

void Fleet::updateStoreState(Base::Instant now, bool responds)
{
    m_storeResponds = responds;
    if (responds) {
        m_lastStoreContact = now;
        m_storeEverResponded = true;
    }
}

std::optional<FollowReason> Fleet::followReason(Base::Instant now) const
{
    if (m_recordCatalogue->routes().empty()) {
        return FollowReason::NoConfiguration;
    }
    if (m_isSelected) {
        return FollowReason::Selected;
    }
    if (now < m_substituteUntil) {
        return FollowReason::FollowerUnresponsive;
    }
    const bool alone = now - m_swim.lastContact() > peerUnresponsiveTimeout;
    return alone ? std::optional(FollowReason::Alone) : std::nullopt;
}

const std::vector<std::string> &Fleet::nonFollowers() const
{
    return m_nonFollowers;
}

std::uint64_t Fleet::revision() const
{
    return usesRecords() ? m_records.revision() : m_replica.revision();
}

std::shared_ptr<const Configuration::Catalogue> Fleet::catalogue() const
{
    return usesRecords() ? m_recordCatalogue : m_replica.catalogue();
}

std::shared_ptr<const Dispatch::ShardMap> Fleet::shards() const
{
    return m_shards;
}

const Configuration::Replica &Fleet::replica() const
{
    return m_replica;
}

Configuration::RecordRevisions Fleet::recordRevisions() const
{
    return m_records.revisions();
}

Configuration::RecordHashes Fleet::recordHashes() const
{
    return m_records.hashes();
}

Base::Duration Fleet::recordsDifferFor(Base::Instant now) const
{
    return m_exchange.differsFor(now);
}

const ActiveConfiguration &Fleet::activeConfiguration() const
{
    return m_activeConfiguration;
}

Configuration::Store<Platform::EtcdTable> &Fleet::store()
{
    return m_store;
}

Platform::EtcdTable &Fleet::table()
{
    return m_table;
}

bool Fleet::storeResponds() const
{
    return m_storeResponds;
}

absl::Status Fleet::readiness(Base::Instant now) const
{
    const bool none = usesRecords() ? m_recordCatalogue->routes().empty() : m_replica.revision() == 0 && !m_storeEverResponded;
    if (usesRecords() && !none && !m_endpointsEverKnown) {
        return makeError(Base::ErrorKind::NotReady,
                         "no endpoint is known yet: neither the table service nor a peer has sent one");
    }
    if (none) {
        return makeError(Base::ErrorKind::NotReady, "no configuration yet: neither the table service nor a peer has answered");
    }
    const Base::Instant contact = std::max(m_lastStoreContact, m_swim.lastContact());
    if (now - contact > m_settings.notReadyAfter) {
        return makeError(
            Base::ErrorKind::NotReady,
            fmt::format("cut off from the table service and from every peer for {:.0f} s; the configuration may be out of date",
                        Base::seconds(now - contact)));
    }
    return absl::OkStatus();
}

} // namespace Yokepond::Node
