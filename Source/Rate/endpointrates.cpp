// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Rate/endpointrates.h"

#include "Base/log.h"

namespace Yokepond::Rate {

void EndpointRates::updateView(const Configuration::Catalogue &catalogue)
{
    std::erase_if(m_rates, [&](const auto &entry) { return catalogue.endpointNumbered(entry.first) == nullptr; });
    std::erase_if(m_unreadable, [&](std::uint32_t endpoint) { return catalogue.endpointNumbered(endpoint) == nullptr; });
}

void EndpointRates::said(Base::Instant now, std::uint32_t endpoint, const StatedRate &stated)
{
    if (stated.statement == Statement::Unreadable) {
        if (m_unreadable.insert(endpoint).second) {
            Base::log(Base::LogLevel::Warning, Base::LogEvent::RateUnreadable, {{"endpoint", endpoint}});
        }
        return;
    }
    m_unreadable.erase(endpoint);
    const KnownRate before = of(endpoint);
    const KnownRate news = knownFrom(stated, now);
    if (before.knowledge == Knowledge::Unknown && !news.isLimited()) {
        return;
    }
    if (m_rates[endpoint].hear(news)) {
        logChange(endpoint, before, news, "answer");
    }
}

KnownRate EndpointRates::of(std::uint32_t endpoint) const
{
    const auto entry = m_rates.find(endpoint);
    return entry == m_rates.end() ? KnownRate {} : entry->second;
}

} // namespace Yokepond::Rate
