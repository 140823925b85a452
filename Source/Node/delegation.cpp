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

std::vector<std::string> Delegation::tick(Base::Instant now, bool able, const std::vector<std::string> &candidates)
{
    if (able) {
        startOver();
        return {};
    }
    for (Delegate &delegate : m_delegates | std::views::values) {
        if (delegate.state == State::Asked && now - delegate.askedAt >= m_options.answerTime) {
            delegate.state = State::Cannot;
        }
    }
    if (isAny(State::Does)) {
        return renewals(now);
    }
    return isAny(State::Asked) ? std::vector<std::string>() : askMore(now, candidates);
}

void Delegation::answered(const std::string &from, bool does)
{
    const auto delegate = m_delegates.find(from);
    if (delegate != m_delegates.end()) {
        delegate->second.state = does ? State::Does : State::Cannot;
    }
}

bool Delegation::isAny(State state) const
{
    return std::ranges::any_of(m_delegates | std::views::values,
                               [state](const Delegate &delegate) { return delegate.state == state; });
}

std::vector<std::string> Delegation::renewals(Base::Instant now)
{
    std::vector<std::string> due;
    for (auto &[name, delegate] : m_delegates) {
        if (delegate.state == State::Does && now - delegate.askedAt >= m_options.renewal) {
            delegate = {State::Asked, now};
            due.push_back(name);
        }
    }
    return due;
}

std::vector<std::string> Delegation::askMore(Base::Instant now, const std::vector<std::string> &candidates)
{
    if (m_delegates.size() >= m_options.most) {
        if (now - m_lastAsked < m_options.pause) {
            return {};
        }
        startOver();
    }
    std::vector<std::string> unasked;
    std::ranges::copy_if(candidates, std::back_inserter(unasked),
                         [this](const std::string &name) { return !m_delegates.contains(name); });
    std::vector<std::string> chosen;
    std::ranges::sample(unasked, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(m_next), m_random);
    for (const std::string &name : chosen) {
        m_delegates[name] = {State::Asked, now};
        m_lastAsked = now;
    }
    m_next *= 2;
    return chosen;
}

void Delegation::startOver()
{
    m_delegates.clear();
    m_next = 1;
}

} // namespace Yokepond::Node
