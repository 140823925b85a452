// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/operations.h"

#include <algorithm>
#include <ranges>

namespace Yokepond::Request {

Operations::Operations(OperationLimits limits)
    : m_limits(limits)
{
}

OperationState Operations::begin(Base::Instant now, std::uint32_t organisation, const std::string &key,
                                 const std::string &bodyDigest, std::uint64_t request)
{
    tick(now);
    const Key name {organisation, key};
    const auto known = m_operations.find(name);
    if (known != m_operations.end()) {
        return known->second.bodyDigest == bodyDigest ? known->second.state : OperationState::OtherBody;
    }
    if (m_operations.size() >= m_limits.mostKnown) {
        return OperationState::Full;
    }
    m_operations.emplace(name, Operation {bodyDigest, request, OperationState::Running, std::nullopt, {}, {}});
    m_byRequest.emplace(request, name);
    return OperationState::New;
}

bool Operations::contains(std::uint32_t organisation, const std::string &key) const
{
    return m_operations.contains({organisation, key});
}

const Http::Response &Operations::storedResponse(std::uint32_t organisation, const std::string &key) const
{
    return *m_operations.at({organisation, key}).answer;
}

void Operations::wait(std::uint32_t organisation, const std::string &key, std::uint64_t request)
{
    m_operations.at({organisation, key}).waiting.push_back(request);
}

void Operations::stopWaiting(std::uint64_t request)
{
    for (Operation &operation : m_operations | std::views::values) {
        std::erase(operation.waiting, request);
    }
}

std::vector<std::uint64_t> Operations::end(Base::Instant now, std::uint64_t request, Outcome outcome,
                                           std::optional<Http::Response> answer)
{
    const auto entry = m_byRequest.find(request);
    if (entry == m_byRequest.end()) {
        return {};
    }
    const Key name = entry->second;
    m_byRequest.erase(entry);
    Operation &operation = m_operations.at(name);
    std::vector<std::uint64_t> waiting = std::exchange(operation.waiting, {});
    if (outcome == Outcome::NotRun) {
        m_operations.erase(name);
        return waiting;
    }
    operation.ended = now;
    m_ended.push_back(name);
    operation.state = outcome == Outcome::Unknown ? OperationState::Unknown : OperationState::ResponseDropped;
    if (outcome == Outcome::Completed && answer) {
        m_heldBytes += answer->body.size();
        operation.answer = std::move(answer);
        operation.state = OperationState::ResponseStored;
        m_held.push_back(name);
        dropOldAnswers();
    }
    return waiting;
}

void Operations::dropOldAnswers()
{
    while (m_heldBytes > m_limits.responseBytes && m_held.size() > 1) {
        const auto oldest = m_operations.find(m_held.front());
        m_held.pop_front();
        if (oldest == m_operations.end() || !oldest->second.answer) {
            continue;
        }
        m_heldBytes -= oldest->second.answer->body.size();
        oldest->second.answer.reset();
        oldest->second.state = OperationState::ResponseDropped;
    }
}

void Operations::tick(Base::Instant now)
{
    while (!m_ended.empty()) {
        const auto oldest = m_operations.find(m_ended.front());
        if (oldest != m_operations.end() && now - oldest->second.ended < m_limits.kept) {
            return;
        }
        if (oldest != m_operations.end()) {
            m_heldBytes -= oldest->second.answer ? oldest->second.answer->body.size() : 0;
            m_operations.erase(oldest);
        }
        m_ended.pop_front();
    }
}

std::size_t Operations::count() const
{
    return m_operations.size();
}

std::size_t Operations::responseBytes() const
{
    return m_heldBytes;
}

} // namespace Yokepond::Request
