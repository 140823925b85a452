// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Load/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <ranges>

namespace Yokepond::Load {

namespace {

/// Returns the percentile of @p values at @p fraction (0 to 1) in milliseconds, or 0 without values. Reorders @p values.
double percentile(std::vector<Base::Duration> &values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(rank));
    return Base::milliseconds(values[rank]);
}

double ratio(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 1 : static_cast<double>(part) / static_cast<double>(whole);
}

nlohmann::json summariseClass(const ClassLoad &load, const std::vector<const Sample *> &samples)
{
    std::array<std::uint64_t, resultNames.size()> counts {};
    std::uint64_t attainedCount = 0;
    std::uint64_t firstTokenMet = 0;
    std::uint64_t gapMet = 0;
    std::uint64_t deadlineMet = 0;
    std::uint64_t goodTokens = 0;
    std::vector<Base::Duration> firstTokens;
    std::vector<Base::Duration> gaps;
    std::vector<Base::Duration> totals;
    for (const Sample *sample : samples) {
        ++counts.at(static_cast<std::size_t>(sample->result));
        if (sample->result != Result::Completed) {
            continue;
        }
        firstTokens.push_back(sample->firstToken);
        gaps.push_back(sample->meanGap);
        totals.push_back(sample->total);
        firstTokenMet += sample->firstToken <= load.firstTokenTarget ? 1 : 0;
        gapMet += sample->meanGap <= load.tokenGapTarget ? 1 : 0;
        deadlineMet += sample->total <= load.deadline ? 1 : 0;
        if (metAllTargets(load, *sample)) {
            ++attainedCount;
            goodTokens += sample->tokens;
        }
    }
    const std::uint64_t offered = samples.size();
    nlohmann::json summary = {
        {"class", load.name},
        {"offered", offered},
        {"attained", ratio(attainedCount, offered)},
        {"attained-first-token", ratio(firstTokenMet, offered)},
        {"attained-gap", ratio(gapMet, offered)},
        {"attained-deadline", ratio(deadlineMet, offered)},
        {"good-tokens", goodTokens},
        {"first-token-ms",
         {{"p50", percentile(firstTokens, 0.5)}, {"p95", percentile(firstTokens, 0.95)}, {"p99", percentile(firstTokens, 0.99)}}},
        {"gap-ms", {{"p50", percentile(gaps, 0.5)}, {"p95", percentile(gaps, 0.95)}, {"p99", percentile(gaps, 0.99)}}},
        {"total-ms", {{"p50", percentile(totals, 0.5)}, {"p95", percentile(totals, 0.95)}, {"p99", percentile(totals, 0.99)}}}};
    for (const auto &[result, name] : resultNames) {
        summary[std::string(name)] = counts.at(static_cast<std::size_t>(result));
    }
    return summary;
}

/// Returns the number of tokens in completed responses of engine classes that met their deadline, warm-up included. All other
/// generated tokens count as wasted. Good tokens, which goodput counts, must meet all three targets after the warm-up.
std::uint64_t tokensWithinDeadline(const Scenario &scenario, const std::vector<Sample> &samples)
{
    std::uint64_t tokens = 0;
    for (const Sample &sample : samples) {
        const ClassLoad &load = scenario.classes[sample.classIndex];
        const bool useful = sample.result == Result::Completed && sample.total <= load.deadline && !load.service;
        tokens += useful ? sample.tokens : 0;
    }
    return tokens;
}

constexpr int plotWidth = 760;
constexpr int plotHeight = 300;
constexpr int plotMargin = 44;
constexpr std::array plotColours = {"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b7791f", "#444444"};

} // namespace

bool metAllTargets(const ClassLoad &load, const Sample &sample)
{
    return sample.result == Result::Completed && sample.firstToken <= load.firstTokenTarget
        && sample.meanGap <= load.tokenGapTarget && sample.total <= load.deadline;
}

nlohmann::json summarise(const Scenario &scenario, const std::vector<Sample> &samples, const RunMetadata &metadata)
{
    nlohmann::json classes = nlohmann::json::array();
    std::uint64_t goodTokens = 0;
    for (std::size_t index = 0; index < scenario.classes.size(); ++index) {
        std::vector<const Sample *> classSamples;
        for (const Sample &sample : samples) {
            if (sample.classIndex == index && sample.due >= scenario.warmUp) {
                classSamples.push_back(&sample);
            }
        }
        classes.push_back(summariseClass(scenario.classes[index], classSamples));
        goodTokens += classes.back()["good-tokens"].get<std::uint64_t>();
    }
    const std::uint64_t useful = tokensWithinDeadline(scenario, samples);
    const std::uint64_t wasted = metadata.engineTokens > useful ? metadata.engineTokens - useful : 0;
    const double countedSeconds = Base::seconds(scenario.duration - scenario.warmUp);
    return {{"scenario", scenario.name},
            {"label", metadata.label},
            {"seed", metadata.seed},
            {"factor", metadata.factor},
            {"seconds", countedSeconds},
            {"goodput-tokens-per-second", static_cast<double>(goodTokens) / countedSeconds},
            {"engine-tokens", metadata.engineTokens},
            {"wasted-share",
             metadata.engineTokens == 0 ? 0 : static_cast<double>(wasted) / static_cast<double>(metadata.engineTokens)},
            {"classes", classes}};
}

std::string renderReport(const nlohmann::json &summary)
{
    std::string text = fmt::format(
        "{} [{}] seed {} factor {}: goodput {:.0f} tokens/s, wasted {:.2f} %\n", summary["scenario"].get<std::string>(),
        summary["label"].get<std::string>(), summary["seed"].get<std::uint64_t>(), summary["factor"].get<double>(),
        summary["goodput-tokens-per-second"].get<double>(), summary["wasted-share"].get<double>() * 100);
    text += fmt::format("{:<12}{:>8}{:>10}{:>9}{:>8}{:>10}{:>10}{:>9}{:>8}{:>7}{:>11}{:>11}{:>10}\n", "class", "offered",
                        "attained", "first", "gap", "deadline", "completed", "refused", "unknown", "other", "first p50",
                        "first p99", "gap p95");
    for (const nlohmann::json &entry : summary["classes"]) {
        const auto count = [&](const char *name) { return entry[name].get<std::uint64_t>(); };
        const auto percentage = [&](const char *name) { return entry[name].get<double>() * 100; };
        text += fmt::format("{:<12}{:>8}{:>9.2f}%{:>8.1f}%{:>7.1f}%{:>9.1f}%{:>10}{:>9}{:>8}{:>7}{:>11.0f}{:>11.0f}{:>10.1f}\n",
                            entry["class"].get<std::string>(), count("offered"), percentage("attained"),
                            percentage("attained-first-token"), percentage("attained-gap"), percentage("attained-deadline"),
                            count("completed"), count("refused"), count("unknown"),
                            count("failed") + count("wrong") + count("unanswered"), entry["first-token-ms"]["p50"].get<double>(),
                            entry["first-token-ms"]["p99"].get<double>(), entry["gap-ms"]["p95"].get<double>());
    }
    return text;
}

std::string renderPlot(const Scenario &scenario, const std::vector<Sample> &samples, const RunMetadata &metadata)
{
    const double seconds = Base::seconds(scenario.duration);
    const auto horizontal = [&](double second) { return plotMargin + second / seconds * (plotWidth - 2 * plotMargin); };
    const auto vertical = [&](double part) { return plotHeight - plotMargin - part * (plotHeight - 2 * plotMargin); };
    std::string svg
        = fmt::format(R"(<svg xmlns="http://www.w3.org/2000/svg" width="{0}" height="{1}" font-family="sans-serif" font-size="12">
<rect width="{0}" height="{1}" fill="white"/><text x="{2}" y="20">{3} [{4}]: share of requests within target, by second they were due</text>
)",
                      plotWidth, plotHeight, plotMargin, scenario.name, metadata.label);
    for (const double part : {0.0, 0.5, 1.0}) {
        svg += fmt::format(
            R"(<line x1="{}" y1="{:.1f}" x2="{}" y2="{:.1f}" stroke="#ddd"/><text x="8" y="{:.1f}">{:.0f} %</text>)"
            "\n",
            plotMargin, vertical(part), plotWidth - plotMargin, vertical(part), vertical(part) + 4, part * 100);
    }
    for (std::size_t index = 0; index < scenario.classes.size(); ++index) {
        std::map<int, std::pair<int, int>> bySecond; // within target, all
        for (const Sample &sample : samples) {
            if (sample.classIndex == index) {
                auto &[attainedCount, all] = bySecond[static_cast<int>(Base::seconds(sample.due))];
                attainedCount += metAllTargets(scenario.classes[index], sample) ? 1 : 0;
                ++all;
            }
        }
        std::string points;
        for (const auto &[second, counts] : bySecond) {
            points += fmt::format("{:.1f},{:.1f} ", horizontal(second + 0.5),
                                  vertical(static_cast<double>(counts.first) / counts.second));
        }
        const char *colour = plotColours.at(index % plotColours.size());
        svg += fmt::format(
            R"(<polyline fill="none" stroke="{0}" stroke-width="2" points="{1}"/><text x="{2}" y="{3}" fill="{0}">{4}</text>)"
            "\n",
            colour, points, plotMargin + 120 * static_cast<int>(index), plotHeight - 10, scenario.classes[index].name);
    }
    return svg + "</svg>\n";
}

} // namespace Yokepond::Load
