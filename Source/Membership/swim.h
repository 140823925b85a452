// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Fleet membership by the SWIM protocol (Das, Gupta, Motivala, DSN 2002). In each period a host probes one other member. If the
/// member does not acknowledge the probe, the host asks other members to probe it before it suspects the member. Probes and
/// acknowledgements carry recent membership updates (gossip). The cost per host does not grow with the size of the fleet.

#pragma once

#include "Base/time.h"
#include "Membership/gossipqueue.h"
#include "Peer/message.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Yokepond::Membership {

struct SwimOptions
{
    Base::Duration period = std::chrono::milliseconds(400); ///< time between two probes
    /// Time without an acknowledgement after which other members are asked to probe the target.
    Base::Duration probeTimeout = std::chrono::milliseconds(150);
    unsigned int indirectProbes = 3; ///< number of members that are asked
    unsigned int minSuspicionPeriods = 3; ///< periods until a suspect is marked dead, or log2 of the fleet size if larger
    /// Time for which dead members are kept, so that outdated updates cannot revive them.
    Base::Duration deadRetention = std::chrono::seconds(60);
    Base::Duration fullSyncInterval = std::chrono::seconds(2); ///< minimum time between full tables sent because tables differ
    /// Number of queued updates above which this host requests full tables, since gossip would take too long.
    std::size_t maxQueuedUpdates = 60;
    Base::Duration firstTableRequest = std::chrono::milliseconds(800); ///< after the start, or after too many updates were queued
    Base::Duration maxTableRequestInterval = std::chrono::seconds(8); ///< the interval doubles with each request up to this
};

/// A message and the peer address that it is for.
struct Outgoing
{
    std::string address;
    Peer::Message message;
    std::uint64_t incarnation = 0; ///< the only process that may receive it, see Peer::Recipient
};

/// Implements SWIM as a pure state machine. The caller passes in the time and a random seed, and sends the messages that
/// takeOutgoing() returns.
class Swim
{
public:
    Swim(Peer::Member self, SwimOptions options, std::uint64_t seed);

    /// Adds a seed: the address of a host that may not be a member yet. It is probed every second until it is one.
    void addSeed(const std::string &address);

    /// Removes dead members whose address is not in @p listedAddresses, the addresses that the platform lists.
    void forgetDead(const std::vector<std::string> &listedAddresses);

    /// Sets the number by which other hosts notice that their configuration differs: the revision of the configuration, or a
    /// digest of it. Probes and acknowledgements carry it.
    void setRevision(std::uint64_t revision);

    /// Sends the revision to @p count random members at once. All other members receive it with the regular probes.
    void announceRevision(std::size_t count);

    /// Sends the probes that are due and checks timeouts. Must be called at least once per probe timeout.
    void tick(Base::Instant now);

    void receive(Base::Instant now, const Peer::Process &from, const Peer::Probe &probe);
    void receive(Base::Instant now, const Peer::Process &from, const Peer::Acknowledgement &acknowledgement);

    /// Announces that this host will shut down. The other hosts give it no new duties, and mark it dead without suspecting it
    /// first when it stops responding.
    void leave();

    /// Returns the messages to send since the last call.
    std::vector<Outgoing> takeOutgoing();

    /// Returns the members that this host itself has begun to suspect since the last call: they acknowledged neither its probe
    /// nor those of the members that it asked.
    std::vector<std::string> takeNewSuspects();

    /// Returns all known members by name, including this host and dead members.
    const std::map<std::string, Peer::Member> &members() const;

    /// Returns the members that are not dead: alive, suspected or leaving.
    std::vector<Peer::Member> present() const;

    const Peer::Member &self() const;

    /// Returns the names of the members that were added, removed or changed since the last call.
    std::set<std::string> takeChanged();

    /// Returns a counter that increases whenever a member is added, removed or changed.
    std::uint64_t generation() const;

    /// Returns the time of the last message from another member; the clock's epoch if there was none.
    Base::Instant lastContact() const;

private:
    /// A probe that has not been acknowledged yet.
    struct Pending
    {
        std::uint32_t sequence = 0;
        std::string target;
        Base::Instant sentAt;
        bool indirect = false; ///< other members have been asked to probe the target
    };

    /// A probe that this host sent because another member asked for it.
    struct Relayed
    {
        Peer::Process requester;
        std::uint32_t requesterSequence = 0;
        std::string target;
        Base::Instant sentAt;
    };

    void startProbe(Base::Instant now);
    void probeDead();
    void checkProbe(Base::Instant now);
    void checkSuspects(Base::Instant now);
    /// Marks a member that did not acknowledge a probe as suspect, or as dead if it announced that it would leave.
    void suspect(Base::Instant now, const std::string &name);
    void mergeAll(Base::Instant now, const std::vector<Peer::Member> &members);
    /// Applies @p update if it is newer than the stored state of the member.
    void merge(Base::Instant now, const Peer::Member &update);
    /// Disseminates this host's actual state with a higher version if @p update has a wrong state of this host.
    void refute(const Peer::Member &update);
    void store(Base::Instant now, const Peer::Member &member);
    void noteChange(const std::string &member);
    /// Sets the stored state of a member, or removes the member.
    void setMember(const Peer::Member &member);
    void eraseMember(const std::string &name);
    /// Starts to request full tables if gossip alone would take too long.
    void requestTablesIfBehind(Base::Instant now);
    /// Returns the digest for the next probe, which asks for the full table if a request is due.
    std::uint64_t digestOrTableRequest(Base::Instant now);
    /// Records a message from @p from. Schedules a full member table for that member if @p digest still differs from m_digest.
    void recordContact(Base::Instant now, const std::string &from, std::uint64_t digest);
    /// Returns the updates that the next message to @p receiver carries, or the full member table if that is due.
    std::vector<Peer::Member> selectUpdates(const std::string &receiver);
    std::vector<Peer::Member> fullTable() const;
    std::vector<std::string> randomOthers(std::size_t count, const std::string &except);
    std::string nextTarget();
    Base::Duration suspicionTime() const;
    void send(const Peer::Process &to, Peer::Message message);

    Peer::Member m_self;
    SwimOptions m_options;
    std::mt19937_64 m_random;
    std::map<std::string, Peer::Member> m_members;
    std::uint64_t m_digest = 0; ///< sum of the digests of the members that are not dead; 0 if there are none
    std::set<std::string> m_knownBy; ///< members that have sent a message to this host, and thus have its address
    bool m_behind = true; ///< this host requests full tables until its own agrees with those of others
    unsigned int m_equalDigests = 0; ///< consecutive messages whose digest equals that of this host
    Base::Duration m_tableRequestInterval {};
    Base::Instant m_nextTableRequest {}; ///< the zero time point before the first tick
    std::map<std::string, Base::Instant> m_suspectOrDeadSince; ///< when a member reached its current state, suspect or dead
    std::set<std::string> m_fullTableDue; ///< members whose next message carries the full member table
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_probeRound; ///< members that are still to be probed in this round
    GossipQueue m_gossip; ///< members whose states are still being disseminated
    std::vector<Pending> m_pending;
    std::map<std::uint32_t, Relayed> m_relayed;
    std::vector<Outgoing> m_outgoing;
    std::vector<std::string> m_newSuspects;
    std::set<std::string> m_changed; ///< members that were added, removed or changed
    std::uint32_t m_sequence = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_generation = 1;
    Base::Instant m_nextProbe {};
    Base::Instant m_nextSeedProbe {};
    Base::Instant m_lastContact {};
    Base::Instant m_lastChange {};
    Base::Instant m_lastFullTable {};
};

} // namespace Yokepond::Membership
