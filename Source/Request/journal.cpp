// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/journal.h"

#include "Base/json.h"

#include <fmt/format.h>

namespace Yokepond::Request {

std::string recordToText(const OperationRecord &record)
{
    nlohmann::json json = {{"home", record.home},
                           {"incarnation", record.incarnation},
                           {"token", record.token},
                           {"body", record.bodyDigest},
                           {"at", record.atMicroseconds}};
    if (record.outcome) {
        json["outcome"] = Base::nameOf(outcomeNames, *record.outcome);
    }
    return json.dump();
}

std::optional<OperationRecord> recordFromText(std::string_view text)
{
    try {
        const nlohmann::json json = Base::decodeJsonOrDiscard(text);
        OperationRecord record;
        record.home = json.at("home").get<std::string>();
        record.incarnation = json.at("incarnation").get<std::uint64_t>();
        record.token = json.at("token").get<std::string>();
        record.bodyDigest = json.at("body").get<std::string>();
        record.atMicroseconds = json.at("at").get<std::int64_t>();
        record.outcome = Base::valueOf(outcomeNames, json.value("outcome", std::string()));
        return record;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string operationKey(std::uint32_t organisation, std::string_view key)
{
    return fmt::format("yokepond/operations/{:010}/{}", organisation, Base::sha256(key));
}

} // namespace Yokepond::Request
