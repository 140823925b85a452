// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/objects.h"

#include "Base/error.h"
#include "Base/json.h"

#include <fmt/format.h>

#include <algorithm>

namespace Yokepond::Configuration {

namespace {

nlohmann::json objectToJson(const Object &object)
{
    nlohmann::json fields = nlohmann::json::object();
    for (const FieldValue &entry : object.fields) {
        fields[entry.field] = entry.value;
    }
    return {{"kind", Base::nameOf(kindNames, object.kind)}, {"name", object.name}, {"number", object.number}, {"fields", fields}};
}

/// Parses an object. Drops unknown fields, which a newer release may have written, and sets missing fields to their fallback.
Object objectFromJson(const nlohmann::json &json)
{
    const auto kind = Base::valueOf(kindNames, json.at("kind").get<std::string>());
    if (!kind) {
        throw nlohmann::json::other_error::create(0, "unknown kind", &json);
    }
    Object object {*kind, json.at("name").get<std::string>(), json.at("number").get<std::uint32_t>(), {}};
    const nlohmann::json &fields = json.at("fields");
    for (const FieldSchema &field : fieldsOf(*kind)) {
        object.fields.push_back({std::string(field.name), fields.value(field.name, std::string(field.fallback))});
    }
    return object;
}

} // namespace

std::string_view Object::value(std::string_view field) const
{
    const auto entry = std::ranges::find(fields, field, &FieldValue::field);
    return entry == fields.end() ? std::string_view() : std::string_view(entry->value);
}

std::uint64_t Objects::revision() const
{
    return m_revision;
}

const Object *Objects::find(Kind kind, std::string_view name) const
{
    const auto entry = m_objects.find({kind, std::string(name)});
    return entry == m_objects.end() ? nullptr : &entry->second;
}

std::vector<const Object *> Objects::all(Kind kind) const
{
    std::vector<const Object *> found;
    for (const auto &[key, object] : m_objects) {
        if (key.first == kind) {
            found.push_back(&object);
        }
    }
    return found;
}

std::uint32_t Objects::nextNumber() const
{
    return m_nextNumber;
}

const Object *Objects::referrer(Kind kind, std::string_view name) const
{
    const auto refers = [&](const auto &entry) {
        return std::ranges::any_of(fieldsOf(entry.first.first), [&](const FieldSchema &field) {
            return field.type == FieldType::Reference && field.reference == kind && entry.second.value(field.name) == name;
        });
    };
    const auto entry = std::ranges::find_if(m_objects, refers);
    return entry == m_objects.end() ? nullptr : &entry->second;
}

void Objects::mutate(const Mutation &mutation)
{
    const Key key {mutation.object.kind, mutation.object.name};
    if (mutation.removed) {
        m_objects.erase(key);
        return;
    }
    m_objects[key] = mutation.object;
    m_nextNumber = std::max(m_nextNumber, mutation.object.number + 1);
}

void Objects::apply(const Change &change)
{
    std::ranges::for_each(change.mutations, [this](const Mutation &mutation) { mutate(mutation); });
    m_revision = change.revision;
}

nlohmann::json Objects::toJson() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[key, object] : m_objects) {
        list.push_back(objectToJson(object));
    }
    return {{"revision", m_revision}, {"nextNumber", m_nextNumber}, {"objects", list}};
}

absl::StatusOr<Objects> Objects::fromJson(const nlohmann::json &json)
{
    try {
        Objects objects;
        for (const nlohmann::json &entry : json.at("objects")) {
            objects.mutate({objectFromJson(entry), false});
        }
        objects.m_revision = json.at("revision").get<std::uint64_t>();
        objects.m_nextNumber = std::max(objects.m_nextNumber, json.at("nextNumber").get<std::uint32_t>());
        return objects;
    } catch (const nlohmann::json::exception &exception) {
        return Base::makeError(Base::ErrorKind::InvalidValue, fmt::format("not a configuration snapshot: {}", exception.what()));
    }
}

nlohmann::json changeToJson(const Change &change)
{
    nlohmann::json mutations = nlohmann::json::array();
    for (const Mutation &mutation : change.mutations) {
        nlohmann::json entry = objectToJson(mutation.object);
        entry["removed"] = mutation.removed;
        mutations.push_back(std::move(entry));
    }
    return {{"revision", change.revision}, {"id", change.id},         {"at", change.atMicroseconds},
            {"by", change.author},         {"reason", change.reason}, {"mutations", std::move(mutations)}};
}

absl::StatusOr<Change> changeFromJson(const nlohmann::json &json)
{
    try {
        Change change;
        change.revision = json.at("revision").get<std::uint64_t>();
        change.id = json.at("id").get<std::string>();
        change.atMicroseconds = json.at("at").get<std::int64_t>();
        change.author = json.at("by").get<std::string>();
        change.reason = json.at("reason").get<std::string>();
        for (const nlohmann::json &entry : json.at("mutations")) {
            change.mutations.push_back({objectFromJson(entry), entry.at("removed").get<bool>()});
        }
        return change;
    } catch (const nlohmann::json::exception &exception) {
        return Base::makeError(Base::ErrorKind::InvalidValue, fmt::format("not a change record: {}", exception.what()));
    }
}

nlohmann::json parseJson(std::string_view text)
{
    return Base::decodeJsonOrDiscard(text);
}

} // namespace Yokepond::Configuration
