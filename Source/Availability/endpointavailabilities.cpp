// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Availability/endpointavailabilities.h"

#include "Base/log.h"

namespace Yokepond::Availability {

using Base::Duration;
using Base::Instant;

void EndpointAvailabilities::updateView(const Configuration::Catalogue &catalogue)
{
    m_leavingKept = catalogue.policies().leavingTimeout;
    std::erase_if(m_unreadable, [&](std::uint32_t endpoint) { return catalogue.endpointByNumber(endpoint) == nullptr; });
}

bool EndpointAvailabilities::said(Instant now, std::uint32_t endpoint, const AdvertisedAvailability &stated)
{
    if (!stated.unreadable) {
        m_unreadable.erase(endpoint);
    } else if (m_unreadable.insert(endpoint).second) {
        Base::log(Base::LogLevel::Warning, Base::LogEvent::AvailabilityUnreadable, {{"endpoint", endpoint}});
    }
    if (!stated.leaves && stated.cooldown == Duration::zero()) {
        return false;
    }
    AvailabilityState &known = m_known[endpoint];
    if (stated.leaves && !known.leaves(now)) {
        Base::log(Base::LogLevel::Info, Base::LogEvent::EndpointLeaving, {{"endpoint", endpoint}, {"source", "answer"}});
    }
    if (stated.cooldown > Duration::zero()) {
        Base::log(Base::LogLevel::Info, Base::LogEvent::EndpointCooldown,
                  {{"endpoint", endpoint},
                   {"for-ms", Base::milliseconds(stated.cooldown)},
                   {"rested", known.rests(now)},
                   {"source", "answer"}});
    }
    known.applyUpdate(now, stated, m_leavingKept);
    return true;
}

AvailabilityState EndpointAvailabilities::of(std::uint32_t endpoint) const
{
    const auto entry = m_known.find(endpoint);
    return entry == m_known.end() ? AvailabilityState {} : entry->second;
}

std::set<std::uint32_t> EndpointAvailabilities::closed(Instant now) const
{
    std::set<std::uint32_t> found;
    for (const auto &[endpoint, known] : m_known) {
        if (known.isClosed(now)) {
            found.insert(endpoint);
        }
    }
    return found;
}

void EndpointAvailabilities::tick(Instant now)
{
    std::erase_if(m_known, [now](const auto &entry) { return !entry.second.isClosed(now); });
}

} // namespace Yokepond::Availability
