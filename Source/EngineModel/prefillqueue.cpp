// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "EngineModel/prefillqueue.h"

#include <algorithm>
#include <limits>

namespace Yokepond::EngineModel {

namespace {

using Base::Duration;
using Base::Instant;

/// Returns the prefill time that was left of @p prefill when the engine last turned to it.
Duration remainingTime(const QueuedPrefill &prefill, double tokensPerMs)
{
    const std::chrono::duration<double, std::milli> whole(prefill.tokens / tokensPerMs);
    return std::max(Duration::zero(), std::chrono::duration_cast<Duration>(whole) - prefill.done);
}

/// Returns whether @p first, the first prefill of a queue, counts as ended after the engine has @p spent time on it.
bool isOverdue(const QueuedPrefill &first, Duration spent, double tokensPerMs)
{
    return !first.reported && spent >= remainingTime(first, tokensPerMs);
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

void PrefillQueue::add(const QueuedPrefill &prefill, Instant now)
{
    const auto behind
        = std::ranges::find_if(m_queue, [&](const QueuedPrefill &queued) { return queued.urgency > prefill.urgency; });
    if (m_queue.empty()) {
        m_busySince = prefill.begins;
    } else if (behind == m_queue.begin()) {
        behind->done += spent(now);
        m_busySince = std::max(now, prefill.begins);
    }
    m_queue.insert(behind, prefill);
}

Duration PrefillQueue::spent(Instant now) const
{
    return std::max(Duration::zero(), now - m_busySince);
}

void PrefillQueue::erase(std::vector<QueuedPrefill>::iterator entry, Instant now)
{
    m_queue.erase(entry);
    m_busySince = std::max(m_busySince, now);
    if (!m_queue.empty()) {
        m_busySince = std::max(m_busySince, std::ranges::min(m_queue, {}, &QueuedPrefill::begins).begins);
    }
}

std::optional<CompletedPrefill> PrefillQueue::complete(std::uint64_t number, Instant now)
{
    const auto entry = find(number);
    if (entry == m_queue.end()) {
        return std::nullopt;
    }
    const CompletedPrefill completed {entry->tokens, entry->done + spent(now)};
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
        erase(m_queue.begin(), m_busySince + remainingTime(m_queue.front(), tokensPerMs));
    }
}

Duration PrefillQueue::backlog(const Configuration::Urgency &urgency, double tokensPerMs, Instant now) const
{
    if (!m_queue.empty() && isOverdue(m_queue.front(), spent(now), tokensPerMs)) {
        PrefillQueue current(*this);
        current.removeOverdue(tokensPerMs, now);
        return current.backlog(urgency, tokensPerMs, now);
    }
    Duration all {};
    for (const QueuedPrefill &queued : m_queue) {
        all += queued.urgency <= urgency ? remainingTime(queued, tokensPerMs) : Duration::zero();
    }
    if (all == Duration::zero()) {
        return all;
    }
    // However long the first prefill takes, it does no work of the others.
    return all - std::min(remainingTime(m_queue.front(), tokensPerMs), spent(now));
}

Duration PrefillQueue::backlog(double tokensPerMs, Instant now) const
{
    constexpr Configuration::Urgency leastUrgent {std::numeric_limits<int>::max(), std::numeric_limits<int>::max()};
    return backlog(leastUrgent, tokensPerMs, now);
}

} // namespace Yokepond::EngineModel
