// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Usage/usagerow.h"

#include "Base/error.h"
#include "Base/json.h"
#include "Base/text.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Yokepond::Usage {

namespace {

using Json = nlohmann::json;

std::string toJsonText(const UsageRow &row)
{
    Json windows = Json::array();
    for (const FixedWindow &fixed : row.windows) {
        windows.push_back({{"window", fixed.window}, {"counts", fixed.counts}});
    }
    const Json json = {{"holder", row.holder}, {"host", row.host}, {"windows", std::move(windows)}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::Status malformed(std::string_view reason)
{
    return Base::makeError(Base::ErrorKind::InvalidValue,
                           fmt::format("the stored row of the usage duty is malformed: {}", reason));
}

} // namespace

std::string serializeRow(UsageRow row)
{
    std::string text = toJsonText(row);
    while (text.size() > maxRowBytes && row.windows.size() > 1) {
        row.windows.erase(row.windows.begin());
        text = toJsonText(row);
    }
    return text;
}

absl::StatusOr<UsageRow> parseRow(std::string_view text)
{
    const auto json = Base::decodeJson(text);
    if (!json.ok()) {
        return malformed(Base::messageOf(json.status()));
    }
    try {
        UsageRow row;
        row.holder = json->at("holder").get<std::uint64_t>();
        row.host = json->at("host").get<std::string>();
        for (const Json &entry : json->at("windows")) {
            row.windows.push_back({entry.at("window").get<WindowNumber>(), entry.at("counts").get<WindowCounts>()});
        }
        return row;
    } catch (const Json::exception &error) {
        return malformed(error.what());
    }
}

} // namespace Yokepond::Usage
