// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Rate/endpointrates.h"

#include "Base/log.h"
#include "Rate/ratelimiter.h"

#include <algorithm>
#include <iterator>

namespace Yokepond::Rate {

void EndpointRates::updateView(Base::Instant now, const Configuration::Catalogue &catalogue)
{
    m_coldPeriods.clear();
    for (const Configuration::Endpoint &endpoint : catalogue.endpoints()) {
        if (endpoint.cold.isActive(now)) {
            m_coldPeriods.emplace(endpoint.number, endpoint.cold);
        }
    }
    std::erase_if(m_rates, [&](const auto &entry) { return catalogue.endpointByNumber(entry.first) == nullptr; });
    std::erase_if(m_turns,
                  [&](const auto &entry) { return !enforcedLimit(stateOf(entry.first), coldPeriodOf(entry.first), now); });
    std::erase_if(m_unreadable, [&](std::uint32_t endpoint) { return catalogue.endpointByNumber(endpoint) == nullptr; });
}

void EndpointRates::applyAdvertisement(Base::Instant now, std::uint32_t endpoint, const AdvertisedRate &advertised)
{
    if (advertised.header == RateHeader::Unreadable) {
        if (m_unreadable.insert(endpoint).second) {
            Base::log(Base::LogLevel::Warning, Base::LogEvent::RateUnreadable, {{"endpoint", endpoint}});
        }
        return;
    }
    m_unreadable.erase(endpoint);
    const RateState before = stateOf(endpoint);
    const RateState update = rateStateFrom(advertised, now);
    if (before.kind == RateKind::Unknown && !update.isLimited()) {
        return;
    }
    if (m_rates[endpoint].applyUpdate(update)) {
        logChange(endpoint, before, update, "answer");
    }
}

void EndpointRates::applyUpdate(std::uint32_t endpoint, const RateState &update)
{
    const RateState before = stateOf(endpoint);
    if (update.kind != RateKind::Unknown && m_rates[endpoint].applyUpdate(update)) {
        logChange(endpoint, before, update, "dispatcher");
    }
}

std::set<std::uint32_t> EndpointRates::unavailableWithoutDispatcher(Base::Instant now,
                                                                    const std::vector<std::uint32_t> &endpoints,
                                                                    std::size_t hosts, std::mt19937_64 &random)
{
    const bool allCold
        = std::ranges::all_of(endpoints, [&](std::uint32_t endpoint) { return coldPeriodOf(endpoint).isActive(now); });
    std::set<std::uint32_t> unavailable;
    std::ranges::copy_if(endpoints, std::inserter(unavailable, unavailable.end()), [&](std::uint32_t endpoint) {
        const Configuration::ColdPeriod cold = coldPeriodOf(endpoint);
        const bool limited = enforcedLimit(stateOf(endpoint), cold, now).has_value();
        return (cold.isActive(now) && !allCold) || (limited && !drawTurn(now, endpoint, hosts, random));
    });
    return unavailable;
}

bool EndpointRates::drawTurn(Base::Instant now, std::uint32_t endpoint, std::size_t hosts, std::mt19937_64 &random)
{
    Turn &turn = m_turns[endpoint];
    if (now >= turn.validUntil) {
        const std::chrono::duration<double> turnLength(
            1.0 / enforcedLimit(stateOf(endpoint), coldPeriodOf(endpoint), now).value_or(largestRate));
        turn = {now + std::chrono::duration_cast<Base::Duration>(turnLength), random() % std::max<std::size_t>(1, hosts) == 0};
    }
    return turn.hasTurn;
}

void EndpointRates::runStartedWithoutDispatcher(std::uint32_t endpoint)
{
    if (const auto turn = m_turns.find(endpoint); turn != m_turns.end()) {
        turn->second.hasTurn = false;
    }
}

Configuration::ColdPeriod EndpointRates::coldPeriodOf(std::uint32_t endpoint) const
{
    const auto entry = m_coldPeriods.find(endpoint);
    return entry == m_coldPeriods.end() ? Configuration::ColdPeriod {} : entry->second;
}

RateState EndpointRates::stateOf(std::uint32_t endpoint) const
{
    const auto entry = m_rates.find(endpoint);
    return entry == m_rates.end() ? RateState {} : entry->second;
}

} // namespace Yokepond::Rate
