// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/metrics.h"

#include <fmt/format.h>

#include <iterator>

namespace Yokepond::Node {

namespace {

constexpr unsigned int bins = 28; ///< four for each factor of ten
constexpr double minSeconds = 1e-4;
constexpr double maxSeconds = 1e3;

void writeCounter(std::string &text, std::string_view name, std::string_view labels, double value)
{
    fmt::format_to(std::back_inserter(text), "{}{{{}}} {}\n", name, labels, value);
}

} // namespace

DurationHistogram::DurationHistogram()
    : m_histogram(boost::histogram::make_histogram(Axis(bins, minSeconds, maxSeconds)))
{
}

void DurationHistogram::add(Base::Duration duration)
{
    const double seconds = Base::seconds(duration);
    m_histogram(seconds);
    ++m_count;
    m_sum += seconds;
}

void DurationHistogram::write(std::string &text, std::string_view name, std::string_view labels) const
{
    // The underflow bin holds what is below the axis.
    double cumulative = m_histogram.at(-1);
    for (unsigned int bin = 0; bin < bins; ++bin) {
        cumulative += m_histogram.at(static_cast<int>(bin));
        const double upper = m_histogram.axis(0).bin(static_cast<int>(bin)).upper();
        fmt::format_to(std::back_inserter(text), "{}_bucket{{{},le=\"{:.6g}\"}} {}\n", name, labels, upper, cumulative);
    }
    fmt::format_to(std::back_inserter(text), "{}_bucket{{{},le=\"+Inf\"}} {}\n", name, labels, m_count);
    fmt::format_to(std::back_inserter(text), "{}_sum{{{}}} {}\n{}_count{{{}}} {}\n", name, labels, m_sum, name, labels, m_count);
}

std::uint64_t DurationHistogram::count() const
{
    return m_count;
}

ClassMetrics &Metrics::forClass(const std::string &name)
{
    return m_classes[name];
}

const std::map<std::string, ClassMetrics> &Metrics::classes() const
{
    return m_classes;
}

void Metrics::set(const std::string &name, const std::string &labels, double value)
{
    m_values[name][labels] = value;
}

std::string Metrics::text() const
{
    std::string text;
    for (const auto &[name, metrics] : m_classes) {
        const std::string label = fmt::format("class=\"{}\"", name);
        writeCounter(text, "yokepond_requests_arrived_total", label, static_cast<double>(metrics.arrived));
        writeCounter(text, "yokepond_requests_completed_total", label, static_cast<double>(metrics.completed));
        writeCounter(text, "yokepond_requests_attained_total", label, static_cast<double>(metrics.attained));
        writeCounter(text, "yokepond_requests_failed_total", label, static_cast<double>(metrics.failed));
        writeCounter(text, "yokepond_requests_refused_total", label, static_cast<double>(metrics.refused));
        writeCounter(text, "yokepond_tokens_total", label, static_cast<double>(metrics.tokens));
        writeCounter(text, "yokepond_goodput_tokens_total", label, static_cast<double>(metrics.attainedTokens));
        writeCounter(text, "yokepond_wasted_tokens_total", label, static_cast<double>(metrics.wastedTokens));
        metrics.firstToken.write(text, "yokepond_first_token_seconds", label);
        metrics.total.write(text, "yokepond_request_seconds", label);
    }
    for (const auto &[name, values] : m_values) {
        for (const auto &[labels, value] : values) {
            writeCounter(text, name, labels, value);
        }
    }
    return text;
}

} // namespace Yokepond::Node
