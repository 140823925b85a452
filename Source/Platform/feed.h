// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What the hosts need of a platform that keeps the configuration and the list of endpoints itself: whole reads, and calls
/// that are held until something has changed.

#pragma once

#include "Base/time.h"
#include "Configuration/siterecords.h"

#include <absl/status/statusor.h>

#include <concepts>
#include <cstdint>
#include <functional>
#include <vector>

namespace Yokepond::Platform {

/// Records as of one moment.
struct FeedPage
{
    std::vector<Configuration::Record> records;
    std::uint64_t version = 0; ///< the platform's newest at that moment
};

/// Gets a page, or one of the errors below; on the loop's thread.
using FeedHandler = std::function<void(absl::StatusOr<FeedPage>)>;

template<typename F>
concept Feed = requires(F feed, Configuration::RecordKind kind, std::uint64_t since, Base::Duration wait, FeedHandler handler) {
    /// All records of a kind. Fails with ErrorKind::StoreUnavailable or ErrorKind::InvalidValue.
    feed.read(kind, handler);
    /// The records changed after version @p since, as soon as there are some or @p wait is over. Fails with
    /// ErrorKind::StoreUnavailable, ErrorKind::InvalidValue, or ErrorKind::HistoryGone if the platform has forgotten them.
    feed.follow(kind, since, wait, handler);
};

} // namespace Yokepond::Platform
