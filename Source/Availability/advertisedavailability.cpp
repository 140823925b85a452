// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Availability/advertisedavailability.h"

#include "Base/text.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>
#include <string>

namespace Yokepond::Availability {

namespace {

using Base::Duration;

constexpr std::string_view leavingText = "1";
constexpr std::string_view stayingText = "0";

std::optional<double> parseSeconds(std::string_view text)
{
    const char *const end = text.data() + text.size();
    double seconds = 0;
    const auto [parsedTo, error] = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    const bool isNumber = parsedTo == end && std::isfinite(seconds) && seconds >= 0;
    // A number that is too large to be held is one all the same.
    if (parsedTo == end && error == std::errc::result_out_of_range) {
        return Base::seconds(longestRest);
    }
    return error == std::errc() && isNumber ? std::optional(seconds) : std::nullopt;
}

/// Seconds since the Unix epoch.
std::optional<std::time_t> parseDate(std::string_view text)
{
    std::tm time {};
    const std::string terminated(text);
    const char *const end = strptime(terminated.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &time);
    return end != nullptr && *end == '\0' ? std::optional(timegm(&time)) : std::nullopt;
}

std::optional<double> parseRest(std::string_view text, std::optional<std::string_view> date)
{
    if (const auto seconds = parseSeconds(text)) {
        return seconds;
    }
    const auto until = parseDate(text);
    const auto now = date ? parseDate(Base::trimmed(*date)) : std::nullopt;
    if (!until || !now) {
        return std::nullopt;
    }
    return std::max(0.0, std::difftime(*until, *now));
}

} // namespace

AdvertisedAvailability parseAdvertisedAvailability(const AvailabilityHeaders &headers)
{
    AdvertisedAvailability stated;
    if (headers.leaving) {
        const std::string_view leaving = Base::trimmed(*headers.leaving);
        stated.leaves = leaving == leavingText;
        stated.unreadable = !stated.leaves && leaving != stayingText;
    }
    if (headers.retryAfter) {
        if (const auto seconds = parseRest(Base::trimmed(*headers.retryAfter), headers.date)) {
            const double bounded = std::min(*seconds, Base::seconds(longestRest));
            stated.cooldown = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bounded));
        } else {
            stated.unreadable = true;
        }
    }
    return stated;
}

} // namespace Yokepond::Availability
