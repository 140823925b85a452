// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Membership/swim.h"

#include "Base/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <ranges>

namespace Yokepond::Membership {

namespace {

using Peer::Acknowledgement;
using Peer::Member;
using Peer::MemberState;
using Peer::Probe;

constexpr std::size_t maxUpdatesPerMessage = 6;
/// Number of members that a leaving host informs directly; the others receive it by gossip.
constexpr std::size_t leaveAnnouncements = 16;
/// Number of times that an update is sent for each doubling of the number of members.
constexpr double transmissionsPerDoubling = 3.0;
constexpr Base::Duration seedProbePeriod = std::chrono::seconds(1);

/// Digest of a table without members. A probe with this digest asks for the full table.
constexpr std::uint64_t emptyDigest = 0;

/// Returns the part of a member in the digest of a table. The digest is a sum, so that it does not depend on the order.
std::uint64_t digestOf(const Member &member)
{
    if (member.state == MemberState::Dead) {
        return 0;
    }
    return Base::hash64(member.name,
                        member.incarnation ^ (static_cast<std::uint64_t>(member.version) << 8U)
                            ^ static_cast<std::uint64_t>(member.state));
}

std::uint64_t digestOf(const std::vector<Member> &members)
{
    return std::transform_reduce(members.begin(), members.end(), emptyDigest, std::plus {},
                                 [](const Member &member) { return digestOf(member); });
}

/// Returns whether @p update is newer than @p known, the stored state of the same member. At equal incarnation and version, a
/// state that comes later in the enumeration overrides an earlier one.
bool overrides(const Member &update, const Member &known)
{
    if (update.incarnation != known.incarnation) {
        return update.incarnation > known.incarnation;
    }
    if (update.version != known.version) {
        return update.version > known.version;
    }
    return update.state > known.state;
}

bool isPresent(const Member &member)
{
    return member.state != MemberState::Dead;
}

} // namespace

Swim::Swim(Member self, SwimOptions options, std::uint64_t seed)
    : m_self(std::move(self))
    , m_options(options)
    , m_random(seed)
{
    setMember(m_self);
    m_gossip.add(m_self.name);
    m_tableRequestInterval = m_options.firstTableRequest;
}

void Swim::addSeed(const std::string &address)
{
    const bool known = std::ranges::any_of(
        m_members, [&](const auto &entry) { return entry.second.address == address && isPresent(entry.second); });
    if (!known && std::ranges::find(m_seeds, address) == m_seeds.end()) {
        m_seeds.push_back(address);
    }
}

void Swim::forgetDead(const std::vector<std::string> &listedAddresses)
{
    std::vector<std::string> forgotten;
    for (const auto &[name, member] : m_members) {
        if (!isPresent(member) && std::ranges::find(listedAddresses, member.address) == listedAddresses.end()) {
            forgotten.push_back(name);
        }
    }
    std::ranges::for_each(forgotten, [this](const std::string &name) { eraseMember(name); });
}

void Swim::setRevision(std::uint64_t revision)
{
    m_revision = revision;
}

void Swim::announceRevision(std::size_t count)
{
    for (const std::string &name : randomOthers(count, m_self.name)) {
        send(name, Probe {++m_sequence, {}, m_revision, m_digest, {}});
    }
}

void Swim::tick(Base::Instant now)
{
    checkProbe(now);
    checkSuspects(now);
    requestTablesIfBehind(now);
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_options.period;
        startProbe(now);
    }
    if (now >= m_nextSeedProbe) {
        m_nextSeedProbe = now + seedProbePeriod;
        for (const std::string &address : m_seeds) {
            m_outgoing.push_back({address, Probe {++m_sequence, {m_self}, m_revision, m_digest, {}}});
        }
        probeDead();
    }
}

/// Probes one random dead member. After a partition each side considers the other side dead. Without these probes the sides would
/// never contact each other again and would remain two fleets, with two dispatchers for each shard. The probe carries the
/// member's state, so that a member that is alive learns that it is considered dead and refutes it.
void Swim::probeDead()
{
    std::vector<const Member *> dead;
    for (const Member &member : m_members | std::views::values) {
        if (!isPresent(member)) {
            dead.push_back(&member);
        }
    }
    if (!dead.empty()) {
        const Member &chosen = *dead[m_random() % dead.size()];
        m_outgoing.push_back({chosen.address, Probe {++m_sequence, {m_self, chosen}, m_revision, m_digest, {}}});
    }
}

void Swim::startProbe(Base::Instant now)
{
    const std::string target = nextTarget();
    if (target.empty()) {
        return;
    }
    m_pending.push_back({++m_sequence, target, now, false});
    send(target, Probe {m_sequence, selectUpdates(target), m_revision, digestOrTableRequest(now), {}});
}

void Swim::requestTablesIfBehind(Base::Instant now)
{
    if (m_nextTableRequest == Base::Instant {}) {
        m_nextTableRequest = now + m_tableRequestInterval;
    }
    if (!m_behind && m_gossip.size() > m_options.maxQueuedUpdates) {
        m_behind = true;
        m_equalDigests = 0;
        m_tableRequestInterval = m_options.firstTableRequest;
        m_nextTableRequest = now + m_tableRequestInterval;
    }
}

std::uint64_t Swim::digestOrTableRequest(Base::Instant now)
{
    if (!m_behind || now < m_nextTableRequest) {
        return m_digest;
    }
    m_tableRequestInterval = std::min(m_tableRequestInterval * 2, m_options.maxTableRequestInterval);
    m_nextTableRequest = now + m_tableRequestInterval;
    return emptyDigest;
}

std::string Swim::nextTarget()
{
    // Each member is probed once per round, in a new random order for each round.
    for (int refills = 0; refills < 2; ++refills) {
        while (!m_probeRound.empty()) {
            std::string name = std::move(m_probeRound.back());
            m_probeRound.pop_back();
            const auto member = m_members.find(name);
            if (member != m_members.end() && isPresent(member->second) && name != m_self.name) {
                return name;
            }
        }
        std::ranges::copy(m_members | std::views::keys, std::back_inserter(m_probeRound));
        std::ranges::shuffle(m_probeRound, m_random);
    }
    return {};
}

void Swim::checkProbe(Base::Instant now)
{
    std::vector<std::string> failed;
    for (Pending &pending : m_pending) {
        if (!pending.indirect && now - pending.sentAt >= m_options.probeTimeout) {
            pending.indirect = true;
            for (const std::string &helper : randomOthers(m_options.indirectProbes, pending.target)) {
                send(helper, Probe {pending.sequence, selectUpdates(helper), m_revision, m_digest, pending.target});
            }
        }
        if (now - pending.sentAt >= m_options.period) {
            failed.push_back(pending.target);
        }
    }
    std::erase_if(m_pending, [&](const Pending &pending) { return now - pending.sentAt >= m_options.period; });
    std::erase_if(m_relayed, [&](const auto &entry) { return now - entry.second.sentAt >= m_options.period; });
    std::ranges::for_each(failed, [&](const std::string &name) { suspect(now, name); });
}

void Swim::suspect(Base::Instant now, const std::string &name)
{
    const auto member = m_members.find(name);
    if (member == m_members.end()) {
        return;
    }
    Member update = member->second;
    if (update.state == MemberState::Alive) {
        update.state = MemberState::Suspect;
        m_newSuspects.push_back(name);
        merge(now, update);
    } else if (update.state == MemberState::Leaving) {
        // A leaving host that stops responding has shut down as announced.
        update.state = MemberState::Dead;
        merge(now, update);
    }
}

Base::Duration Swim::suspicionTime() const
{
    const double periods = std::max<double>(m_options.minSuspicionPeriods, std::log2(static_cast<double>(m_members.size())));
    return std::chrono::duration_cast<Base::Duration>(m_options.period * periods);
}

void Swim::checkSuspects(Base::Instant now)
{
    std::vector<Member> dead;
    std::vector<std::string> forgotten;
    for (const auto &[name, since] : m_suspectOrDeadSince) {
        const Member &member = m_members.at(name);
        if (member.state == MemberState::Suspect && now - since >= suspicionTime()) {
            dead.push_back(member);
        }
        if (member.state == MemberState::Dead && now - since >= m_options.deadRetention) {
            forgotten.push_back(name);
        }
    }
    for (Member &member : dead) {
        member.state = MemberState::Dead;
        merge(now, member);
    }
    std::ranges::for_each(forgotten, [this](const std::string &name) { eraseMember(name); });
}

void Swim::setMember(const Member &member)
{
    Member &stored = m_members[member.name];
    if (!stored.name.empty()) {
        m_digest -= digestOf(stored);
    }
    if (stored.incarnation != member.incarnation) {
        m_knownBy.erase(member.name);
    }
    stored = member;
    m_digest += digestOf(stored);
    noteChange(member.name);
}

void Swim::eraseMember(const std::string &name)
{
    const auto entry = m_members.find(name);
    if (entry == m_members.end()) {
        return;
    }
    m_digest -= digestOf(entry->second);
    m_members.erase(entry);
    m_suspectOrDeadSince.erase(name);
    m_knownBy.erase(name);
    m_gossip.remove(name);
    noteChange(name);
}

void Swim::mergeAll(Base::Instant now, const std::vector<Member> &members)
{
    // A list longer than the limit of a message is a full member table. The other members have its contents too, so only this
    // host's own state and the updates that were queued before are disseminated.
    const bool isFullTable = members.size() > maxUpdatesPerMessage;
    for (const Member &member : members) {
        const bool wasQueued = m_gossip.contains(member.name);
        merge(now, member);
        if (isFullTable && !wasQueued && member.name != m_self.name) {
            m_gossip.remove(member.name);
        }
    }
}

void Swim::merge(Base::Instant now, const Member &update)
{
    if (update.name == m_self.name) {
        refute(update);
        return;
    }
    const auto known = m_members.find(update.name);
    if (known == m_members.end()) {
        // A dead host that has never been a member is ignored.
        if (isPresent(update)) {
            store(now, update);
        }
        return;
    }
    if (overrides(update, known->second)) {
        store(now, update);
    }
}

void Swim::refute(const Member &update)
{
    if (update.incarnation > m_self.incarnation
        || (update.incarnation == m_self.incarnation && update.state > m_self.state && update.version >= m_self.version)) {
        m_self.version = std::max(m_self.version, update.version) + 1;
        // The higher version does not override an update with a higher incarnation, which comes from a host that was started
        // later under the same name. Two hosts that run under one name at the same time are an operator's error, which a host's
        // dump shows.
        setMember(m_self);
        m_gossip.add(m_self.name);
    }
}

void Swim::store(Base::Instant now, const Member &member)
{
    setMember(member);
    if (member.state == MemberState::Suspect || member.state == MemberState::Dead) {
        m_suspectOrDeadSince[member.name] = now;
    } else {
        m_suspectOrDeadSince.erase(member.name);
    }
    m_lastChange = now;
    std::erase(m_seeds, member.address);
    m_gossip.add(member.name);
}

void Swim::noteChange(const std::string &member)
{
    ++m_generation;
    m_changed.insert(member);
}

std::vector<Member> Swim::selectUpdates(const std::string &receiver)
{
    if (m_fullTableDue.erase(receiver) > 0) {
        return fullTable();
    }
    std::vector<Member> selected;
    const auto add = [&](const Member &member) {
        const bool alreadySelected
            = std::ranges::any_of(selected, [&](const Member &other) { return other.name == member.name; });
        if (!alreadySelected && selected.size() < maxUpdatesPerMessage) {
            selected.push_back(member);
        }
    };
    // A member that does not know this host could not reply, and would be suspected.
    if (!m_knownBy.contains(receiver)) {
        add(m_self);
    }
    // A host that is not considered alive must receive its own state so that it can refute it.
    const auto known = m_members.find(receiver);
    if (known != m_members.end() && known->second.state != MemberState::Alive) {
        add(known->second);
    }
    const auto maxTransmissions
        = static_cast<unsigned int>(std::ceil(transmissionsPerDoubling * std::log2(static_cast<double>(m_members.size()) + 1)));
    for (const std::string &name : m_gossip.take(maxUpdatesPerMessage - selected.size(), maxTransmissions)) {
        if (const auto member = m_members.find(name); member != m_members.end()) {
            add(member->second);
        }
    }
    return selected;
}

std::vector<Member> Swim::fullTable() const
{
    std::vector<Member> table;
    std::ranges::copy(m_members | std::views::values, std::back_inserter(table));
    return table;
}

std::vector<std::string> Swim::randomOthers(std::size_t count, const std::string &except)
{
    std::vector<std::string> candidates;
    for (const auto &[name, member] : m_members) {
        if (isPresent(member) && name != m_self.name && name != except) {
            candidates.push_back(name);
        }
    }
    std::vector<std::string> chosen;
    std::ranges::sample(candidates, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(count), m_random);
    return chosen;
}

void Swim::recordContact(Base::Instant now, const std::string &from, std::uint64_t theirDigest)
{
    m_lastContact = std::max(m_lastContact, now);
    m_knownBy.insert(from);
    if (theirDigest == m_digest) {
        ++m_equalDigests;
        // So many members have the same table that nearly all do. The others notice it by their digest.
        if (m_equalDigests > std::log2(static_cast<double>(m_members.size()))) {
            m_behind = false;
            m_gossip.clear();
        }
        return;
    }
    m_equalDigests = 0;
    // The member tables differ, which is expected while updates are being disseminated. If they still differ after that, a full
    // table reconciles them.
    const bool settled = m_gossip.empty() && now - m_lastChange >= suspicionTime();
    if (settled && now - m_lastFullTable >= m_options.fullSyncInterval) {
        m_lastFullTable = now;
        m_fullTableDue.insert(from);
    }
}

void Swim::receive(Base::Instant now, const Peer::Process &from, const Probe &probe)
{
    const auto sender = m_members.find(from.name);
    // A host that asks for the full table, knows no other member than those that it names, or was considered dead gets the full
    // table at once.
    const bool knowsNoOther = probe.digest == digestOf(probe.members);
    const bool wasDead = sender != m_members.end() && !isPresent(sender->second);
    mergeAll(now, probe.members);
    if ((probe.digest == emptyDigest || knowsNoOther || wasDead) && probe.digest != m_digest) {
        m_fullTableDue.insert(from.name);
    }
    recordContact(now, from.name, probe.digest);
    if (probe.target.empty()) {
        send(from, Acknowledgement {probe.sequence, selectUpdates(from.name), m_revision, m_digest, {}});
        return;
    }
    m_relayed[++m_sequence] = {from, probe.sequence, probe.target, now};
    send(probe.target, Probe {m_sequence, selectUpdates(probe.target), m_revision, m_digest, {}});
}

void Swim::receive(Base::Instant now, const Peer::Process &from, const Acknowledgement &acknowledgement)
{
    mergeAll(now, acknowledgement.members);
    recordContact(now, from.name, acknowledgement.digest);
    const std::string &acknowledging = acknowledgement.target.empty() ? from.name : acknowledgement.target;
    std::erase_if(m_pending, [&](const Pending &pending) {
        return pending.sequence == acknowledgement.sequence && pending.target == acknowledging;
    });
    const auto relayed = m_relayed.find(acknowledgement.sequence);
    if (relayed != m_relayed.end() && relayed->second.target == from.name) {
        send(relayed->second.requester, Acknowledgement {relayed->second.requesterSequence, {}, m_revision, m_digest, from.name});
        m_relayed.erase(relayed);
    }
}

void Swim::leave()
{
    if (m_self.state == MemberState::Leaving) {
        return;
    }
    m_self.state = MemberState::Leaving;
    ++m_self.version;
    setMember(m_self);
    m_gossip.add(m_self.name);
    for (const std::string &name : randomOthers(leaveAnnouncements, m_self.name)) {
        send(name, Probe {++m_sequence, {m_self}, m_revision, m_digest, {}});
    }
}

void Swim::send(const Peer::Process &to, Peer::Message message)
{
    const auto member = m_members.find(to.name);
    if (member != m_members.end()) {
        m_outgoing.push_back({member->second.address, std::move(message), to.incarnation});
    }
}

std::vector<Outgoing> Swim::takeOutgoing()
{
    return std::exchange(m_outgoing, {});
}

std::vector<std::string> Swim::takeNewSuspects()
{
    return std::exchange(m_newSuspects, {});
}

std::set<std::string> Swim::takeChanged()
{
    return std::exchange(m_changed, {});
}

const std::map<std::string, Member> &Swim::members() const
{
    return m_members;
}

std::vector<Member> Swim::present() const
{
    std::vector<Member> found;
    std::ranges::copy_if(m_members | std::views::values, std::back_inserter(found), isPresent);
    return found;
}

const Member &Swim::self() const
{
    return m_self;
}

std::uint64_t Swim::generation() const
{
    return m_generation;
}

Base::Instant Swim::lastContact() const
{
    return m_lastContact;
}

} // namespace Yokepond::Membership
