// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/store.h"

#include "Base/json.h"
#include "Base/text.h"

namespace Yokepond::Configuration {

namespace {

absl::Status malformedHead(std::string_view reason)
{
    return Base::makeError(Base::ErrorKind::InvalidValue, fmt::format("the table's head record is malformed: {}", reason));
}

} // namespace

std::string headToText(const Head &head)
{
    nlohmann::json json = {{"revision", head.revision}, {"change", head.change}};
    if (!head.fence.empty()) {
        json["fence"] = head.fence;
    }
    return json.dump();
}

absl::StatusOr<Head> headFromText(std::string_view text)
{
    const auto json = Base::decodeJson(text);
    if (!json.ok()) {
        return malformedHead(Base::messageOf(json.status()));
    }
    try {
        return Head {json->at("revision").get<std::uint64_t>(), json->at("change").get<std::string>(), json->value("fence", "")};
    } catch (const nlohmann::json::exception &exception) {
        return malformedHead(exception.what());
    }
}

std::string logKey(std::uint64_t revision)
{
    return fmt::format("yokepond/log/{:020}", revision);
}

} // namespace Yokepond::Configuration
