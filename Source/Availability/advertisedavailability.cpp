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

std::optional<double> parseNumber(std::string_view text)
{
    const char *const end = text.data() + text.size();
    double number = 0;
    const auto [parsedTo, error] = std::from_chars(text.data(), end, number, std::chars_format::fixed);
    const bool isNumber = parsedTo == end && std::isfinite(number) && number >= 0;
    // A number that is out of the range of double is a valid, very long cooldown.
    if (parsedTo == end && error == std::errc::result_out_of_range) {
        return Base::seconds(longestCooldown);
    }
    return error == std::errc() && isNumber ? std::optional(number) : std::nullopt;
}

/// Returns the date in seconds since the Unix epoch.
std::optional<std::time_t> parseDate(std::string_view text)
{
    std::tm time {};
    const std::string terminated(text);
    const char *const end = strptime(terminated.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &time);
    return end != nullptr && *end == '\0' ? std::optional(timegm(&time)) : std::nullopt;
}

/// Returns the cooldown in seconds; @p date is the time of day at the endpoint.
std::optional<double> parseCooldown(std::string_view text, std::optional<std::string_view> date)
{
    if (const auto seconds = parseNumber(text)) {
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
    AdvertisedAvailability advertised;
    if (headers.leaving) {
        const std::string_view leaving = Base::trimmed(*headers.leaving);
        advertised.leaves = leaving == leavingText;
        advertised.unreadable = !advertised.leaves && leaving != stayingText;
    }
    if (headers.retryAfter) {
        if (const auto seconds = parseCooldown(Base::trimmed(*headers.retryAfter), headers.date)) {
            const double bounded = std::min(*seconds, Base::seconds(longestCooldown));
            advertised.cooldown = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bounded));
        } else {
            advertised.unreadable = true;
        }
    }
    if (headers.brittle) {
        advertised.brittle = parseNumber(Base::trimmed(*headers.brittle)).has_value();
        advertised.unreadable = advertised.unreadable || !advertised.brittle;
    }
    if (advertised.brittle && headers.rejects && advertised.cooldown == Duration::zero()) {
        advertised.cooldown = brittleCooldown;
    }
    return advertised;
}

} // namespace Yokepond::Availability
