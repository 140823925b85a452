// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/crashprotection.h"

#include "Base/error.h"
#include "Base/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace Yokepond::Request {

namespace {

using Base::Duration;
using Base::Instant;

/// A run that broke off after at most this many tokens, as the relay counts them in the stream, counts as just begun.
constexpr std::uint32_t maxTokensJustBegan = 2;
/// Time after its first token from which a run has gone on: some times as long as an endpoint takes to crash of a response that
/// it begins.
constexpr Duration goneOnAfter = std::chrono::milliseconds(500);
constexpr std::uint64_t workSalt = 0x776f726b;

/// Returns the parts of the request's prompt and, as the last one, a part that stands for the whole request.
std::vector<std::uint64_t> suspectParts(const NewRequest &request)
{
    std::vector<std::uint64_t> parts = request.parts;
    parts.push_back(Base::combineHashes(request.work, workSalt));
    return parts;
}

} // namespace

absl::Status quarantineError(const QuarantineMatch &match)
{
    const std::string message = match.part
        ? fmt::format("endpoints crashed when they began responses to prompts with the part {}; such prompts are quarantined and "
                      "not run for now",
                      Base::hexadecimal(match.part->id))
        : "endpoints crashed while they ran this request; it is quarantined and not run again for now";
    return Base::makeError(Base::ErrorKind::CrashesEndpoints, message);
}

CrashProtection::CrashProtection(const std::string &self, std::uint64_t seed)
    : m_quarantine(self, seed)
    , m_parts(self)
{
}

void CrashProtection::updateView(Instant now, const std::vector<Peer::Member> &members, const Configuration::Policies &policies)
{
    m_quarantine.updateView(now, members, policies.maxCrashes);
    m_parts.updateView(members, policies.quarantineParts ? policies.maxCrashes : 0);
}

std::optional<QuarantineMatch> CrashProtection::match(const NewRequest &request, std::uint32_t pool) const
{
    if (m_quarantine.isQuarantined(request.work)) {
        return QuarantineMatch {request.work, std::nullopt};
    }
    if (!m_parts.isEnabled()) {
        return std::nullopt;
    }
    for (const std::uint64_t id : request.parts) {
        const Peer::PromptPart part {pool, id};
        if (const std::uint64_t key = Quarantine::keyOf(part); m_quarantine.isQuarantined(key)) {
            return QuarantineMatch {key, part};
        }
    }
    return std::nullopt;
}

bool CrashProtection::needsFirstToken(const NewRequest &request) const
{
    return m_parts.isEnabled() && !request.parts.empty();
}

bool CrashProtection::hasGoneOn(Instant now, Instant firstTokenAt)
{
    return firstTokenAt != Instant {} && now - firstTokenAt >= goneOnAfter;
}

// --- Runs of this host

void CrashProtection::runBroke(Instant now, const NewRequest &request, const BrokenRun &run)
{
    // A response that is not streamed does not show whether the run had begun.
    const bool began = !run.showsBeginning || run.headReceived;
    const bool justBegan = !run.showsBeginning || (run.headReceived && run.tokens <= maxTokensJustBegan);
    if (!run.pathInDoubt) {
        m_quarantine.runBroke(now, request.work, run.endpoint, justBegan);
    }
    if (!request.parts.empty() && !hasGoneOn(now, run.firstTokenAt)) {
        m_parts.runBroke(now,
                         {run.pool, run.endpoint, began, run.pathInDoubt, now - run.sentAt, request.work, suspectParts(request)});
    }
}

void CrashProtection::runStopped(Instant now, const NewRequest &request, const BrokenRun &run, const QuarantineMatch &match)
{
    // Only what is quarantined is named: if the endpoint crashes, this explains it.
    std::vector<std::uint64_t> parts = {suspectParts(request).back()};
    if (match.part) {
        parts.insert(parts.begin(), match.part->id);
    }
    m_parts.runBroke(now, {run.pool, run.endpoint, false, true, now - run.sentAt, request.work, std::move(parts)});
}

void CrashProtection::runCompleted(Instant now, const NewRequest &request, const CompletedRun &run)
{
    const bool begins = run.firstTokenAt != Instant {};
    // A crash between two events looks like the end of a stream whose end is not marked.
    if (run.streamEndsWithConnection && run.tokens <= maxTokensJustBegan && !hasGoneOn(now, run.firstTokenAt)) {
        return;
    }
    m_quarantine.runCompleted(now, request.work);
    recordSound(now, request, run.pool, begins ? run.firstTokenAt : now);
}

void CrashProtection::runWentOn(Instant now, const NewRequest &request, std::uint32_t pool, Instant firstTokenAt)
{
    recordSound(now, request, pool, firstTokenAt);
}

void CrashProtection::recordSound(Instant now, const NewRequest &request, std::uint32_t pool, Instant began)
{
    if (request.parts.empty()) {
        return;
    }
    m_parts.runWentOn(pool, suspectParts(request), began);
    if (const auto found = match(request, pool); found && found->part) {
        clearIfSound(now, found->work);
    }
}

/// Clears a quarantined part at all hosts if this host knows of a run with it that began after the first crash and went on.
void CrashProtection::clearIfSound(Instant now, std::uint64_t work)
{
    const auto quarantined = m_quarantine.quarantinedPart(work);
    if (quarantined && m_parts.wasSoundSince(quarantined->part, quarantined->firstCrash)) {
        m_parts.forget(quarantined->part);
        m_quarantine.releaseWork(now, work);
    }
}

bool CrashProtection::release(Instant now, std::uint64_t id)
{
    bool released = m_quarantine.releaseWork(now, id);
    for (const QuarantineView &view : m_quarantine.view(now)) {
        if (view.quarantined && view.part && view.part->id == id) {
            m_parts.forget(*view.part);
            released = m_quarantine.releaseWork(now, view.work) || released;
        }
    }
    return released;
}

// --- Messages

void CrashProtection::receive(Instant now, const Peer::Process &from, const Peer::RunBroke &broke)
{
    m_quarantine.receive(now, from, broke);
}

void CrashProtection::receive(Instant now, const Peer::Process &from, const Peer::QuarantineUpdate &update)
{
    m_quarantine.receive(now, from, update);
    for (const Peer::QuarantineEntry &entry : update.entries) {
        // The same number of crashes quarantines a cleared part again.
        if (entry.part.pool != 0 && !m_quarantine.isQuarantined(entry.work)) {
            m_parts.forget(entry.part);
        }
    }
}

void CrashProtection::receive(Instant now, const Peer::Process &from, const Peer::PromptRunBroke &broke)
{
    m_parts.receive(now, from, broke);
}

void CrashProtection::receive(Instant now, const Peer::Process &from, const Peer::SoundPartsQuery &query)
{
    m_parts.receive(now, from, query);
}

void CrashProtection::receive(Instant now, const Peer::Process &from, const Peer::SoundPartsReply &reply)
{
    m_parts.receive(now, from, reply);
}

void CrashProtection::tick(Instant now)
{
    m_quarantine.tick(now);
    if (m_parts.countsCrashes()) {
        m_parts.setQuarantined(m_quarantine.quarantinedParts(), m_quarantine.quarantinedWorks());
    }
    m_parts.tick(now);
    applyVerdicts(now);
}

void CrashProtection::applyVerdicts(Instant now)
{
    for (const PartVerdict &verdict : m_parts.takeVerdicts()) {
        const BlamedPart &blame = verdict.blame;
        if (blame.work != 0) {
            m_quarantine.quarantineWork(now, blame.work, blame.firstCrash, blame.endpoints);
        } else {
            m_quarantine.quarantinePart(now, verdict.part, blame.firstCrash, blame.endpoints, blame.wasSound);
        }
    }
}

std::vector<SendToMember> CrashProtection::takeMessages()
{
    std::vector<SendToMember> messages = m_quarantine.takeMessages();
    std::ranges::move(m_parts.takeMessages(), std::back_inserter(messages));
    return messages;
}

bool CrashProtection::takeQuarantined(Instant now)
{
    const std::vector<std::uint64_t> quarantined = m_quarantine.takeNewlyQuarantined();
    for (const std::uint64_t work : quarantined) {
        clearIfSound(now, work);
    }
    return std::ranges::any_of(quarantined, [&](std::uint64_t work) { return m_quarantine.isQuarantined(work); });
}

const Quarantine &CrashProtection::quarantine() const
{
    return m_quarantine;
}

const PartSuspicionCounters &CrashProtection::partCounters() const
{
    return m_parts.counters();
}

} // namespace Yokepond::Request
