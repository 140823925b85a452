// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What an endpoint's answer says of the requests a second that it takes from all hosts together.

#pragma once

#include <optional>
#include <string_view>

namespace Yokepond::Rate {

enum class RateHeader {
    None, ///< it takes what it has room for
    Limit,
    Unreadable, ///< it says something that is no rate
};

struct AdvertisedRate
{
    RateHeader header = RateHeader::None;
    double perSecond = 0; ///< of a limit
};

/// Rates above this are taken for this one: no endpoint begins so many requests a second.
inline constexpr double largestRate = 1e6;

/// The rate in the header value @p text, a decimal number of at least 0. No header states no rate.
AdvertisedRate parseAdvertisedRate(std::optional<std::string_view> text);

} // namespace Yokepond::Rate
