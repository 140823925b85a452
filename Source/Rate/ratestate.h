// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A host's information on the rate limit of an endpoint: requests per second that it accepts from all hosts together.

#pragma once

#include "Base/names.h"
#include "Base/time.h"
#include "Rate/advertisedrate.h"

#include <cstdint>

namespace Yokepond::Rate {

/// The information that a host has about a limit: none yet, that the endpoint advertises no limit, or its rate.
enum class RateKind : std::uint8_t { Unknown, Unlimited, Limited };

inline constexpr Base::NameTable<RateKind, 3> rateKindNames = {{
    {RateKind::Unknown, "unknown"},
    {RateKind::Unlimited, "unlimited"},
    {RateKind::Limited, "limited"},
}};

/// The rate information in a message between hosts.
struct RateInfo
{
    RateKind kind = RateKind::Unknown;
    double perSecond = 0;
    Base::Duration age {}; ///< time since the endpoint advertised it; sent in whole milliseconds
};

/// The rate information of an endpoint that a host has stored.
struct RateState
{
    RateKind kind = RateKind::Unknown;
    double perSecond = 0; ///< requests per second, for RateKind::Limited
    Base::Instant advertisedAt {}; ///< time point of the response that advertised it

    bool isLimited() const;

    /// Returns whether both contain the same limit, regardless of its time.
    bool agreesWith(const RateState &other) const;

    /// Adopts @p update if it is newer. Returns whether that changes the limit.
    bool applyUpdate(const RateState &update);

    /// Returns the message form.
    RateInfo info(Base::Instant now) const;
};

/// Returns the state that a message received at @p now contains.
RateState rateStateFrom(const RateInfo &message, Base::Instant now);

/// Logs that the rate information on @p endpoint has changed; @p source names where the change came from.
void logChange(std::uint32_t endpoint, const RateState &before, const RateState &after, std::string_view source);

/// Returns the state after a response at @p now that advertises @p advertised, which must not be RateHeader::Unreadable.
RateState rateStateFrom(const AdvertisedRate &advertised, Base::Instant now);

} // namespace Yokepond::Rate
