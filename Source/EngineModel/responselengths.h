// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Learned lengths of responses.

#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <utility>

namespace Yokepond::EngineModel {

/// Mean and variance of the logarithm of a quantity, over the latest observations.
class LogMean
{
public:
    void add(double logarithm);

    /// Returns the mean; zero without observations.
    double mean() const;

    /// Returns the variance, at least @p least.
    double variance(double least) const;

    /// Returns the number of observations, up to the number that the mean remembers.
    double weight() const;

private:
    double m_mean = 0;
    double m_variance = 0;
    double m_weight = 0;
};

/// Estimates how many events the stream of a response will have, from the responses of the same class and organisation, and from
/// the caller's hint. How much the hint counts follows from how well it predicted before. Lengths spread over orders of
/// magnitude, so all means are means of logarithms, and the estimate is a median.
class ResponseLengths
{
public:
    /// Adds a complete response of @p events events. @p hintTokens is the caller's hint in tokens; 0: none.
    void add(std::uint32_t requestClass, std::uint32_t organisation, std::uint32_t hintTokens, std::uint32_t events);

    /// Returns the median number of events to expect; 0 if the class has had no response.
    double expectedEvents(std::uint32_t requestClass, std::uint32_t organisation, std::uint32_t hintTokens) const;

private:
    struct ClassLengths
    {
        LogMean events;
        LogMean eventsPerHintedToken;
    };

    double expectedLog(const ClassLengths &lengths, std::uint32_t requestClass, std::uint32_t organisation) const;

    absl::flat_hash_map<std::uint32_t, ClassLengths> m_classes;
    absl::flat_hash_map<std::pair<std::uint32_t, std::uint32_t>, LogMean> m_organisations; ///< by class and organisation
};

} // namespace Yokepond::EngineModel
