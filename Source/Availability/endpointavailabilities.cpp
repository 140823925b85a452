// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Availability/endpointavailabilities.h"

#include "Base/log.h"

namespace Yokepond::Availability {

using Base::Duration;
using Base::Instant;

void EndpointAvailabilities::updateView(const Configuration::Catalogue &catalogue)
{
    m_leavingTimeout = catalogue.policies().leavingTimeout;
    std::erase_if(m_unreadable, [&](std::uint32_t endpoint) { return catalogue.endpointByNumber(endpoint) == nullptr; });
}

bool EndpointAvailabilities::applyAdvertisement(Instant now, std::uint32_t endpoint, const AdvertisedAvailability &advertised)
{
    if (!advertised.unreadable) {
        m_unreadable.erase(endpoint);
    } else if (m_unreadable.insert(endpoint).second) {
        Base::log(Base::LogLevel::Warning, Base::LogEvent::AvailabilityUnreadable, {{"endpoint", endpoint}});
    }
    if (!advertised.leaves && advertised.cooldown == Duration::zero()) {
        return false;
    }
    AvailabilityState &state = m_states[endpoint];
    if (advertised.leaves && !state.isLeaving(now)) {
        Base::log(Base::LogLevel::Info, Base::LogEvent::EndpointLeaving, {{"endpoint", endpoint}, {"source", "answer"}});
    }
    if (advertised.cooldown > Duration::zero()) {
        Base::log(Base::LogLevel::Info, Base::LogEvent::EndpointCooldown,
                  {{"endpoint", endpoint},
                   {"for-ms", Base::milliseconds(advertised.cooldown)},
                   {"rested", state.isCoolingDown(now)},
                   {"source", "answer"}});
    }
    state.apply(now, advertised, m_leavingTimeout);
    return true;
}

AvailabilityState EndpointAvailabilities::stateOf(std::uint32_t endpoint) const
{
    const auto entry = m_states.find(endpoint);
    return entry == m_states.end() ? AvailabilityState {} : entry->second;
}

std::set<std::uint32_t> EndpointAvailabilities::unavailableEndpoints(Instant now) const
{
    std::set<std::uint32_t> found;
    for (const auto &[endpoint, state] : m_states) {
        if (state.isUnavailable(now)) {
            found.insert(endpoint);
        }
    }
    return found;
}

void EndpointAvailabilities::tick(Instant now)
{
    std::erase_if(m_states, [now](const auto &entry) { return !entry.second.isUnavailable(now); });
}

} // namespace Yokepond::Availability
