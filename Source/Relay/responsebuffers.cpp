// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Relay/responsebuffers.h"

#include <algorithm>
#include <tuple>

namespace Yokepond::Relay {

namespace {

/// Smallest allowance of a stream. A caller that reads at the pace of its stream holds less: these are several seconds of events,
/// while a round trip and a retransmission take less than one.
constexpr std::size_t minStreamBytes = 16U << 10U;
/// A stream may hold one part in this many of the free part of the bound.
constexpr std::size_t freePerStream = 8;
/// Longest time between two acknowledgements of a caller that reads: a round trip and a retransmission.
constexpr Base::Duration maxReadingGap = std::chrono::seconds(1);

constexpr int rankReadsNothing = 0;
constexpr int rankReadsSlowly = 1;
constexpr int rankReads = 2;

} // namespace

ResponseBuffers::ResponseBuffers(ResponseBufferLimits limits)
    : m_limits(limits)
{
}

void ResponseBuffers::update(std::uint64_t call, const HeldBytes &held, Base::Instant now)
{
    Account &account = m_accounts[call];
    if (account.held.unread == 0 || held.unread == 0) {
        account.lastProgress = now;
    }
    m_responseBytes -= responseBytes(account);
    m_requestBytes -= account.held.request;
    account.held = held;
    m_responseBytes += responseBytes(account);
    m_requestBytes += account.held.request;
}

void ResponseBuffers::recordDelivered(std::uint64_t call, std::int64_t delivered, Base::Instant now)
{
    const auto entry = m_accounts.find(call);
    if (entry == m_accounts.end()) {
        return;
    }
    if (delivered > entry->second.delivered) {
        entry->second.lastProgress = now;
    }
    entry->second.delivered = delivered;
}

void ResponseBuffers::callerLeft(std::uint64_t call)
{
    if (const auto entry = m_accounts.find(call); entry != m_accounts.end()) {
        entry->second.hasCaller = false;
    }
}

void ResponseBuffers::remove(std::uint64_t call)
{
    const auto entry = m_accounts.find(call);
    if (entry == m_accounts.end()) {
        return;
    }
    m_responseBytes -= responseBytes(entry->second);
    m_requestBytes -= entry->second.held.request;
    m_paused -= entry->second.paused ? 1 : 0;
    m_accounts.erase(entry);
}

void ResponseBuffers::setPaused(std::uint64_t call, bool paused, Base::Instant now)
{
    const auto entry = m_accounts.find(call);
    if (entry == m_accounts.end() || entry->second.paused == paused) {
        return;
    }
    entry->second.paused = paused;
    entry->second.pausedAt = now;
    m_paused = paused ? m_paused + 1 : m_paused - 1;
}

std::size_t ResponseBuffers::allowance() const
{
    if (m_limits.totalBytes == 0) {
        return m_limits.streamBytes;
    }
    const std::size_t bound = responseBound();
    const std::size_t free = bound - std::min(bound, m_responseBytes);
    return std::clamp(free / freePerStream, std::min(minStreamBytes, m_limits.streamBytes), m_limits.streamBytes);
}

std::size_t ResponseBuffers::continueMark() const
{
    constexpr std::size_t quarters = 4;
    return allowance() / quarters * (quarters - 1);
}

bool ResponseBuffers::shouldPause(std::uint64_t call) const
{
    const auto entry = m_accounts.find(call);
    return entry != m_accounts.end() && !entry->second.paused && entry->second.held.unread > allowance();
}

bool ResponseBuffers::overBound() const
{
    return m_limits.totalBytes > 0 && m_responseBytes > responseBound();
}

std::vector<CallerCut> ResponseBuffers::cuts(Base::Instant now) const
{
    std::vector<CallerCut> result;
    if (m_limits.totalBytes == 0) {
        return result;
    }
    std::size_t left = m_responseBytes;
    std::vector<Candidate> candidates;
    for (const auto &[call, account] : m_accounts) {
        if (!account.hasCaller || responseBytes(account) == 0) {
            continue;
        }
        if (account.paused && readsNothing(account, m_limits.unreadLimit, now)
            && now - account.pausedAt >= m_limits.unreadLimit) {
            result.push_back(cutOf(call, CutReason::Unread, now));
            left -= responseBytes(account);
        } else {
            candidates.push_back(candidateFor(call, account, now));
        }
    }
    const auto order = [](const Candidate &candidate) {
        return std::tuple(candidate.rank, -candidate.secondsWithoutProgress, -static_cast<std::int64_t>(candidate.bytes),
                          candidate.call);
    };
    if (left > responseBound()) {
        std::ranges::sort(candidates, {}, order);
    }
    for (const Candidate &candidate : candidates) {
        if (left <= responseBound()) {
            break;
        }
        result.push_back(cutOf(candidate.call, CutReason::Memory, now));
        left -= candidate.bytes;
    }
    return result;
}

std::size_t ResponseBuffers::totalBytes() const
{
    return m_responseBytes + m_requestBytes;
}

std::size_t ResponseBuffers::pausedStreams() const
{
    return m_paused;
}

std::size_t ResponseBuffers::responseBytes(const Account &account)
{
    return account.held.unread + account.held.collected;
}

bool ResponseBuffers::readsNothing(const Account &account, Base::Duration limit, Base::Instant now)
{
    return account.held.unread > 0 && now - account.lastProgress >= limit;
}

/// Returns the part of the bound that responses may use. Requests take theirs from it, but at most half: cutting callers makes no
/// room for requests that wait.
std::size_t ResponseBuffers::responseBound() const
{
    return m_limits.totalBytes - std::min(m_requestBytes, m_limits.totalBytes / 2);
}

ResponseBuffers::Candidate ResponseBuffers::candidateFor(std::uint64_t call, const Account &account, Base::Instant now) const
{
    Candidate candidate {.call = call, .rank = rankReads, .bytes = responseBytes(account)};
    if (readsNothing(account, maxReadingGap, now)) {
        candidate.rank = rankReadsNothing;
    } else if (account.held.unread > std::min(minStreamBytes, m_limits.streamBytes)) {
        candidate.rank = rankReadsSlowly;
    }
    if (account.held.unread > 0) {
        candidate.secondsWithoutProgress = std::chrono::duration_cast<std::chrono::seconds>(now - account.lastProgress).count();
    }
    return candidate;
}

CallerCut ResponseBuffers::cutOf(std::uint64_t call, CutReason reason, Base::Instant now) const
{
    const Account &account = m_accounts.at(call);
    return {.call = call,
            .reason = reason,
            .bytes = responseBytes(account),
            .total = totalBytes(),
            .withoutProgress = account.held.unread > 0 ? now - account.lastProgress : Base::Duration::zero()};
}

} // namespace Yokepond::Relay
