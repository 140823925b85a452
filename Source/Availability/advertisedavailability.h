// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What an endpoint's answer says of whether the endpoint takes further requests.

#pragma once

#include "Base/time.h"

#include <optional>
#include <string_view>

namespace Yokepond::Availability {

/// Longer rests are taken for this one.
inline constexpr Base::Duration longestRest = std::chrono::hours(1);

struct AdvertisedAvailability
{
    bool leaves = false; ///< it takes no further request of any host
    Base::Duration cooldown {}; ///< for so long it takes no further request of this host; zero: it asks for none
    bool unreadable = false; ///< it says something of either that is not known
};

/// The header values that say so, as they came.
struct AvailabilityHeaders
{
    std::optional<std::string_view> leaving;
    std::optional<std::string_view> retryAfter; ///< of an answer that turns its request away
    std::optional<std::string_view> date; ///< the endpoint's time of day
};

/// @p headers.leaving is `1` or `0`. @p headers.retryAfter is a decimal number of seconds, or a date (RFC 9110, section 10.2.3),
/// which counts from @p headers.date: the clocks of hosts and endpoints differ.
AdvertisedAvailability parseAdvertisedAvailability(const AvailabilityHeaders &headers);

} // namespace Yokepond::Availability
