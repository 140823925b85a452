// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Counters and histograms of a process in the Prometheus text format. docs/METRICS.md lists them.

#pragma once

#include "Base/time.h"

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Yokepond::Node {

/// A histogram of durations from 0.1 ms to 1000 s on a logarithmic axis.
class DurationHistogram
{
public:
    DurationHistogram();

    void add(Base::Duration duration);

    /// Appends the lines of a Prometheus histogram @p name with @p labels (`a="b"`) to @p text, in seconds.
    void write(std::string &text, std::string_view name, std::string_view labels) const;

    std::uint64_t count() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<Axis>> m_histogram;
    std::uint64_t m_count = 0;
    double m_sum = 0;
};

/// Metrics of one class.
struct ClassMetrics
{
    std::uint64_t arrived = 0;
    std::uint64_t completed = 0;
    std::uint64_t attained = 0; ///< completed requests whose first token and gaps between tokens met their targets
    std::uint64_t failed = 0;
    std::uint64_t refused = 0; ///< failed requests with the outcome `not-run`
    std::uint64_t tokens = 0;
    std::uint64_t attainedTokens = 0; ///< tokens of attained requests (goodput)
    std::uint64_t wastedTokens = 0; ///< tokens of runs whose response was not complete
    DurationHistogram firstToken;
    DurationHistogram total;
};

/// All metrics of a process.
class Metrics
{
public:
    /// Returns the metrics of the class @p name, and creates them if there are none.
    ClassMetrics &forClass(const std::string &name);
    const std::map<std::string, ClassMetrics> &classes() const;

    /// Sets the value of the metric @p name with @p labels.
    void set(const std::string &name, const std::string &labels, double value);

    /// Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    std::map<std::string, ClassMetrics> m_classes;
    std::map<std::string, std::map<std::string, double>> m_values;
};

} // namespace Yokepond::Node
