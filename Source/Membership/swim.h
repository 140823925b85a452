// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Membership of the fleet after SWIM (Das, Gupta, Motivala, DSN 2002): each host probes one other a period, asks others to
/// probe for it before it suspects, and carries news on its probes. Cost a host does not grow with the fleet.

#pragma once

#include "Base/time.h"
#include "Peer/message.h"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Yokepond::Membership {

struct SwimOptions
{
    Base::Duration period = std::chrono::milliseconds(400); ///< one probe a period
    Base::Duration probeTimeout = std::chrono::milliseconds(150); ///< then others are asked to probe
    unsigned int indirectProbes = 3;
    unsigned int minSuspicionPeriods = 3; ///< more in a larger fleet, by the logarithm of its size
    Base::Duration deadRetention = std::chrono::seconds(60); ///< the dead are remembered so that old news cannot revive them
    Base::Duration fullSyncInterval = std::chrono::seconds(2); ///< least time between whole tables sent
};

/// A message to the host that listens on an address.
struct Outgoing
{
    std::string address;
    Peer::Message message;
};

/// Pure state machine: time and randomness come in, messages come out of takeOutgoing().
class Swim
{
public:
    Swim(Peer::Member self, SwimOptions options, std::uint64_t seed);

    /// Tells of a host that may not be a member yet.
    void addSeed(const std::string &address);

    /// Forgets dead members that the platform no longer lists.
    void forgetDead(const std::vector<std::string> &listedAddresses);

    /// The revision of the configuration, carried on probes.
    void setRevision(std::uint64_t revision);

    /// Tells @p count others of the revision at once; the rest learn of it by the usual probes.
    void announceRevision(std::size_t count);

    /// Call at least every probe timeout.
    void tick(Base::Instant now);

    void receive(Base::Instant now, const std::string &from, const Peer::Probe &probe);
    void receive(Base::Instant now, const std::string &from, const Peer::Acknowledgement &acknowledgement);

    /// Announces that this host is leaving: it gets no new duties, and is not suspected when it goes.
    void leave();

    std::vector<Outgoing> takeOutgoing();

    /// The members that this host itself has begun to suspect since the last call: they answer neither it nor those it asked.
    std::vector<std::string> takeNewSuspects();

    /// All members known, this host among them, by name.
    const std::map<std::string, Peer::Member> &members() const;

    /// Those that are alive, suspected or leaving.
    std::vector<Peer::Member> present() const;

    const Peer::Member &self() const;

    /// Grows whenever a member comes, goes or changes.
    std::uint64_t generation() const;

    /// The last instant at which another member answered; the start if none has.
    Base::Instant lastContact() const;

private:
    struct Pending
    {
        std::uint32_t sequence = 0;
        std::string target;
        Base::Instant sentAt;
        bool indirect = false;
    };

    /// A probe made for another member.
    struct Relayed
    {
        std::string asker;
        std::uint32_t askersSequence = 0;
        std::string target;
        Base::Instant sentAt;
    };

    struct News
    {
        std::string member;
        unsigned int sent = 0;
    };

    void startProbe(Base::Instant now);
    void probeDead();
    void checkProbe(Base::Instant now);
    void checkSuspects(Base::Instant now);
    void suspect(Base::Instant now, const std::string &name);
    void mergeAll(Base::Instant now, const std::vector<Peer::Member> &members);
    void merge(Base::Instant now, const Peer::Member &news);
    void refute(const Peer::Member &news);
    void store(Base::Instant now, const Peer::Member &member);
    void spread(const std::string &member);
    void learnSender(Base::Instant now, const std::string &from, std::uint64_t digest);
    std::vector<Peer::Member> pickNews(const std::string &receiver);
    std::vector<Peer::Member> wholeTable() const;
    std::vector<std::string> randomOthers(std::size_t count, const std::string &except);
    std::string nextTarget();
    std::uint64_t digest() const;
    Base::Duration suspicionTime() const;
    void send(const std::string &name, Peer::Message message);

    Peer::Member m_self;
    SwimOptions m_options;
    std::mt19937_64 m_random;
    std::map<std::string, Peer::Member> m_members;
    std::map<std::string, Base::Instant> m_changedAt; ///< when a member became suspect or dead
    std::set<std::string> m_wholeDue; ///< members whose next message carries the whole table
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_round; ///< the members still to be probed in this round
    std::deque<News> m_news;
    std::vector<Pending> m_pending;
    std::map<std::uint32_t, Relayed> m_relayed;
    std::vector<Outgoing> m_outgoing;
    std::vector<std::string> m_foundSilent;
    std::uint32_t m_sequence = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_generation = 1;
    Base::Instant m_nextProbe {};
    Base::Instant m_nextSeed {};
    Base::Instant m_lastContact {};
    Base::Instant m_lastChange {};
    Base::Instant m_lastWhole {};
};

} // namespace Yokepond::Membership
