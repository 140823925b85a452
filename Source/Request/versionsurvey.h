// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Whether the other hosts agree that a pool has had endpoints of one software version only.

#pragma once

#include "Peer/message.h"
#include "Request/types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Yokepond::Request {

/// Returns the identity that stands for pool @p pool in Peer::StreamOriginQuery. Hosts of older releases take it for that of a
/// stream that they do not know.
std::uint64_t poolIdentity(std::uint32_t pool);

/// The end of a survey.
struct SurveyEnded
{
    std::uint64_t request = 0;
    std::uint32_t softwareVersion = 0; ///< the version that was asked about
    bool agreed = false; ///< more than half of the hosts have watched the pool for long enough and saw this version only
    std::size_t asked = 0; ///< number of other hosts
    std::size_t agreeing = 0;
    Base::Duration took {};
};

/// Asks the other hosts which software versions a pool has had, before a stream that nobody knows goes on at the only one that
/// this host has seen. This host may have been cut off or have stood still, so that neither its list of endpoints nor its list of
/// hosts shows what the others know. The hosts that were here lately count too, since they may be those on the other side of a
/// cut. Of a large fleet a sample is asked. It is a pure state machine: the caller passes in the time, and takeMessages() and
/// takeResults() return what is to be done.
class VersionSurvey
{
public:
    explicit VersionSurvey(std::string self);

    void updateView(Base::Instant now, const std::vector<Peer::Member> &members);

    /// Asks whether @p pool has had endpoints of @p softwareVersion only, for @p period.
    void begin(Base::Instant now, std::uint64_t request, std::uint32_t pool, std::uint32_t softwareVersion,
               Base::Duration period);

    /// Handles a reply to one of the questions, and ignores others.
    void receive(Base::Instant now, const Peer::Process &from, const Peer::StreamOriginReply &reply);

    /// Ends surveys that have waited long enough; to be called regularly.
    void tick(Base::Instant now);

    /// Returns the messages to send since the last call.
    std::vector<SendToMember> takeMessages();

    /// Returns the surveys that have ended since the last call.
    std::vector<SurveyEnded> takeResults();

private:
    struct Survey
    {
        std::uint64_t request = 0;
        std::uint64_t identity = 0; ///< of the pool
        std::uint32_t softwareVersion = 0;
        Base::Duration period {};
        Base::Instant began {};
        std::size_t asked = 0;
        std::size_t agreeing = 0;
        std::set<std::string> waitingFor; ///< hosts that have not replied yet
        bool contradicted = false; ///< a host has seen another version
        bool ended = false;
    };

    std::vector<std::string> sampleFor(std::uint64_t request) const;
    void endIfDone(Base::Instant now, Survey &survey);

    std::string m_self;
    std::map<std::string, Base::Instant> m_lastPresent; ///< other hosts, and when each was last a member
    std::vector<Survey> m_surveys;
    std::vector<SendToMember> m_messages;
    std::vector<SurveyEnded> m_results;
};

} // namespace Yokepond::Request
