// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Tells for how long no other host has had the same records as this host.

#pragma once

#include "Base/time.h"

#include <cstdint>
#include <string>

namespace Yokepond::Node {

/// Compares the digests of records that other hosts advertise with this host's. Logs when all that were heard of have differed
/// for a while, and when one agrees again.
class RecordAgreement
{
public:
    /// Notes that host @p from advertised the digest @p advertised (0: it has no records yet) while this host's was @p own.
    void receiveDigest(Base::Instant now, const std::string &from, std::uint64_t advertised, std::uint64_t own);

    /// Returns the time since the first of the different digests that came after the last equal one; zero if none came.
    Base::Duration differsFor(Base::Instant now) const;

private:
    Base::Instant m_since {}; ///< the zero time point if the last digest was equal
    bool m_logged = false;
};

} // namespace Yokepond::Node
