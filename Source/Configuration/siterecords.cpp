// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/siterecords.h"

#include "Base/error.h"

#include <algorithm>
#include <ranges>

namespace Yokepond::Configuration {

namespace {

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

} // namespace

bool SiteRecords::merge(const Record &record)
{
    Record &held = m_records[{record.kind, record.key}];
    if (record.version <= held.version) {
        return false;
    }
    const bool unknown = held.version == 0;
    const bool changed = unknown ? !record.removed : (held.removed != record.removed || held.value != record.value);
    held = record;
    if (changed) {
        m_revision = std::max(m_revision, record.version);
    }
    return changed;
}

bool SiteRecords::merge(const SiteRecords &other)
{
    bool changed = false;
    for (const Record &record : other.m_records | std::views::values) {
        changed = merge(record) || changed;
    }
    raiseRevision(other.m_revision);
    return changed;
}

void SiteRecords::raiseRevision(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
}

std::uint64_t SiteRecords::revision() const
{
    return m_revision;
}

std::vector<const Record *> SiteRecords::present(RecordKind kind) const
{
    std::vector<const Record *> found;
    for (const Record &record : m_records | std::views::values) {
        if (record.kind == kind && !record.removed && record.version > 0) {
            found.push_back(&record);
        }
    }
    return found;
}

std::vector<Record> SiteRecords::all() const
{
    std::vector<Record> records;
    std::ranges::copy(m_records | std::views::values, std::back_inserter(records));
    return records;
}

std::string recordsToText(const SiteRecords &records)
{
    nlohmann::json list = nlohmann::json::array();
    std::ranges::transform(records.all(), std::back_inserter(list), recordToJson);
    const nlohmann::json whole = {{"revision", records.revision()}, {"records", list}};
    return whole.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<SiteRecords> recordsFromText(std::string_view text)
{
    const nlohmann::json whole = nlohmann::json::parse(text, nullptr, false);
    const bool complete = whole.is_object() && whole.contains("records") && whole.contains("revision");
    if (!complete || !whole["records"].is_array() || !whole["revision"].is_number_unsigned()) {
        return invalidRecord("expected an object with a list of records and their revision");
    }
    SiteRecords records;
    for (const nlohmann::json &entry : whole["records"]) {
        const auto record = recordFromJson(entry);
        if (!record.ok()) {
            return record.status();
        }
        records.merge(*record);
    }
    records.raiseRevision(whole["revision"].get<std::uint64_t>());
    return records;
}

} // namespace Yokepond::Configuration
