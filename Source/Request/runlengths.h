// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// How long the runs of each class take, learned from those that completed.

#pragma once

#include "Base/time.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace Yokepond::Request {

/// The lengths of the latest completed runs of each class.
class RunLengths
{
public:
    /// Records a run of the class @p name that took @p length.
    void add(const std::string &name, Base::Duration length);

    /// Returns the length that half of the latest runs of the class did not exceed, or none if there was no run.
    std::optional<Base::Duration> usual(const std::string &name) const;

    /// Returns the length of the longest of the latest runs of the class, or none if there was no run.
    std::optional<Base::Duration> longest(const std::string &name) const;

private:
    static constexpr std::size_t keptRuns = 16;

    struct Lengths
    {
        std::array<Base::Duration, keptRuns> latest {};
        std::size_t added = 0; ///< number of all runs; the next one replaces the oldest of the latest
    };

    /// Returns the lengths of the latest runs of the class; empty if there was none.
    std::span<const Base::Duration> latest(const std::string &name) const;

    std::map<std::string, Lengths> m_classes;
};

} // namespace Yokepond::Request
