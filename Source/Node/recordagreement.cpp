// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/recordagreement.h"

#include "Base/log.h"

#include <utility>

namespace Yokepond::Node {

namespace {

/// A change reaches all hosts sooner than this, so that a longer difference is worth a line.
constexpr Base::Duration loggedAfter = std::chrono::seconds(2);

} // namespace

void RecordAgreement::receiveDigest(Base::Instant now, const std::string &from, std::uint64_t advertised, std::uint64_t own)
{
    if (advertised == 0) {
        return;
    }
    if (advertised == own) {
        const Base::Instant since = std::exchange(m_since, Base::Instant {});
        if (std::exchange(m_logged, false)) {
            Base::log(Base::LogLevel::Info, Base::LogEvent::RecordsAgree,
                      {{"with", from}, {"ms", Base::milliseconds(now - since)}});
        }
        return;
    }
    if (m_since == Base::Instant {}) {
        m_since = now;
    }
    if (!m_logged && now - m_since >= loggedAfter) {
        m_logged = true;
        Base::log(Base::LogLevel::Warning, Base::LogEvent::RecordsDiffer,
                  {{"from", from}, {"ms", Base::milliseconds(now - m_since)}});
    }
}

Base::Duration RecordAgreement::differsFor(Base::Instant now) const
{
    return m_since == Base::Instant {} ? Base::Duration::zero() : now - m_since;
}

} // namespace Yokepond::Node
