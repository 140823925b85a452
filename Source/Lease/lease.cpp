// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Lease/lease.h"

#include <algorithm>

namespace Yokepond::Lease {

Lease::Lease(const LeaseOptions &terms, std::uint64_t self)
    : m_terms(terms)
    , m_self(self)
{
}

void Lease::updateRow(Base::Instant now, const RowState &row)
{
    if (m_writing || (m_known && row.version < m_version)) {
        // An answer from before what is known by now.
        return;
    }
    const bool changed = row.version != m_version || !m_known;
    m_known = true;
    m_own = row.version != 0 && row.holder == m_self;
    if (!m_own) {
        m_fence = 0;
        m_actUntil = {};
    } else if (m_fence == 0) {
        // A write whose answer was lost took the row. Its right is counted from when it was sent, so none is left by now.
        m_fence = row.version;
    }
    if (changed && row.version != m_version) {
        m_firstSeen = now;
    }
    m_version = row.version;
}

bool Lease::mayWrite(Base::Instant now) const
{
    if (!m_known || m_writing) {
        return false;
    }
    return m_own || m_version == 0 || now - m_firstSeen >= m_terms.takeoverDelay;
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
        m_actUntil = m_sentAt + m_terms.validity;
        break;
    case WriteResult::VersionMismatch:
    case WriteResult::Undetermined:
        // What has been written is known only after a read.
        m_known = false;
        m_actUntil = {};
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
    return m_own && m_fence != 0 && now < m_actUntil ? std::optional(m_fence) : std::nullopt;
}

Base::Duration Lease::remainingTime(Base::Instant now) const
{
    return m_own ? std::max(Base::Duration::zero(), m_actUntil - now) : Base::Duration::zero();
}

bool Lease::needsRead() const
{
    return !m_known && !m_writing;
}

} // namespace Yokepond::Lease
