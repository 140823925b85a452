// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What a host knows of the requests a second that an endpoint takes from all hosts together.

#pragma once

#include "Base/names.h"
#include "Base/time.h"
#include "Rate/statedrate.h"

#include <cstdint>

namespace Yokepond::Rate {

enum class Knowledge : std::uint8_t { Unknown, Unlimited, Limited };

inline constexpr Base::NameTable<Knowledge, 3> knowledgeNames = {{
    {Knowledge::Unknown, "unknown"},
    {Knowledge::Unlimited, "unlimited"},
    {Knowledge::Limited, "limited"},
}};

/// What one host tells another.
struct RateWord
{
    Knowledge knowledge = Knowledge::Unknown;
    double perSecond = 0;
    Base::Duration age {}; ///< since the endpoint said it; sent in whole milliseconds
};

struct KnownRate
{
    Knowledge knowledge = Knowledge::Unknown;
    double perSecond = 0; ///< of a limit
    Base::Instant saidAt {}; ///< by the endpoint

    bool isLimited() const;

    /// Whether both say the same, whenever it was said.
    bool agreesWith(const KnownRate &other) const;

    /// Takes in what is newer; returns whether that changes what is known.
    bool hear(const KnownRate &news);

    RateWord word(Base::Instant now) const;
};

KnownRate knownFrom(const RateWord &word, Base::Instant now);

/// Logs that what is known of @p endpoint has changed; @p source tells by whom.
void logChange(std::uint32_t endpoint, const KnownRate &before, const KnownRate &after, std::string_view source);

/// What is known after an answer that states @p stated, which is not Statement::Unreadable, at @p now.
KnownRate knownFrom(const StatedRate &stated, Base::Instant now);

} // namespace Yokepond::Rate
