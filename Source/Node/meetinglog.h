// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Logs names that meet in a number.

#pragma once

#include "Configuration/namenumbers.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace Yokepond::Node {

/// Logs a line when names begin to meet. A meeting that goes on is not logged again.
class MeetingLog
{
public:
    /// Replaces the meetings of the catalogue in force.
    void update(const std::vector<Configuration::NameMeeting> &meetings);

    /// Returns the number of meetings now.
    std::size_t count() const;

private:
    std::set<std::vector<std::string>> m_known; ///< the names of each meeting
};

} // namespace Yokepond::Node
