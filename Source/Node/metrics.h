// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Counters and histograms of a process, in Prometheus' text form. docs/METRICS.md lists them.

#pragma once

#include "Base/time.h"

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Yokepond::Node {

/// Durations from 0.1 ms to 1000 s on a logarithmic axis, kept in a Boost.Histogram.
class DurationHistogram
{
public:
    DurationHistogram();

    void add(Base::Duration duration);

    /// Adds the lines of a Prometheus histogram called @p name with @p labels (`a="b"`), in seconds.
    void write(std::string &text, std::string_view name, std::string_view labels) const;

    std::uint64_t count() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<Axis>> m_histogram;
    std::uint64_t m_count = 0;
    double m_sum = 0;
};

/// What is measured of each class.
struct ClassMetrics
{
    std::uint64_t arrived = 0;
    std::uint64_t completed = 0;
    std::uint64_t attained = 0; ///< completed with the first token and the gaps within their targets
    std::uint64_t failed = 0;
    std::uint64_t refused = 0; ///< of the failed: answered `not-run` for overload
    std::uint64_t tokens = 0;
    std::uint64_t attainedTokens = 0; ///< of answers within target: goodput
    std::uint64_t wastedTokens = 0; ///< of runs whose answers were cut or repeated
    DurationHistogram firstToken;
    DurationHistogram total;
};

class Metrics
{
public:
    ClassMetrics &forClass(const std::string &name);
    const std::map<std::string, ClassMetrics> &classes() const;

    /// Sets a value that is shown as it is.
    void set(const std::string &name, const std::string &labels, double value);

    /// All in Prometheus' text form.
    std::string text() const;

private:
    std::map<std::string, ClassMetrics> m_classes;
    std::map<std::string, std::map<std::string, double>> m_values;
};

} // namespace Yokepond::Node
