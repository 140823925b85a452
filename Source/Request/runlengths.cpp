// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/runlengths.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace Yokepond::Request {

void RunLengths::add(const std::string &name, Base::Duration length)
{
    Lengths &lengths = m_classes[name];
    lengths.latest.at(lengths.added % keptRuns) = length;
    ++lengths.added;
}

std::optional<Base::Duration> RunLengths::usual(const std::string &name) const
{
    const std::span<const Base::Duration> runs = latest(name);
    if (runs.empty()) {
        return std::nullopt;
    }
    std::vector<Base::Duration> sorted(runs.begin(), runs.end());
    const auto middle = sorted.begin() + (std::ssize(sorted) - 1) / 2;
    std::ranges::nth_element(sorted, middle);
    return *middle;
}

std::optional<Base::Duration> RunLengths::longest(const std::string &name) const
{
    const std::span<const Base::Duration> runs = latest(name);
    return runs.empty() ? std::nullopt : std::optional(std::ranges::max(runs));
}

std::span<const Base::Duration> RunLengths::latest(const std::string &name) const
{
    const auto entry = m_classes.find(name);
    if (entry == m_classes.end()) {
        return {};
    }
    const Lengths &lengths = entry->second;
    return std::span(lengths.latest).first(std::min(lengths.added, keptRuns));
}

} // namespace Yokepond::Request
