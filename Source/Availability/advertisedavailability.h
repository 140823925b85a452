// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Information in the responses of an endpoint about whether it accepts further requests.

#pragma once

#include "Base/time.h"

#include <optional>
#include <string_view>

namespace Yokepond::Availability {

/// Longer cooldowns are reduced to this one.
inline constexpr Base::Duration longestCooldown = std::chrono::hours(1);

/// Cooldown after a rejection by a brittle endpoint that asks for none: the time over which it counts its rejections.
inline constexpr Base::Duration brittleCooldown = std::chrono::seconds(1);

/// The availability headers of a response.
struct AdvertisedAvailability
{
    bool leaves = false; ///< it accepts no further request from any host
    Base::Duration cooldown {}; ///< time for which it accepts no further request from this host; zero: no cooldown
    /// It falls over if it has to reject many requests within a second, so a rejection counts as its being full.
    bool brittle = false;
    bool unreadable = false; ///< at least one of the headers could not be parsed
};

/// The header values as received.
struct AvailabilityHeaders
{
    std::optional<std::string_view> leaving;
    std::optional<std::string_view> retryAfter; ///< Retry-After of a response that rejects its request
    std::optional<std::string_view> date; ///< time of day of the endpoint
    std::optional<std::string_view> brittle; ///< number of rejections in a second above which it falls over
    bool rejects = false; ///< whether the response rejects its request
};

/// Parses the headers. @p headers.leaving is `1` or `0`. @p headers.retryAfter is a decimal number of seconds, or a date (RFC
/// 9110, section 10.2.3). A date counts from @p headers.date, since the clocks of hosts and endpoints differ. @p headers.brittle
/// is a decimal number.
AdvertisedAvailability parseAdvertisedAvailability(const AvailabilityHeaders &headers);

} // namespace Yokepond::Availability
