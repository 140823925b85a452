// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Rate/endpointrates.h"

#include "Base/log.h"
#include "Rate/ratelimiter.h"

#include <algorithm>
#include <iterator>

namespace Yokepond::Rate {

void EndpointRates::updateView(const Configuration::Catalogue &catalogue)
{
    std::erase_if(m_rates, [&](const auto &entry) { return catalogue.endpointByNumber(entry.first) == nullptr; });
    std::erase_if(m_turns, [&](const auto &entry) { return !of(entry.first).isLimited(); });
    std::erase_if(m_unreadable, [&](std::uint32_t endpoint) { return catalogue.endpointByNumber(endpoint) == nullptr; });
}

void EndpointRates::said(Base::Instant now, std::uint32_t endpoint, const AdvertisedRate &stated)
{
    if (stated.header == RateHeader::Unreadable) {
        if (m_unreadable.insert(endpoint).second) {
            Base::log(Base::LogLevel::Warning, Base::LogEvent::RateUnreadable, {{"endpoint", endpoint}});
        }
        return;
    }
    m_unreadable.erase(endpoint);
    const RateState before = of(endpoint);
    const RateState news = rateStateFrom(stated, now);
    if (before.kind == RateKind::Unknown && !news.isLimited()) {
        return;
    }
    if (m_rates[endpoint].applyUpdate(news)) {
        logChange(endpoint, before, news, "answer");
    }
}

void EndpointRates::applyUpdate(std::uint32_t endpoint, const RateState &news)
{
    const RateState before = of(endpoint);
    if (news.kind != RateKind::Unknown && m_rates[endpoint].applyUpdate(news)) {
        logChange(endpoint, before, news, "dispatcher");
    }
}

std::set<std::uint32_t> EndpointRates::closedAlone(Base::Instant now, const std::vector<std::uint32_t> &endpoints,
                                                   std::size_t hosts, std::mt19937_64 &random)
{
    std::set<std::uint32_t> closed;
    std::ranges::copy_if(endpoints, std::inserter(closed, closed.end()), [&](std::uint32_t endpoint) {
        return of(endpoint).isLimited() && !drawTurn(now, endpoint, hosts, random);
    });
    return closed;
}

bool EndpointRates::drawTurn(Base::Instant now, std::uint32_t endpoint, std::size_t hosts, std::mt19937_64 &random)
{
    Turn &turn = m_turns[endpoint];
    if (now >= turn.drawnUntil) {
        const std::chrono::duration<double> lasts(1.0 / enforcedRate(of(endpoint)));
        turn = {now + std::chrono::duration_cast<Base::Duration>(lasts), random() % std::max<std::size_t>(1, hosts) == 0};
    }
    return turn.mine;
}

void EndpointRates::startedAlone(std::uint32_t endpoint)
{
    if (const auto turn = m_turns.find(endpoint); turn != m_turns.end()) {
        turn->second.mine = false;
    }
}

RateState EndpointRates::of(std::uint32_t endpoint) const
{
    const auto entry = m_rates.find(endpoint);
    return entry == m_rates.end() ? RateState {} : entry->second;
}

} // namespace Yokepond::Rate
