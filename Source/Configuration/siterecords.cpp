// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/siterecords.h"

#include "Base/error.h"
#include "Base/hash.h"

#include <algorithm>
#include <optional>
#include <ranges>

namespace Yokepond::Configuration {

namespace {

/// Configurations kept for hosts that still have them: enough for changes in quick succession, and at least the last one.
constexpr std::size_t mostEarlier = 8;
constexpr std::size_t mostEarlierBytes = std::size_t {1} << 20U; ///< of 128 MB that a host may use

nlohmann::json recordToJson(const Record &record)
{
    return {{"kind", Base::nameOf(recordKindNames, record.kind)},
            {"key", record.key},
            {"version", record.version},
            {"removed", record.removed},
            {"value", record.value}};
}

absl::Status invalidRecord(std::string_view what)
{
    return makeError(Base::ErrorKind::InvalidValue, what);
}

absl::StatusOr<Record> recordFromJson(const nlohmann::json &json)
{
    if (!json.is_object()) {
        return invalidRecord("a record is not a JSON object");
    }
    const auto text = [&](const char *name) {
        const auto field = json.find(name);
        return field != json.end() && field->is_string() ? field->get<std::string>() : std::string();
    };
    const auto kind = Base::valueOf(recordKindNames, text("kind"));
    const auto version = json.find("version");
    const auto removed = json.find("removed");
    if (!kind || version == json.end() || !version->is_number_unsigned() || removed == json.end() || !removed->is_boolean()) {
        return invalidRecord("a record lacks its kind, version or removed mark");
    }
    return Record {*kind, text("key"), version->get<std::uint64_t>(), removed->get<bool>(), text("value")};
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
        return invalidRecord("revisions lack that of the configuration or of the endpoints");
    }
    return RecordRevisions {*configuration, *endpoints};
}

} // namespace

bool RecordRevisions::covers(const RecordRevisions &other) const
{
    return configuration >= other.configuration && endpoints >= other.endpoints;
}

std::uint64_t &RecordRevisions::forKind(RecordKind kind)
{
    return kind == RecordKind::Configuration ? configuration : endpoints;
}

std::uint64_t RecordRevisions::forKind(RecordKind kind) const
{
    return kind == RecordKind::Configuration ? configuration : endpoints;
}

bool SiteRecords::merge(const Record &record)
{
    const bool changed = take(record);
    if (changed) {
        std::uint64_t &revision = m_revisions.forKind(record.kind);
        revision = std::max(revision, record.version);
    }
    return changed;
}

void SiteRecords::markUnconfirmed(const Record &record)
{
    const auto held = m_records.find({record.kind, record.key});
    if (held == m_records.end() || held->second.record.version < record.version) {
        m_expected[{record.kind, record.key}] = record.version;
    }
}

bool SiteRecords::take(const Record &record)
{
    const auto expected = m_expected.find({record.kind, record.key});
    if (expected != m_expected.end() && record.version >= expected->second) {
        m_expected.erase(expected);
    }
    Held &held = m_records[{record.kind, record.key}];
    if (record.version <= held.record.version) {
        return false;
    }
    const bool unknown = held.record.version == 0;
    Held before = record.kind == RecordKind::Configuration ? held : Held {};
    const bool changed = unknown ? !record.removed : (held.record.removed != record.removed || held.record.value != record.value);
    held.record = record;
    if (changed) {
        held.changedAt = record.version;
    }
    if (changed && !unknown && record.kind == RecordKind::Configuration) {
        keepEarlier(std::move(before));
    }
    return changed;
}

bool SiteRecords::merge(const RecordChanges &changes)
{
    if (!revisions().covers(changes.since)) {
        return false;
    }
    bool changed = false;
    for (const Record &record : changes.records) {
        // The other copy may hold records beyond its revision, where it lacks others.
        changed = take(record) || changed;
    }
    m_revisions.configuration = std::max(m_revisions.configuration, changes.revisions.configuration);
    m_revisions.endpoints = std::max(m_revisions.endpoints, changes.revisions.endpoints);
    return changed;
}

RecordRevisions SiteRecords::revisions() const
{
    RecordRevisions complete = m_revisions;
    for (const auto &[key, version] : m_expected) {
        std::uint64_t &revision = complete.forKind(key.first);
        revision = std::min(revision, version - 1);
    }
    return complete;
}

std::uint64_t SiteRecords::revision() const
{
    const RecordRevisions complete = revisions();
    return complete.configuration + complete.endpoints;
}

std::uint64_t SiteRecords::digest() const
{
    const RecordRevisions complete = revisions();
    return static_cast<std::uint32_t>(Base::combineHashes(complete.configuration, complete.endpoints));
}

std::vector<const Record *> SiteRecords::present(RecordKind kind) const
{
    std::vector<const Record *> found;
    for (const Held &held : m_records | std::views::values) {
        if (held.record.kind == kind && !held.record.removed && held.record.version > 0) {
            found.push_back(&held.record);
        }
    }
    return found;
}

std::vector<Record> SiteRecords::all() const
{
    std::vector<Record> records;
    std::ranges::transform(m_records | std::views::values, std::back_inserter(records), &Held::record);
    return records;
}

RecordChanges SiteRecords::changesSince(const RecordRevisions &since) const
{
    RecordChanges changes = changesSince(since, RecordKind::Configuration);
    RecordChanges ofEndpoints = changesSince(since, RecordKind::Endpoint);
    changes.since.endpoints = ofEndpoints.since.endpoints;
    changes.revisions.endpoints = ofEndpoints.revisions.endpoints;
    std::ranges::move(ofEndpoints.records, std::back_inserter(changes.records));
    return changes;
}

RecordChanges SiteRecords::changesSince(const RecordRevisions &since, RecordKind kind) const
{
    RecordChanges changes;
    changes.since.forKind(kind) = since.forKind(kind);
    changes.revisions.forKind(kind) = revisions().forKind(kind);
    for (const Held &held : m_records | std::views::values) {
        if (held.record.kind == kind && held.changedAt > since.forKind(kind)) {
            changes.records.push_back(held.record);
        }
    }
    return changes;
}

const Record *SiteRecords::configurationAt(std::uint64_t changedAt) const
{
    for (const Held &held : m_records | std::views::values) {
        if (held.record.kind == RecordKind::Configuration && held.changedAt == changedAt) {
            return &held.record;
        }
    }
    const auto earlier = std::ranges::find(m_earlier, changedAt, &Held::changedAt);
    return earlier == m_earlier.end() ? nullptr : &earlier->record;
}

void SiteRecords::keepEarlier(Held held)
{
    m_earlier.push_front(std::move(held));
    std::size_t bytes = 0;
    std::size_t kept = 0;
    for (const Held &earlier : m_earlier) {
        bytes += earlier.record.value.size();
        kept += kept == 0 || bytes <= mostEarlierBytes ? 1 : 0;
    }
    m_earlier.resize(std::min(kept, mostEarlier));
}

std::string changesToText(const RecordChanges &changes)
{
    nlohmann::json list = nlohmann::json::array();
    std::ranges::transform(changes.records, std::back_inserter(list), recordToJson);
    const nlohmann::json whole
        = {{"since", revisionsToJson(changes.since)}, {"revisions", revisionsToJson(changes.revisions)}, {"records", list}};
    return whole.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<RecordChanges> changesFromText(std::string_view text)
{
    const nlohmann::json whole = nlohmann::json::parse(text, nullptr, false);
    const bool complete
        = whole.is_object() && whole.contains("records") && whole.contains("since") && whole.contains("revisions");
    if (!complete || !whole["records"].is_array()) {
        return invalidRecord("expected an object with a list of records, and the revisions they lie between");
    }
    const auto since = revisionsFromJson(whole["since"]);
    const auto revisions = revisionsFromJson(whole["revisions"]);
    if (!since.ok() || !revisions.ok()) {
        return since.ok() ? revisions.status() : since.status();
    }
    RecordChanges changes {*since, *revisions, {}};
    for (const nlohmann::json &entry : whole["records"]) {
        auto record = recordFromJson(entry);
        if (!record.ok()) {
            return record.status();
        }
        changes.records.push_back(std::move(*record));
    }
    return changes;
}

} // namespace Yokepond::Configuration
