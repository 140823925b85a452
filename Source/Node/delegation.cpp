// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/delegation.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace Yokepond::Node {

Delegation::Delegation(DelegationOptions options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
}

std::vector<std::string> Delegation::tick(Base::Instant now, bool canServe, const std::vector<std::string> &candidates)
{
    if (canServe) {
        reset();
        return {};
    }
    for (Delegate &delegate : m_delegates | std::views::values) {
        if (delegate.state == State::Requested && now - delegate.requestedAt >= m_options.replyTimeout) {
            delegate.state = State::Unavailable;
        }
    }
    if (hasDelegateIn(State::Active)) {
        return renewals(now);
    }
    return hasDelegateIn(State::Requested) ? std::vector<std::string>() : requestMore(now, candidates);
}

void Delegation::receiveReply(const std::string &from, bool accepted)
{
    const auto delegate = m_delegates.find(from);
    if (delegate != m_delegates.end()) {
        delegate->second.state = accepted ? State::Active : State::Unavailable;
    }
}

bool Delegation::hasDelegateIn(State state) const
{
    return std::ranges::any_of(m_delegates | std::views::values,
                               [state](const Delegate &delegate) { return delegate.state == state; });
}

std::vector<std::string> Delegation::renewals(Base::Instant now)
{
    std::vector<std::string> due;
    for (auto &[name, delegate] : m_delegates) {
        if (delegate.state == State::Active && now - delegate.requestedAt >= m_options.renewalPeriod) {
            delegate = {State::Requested, now};
            due.push_back(name);
        }
    }
    return due;
}

std::vector<std::string> Delegation::requestMore(Base::Instant now, const std::vector<std::string> &candidates)
{
    if (m_delegates.size() >= m_options.maxRequested) {
        if (now - m_lastRequestAt < m_options.retryDelay) {
            return {};
        }
        reset();
    }
    std::vector<std::string> remaining;
    std::ranges::copy_if(candidates, std::back_inserter(remaining),
                         [this](const std::string &name) { return !m_delegates.contains(name); });
    std::vector<std::string> selected;
    std::ranges::sample(remaining, std::back_inserter(selected), static_cast<std::ptrdiff_t>(m_nextCount), m_random);
    for (const std::string &name : selected) {
        m_delegates[name] = {State::Requested, now};
        m_lastRequestAt = now;
    }
    m_nextCount *= 2;
    return selected;
}

void Delegation::reset()
{
    m_delegates.clear();
    m_nextCount = 1;
}

} // namespace Yokepond::Node
