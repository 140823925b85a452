// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Standin/serviceprogram.h"

#include "Base/text.h"
#include "Standin/service.h"

namespace Yokepond::Standin {

int runServiceProgram(int argc, const char *const *argv)
{
    namespace options = boost::program_options;
    Base::OptionDescriptions descriptions("Options");
    addCommonOptions(descriptions);
    descriptions.add_options()("latency-ms", options::value<std::int64_t>()->default_value(20),
                               "time from a call to its response")("checks-orders",
                                                                   "reject calls whose fencing token is missing or stale");
    const Base::ProgramInfo info {"yokepond-standin-service", "simulates a plain service for tests",
                                  "[--listen IP:PORT] [options]", ""};
    return runStandin<Service>(info, descriptions, argc, argv, [](const Base::OptionMap &values, const CommonOptions &common) {
        return ServiceOptions {common, std::chrono::milliseconds(values["latency-ms"].as<std::int64_t>()),
                               values.contains("checks-orders")};
    });
}

} // namespace Yokepond::Standin
