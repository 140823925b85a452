// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "EngineModel/prefillqueue.h"

#include <algorithm>
#include <limits>

namespace Yokepond::EngineModel {

namespace {

using Base::Duration;
using Base::Instant;

Duration prefillTime(double tokens, double tokensPerMs)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(tokens / tokensPerMs));
}

/// Returns whether @p first, the first prefill of a queue, counts as ended after the engine has @p spent time on it.
bool isOverdue(const QueuedPrefill &first, Duration spent, double tokensPerMs)
{
    return !first.reported && spent >= prefillTime(first.tokens, tokensPerMs);
}

} // namespace

std::vector<QueuedPrefill>::iterator PrefillQueue::find(std::uint64_t number)
{
    return std::ranges::find(m_queue, number, &QueuedPrefill::number);
}

bool PrefillQueue::contains(std::uint64_t number) const
{
    return std::ranges::find(m_queue, number, &QueuedPrefill::number) != m_queue.end();
}

bool PrefillQueue::empty() const
{
    return m_queue.empty();
}

void PrefillQueue::add(const QueuedPrefill &prefill)
{
    m_busySince = m_queue.empty() ? prefill.begins : std::min(m_busySince, prefill.begins);
    const auto behind = std::ranges::find_if(m_queue, [&](const QueuedPrefill &queued) { return queued.rank > prefill.rank; });
    m_queue.insert(behind, prefill);
}

Duration PrefillQueue::spent(Instant now) const
{
    return std::max(Duration::zero(), now - m_busySince);
}

void PrefillQueue::erase(std::vector<QueuedPrefill>::iterator entry, Instant now)
{
    m_queue.erase(entry);
    m_busySince = now;
    if (!m_queue.empty()) {
        m_busySince = std::max(now, std::ranges::min(m_queue, {}, &QueuedPrefill::begins).begins);
    }
}

std::optional<CompletedPrefill> PrefillQueue::complete(std::uint64_t number, Instant now)
{
    const auto entry = find(number);
    if (entry == m_queue.end()) {
        return std::nullopt;
    }
    const CompletedPrefill completed {entry->tokens, spent(now)};
    erase(entry, now);
    return completed;
}

void PrefillQueue::remove(std::uint64_t number, Instant now)
{
    if (const auto entry = find(number); entry != m_queue.end()) {
        // A prompt that waits behind another one has taken none of the engine's time.
        erase(entry, entry == m_queue.begin() ? now : m_busySince);
    }
}

void PrefillQueue::removeOverdue(double tokensPerMs, Instant now)
{
    while (!m_queue.empty() && isOverdue(m_queue.front(), spent(now), tokensPerMs)) {
        erase(m_queue.begin(), m_busySince + prefillTime(m_queue.front().tokens, tokensPerMs));
    }
}

Duration PrefillQueue::backlog(int rank, double tokensPerMs, Instant now) const
{
    if (!m_queue.empty() && isOverdue(m_queue.front(), spent(now), tokensPerMs)) {
        PrefillQueue current(*this);
        current.removeOverdue(tokensPerMs, now);
        return current.backlog(rank, tokensPerMs, now);
    }
    double tokens = 0;
    for (const QueuedPrefill &queued : m_queue) {
        tokens += queued.rank <= rank ? queued.tokens : 0;
    }
    if (tokens <= 0) {
        return Duration::zero();
    }
    // However long the first prefill takes, it does no work of the others.
    const Duration first = prefillTime(m_queue.front().tokens, tokensPerMs);
    return prefillTime(tokens, tokensPerMs) - std::min(first, spent(now));
}

Duration PrefillQueue::backlog(double tokensPerMs, Instant now) const
{
    return backlog(std::numeric_limits<int>::max(), tokensPerMs, now);
}

} // namespace Yokepond::EngineModel
