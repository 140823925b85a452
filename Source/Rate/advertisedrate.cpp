// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Rate/advertisedrate.h"

#include "Base/text.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Yokepond::Rate {

AdvertisedRate parseAdvertisedRate(std::optional<std::string_view> text)
{
    if (!text) {
        return {};
    }
    const std::string_view number = Base::trimmed(*text);
    const char *const end = number.data() + number.size();
    double perSecond = 0;
    const auto [parsedTo, error] = std::from_chars(number.data(), end, perSecond, std::chars_format::fixed);
    if (error != std::errc() || parsedTo != end || !std::isfinite(perSecond) || perSecond < 0) {
        return {RateHeader::Unreadable, 0};
    }
    return {RateHeader::Limit, std::min(perSecond, largestRate)};
}

} // namespace Yokepond::Rate
