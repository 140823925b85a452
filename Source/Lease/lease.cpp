// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Lease/lease.h"

#include <algorithm>

namespace Yokepond::Lease {

Lease::Lease(const LeaseOptions &options, std::uint64_t self)
    : m_options(options)
    , m_self(self)
{
}

void Lease::updateRow(Base::Instant now, const RowState &row)
{
    if (m_writing || (m_known && row.version < m_version)) {
        // A write is in progress, or the response is older than the known state.
        return;
    }
    const bool changed = row.version != m_version || !m_known;
    m_known = true;
    m_own = row.version != 0 && row.holder == m_self;
    if (!m_own) {
        m_fence = 0;
        m_validUntil = {};
    } else if (m_fence == 0) {
        // A write whose response was lost took the row. The validity counts from when that write was sent and is treated as over;
        // the next write renews it.
        m_fence = row.version;
    }
    if (changed && row.version != m_version) {
        m_firstRead = now;
    }
    m_version = row.version;
}

bool Lease::mayWrite(Base::Instant now) const
{
    if (!m_known || m_writing) {
        return false;
    }
    return m_own || m_version == 0 || now - m_firstRead >= m_options.takeoverDelay;
}

std::uint64_t Lease::expectedVersion() const
{
    return m_version;
}

void Lease::writeStarted(Base::Instant now)
{
    m_writing = true;
    m_sentAt = now;
}

void Lease::writeFinished(WriteResult result, std::uint64_t version)
{
    m_writing = false;
    switch (result) {
    case WriteResult::Done:
        m_version = version;
        m_own = true;
        m_fence = m_fence == 0 ? version : m_fence;
        m_validUntil = m_sentAt + m_options.validity;
        break;
    case WriteResult::VersionMismatch:
    case WriteResult::Undetermined:
        // Only a read shows what the row contains now.
        m_known = false;
        m_validUntil = {};
        break;
    case WriteResult::NotApplied:
        break;
    }
}

bool Lease::isHeld() const
{
    return m_own;
}

std::optional<std::uint64_t> Lease::fence(Base::Instant now) const
{
    return m_own && m_fence != 0 && now < m_validUntil ? std::optional(m_fence) : std::nullopt;
}

Base::Duration Lease::remainingTime(Base::Instant now) const
{
    return m_own ? std::max(Base::Duration::zero(), m_validUntil - now) : Base::Duration::zero();
}

bool Lease::needsRead() const
{
    return !m_known && !m_writing;
}

} // namespace Yokepond::Lease
