// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Standin/engineprogram.h"

#include "Base/text.h"
#include "Standin/engine.h"

namespace Yokepond::Standin {

int runEngineProgram(int argc, const char *const *argv)
{
    namespace options = boost::program_options;
    const EngineOptions defaults;
    Base::OptionDescriptions descriptions("Options");
    addCommonOptions(descriptions);
    descriptions.add_options()("slots", options::value<std::uint32_t>()->default_value(defaults.slots),
                               "maximum number of runs in the batch")(
        "decode-base-us", options::value<std::int64_t>()->default_value(defaults.decodeBase.count()), "base duration of a step")(
        "decode-per-run-us", options::value<std::int64_t>()->default_value(defaults.decodePerRun.count()),
        "duration that each run adds to a step")("prefill-per-token-us",
                                                 options::value<std::int64_t>()->default_value(defaults.prefillPerToken.count()),
                                                 "duration that each uncached prompt token adds to a step")(
        "mean-tokens", options::value<std::uint32_t>()->default_value(defaults.meanTokens), "mean response length in tokens")(
        "cache-blocks", options::value<std::size_t>()->default_value(defaults.cacheBlocks),
        "capacity of the prefix cache in blocks of 256 bytes")("load-lag-ms", options::value<std::int64_t>()->default_value(2000),
                                                               "interval between updates of load reports and cache events");
    const Base::ProgramInfo info {"yokepond-standin-engine", "simulates a model engine for tests", "[--listen IP:PORT] [options]",
                                  ""};
    return runStandin<Engine>(info, descriptions, argc, argv, [](const Base::OptionMap &values, const CommonOptions &common) {
        EngineOptions engineOptions;
        engineOptions.common = common;
        engineOptions.slots = values["slots"].as<std::uint32_t>();
        engineOptions.decodeBase = Base::Duration(values["decode-base-us"].as<std::int64_t>());
        engineOptions.decodePerRun = Base::Duration(values["decode-per-run-us"].as<std::int64_t>());
        engineOptions.prefillPerToken = Base::Duration(values["prefill-per-token-us"].as<std::int64_t>());
        engineOptions.meanTokens = values["mean-tokens"].as<std::uint32_t>();
        engineOptions.cacheBlocks = values["cache-blocks"].as<std::size_t>();
        engineOptions.publishInterval = std::chrono::milliseconds(values["load-lag-ms"].as<std::int64_t>());
        return engineOptions;
    });
}

} // namespace Yokepond::Standin
