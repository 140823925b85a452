// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Rate/knownrate.h"

#include "Base/log.h"

namespace Yokepond::Rate {

bool KnownRate::isLimited() const
{
    return knowledge == Knowledge::Limited;
}

bool KnownRate::agreesWith(const KnownRate &other) const
{
    return knowledge == other.knowledge && perSecond == other.perSecond;
}

bool KnownRate::hear(const KnownRate &news)
{
    if (news.knowledge == Knowledge::Unknown || (knowledge != Knowledge::Unknown && news.saidAt < saidAt)) {
        return false;
    }
    const bool changed = !agreesWith(news);
    *this = news;
    return changed;
}

RateWord KnownRate::word(Base::Instant now) const
{
    return knowledge == Knowledge::Unknown ? RateWord {} : RateWord {knowledge, perSecond, now - saidAt};
}

KnownRate knownFrom(const RateWord &word, Base::Instant now)
{
    return {word.knowledge, word.perSecond, now - word.age};
}

void logChange(std::uint32_t endpoint, const KnownRate &before, const KnownRate &after, std::string_view source)
{
    Base::log(Base::LogLevel::Info, Base::LogEvent::EndpointRate,
              {{"endpoint", endpoint},
               {"known", Base::nameOf(knowledgeNames, after.knowledge)},
               {"per-second", after.perSecond},
               {"before", Base::nameOf(knowledgeNames, before.knowledge)},
               {"per-second-before", before.perSecond},
               {"source", source}});
}

KnownRate knownFrom(const StatedRate &stated, Base::Instant now)
{
    const bool limited = stated.statement == Statement::Limit;
    return {limited ? Knowledge::Limited : Knowledge::Unlimited, limited ? stated.perSecond : 0.0, now};
}

} // namespace Yokepond::Rate
