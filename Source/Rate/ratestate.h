// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What a host knows of the requests a second that an endpoint takes from all hosts together.

#pragma once

#include "Base/names.h"
#include "Base/time.h"
#include "Rate/advertisedrate.h"

#include <cstdint>

namespace Yokepond::Rate {

enum class RateKind : std::uint8_t { Unknown, Unlimited, Limited };

inline constexpr Base::NameTable<RateKind, 3> rateKindNames = {{
    {RateKind::Unknown, "unknown"},
    {RateKind::Unlimited, "unlimited"},
    {RateKind::Limited, "limited"},
}};

/// What one host tells another.
struct RateInfo
{
    RateKind kind = RateKind::Unknown;
    double perSecond = 0;
    Base::Duration age {}; ///< since the endpoint said it; sent in whole milliseconds
};

struct RateState
{
    RateKind kind = RateKind::Unknown;
    double perSecond = 0; ///< of a limit
    Base::Instant saidAt {}; ///< by the endpoint

    bool isLimited() const;

    /// Whether both say the same, whenever it was said.
    bool agreesWith(const RateState &other) const;

    /// Takes in what is newer; returns whether that changes what is known.
    bool applyUpdate(const RateState &news);

    RateInfo info(Base::Instant now) const;
};

RateState rateStateFrom(const RateInfo &word, Base::Instant now);

/// Logs that what is known of @p endpoint has changed; @p source tells by whom.
void logChange(std::uint32_t endpoint, const RateState &before, const RateState &after, std::string_view source);

/// What is known after an answer that states @p stated, which is not Statement::Unreadable, at @p now.
RateState rateStateFrom(const AdvertisedRate &stated, Base::Instant now);

} // namespace Yokepond::Rate
