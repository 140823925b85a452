// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/runlengths.h"

#include <algorithm>
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
    const auto entry = m_classes.find(name);
    if (entry == m_classes.end()) {
        return std::nullopt;
    }
    const Lengths &lengths = entry->second;
    const auto count = static_cast<std::ptrdiff_t>(std::min(lengths.added, keptRuns));
    std::vector<Base::Duration> sorted(lengths.latest.begin(), lengths.latest.begin() + count);
    const auto middle = sorted.begin() + (count - 1) / 2;
    std::ranges::nth_element(sorted, middle);
    return *middle;
}

std::optional<Base::Duration> RunLengths::longest(const std::string &name) const
{
    const auto entry = m_classes.find(name);
    if (entry == m_classes.end()) {
        return std::nullopt;
    }
    const Lengths &lengths = entry->second;
    const auto count = static_cast<std::ptrdiff_t>(std::min(lengths.added, keptRuns));
    return *std::max_element(lengths.latest.begin(), lengths.latest.begin() + count);
}

} // namespace Yokepond::Request
