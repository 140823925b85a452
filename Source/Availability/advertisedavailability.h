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

/// The availability headers of a response.
struct AdvertisedAvailability
{
    bool leaves = false; ///< it accepts no further request from any host
    Base::Duration cooldown {}; ///< time for which it accepts no further request from this host; zero: no cooldown
    bool unreadable = false; ///< at least one of the headers could not be parsed
};

/// The header values as received.
struct AvailabilityHeaders
{
    std::optional<std::string_view> leaving;
    std::optional<std::string_view> retryAfter; ///< Retry-After of a response that rejects its request
    std::optional<std::string_view> date; ///< time of day of the endpoint
};

/// Parses the headers. @p headers.leaving is `1` or `0`. @p headers.retryAfter is a decimal number of seconds, or a date (RFC
/// 9110, section 10.2.3). A date counts from @p headers.date, since the clocks of hosts and endpoints differ.
AdvertisedAvailability parseAdvertisedAvailability(const AvailabilityHeaders &headers);

} // namespace Yokepond::Availability
