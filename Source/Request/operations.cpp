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
    const auto existing = m_operations.find(name);
    if (existing != m_operations.end()) {
        return existing->second.bodyDigest == bodyDigest ? existing->second.state : OperationState::OtherBody;
    }
    if (m_operations.size() >= m_limits.maxOperations) {
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
    return *m_operations.at({organisation, key}).response;
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
                                           std::optional<Http::Response> response)
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
    if (outcome == Outcome::Completed && response) {
        m_responseBytes += response->body.size();
        operation.response = std::move(response);
        operation.state = OperationState::ResponseStored;
        m_withResponse.push_back(name);
        dropOldResponses();
    }
    return waiting;
}

void Operations::dropOldResponses()
{
    while (m_responseBytes > m_limits.responseBytes && m_withResponse.size() > 1) {
        const auto oldest = m_operations.find(m_withResponse.front());
        m_withResponse.pop_front();
        if (oldest == m_operations.end() || !oldest->second.response) {
            continue;
        }
        m_responseBytes -= oldest->second.response->body.size();
        oldest->second.response.reset();
        oldest->second.state = OperationState::ResponseDropped;
    }
}

void Operations::tick(Base::Instant now)
{
    while (!m_ended.empty()) {
        const auto oldest = m_operations.find(m_ended.front());
        if (oldest != m_operations.end() && now - oldest->second.ended < m_limits.retention) {
            return;
        }
        if (oldest != m_operations.end()) {
            m_responseBytes -= oldest->second.response ? oldest->second.response->body.size() : 0;
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
    return m_responseBytes;
}

} // namespace Yokepond::Request
