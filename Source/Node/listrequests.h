// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Decides how often a host asks others for all records in place of the changes.

#pragma once

#include "Base/time.h"

namespace Yokepond::Node {

/// Spaces requests for whole lists, which are much larger than changes.
class ListRequests
{
public:
    /// @p maxPeriod: maximum time between two requests.
    explicit ListRequests(Base::Duration maxPeriod);

    /// Returns whether the request that is sent now is to ask for the whole list, if @p wanted. The caller must send that
    /// request. The requests become rarer as long as a list is wanted.
    bool take(Base::Instant now, bool wanted);

    /// Returns whether the last request was the first one since a list was not wanted.
    bool isFirst() const;

private:
    Base::Duration m_maxPeriod;
    Base::Instant m_nextAt {};
    Base::Duration m_period {}; ///< time between the last request and the next one; zero if no list was wanted last
};

} // namespace Yokepond::Node
