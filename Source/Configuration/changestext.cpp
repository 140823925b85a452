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

/// Returns the number @p name of the object that @p json has as @p part, or nothing.
std::optional<std::uint64_t> numberOf(const nlohmann::json &json, const char *part, const char *name)
{
    const auto object = json.find(part);
    if (object == json.end() || !object->is_object()) {
        return std::nullopt;
    }
    const auto number = object->find(name);
    return number != object->end() && number->is_number_unsigned() ? std::optional(number->get<std::uint64_t>()) : std::nullopt;
}

/// Returns the scope that a host tells, or the one that hosts of earlier versions mean: their messages are of one kind each, and
/// those of endpoints have a revision of the endpoints.
ChangesScope scopeOf(const nlohmann::json &json, const char *name, const ChangesOfKind &changes, bool isOfKind)
{
    const auto scopes = json.find("scope");
    if (scopes != json.end() && scopes->is_object()) {
        const auto scope = scopes->find(name);
        const bool isText = scope != scopes->end() && scope->is_string();
        // A scope that only newer hosts know promises nothing.
        return isText ? Base::valueOf(changesScopeNames, scope->get<std::string>()).value_or(ChangesScope::News)
                      : ChangesScope::None;
    }
    if (!isOfKind) {
        return ChangesScope::None;
    }
    return changes.since == 0 ? ChangesScope::List : ChangesScope::Changes;
}

absl::StatusOr<ChangesOfKind> changesOfKindFromJson(const nlohmann::json &json, const char *name, bool isOfKind)
{
    const auto since = numberOf(json, "since", name);
    const auto revision = numberOf(json, "revisions", name);
    if (!since || !revision) {
        return malformed("a revision of the configuration or of the endpoints is missing");
    }
    ChangesOfKind changes {ChangesScope::None, *since, *revision, numberOf(json, "removals-from", name).value_or(*revision)};
    changes.scope = scopeOf(json, name, changes, isOfKind);
    return changes;
}

CopyState copyStateFromJson(const nlohmann::json &json)
{
    const auto number = [&json](const char *part, const char *name) { return numberOf(json, part, name).value_or(0); };
    return {{number("copy-revisions", "configuration"), number("copy-revisions", "endpoints")},
            {number("copy-hashes", "configuration"), number("copy-hashes", "endpoints")}};
}

/// Returns an object with what the records that count towards each revision have of something.
template<typename Value>
nlohmann::json byKind(const Value &configuration, const Value &endpoints)
{
    return {{"configuration", configuration}, {"endpoints", endpoints}};
}

} // namespace

std::string changesToText(const RecordChanges &changes, Base::Instant now)
{
    nlohmann::json list = nlohmann::json::array();
    std::ranges::transform(changes.records, std::back_inserter(list),
                           [now](const Record &record) { return recordToJson(record, now); });
    const ChangesOfKind &configuration = changes.configuration;
    const ChangesOfKind &endpoints = changes.endpoints;
    const auto scopeName = [](const ChangesOfKind &ofKind) { return Base::nameOf(changesScopeNames, ofKind.scope); };
    const RecordRevisions &revisions = changes.sender.revisions;
    const RecordHashes &hashes = changes.sender.hashes;
    const nlohmann::json whole = {{"since", byKind(configuration.since, endpoints.since)},
                                  {"revisions", byKind(configuration.revision, endpoints.revision)},
                                  {"scope", byKind(scopeName(configuration), scopeName(endpoints))},
                                  {"removals-from", byKind(configuration.removalsFrom, endpoints.removalsFrom)},
                                  {"copy-revisions", byKind(revisions.configuration, revisions.endpoints)},
                                  {"copy-hashes", byKind(hashes.configuration, hashes.endpoints)},
                                  {"records", list}};
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
    const bool isOfEndpoints = numberOf(whole, "revisions", "endpoints").value_or(0) > 0;
    const auto configuration = changesOfKindFromJson(whole, "configuration", !isOfEndpoints);
    const auto endpoints = changesOfKindFromJson(whole, "endpoints", isOfEndpoints);
    if (!configuration.ok() || !endpoints.ok()) {
        return configuration.ok() ? endpoints.status() : configuration.status();
    }
    RecordChanges changes {*configuration, *endpoints, {}, copyStateFromJson(whole)};
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
