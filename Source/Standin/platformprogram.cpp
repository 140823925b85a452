// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Standin/platformprogram.h"

#include "Base/text.h"
#include "Standin/platform.h"

namespace Yokepond::Standin {

int runPlatformProgram(int argc, const char *const *argv)
{
    namespace options = boost::program_options;
    Base::OptionDescriptions descriptions("Options");
    addCommonOptions(descriptions);
    descriptions.add_options()("host-list-lag-ms", options::value<std::int64_t>()->default_value(1000),
                               "delay before updates of the host list are visible");
    const Base::ProgramInfo info {"yokepond-standin-platform",
                                  "simulates the table service and host list of the platform for tests",
                                  "[--listen IP:PORT] [options]", ""};
    return runStandin<Platform>(info, descriptions, argc, argv, [](const Base::OptionMap &values, const CommonOptions &common) {
        return PlatformOptions {common, std::chrono::milliseconds(values["host-list-lag-ms"].as<std::int64_t>())};
    });
}

} // namespace Yokepond::Standin
