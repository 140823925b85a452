// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Relay/slowcallers.h"

#include "Base/log.h"

#include <algorithm>
#include <iterator>

namespace Yokepond::Relay {

SlowCallers::SlowCallers(const ResponseBufferLimits &limits, RelayCounters &counters, EndCall endCall)
    : m_buffers(limits)
    , m_counters(counters)
    , m_endCall(std::move(endCall))
{
}

void SlowCallers::add(std::uint64_t call, std::shared_ptr<Http::Exchange> exchange)
{
    Caller caller;
    caller.requestBytes = exchange->request().body.size();
    caller.exchange = std::move(exchange);
    m_buffers.update(call, heldFor(caller), Base::now());
    m_callers.emplace(call, std::move(caller));
}

void SlowCallers::setName(std::uint64_t call, std::string requestName)
{
    if (const auto entry = m_callers.find(call); entry != m_callers.end()) {
        entry->second.requestName = std::move(requestName);
    }
}

void SlowCallers::measure(std::uint64_t call, std::size_t collectedBytes)
{
    const auto entry = m_callers.find(call);
    if (entry == m_callers.end()) {
        return;
    }
    entry->second.collectedBytes = collectedBytes;
    m_buffers.update(call, heldFor(entry->second), Base::now());
}

bool SlowCallers::shouldPause(std::uint64_t call) const
{
    return m_buffers.shouldPause(call);
}

void SlowCallers::setPaused(std::uint64_t call, bool paused, Http::Exchange::Task drained)
{
    m_buffers.setPaused(call, paused, Base::now());
    const auto entry = m_callers.find(call);
    if (paused && entry != m_callers.end()) {
        entry->second.exchange->onDrained(m_buffers.continueMark(), std::move(drained));
    }
}

void SlowCallers::callerLeft(std::uint64_t call)
{
    m_buffers.callerLeft(call);
}

void SlowCallers::finish(std::uint64_t call)
{
    const auto entry = m_callers.find(call);
    if (entry == m_callers.end()) {
        return;
    }
    entry->second.finished = true;
    measure(call, 0);
    setPaused(call, false);
    if (entry->second.exchange->buffered() == 0) {
        remove(call);
    }
}

void SlowCallers::remove(std::uint64_t call)
{
    m_buffers.remove(call);
    m_callers.erase(call);
}

bool SlowCallers::overBound() const
{
    return m_buffers.overBound();
}

void SlowCallers::check()
{
    const Base::Instant now = Base::now();
    measureAll(now);
    for (const CallerCut &entry : m_buffers.cuts(now)) {
        cut(entry);
    }
    updateCounters();
}

HeldBytes SlowCallers::heldFor(const Caller &caller) const
{
    return {.unread = caller.exchange->buffered(),
            .collected = caller.collectedBytes,
            .request = caller.finished ? 0 : caller.requestBytes};
}

void SlowCallers::measureAll(Base::Instant now)
{
    std::erase_if(m_callers, [this](const auto &entry) {
        const bool sent = entry.second.finished && entry.second.exchange->buffered() == 0;
        if (sent) {
            m_buffers.remove(entry.first);
        }
        return sent;
    });
    for (const auto &[call, caller] : m_callers) {
        m_buffers.update(call, heldFor(caller), now);
        if (caller.exchange->buffered() > 0) {
            m_buffers.recordDelivered(call, caller.exchange->delivered(), now);
        }
    }
}

void SlowCallers::cut(const CallerCut &cut)
{
    const auto entry = m_callers.find(cut.call);
    if (entry == m_callers.end()) {
        return;
    }
    Base::log(Base::LogLevel::Warning, Base::LogEvent::SlowCallerCut,
              {{"request", entry->second.requestName},
               {"call", cut.call},
               {"reason", Base::nameOf(cutReasonNames, cut.reason)},
               {"bytes", cut.bytes},
               {"total", cut.total},
               {"unread-ms", Base::milliseconds(cut.withoutProgress)}});
    ++(cut.reason == CutReason::Unread ? m_counters.cutUnread : m_counters.cutForMemory);
    const std::shared_ptr<Http::Exchange> exchange = entry->second.exchange;
    const bool finished = entry->second.finished;
    exchange->onClosed(nullptr);
    exchange->reset();
    if (finished) {
        remove(cut.call);
    } else {
        m_endCall(cut.call);
    }
}

void SlowCallers::updateCounters()
{
    m_counters.heldBytes = m_buffers.totalBytes();
    m_counters.pausedStreams = m_buffers.pausedStreams();
}

} // namespace Yokepond::Relay
