// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// When a host asks another for what changed.

#pragma once

#include "Base/time.h"

#include <cstdint>

namespace Yokepond::Node {

/// What a host's revision tells of what it lacks.
enum class RevisionOrder {
    Counter, ///< whoever has the higher one lacks nothing that the other has
    SumOfKinds, ///< of several kinds of record: the lower one may have what the higher one lacks
};

class Pulls
{
public:
    explicit Pulls(RevisionOrder order);

    /// Whether to ask a host that tells of revision @p heard, now that this one has @p own; if so, that is noted.
    bool due(Base::Instant now, std::uint64_t heard, std::uint64_t own);

private:
    RevisionOrder m_order;
    Base::Instant m_next {};
};

} // namespace Yokepond::Node
