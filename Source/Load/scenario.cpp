// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Load/scenario.h"

#include "Base/text.h"

#include <algorithm>

namespace Yokepond::Load {

namespace {

constexpr std::string_view classPrefix = "class ";
constexpr std::string_view burstPrefix = "burst ";
constexpr std::string_view faultPrefix = "fault ";
constexpr std::int64_t dayMs = 86'400'000;

Base::Duration milliseconds(Base::IniFile &ini, std::string_view section, std::string_view key, std::int64_t fallback)
{
    return std::chrono::milliseconds(ini.number(section, key, fallback, 0, dayMs));
}

/// Parses the key `organisations`: a comma-separated list of NAME:WEIGHT. Rejects a weight that is not above zero.
std::vector<OrganisationShare> parseShares(Base::IniFile &ini, const std::string &section)
{
    std::vector<OrganisationShare> shares;
    const std::string text = ini.requiredText(section, "organisations");
    for (const std::string_view part : Base::split(text, ',')) {
        const std::string_view entry = Base::trimmed(part);
        const std::size_t colon = entry.find(':');
        double weight = 0;
        if (colon == std::string_view::npos || !Base::parseDecimal(entry.substr(colon + 1), &weight) || weight <= 0) {
            ini.reject(section, "organisations", "NAME:WEIGHT, NAME:WEIGHT, ...");
            return {};
        }
        shares.push_back({std::string(entry.substr(0, colon)), weight});
    }
    return shares;
}

ClassLoad parseClass(Base::IniFile &ini, const std::string &section)
{
    ClassLoad load;
    load.name = section.substr(classPrefix.size());
    load.rate = ini.decimal(section, "rate", 1, 0, 1e6);
    load.pool = ini.text(section, "service", "");
    load.service = !load.pool.empty();
    load.meanTokens = ini.decimal(section, "mean-tokens", 48, 1, 1e6);
    load.promptBytes = static_cast<std::size_t>(ini.number(section, "prompt-bytes", 400, 0, 1 << 20));
    load.prefixBytes = static_cast<std::size_t>(ini.number(section, "prefix-bytes", 0, 0, 1 << 20));
    load.prefixes = static_cast<std::uint32_t>(ini.number(section, "prefixes", 1, 1, 1'000'000));
    load.firstTokenTarget = milliseconds(ini, section, "first-token-ms", 1400);
    load.tokenGapTarget = milliseconds(ini, section, "token-gap-ms", 37);
    load.deadline = milliseconds(ini, section, "deadline-ms", 60'000);
    load.organisations = parseShares(ini, section);
    return load;
}

} // namespace

absl::StatusOr<Scenario> parseScenario(Base::IniFile ini)
{
    Scenario scenario;
    scenario.name = ini.requiredText("run", "name");
    scenario.duration = milliseconds(ini, "run", "duration-ms", 30'000);
    scenario.warmUp = milliseconds(ini, "run", "warm-up-ms", 3000);
    scenario.drain = milliseconds(ini, "run", "drain-ms", 30'000);
    for (const std::string &section : ini.sections()) {
        if (section.starts_with(classPrefix)) {
            scenario.classes.push_back(parseClass(ini, section));
        } else if (section.starts_with(burstPrefix)) {
            scenario.bursts.push_back({ini.requiredText(section, "class"), milliseconds(ini, section, "from-ms", 0),
                                       milliseconds(ini, section, "to-ms", dayMs), ini.decimal(section, "factor", 1, 0, 1e4)});
        } else if (section.starts_with(faultPrefix)) {
            scenario.faults.push_back(
                {milliseconds(ini, section, "at-ms", 0), ini.requiredText(section, "target"), ini.requiredText(section, "body")});
        }
    }
    if (absl::Status status = ini.finish(); !status.ok()) {
        return status;
    }
    return scenario;
}

} // namespace Yokepond::Load
