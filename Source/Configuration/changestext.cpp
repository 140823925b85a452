// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/changestext.h"

#include "Base/error.h"
#include "Base/json.h"

#include <algorithm>
#include <optional>
#include <ranges>

namespace Yokepond::Configuration {

namespace {

/// Longer cold periods in messages are reduced to this one.
constexpr std::chrono::milliseconds longestColdPeriod = std::chrono::hours(1);

nlohmann::json recordToJson(const Record &record, Base::Instant now)
{
    nlohmann::json json = {{"kind", Base::nameOf(recordKindNames, record.kind)},
                           {"key", record.key},
                           {"version", record.version},
                           {"removed", record.removed},
                           {"value", record.value}};
    if (record.fault != RecordFault::None) {
        json["fault"] = Base::nameOf(recordFaultNames, record.fault);
        json["detail"] = record.detail;
    }
    if (record.coldUntil > now) {
        json["cold-ms"] = std::chrono::ceil<std::chrono::milliseconds>(record.coldUntil - now).count();
    }
    return json;
}

absl::Status malformed(std::string_view what)
{
    return makeError(Base::ErrorKind::InvalidValue, what);
}

absl::StatusOr<Record> recordFromJson(const nlohmann::json &json, Base::Instant now)
{
    if (!json.is_object()) {
        return malformed("a record is not a JSON object");
    }
    const auto text = [&](const char *name) {
        const auto field = json.find(name);
        return field != json.end() && field->is_string() ? field->get<std::string>() : std::string();
    };
    const auto kind = Base::valueOf(recordKindNames, text("kind"));
    const auto version = json.find("version");
    const auto removed = json.find("removed");
    if (!kind || version == json.end() || !version->is_number_unsigned() || removed == json.end() || !removed->is_boolean()) {
        return malformed("a record lacks its kind, its version or the flag `removed`");
    }
    Record record {*kind, text("key"), version->get<std::uint64_t>(), removed->get<bool>(), text("value")};
    const auto cold = json.find("cold-ms");
    if (cold != json.end() && cold->is_number_unsigned()) {
        const auto remaining = std::min<std::uint64_t>(cold->get<std::uint64_t>(), longestColdPeriod.count());
        record.coldUntil = now + std::chrono::milliseconds(remaining);
    }
    if (json.contains("fault")) {
        // A fault that only newer hosts know makes the record unusable, too.
        record.fault = Base::valueOf(recordFaultNames, text("fault")).value_or(RecordFault::Value);
        record.detail = text("detail");
    }
    return record;
}

nlohmann::json revisionsToJson(const RecordRevisions &revisions)
{
    return {{"configuration", revisions.configuration}, {"endpoints", revisions.endpoints}};
}

absl::StatusOr<RecordRevisions> revisionsFromJson(const nlohmann::json &json)
{
    const auto number = [&](const char *name) -> std::optional<std::uint64_t> {
        const auto field = json.is_object() ? json.find(name) : json.end();
        return json.is_object() && field != json.end() && field->is_number_unsigned() ? std::optional(field->get<std::uint64_t>())
                                                                                      : std::nullopt;
    };
    const auto configuration = number("configuration");
    const auto endpoints = number("endpoints");
    if (!configuration || !endpoints) {
        return malformed("a revision of the configuration or of the endpoints is missing");
    }
    return RecordRevisions {*configuration, *endpoints};
}

} // namespace

std::string changesToText(const RecordChanges &changes, Base::Instant now)
{
    nlohmann::json list = nlohmann::json::array();
    std::ranges::transform(changes.records, std::back_inserter(list),
                           [now](const Record &record) { return recordToJson(record, now); });
    const nlohmann::json whole
        = {{"since", revisionsToJson(changes.since)}, {"revisions", revisionsToJson(changes.revisions)}, {"records", list}};
    return whole.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<RecordChanges> changesFromText(std::string_view text, Base::Instant now)
{
    const nlohmann::json whole = Base::decodeJsonOrDiscard(text);
    const bool complete
        = whole.is_object() && whole.contains("records") && whole.contains("since") && whole.contains("revisions");
    if (!complete || !whole["records"].is_array()) {
        return malformed("expected an object with a list `records` and the revisions `since` and `revisions`");
    }
    const auto since = revisionsFromJson(whole["since"]);
    const auto revisions = revisionsFromJson(whole["revisions"]);
    if (!since.ok() || !revisions.ok()) {
        return since.ok() ? revisions.status() : since.status();
    }
    RecordChanges changes {*since, *revisions, {}};
    for (const nlohmann::json &entry : whole["records"]) {
        auto record = recordFromJson(entry, now);
        if (!record.ok()) {
            return record.status();
        }
        changes.records.push_back(std::move(*record));
    }
    return changes;
}

} // namespace Yokepond::Configuration
