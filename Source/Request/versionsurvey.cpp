// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/versionsurvey.h"

#include "Base/hash.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace Yokepond::Request {

namespace {

using Base::Duration;
using Base::Instant;

/// Number of other hosts that are asked at most.
constexpr std::size_t maxAsked = 16;
/// A host that does not reply within this time is not waited for. It is longer than the pause of a host that has used up its
/// processor quota for a quota period of 100 ms.
constexpr Duration replyTimeout = std::chrono::milliseconds(200);
/// Time for which a host that did not say that it leaves counts as one of the fleet.
constexpr Duration retention = std::chrono::hours(1);
/// Stands for the time at which a host that is a member was last one.
constexpr Instant stillPresent = Instant::max();

} // namespace

std::uint64_t poolIdentity(std::uint32_t pool)
{
    static const std::uint64_t kind = Base::hash64("software versions of a pool");
    return Base::combineHashes(kind, pool);
}

VersionSurvey::VersionSurvey(std::string self)
    : m_self(std::move(self))
{
}

void VersionSurvey::updateView(Instant now, const std::vector<Peer::Member> &members)
{
    for (Instant &lastPresent : m_lastPresent | std::views::values) {
        lastPresent = lastPresent == stillPresent ? now : lastPresent;
    }
    for (const Peer::Member &member : members) {
        if (member.state == Peer::MemberState::Leaving) {
            m_lastPresent.erase(member.name);
        } else if (member.name != m_self) {
            m_lastPresent[member.name] = stillPresent;
        }
    }
    std::erase_if(m_lastPresent, [now](const auto &entry) { return entry.second <= now - retention; });
}

std::vector<std::string> VersionSurvey::sampleFor(std::uint64_t request) const
{
    std::vector<std::string> names;
    std::ranges::copy(m_lastPresent | std::views::keys, std::back_inserter(names));
    if (names.size() > maxAsked) {
        std::ranges::sort(names, {},
                          [request](const std::string &name) { return Base::combineHashes(Base::hash64(name), request); });
        names.resize(maxAsked);
    }
    return names;
}

void VersionSurvey::begin(Instant now, std::uint64_t request, std::uint32_t pool, std::uint32_t softwareVersion, Duration period)
{
    Survey survey {
        .request = request, .identity = poolIdentity(pool), .softwareVersion = softwareVersion, .period = period, .began = now};
    for (const std::string &host : sampleFor(request)) {
        m_messages.push_back({host, Peer::StreamOriginQuery {survey.identity}});
        survey.waitingFor.insert(host);
    }
    survey.asked = survey.waitingFor.size();
    endIfDone(now, survey);
    if (!survey.ended) {
        m_surveys.push_back(std::move(survey));
    }
}

void VersionSurvey::receive(Instant now, const Peer::Process &from, const Peer::StreamOriginReply &reply)
{
    for (Survey &survey : m_surveys) {
        if (survey.identity != reply.stream || survey.waitingFor.erase(from.name) == 0) {
            continue;
        }
        if (reply.onlyVersion && reply.onlyVersion->softwareVersion != survey.softwareVersion) {
            survey.contradicted = true;
        } else if (reply.onlyVersion && reply.onlyVersion->watchedFor >= survey.period) {
            ++survey.agreeing;
        }
        endIfDone(now, survey);
    }
    std::erase_if(m_surveys, &Survey::ended);
}

/// Waits for all hosts, also when enough of them agree: one that contradicts may reply last.
void VersionSurvey::endIfDone(Instant now, Survey &survey)
{
    survey.ended = survey.contradicted || survey.waitingFor.empty() || now - survey.began >= replyTimeout;
    if (survey.ended) {
        const bool isMajority = 2 * (survey.agreeing + 1) > survey.asked + 1;
        m_results.push_back({survey.request, survey.softwareVersion, !survey.contradicted && isMajority, survey.asked,
                             survey.agreeing, now - survey.began});
    }
}

void VersionSurvey::tick(Instant now)
{
    std::ranges::for_each(m_surveys, [this, now](Survey &survey) { endIfDone(now, survey); });
    std::erase_if(m_surveys, &Survey::ended);
}

std::vector<SendToMember> VersionSurvey::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::vector<SurveyEnded> VersionSurvey::takeResults()
{
    return std::exchange(m_results, {});
}

} // namespace Yokepond::Request
