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
    /// Returns whether the request that is sent now is to ask for the whole list, if @p wanted. The caller must send that
    /// request.
    bool take(Base::Instant now, bool wanted);

private:
    Base::Instant m_nextAt {};
};

} // namespace Yokepond::Node
