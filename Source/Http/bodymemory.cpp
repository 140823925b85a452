// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Http/bodymemory.h"

#include <algorithm>

namespace Yokepond::Http {

namespace {

/// A body is not judged as slow in this time from its start, nor for a pause shorter than the second.
constexpr Base::Duration leastJudgedTime = std::chrono::seconds(1);
constexpr Base::Duration stalledAfter = std::chrono::seconds(2);
/// Held time that is assumed before any body has been released.
constexpr Base::Duration assumedHeldTime = std::chrono::seconds(1);
/// Weight of the newest body in the mean of held times, as one part in this many.
constexpr int meanHeldTimeParts = 8;
constexpr Base::Duration maxTimeUntilFree = std::chrono::seconds(5);

} // namespace

BodyMemory::BodyMemory(const BodyMemoryLimits &limits)
    : m_limits(limits)
    , m_meanHeldTime(assumedHeldTime)
{
}

bool BodyMemory::grow(std::uint64_t body, std::size_t bytes, Base::Instant now)
{
    const auto known = m_accounts.find(body);
    const std::size_t heldByBody = known == m_accounts.end() ? 0 : known->second.bytes;
    if (bytes <= heldByBody) {
        return true;
    }
    const std::size_t heldByOthers = m_heldBytes - heldByBody;
    const std::size_t free = m_limits.totalBytes - std::min(heldByOthers, m_limits.totalBytes);
    if (m_limits.totalBytes > 0 && bytes > free / 2) {
        return false;
    }
    const auto [entry, isNew] = m_accounts.try_emplace(body);
    if (isNew) {
        entry->second.startedAt = now;
        entry->second.lastReceivedAt = now;
    }
    entry->second.bytes = bytes;
    m_heldBytes = heldByOthers + bytes;
    return true;
}

void BodyMemory::received(std::uint64_t body, std::size_t bytes, Base::Instant now)
{
    if (const auto entry = m_accounts.find(body); entry != m_accounts.end()) {
        entry->second.receivedBytes = bytes;
        entry->second.lastReceivedAt = now;
    }
}

void BodyMemory::completed(std::uint64_t body)
{
    if (const auto entry = m_accounts.find(body); entry != m_accounts.end()) {
        entry->second.arriving = false;
    }
}

void BodyMemory::release(std::uint64_t body, Base::Instant now)
{
    const auto entry = m_accounts.find(body);
    if (entry == m_accounts.end()) {
        return;
    }
    m_meanHeldTime += (now - entry->second.startedAt - m_meanHeldTime) / meanHeldTimeParts;
    m_heldBytes -= entry->second.bytes;
    m_accounts.erase(entry);
}

std::optional<std::uint64_t> BodyMemory::slowBody(Base::Instant now) const
{
    std::optional<std::uint64_t> slowest;
    std::size_t most = 0;
    for (const auto &[body, account] : m_accounts) {
        if (account.bytes > most && isSlow(account, now)) {
            slowest = body;
            most = account.bytes;
        }
    }
    return slowest;
}

Base::Duration BodyMemory::timeUntilFree(std::size_t bytes) const
{
    if (m_heldBytes == 0) {
        return Base::Duration::zero();
    }
    const double share = static_cast<double>(bytes) / static_cast<double>(m_heldBytes);
    const auto time
        = std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(Base::seconds(m_meanHeldTime) * share));
    return std::min(time, maxTimeUntilFree);
}

std::size_t BodyMemory::heldBytes() const
{
    return m_heldBytes;
}

bool BodyMemory::isSlow(const Account &account, Base::Instant now) const
{
    const Base::Duration elapsed = now - account.startedAt;
    if (!account.arriving || elapsed < leastJudgedTime) {
        return false;
    }
    if (now - account.lastReceivedAt >= stalledAfter) {
        return true;
    }
    const double atThisPace
        = static_cast<double>(account.receivedBytes) * (Base::seconds(m_limits.receive) / Base::seconds(elapsed));
    return atThisPace < static_cast<double>(account.bytes);
}

} // namespace Yokepond::Http
