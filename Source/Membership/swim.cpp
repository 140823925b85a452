// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Membership/swim.h"

#include "Base/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <ranges>

namespace Yokepond::Membership {

namespace {

using Peer::Acknowledgement;
using Peer::Member;
using Peer::MemberState;
using Peer::Probe;

constexpr std::size_t newsPerMessage = 6;
constexpr std::size_t announcedDirectly = 16;
constexpr double repeatsPerDoubling = 3.0;
constexpr Base::Duration seedPeriod = std::chrono::seconds(1);

/// Whether @p news says more than @p known of the same member. States override each other in the order of the enumeration.
bool overrides(const Member &news, const Member &known)
{
    if (news.incarnation != known.incarnation) {
        return news.incarnation > known.incarnation;
    }
    if (news.version != known.version) {
        return news.version > known.version;
    }
    return news.state > known.state;
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
    m_members.emplace(m_self.name, m_self);
    spread(m_self.name);
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
    const auto erased = std::erase_if(m_members, [&](const auto &entry) {
        return !isPresent(entry.second) && std::ranges::find(listedAddresses, entry.second.address) == listedAddresses.end();
    });
    m_generation += erased;
}

void Swim::setRevision(std::uint64_t revision)
{
    m_revision = revision;
}

void Swim::announceRevision(std::size_t count)
{
    for (const std::string &name : randomOthers(count, m_self.name)) {
        send(name, Probe {++m_sequence, {}, m_revision, digest(), {}});
    }
}

void Swim::tick(Base::Instant now)
{
    checkProbe(now);
    checkSuspects(now);
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_options.period;
        startProbe(now);
    }
    if (now >= m_nextSeed) {
        m_nextSeed = now + seedPeriod;
        for (const std::string &address : m_seeds) {
            m_outgoing.push_back({address, Probe {++m_sequence, {m_self}, m_revision, digest(), {}}});
        }
        probeDead();
    }
}

/// After a partition each side believes the other dead and would never ask it again: two fleets for good, with two dispatchers of
/// each shard. A member that lives learns by this that it is thought dead, and refutes it.
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
        m_outgoing.push_back({chosen.address, Probe {++m_sequence, {m_self, chosen}, m_revision, digest(), {}}});
    }
}

void Swim::startProbe(Base::Instant now)
{
    const std::string target = nextTarget();
    if (target.empty()) {
        return;
    }
    m_pending.push_back({++m_sequence, target, now, false});
    send(target, Probe {m_sequence, pickNews(target), m_revision, digest(), {}});
}

std::string Swim::nextTarget()
{
    // Each member is probed once a round, in an order that differs from round to round.
    for (int refills = 0; refills < 2; ++refills) {
        while (!m_round.empty()) {
            std::string name = std::move(m_round.back());
            m_round.pop_back();
            const auto member = m_members.find(name);
            if (member != m_members.end() && isPresent(member->second) && name != m_self.name) {
                return name;
            }
        }
        std::ranges::copy(m_members | std::views::keys, std::back_inserter(m_round));
        std::ranges::shuffle(m_round, m_random);
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
                send(helper, Probe {pending.sequence, pickNews(helper), m_revision, digest(), pending.target});
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
    Member news = member->second;
    if (news.state == MemberState::Alive) {
        news.state = MemberState::Suspect;
        m_foundSilent.push_back(name);
        merge(now, news);
    } else if (news.state == MemberState::Leaving) {
        // A leaving host that no longer answers has gone as announced.
        news.state = MemberState::Dead;
        merge(now, news);
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
    for (const auto &[name, member] : m_members) {
        const auto changed = m_changedAt.find(name);
        if (changed == m_changedAt.end()) {
            continue;
        }
        if (member.state == MemberState::Suspect && now - changed->second >= suspicionTime()) {
            dead.push_back(member);
        }
        if (member.state == MemberState::Dead && now - changed->second >= m_options.deadRetention) {
            forgotten.push_back(name);
        }
    }
    for (Member &member : dead) {
        member.state = MemberState::Dead;
        merge(now, member);
    }
    for (const std::string &name : forgotten) {
        m_members.erase(name);
        m_changedAt.erase(name);
        ++m_generation;
    }
}

void Swim::mergeAll(Base::Instant now, const std::vector<Member> &members)
{
    const std::deque<News> before = m_news;
    std::ranges::for_each(members, [&](const Member &member) { merge(now, member); });
    if (members.size() > newsPerMessage) {
        // A whole table: the others have it too, so that only what this host had to say itself is spread.
        std::erase_if(m_news, [&](const News &news) {
            return news.member != m_self.name && std::ranges::find(before, news.member, &News::member) == before.end();
        });
    }
}

void Swim::merge(Base::Instant now, const Member &news)
{
    if (news.name == m_self.name) {
        refute(news);
        return;
    }
    const auto known = m_members.find(news.name);
    if (known == m_members.end()) {
        // Nothing is to be done about a dead host that was never known.
        if (isPresent(news)) {
            store(now, news);
        }
        return;
    }
    if (overrides(news, known->second)) {
        store(now, news);
    }
}

void Swim::refute(const Member &news)
{
    if (news.incarnation > m_self.incarnation
        || (news.incarnation == m_self.incarnation && news.state > m_self.state && news.version >= m_self.version)) {
        m_self.version = std::max(m_self.version, news.version) + 1;
        // A host that started later under this name has a higher incarnation; two at once is an operator's error, seen in the
        // dump.
        m_members[m_self.name] = m_self;
        spread(m_self.name);
    }
}

void Swim::store(Base::Instant now, const Member &member)
{
    m_members[member.name] = member;
    if (member.state == MemberState::Suspect || member.state == MemberState::Dead) {
        m_changedAt[member.name] = now;
    } else {
        m_changedAt.erase(member.name);
    }
    m_lastChange = now;
    std::erase(m_seeds, member.address);
    spread(member.name);
    ++m_generation;
}

void Swim::spread(const std::string &member)
{
    std::erase_if(m_news, [&](const News &news) { return news.member == member; });
    m_news.push_front({member, 0});
}

std::vector<Member> Swim::pickNews(const std::string &receiver)
{
    if (m_wholeDue.erase(receiver) > 0) {
        return wholeTable();
    }
    std::vector<Member> picked;
    const auto add = [&](const Member &member) {
        const bool there = std::ranges::any_of(picked, [&](const Member &other) { return other.name == member.name; });
        if (!there && picked.size() < newsPerMessage) {
            picked.push_back(member);
        }
    };
    // A host that is thought to be gone must learn of it to refute it.
    const auto known = m_members.find(receiver);
    if (known != m_members.end() && known->second.state != MemberState::Alive) {
        add(known->second);
    }
    const auto mostRepeats
        = static_cast<unsigned int>(std::ceil(repeatsPerDoubling * std::log2(static_cast<double>(m_members.size()) + 1)));
    for (News &news : m_news) {
        const auto member = m_members.find(news.member);
        if (picked.size() >= newsPerMessage) {
            break;
        }
        ++news.sent;
        if (member != m_members.end()) {
            add(member->second);
        }
    }
    std::erase_if(m_news, [&](const News &news) { return news.sent >= mostRepeats; });
    // What was told least often goes first next time.
    std::ranges::stable_sort(m_news, {}, &News::sent);
    return picked;
}

std::vector<Member> Swim::wholeTable() const
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

void Swim::learnSender(Base::Instant now, const std::string &from, std::uint64_t theirDigest)
{
    m_lastContact = std::max(m_lastContact, now);
    if (theirDigest == digest()) {
        return;
    }
    // Tables differ. While news is on its way that is no wonder; after it should have arrived, the whole table settles it.
    const bool settled = m_news.empty() && now - m_lastChange >= suspicionTime();
    if (settled && now - m_lastWhole >= m_options.fullSyncInterval) {
        m_lastWhole = now;
        m_wholeDue.insert(from);
    }
}

void Swim::receive(Base::Instant now, const std::string &from, const Probe &probe)
{
    const auto sender = m_members.find(from);
    const auto isNewer = [&](const Member &news) { return news.name == from && news.incarnation > sender->second.incarnation; };
    if (sender == m_members.end() || !isPresent(sender->second) || std::ranges::any_of(probe.members, isNewer)) {
        // A host that joins, was thought dead or has started anew learns the whole table at once: without the others' addresses
        // it can neither ask nor answer them.
        m_wholeDue.insert(from);
    }
    mergeAll(now, probe.members);
    learnSender(now, from, probe.digest);
    if (probe.target.empty()) {
        send(from, Acknowledgement {probe.sequence, pickNews(from), m_revision, digest(), {}});
        return;
    }
    m_relayed[++m_sequence] = {from, probe.sequence, probe.target, now};
    send(probe.target, Probe {m_sequence, pickNews(probe.target), m_revision, digest(), {}});
}

void Swim::receive(Base::Instant now, const std::string &from, const Acknowledgement &acknowledgement)
{
    mergeAll(now, acknowledgement.members);
    learnSender(now, from, acknowledgement.digest);
    const std::string &answered = acknowledgement.target.empty() ? from : acknowledgement.target;
    std::erase_if(m_pending, [&](const Pending &pending) {
        return pending.sequence == acknowledgement.sequence && pending.target == answered;
    });
    const auto relayed = m_relayed.find(acknowledgement.sequence);
    if (relayed != m_relayed.end() && relayed->second.target == from) {
        send(relayed->second.asker, Acknowledgement {relayed->second.askersSequence, {}, m_revision, digest(), from});
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
    m_members[m_self.name] = m_self;
    ++m_generation;
    spread(m_self.name);
    for (const std::string &name : randomOthers(announcedDirectly, m_self.name)) {
        send(name, Probe {++m_sequence, {m_self}, m_revision, digest(), {}});
    }
}

void Swim::send(const std::string &name, Peer::Message message)
{
    const auto member = m_members.find(name);
    if (member != m_members.end()) {
        m_outgoing.push_back({member->second.address, std::move(message)});
    }
}

std::vector<Outgoing> Swim::takeOutgoing()
{
    return std::exchange(m_outgoing, {});
}

std::vector<std::string> Swim::takeNewSuspects()
{
    return std::exchange(m_foundSilent, {});
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

std::uint64_t Swim::digest() const
{
    // The order of the members does not matter to a sum.
    std::uint64_t sum = 0;
    for (const auto &[name, member] : m_members) {
        if (isPresent(member)) {
            sum += Base::hash64(name,
                                member.incarnation ^ (static_cast<std::uint64_t>(member.version) << 8U)
                                    ^ static_cast<std::uint64_t>(member.state));
        }
    }
    return sum;
}

} // namespace Yokepond::Membership
