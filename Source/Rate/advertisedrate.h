// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The rate limit that an endpoint advertises in its responses: requests per second from all hosts together.

#pragma once

#include <optional>
#include <string_view>

namespace Yokepond::Rate {

/// Contents of the rate header.
enum class RateHeader {
    None, ///< no limit; the endpoint accepts requests as long as it has room
    Limit,
    Unreadable, ///< the header is present, but its value is not a rate
};

/// The rate header of a response.
struct AdvertisedRate
{
    RateHeader header = RateHeader::None;
    double perSecond = 0; ///< requests per second, for RateHeader::Limit
};

/// Higher rates are reduced to this one: no endpoint starts this many requests per second.
inline constexpr double largestRate = 1e6;

/// Parses the header value @p text, a decimal number of at least 0. A missing header advertises no limit.
AdvertisedRate parseAdvertisedRate(std::optional<std::string_view> text);

} // namespace Yokepond::Rate
