// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Load/loadprogram.h"

#include "Base/program.h"
#include "Base/text.h"
#include "Load/arrivals.h"
#include "Load/report.h"
#include "Load/runner.h"

#include <fmt/format.h>

#include <fstream>

namespace Yokepond::Load {

namespace {

constexpr std::string_view programName = "yokepond-load";

int reportError(const absl::Status &error)
{
    fmt::print(stderr, "{}: {}\n", programName, Base::messageOf(error));
    return Base::exitFailed;
}

void writeFile(const std::string &file, const std::string &text)
{
    if (!file.empty()) {
        std::ofstream(file) << text;
    }
}

} // namespace

int runLoadProgram(int argc, const char *const *argv)
{
    namespace options = boost::program_options;
    Base::OptionDescriptions descriptions("Options");
    descriptions.add_options()("scenario", options::value<std::string>()->required(), "what to send (INI)")(
        "fleet", options::value<std::string>()->required(),
        "the fleet.json of a local fleet")("seed", options::value<std::uint64_t>()->default_value(1), "seed of all arrivals")(
        "factor", options::value<double>()->default_value(1),
        "multiplies all rates")("label", options::value<std::string>()->default_value("run"), "name of the run in reports")(
        "json", options::value<std::string>()->default_value(""),
        "file for the figures")("svg", options::value<std::string>()->default_value(""), "file for a plot");
    Base::OptionMap values;
    const Base::ProgramInfo info {
        std::string(programName), "sends an open-loop load to a fleet and reports attainment, goodput and wasted work",
        "--scenario FILE --fleet FILE [options]",
        "  yokepond-load --scenario Utilities/scenarios/storm-front.ini --fleet /tmp/fleet/fleet.json --svg storm.svg\n"};
    if (const auto code = Base::parseCommandLine(info, argc, argv, descriptions, {}, values)) {
        return *code;
    }
    auto ini = Base::IniFile::load(values["scenario"].as<std::string>());
    if (!ini.ok()) {
        return reportError(ini.status());
    }
    const auto scenario = parseScenario(std::move(*ini));
    if (!scenario.ok()) {
        return reportError(scenario.status());
    }
    auto fleet = loadFleet(values["fleet"].as<std::string>());
    if (!fleet.ok()) {
        return reportError(fleet.status());
    }
    RunMetadata metadata {values["label"].as<std::string>(), values["seed"].as<std::uint64_t>(), values["factor"].as<double>(),
                          0};
    Runner runner(*scenario, std::move(*fleet), generateArrivals(*scenario, metadata.seed, metadata.factor));
    const std::uint64_t tokensBefore = runner.fetchEngineTokenTotal();
    const std::vector<Sample> samples = runner.run();
    metadata.engineTokens = runner.fetchEngineTokenTotal() - tokensBefore;
    const nlohmann::json summary = summarise(*scenario, samples, metadata);
    fmt::print("{}", renderReport(summary));
    writeFile(values["json"].as<std::string>(), summary.dump(1) + "\n");
    writeFile(values["svg"].as<std::string>(), renderPlot(*scenario, samples, metadata));
    return Base::exitOk;
}

} // namespace Yokepond::Load
