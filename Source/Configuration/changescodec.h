// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Changes of a platform's records as they go from host to host: compressed against the configuration that the receiver holds.

#pragma once

#include "Configuration/siterecords.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>

namespace Yokepond::Configuration {

struct PackedChanges
{
    std::string bytes;
    std::uint64_t base = 0; ///< the configuration against which they are, by the version that brought it; 0: against none
};

/// Each host of a fleet takes a new configuration from another one, over links that carry its callers' traffic too: whole copies
/// as text kept all else waiting for seconds. Of 3,000 routes, 897 KB as text, 58 KB go over a link the first time, 30 KB if half
/// of the routes are held there, and 400 bytes of a slight change; packing takes 8 to 16 ms, once for all that hold the same
/// (the routes of Tests/Configuration/changescodectest.cpp, one core).
class ChangesCodec
{
public:
    /// What changed in @p records of @p kind after @p since, for a host that has reached that. Fails with ErrorKind::Internal.
    absl::StatusOr<PackedChanges> pack(const SiteRecords &records, const RecordRevisions &since, RecordKind kind);

    /// The changes that another host packed. Fails with ErrorKind::InvalidValue if they are damaged, or if @p records no longer
    /// holds the configuration against which they are.
    static absl::StatusOr<RecordChanges> unpack(const SiteRecords &records, const PackedChanges &packed);

private:
    absl::StatusOr<PackedChanges> packConfiguration(const SiteRecords &records, const RecordRevisions &since);

    /// Many hosts ask for the same; by the configuration that they hold.
    std::map<std::uint64_t, PackedChanges> m_configurations;
    std::uint64_t m_packedRevision = 0; ///< of the configuration that those lead to
};

} // namespace Yokepond::Configuration
