// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Rate/ratestate.h"

#include "Base/log.h"

namespace Yokepond::Rate {

bool RateState::isLimited() const
{
    return kind == RateKind::Limited;
}

bool RateState::agreesWith(const RateState &other) const
{
    return kind == other.kind && perSecond == other.perSecond;
}

bool RateState::applyUpdate(const RateState &news)
{
    if (news.kind == RateKind::Unknown || (kind != RateKind::Unknown && news.saidAt < saidAt)) {
        return false;
    }
    const bool changed = !agreesWith(news);
    *this = news;
    return changed;
}

RateInfo RateState::info(Base::Instant now) const
{
    return kind == RateKind::Unknown ? RateInfo {} : RateInfo {kind, perSecond, now - saidAt};
}

RateState rateStateFrom(const RateInfo &word, Base::Instant now)
{
    return {word.kind, word.perSecond, now - word.age};
}

void logChange(std::uint32_t endpoint, const RateState &before, const RateState &after, std::string_view source)
{
    Base::log(Base::LogLevel::Info, Base::LogEvent::EndpointRate,
              {{"endpoint", endpoint},
               {"known", Base::nameOf(rateKindNames, after.kind)},
               {"per-second", after.perSecond},
               {"before", Base::nameOf(rateKindNames, before.kind)},
               {"per-second-before", before.perSecond},
               {"source", source}});
}

RateState rateStateFrom(const AdvertisedRate &stated, Base::Instant now)
{
    const bool limited = stated.header == RateHeader::Limit;
    return {limited ? RateKind::Limited : RateKind::Unlimited, limited ? stated.perSecond : 0.0, now};
}

} // namespace Yokepond::Rate
