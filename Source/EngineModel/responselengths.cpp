// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "EngineModel/responselengths.h"

#include <algorithm>
#include <cmath>

namespace Yokepond::EngineModel {

namespace {

/// Number of observations that a mean remembers.
constexpr double memory = 200;
/// An organisation's own mean counts half when it has had this many responses.
constexpr double organisationPrior = 10;
/// A hint is never believed to be exact.
constexpr double leastVariance = 0.01;
/// Organisations with a mean of their own; further ones have that of the class.
constexpr std::size_t maxOrganisations = 4096;

} // namespace

void LogMean::add(double logarithm)
{
    m_weight = std::min(m_weight + 1, memory);
    const double change = logarithm - m_mean;
    m_mean += change / m_weight;
    m_variance += (change * (logarithm - m_mean) - m_variance) / m_weight;
}

double LogMean::mean() const
{
    return m_mean;
}

double LogMean::variance(double least) const
{
    return std::max(m_variance, least);
}

double LogMean::weight() const
{
    return m_weight;
}

void ResponseLengths::add(std::uint32_t requestClass, std::uint32_t organisation, std::uint32_t hintTokens, std::uint32_t events)
{
    if (events == 0) {
        return;
    }
    const double logarithm = std::log(events);
    ClassLengths &lengths = m_classes[requestClass];
    lengths.events.add(logarithm);
    if (hintTokens > 0) {
        lengths.eventsPerHintedToken.add(logarithm - std::log(hintTokens));
    }
    const std::pair key(requestClass, organisation);
    if (m_organisations.size() < maxOrganisations || m_organisations.contains(key)) {
        m_organisations[key].add(logarithm);
    }
}

double ResponseLengths::expectedLog(const ClassLengths &lengths, std::uint32_t requestClass, std::uint32_t organisation) const
{
    const auto own = m_organisations.find({requestClass, organisation});
    if (own == m_organisations.end()) {
        return lengths.events.mean();
    }
    const double share = own->second.weight() / (own->second.weight() + organisationPrior);
    return share * own->second.mean() + (1 - share) * lengths.events.mean();
}

double ResponseLengths::expectedEvents(std::uint32_t requestClass, std::uint32_t organisation, std::uint32_t hintTokens) const
{
    const auto entry = m_classes.find(requestClass);
    if (entry == m_classes.end()) {
        return 0;
    }
    const ClassLengths &lengths = entry->second;
    const double learned = expectedLog(lengths, requestClass, organisation);
    if (hintTokens == 0 || lengths.eventsPerHintedToken.weight() < 2) {
        return std::exp(learned);
    }
    // Each of the two estimates counts by the inverse of its variance.
    const double hinted = std::log(hintTokens) + lengths.eventsPerHintedToken.mean();
    const double ownWeight = 1 / lengths.events.variance(leastVariance);
    const double hintWeight = 1 / lengths.eventsPerHintedToken.variance(leastVariance);
    return std::exp((learned * ownWeight + hinted * hintWeight) / (ownWeight + hintWeight));
}

} // namespace Yokepond::EngineModel
