// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The order of urgency of requests. The queue, refusals, placement, the model of the engines and the engines themselves follow
/// it.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Yokepond::Configuration {

struct CatalogueParts;
struct RequestClass;

/// How urgent a request is. Of two requests, the one whose urgency compares less is more urgent. The rank of the organisation
/// goes first. Requests of organisations of equal rank are ordered by the rank of their class's tier.
struct Urgency
{
    int rank = 0; ///< of the organisation; of the class's tier if the organisation has none. 1 is the most urgent
    int tierRank = 0; ///< of the class's tier; 1 is the most urgent

    auto operator<=>(const Urgency &) const = default;
};

/// Returns the urgency of the requests of @p requestClass from organisations of rank @p organisationRank; 0 stands for no rank.
Urgency urgencyOf(const RequestClass &requestClass, int organisationRank = 0);

/// The position of an urgency among those that the requests of a pool can have.
struct UrgencyLevel
{
    std::size_t index = 0; ///< number of urgencies that are more urgent
    std::size_t count = 1; ///< number of all urgencies
};

/// The urgencies that the requests of one pool can have, the most urgent first.
class UrgencyScale
{
public:
    UrgencyScale() = default;
    explicit UrgencyScale(std::vector<Urgency> urgencies);

    /// Returns the position of @p urgency. One that is not part of the scale has the position of the next less urgent one.
    UrgencyLevel levelOf(const Urgency &urgency) const;

    /// Returns whether requests of @p requestClass, which is a class of the pool, can be more urgent than @p urgency.
    bool mayBeMoreUrgent(const RequestClass &requestClass, const Urgency &urgency) const;

    /// Returns the least urgent one; that of a scale without any is equal to `Urgency {}`.
    Urgency leastUrgent() const;

private:
    std::vector<Urgency> m_urgencies;
};

/// Returns the scale of each pool, by its number.
std::unordered_map<std::uint32_t, UrgencyScale> urgencyScales(const CatalogueParts &parts);

} // namespace Yokepond::Configuration
