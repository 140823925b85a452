// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The interface to a platform that stores the configuration and the list of endpoints itself: full reads, and long polls that
/// return when something has changed.

#pragma once

#include "Base/time.h"
#include "Configuration/siterecords.h"

#include <absl/status/statusor.h>

#include <concepts>
#include <cstdint>
#include <functional>
#include <vector>

namespace Yokepond::Platform {

/// Records as of one point in time.
struct FeedPage
{
    std::vector<Configuration::Record> records;
    std::uint64_t version = 0; ///< highest version on the platform at that time
    /// What is wrong with each row that no record can be made of. Rows whose key can be read are records with a fault.
    std::vector<Configuration::RecordFault> skipped;
};

/// Receives a page, or one of the errors listed at Feed. It is called on the loop's thread.
using FeedHandler = std::function<void(absl::StatusOr<FeedPage>)>;

/// Reads records of the platform and follows their changes.
template<typename F>
concept Feed = requires(F feed, Configuration::RecordKind kind, std::uint64_t since, Base::Duration wait, FeedHandler handler) {
    /// Reads all records of a kind. Fails with ErrorKind::StoreUnavailable or ErrorKind::InvalidValue. One row that cannot be
    /// read does not make the read fail, here and below.
    feed.read(kind, handler);
    /// Gets the records that changed after version @p since, as soon as there are any, or none once @p wait is over. Fails with
    /// ErrorKind::StoreUnavailable, ErrorKind::InvalidValue, or ErrorKind::HistoryCompacted if the platform no longer keeps those
    /// changes.
    feed.follow(kind, since, wait, handler);
};

} // namespace Yokepond::Platform
