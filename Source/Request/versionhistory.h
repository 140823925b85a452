// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The software versions that the endpoints of each pool have had lately, as far as this host knows.

#pragma once

#include "Base/time.h"
#include "Configuration/catalogue.h"
#include "Peer/message.h"

#include <cstdint>
#include <map>
#include <optional>

namespace Yokepond::Request {

/// Tells whether a pool has had endpoints of only one software version for some time. A stream that began in this time then began
/// at that version, whoever relayed it.
class VersionHistory
{
public:
    /// Records the versions of the endpoints of @p catalogue. Their numbers are those of
    /// Configuration::Catalogue::versionNumber().
    void updateView(Base::Instant now, const Configuration::Catalogue &catalogue);

    /// Notes that the process runs. Call several times a second and before each question: a process that stood still may have
    /// missed a version, so that it counts as watching only from then on.
    void watch(Base::Instant now);

    /// Returns the only version that the endpoints of @p pool have had for the last @p period, and for how long this host has
    /// seen no other one, which may be shorter; version 0 if there were several. Returns nothing if there was none.
    std::optional<Peer::OnlyVersion> seenVersion(Base::Instant now, std::uint32_t pool, Base::Duration period) const;

private:
    struct Version
    {
        bool present = false;
        Base::Instant lastPresent {}; ///< when its last endpoint was removed; not used while it is present
    };

    struct Pool
    {
        Base::Instant watchedSince {};
        std::map<std::uint32_t, Version> versions; ///< by number
    };

    std::map<std::uint32_t, Pool> m_pools; ///< by number
    Base::Instant m_lastWatched {}; ///< zero before the first call of watch()
};

} // namespace Yokepond::Request
