// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Encodes changes of the platform's records for transfer between hosts, compressed against the configuration that the receiver
/// has.

#pragma once

#include "Configuration/siterecords.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Yokepond::Configuration {

/// Changes as compressed bytes.
struct PackedChanges
{
    std::string bytes;
    std::uint64_t base = 0; ///< version of the configuration that they are compressed against; 0 for none
};

/// Packs changes for other hosts, and unpacks theirs. Hosts of a fleet get a new configuration from each other, over links that
/// also carry callers' traffic; full copies as text delayed that traffic for seconds. A configuration of 3,000 routes, which is
/// 897 KB as text, takes 58 KB the first time, 30 KB if the receiver has half of the routes, and 400 bytes for a small change.
/// Packing takes 8 to 16 ms, once for all receivers with the same configuration. (Measured with the routes of
/// Tests/Configuration/changescodectest.cpp on one core.)
class ChangesCodec
{
public:
    /// @p clock returns the current time.
    explicit ChangesCodec(std::function<Base::Instant()> clock = Base::now);

    /// Packs the changes of @p kind in @p records after @p since, for a host whose copy is at @p since. Fails with
    /// ErrorKind::Internal.
    absl::StatusOr<PackedChanges> pack(const SiteRecords &records, const RecordRevisions &since, RecordKind kind);

    /// Unpacks changes that another host packed. Fails with ErrorKind::InvalidValue if they are damaged, or if @p records no
    /// longer contains the configuration that they are compressed against.
    static absl::StatusOr<RecordChanges> unpack(const SiteRecords &records, const PackedChanges &packed);

private:
    /// Packed changes by the revision that the receiver has. Many hosts request the same changes.
    struct Cache
    {
        std::map<std::uint64_t, PackedChanges> bySince;
        std::uint64_t state = 0; ///< a hash of the copy that the cached changes were made of
        Base::Instant begun {}; ///< when the first of them was packed

        /// Removes changes that were made of another copy than @p current, are too old, or too many.
        void prune(std::uint64_t current, Base::Instant now);
    };

    absl::StatusOr<PackedChanges> packConfiguration(const SiteRecords &records, const RecordRevisions &since) const;

    std::function<Base::Instant()> m_clock;
    Cache m_configurations;
    Cache m_endpoints;
};

} // namespace Yokepond::Configuration
