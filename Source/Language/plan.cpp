// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Language/plan.h"

#include "Base/error.h"
#include "Configuration/catalogue.h"

#include <fmt/format.h>

#include <algorithm>

namespace Yokepond::Language {

namespace {

using Base::ErrorKind;
using Base::makeError;
using Configuration::FieldSchema;
using Configuration::FieldType;
using Configuration::FieldValue;
using Configuration::Kind;
using Configuration::Mutation;
using Configuration::Object;
using Configuration::Objects;

std::string_view kindName(Kind kind)
{
    return Base::nameOf(Configuration::kindNames, kind);
}

std::vector<std::string> namesOf(const Objects &objects, Kind kind)
{
    std::vector<std::string> names;
    std::ranges::transform(objects.all(kind), std::back_inserter(names), &Object::name);
    return names;
}

absl::Status unknownName(const Objects &objects, Kind kind, std::string_view name)
{
    const std::string nearest = Configuration::nearestWord(name, namesOf(objects, kind));
    const std::string hint = nearest.empty() ? "" : fmt::format("; did you mean '{}'?", nearest);
    return makeError(ErrorKind::UnknownName, fmt::format("there is no {} '{}'{}", kindName(kind), name, hint));
}

/// Applies commands one after another to a copy of the configuration and collects the resulting mutations.
class Planner
{
public:
    explicit Planner(const Objects &objects)
        : m_objects(objects)
    {
    }

    absl::Status operator()(const Create &command)
    {
        if (m_objects.find(command.kind, command.name) != nullptr) {
            return makeError(ErrorKind::AlreadyExists,
                             fmt::format("{} '{}' already exists; use set to change it", kindName(command.kind), command.name));
        }
        Object object {command.kind, command.name, m_objects.nextNumber(), {}};
        for (const FieldSchema &field : Configuration::fieldsOf(command.kind)) {
            const auto given = std::ranges::find(command.fields, field.name, &FieldValue::field);
            if (given == command.fields.end() && field.required) {
                return makeError(ErrorKind::InvalidValue,
                                 fmt::format("{} '{}' needs the field {}", kindName(command.kind), command.name, field.name));
            }
            object.fields.push_back(
                {std::string(field.name), given == command.fields.end() ? std::string(field.fallback) : given->value});
        }
        return validateAndAdd(std::move(object));
    }

    absl::Status operator()(const Set &command)
    {
        const Object *existing = m_objects.find(command.kind, command.name);
        if (existing == nullptr) {
            return unknownName(m_objects, command.kind, command.name);
        }
        Object object = *existing;
        for (const FieldValue &given : command.fields) {
            std::ranges::find(object.fields, given.field, &FieldValue::field)->value = given.value;
        }
        return validateAndAdd(std::move(object));
    }

    absl::Status operator()(const Delete &command)
    {
        const Object *existing = m_objects.find(command.kind, command.name);
        if (existing == nullptr) {
            return unknownName(m_objects, command.kind, command.name);
        }
        if (const Object *referringObject = m_objects.referrer(command.kind, command.name)) {
            return makeError(ErrorKind::InUse,
                             fmt::format("{} '{}' is used by {} '{}'; change or delete that one first", kindName(command.kind),
                                         command.name, kindName(referringObject->kind), referringObject->name));
        }
        add({Object {command.kind, command.name, existing->number, {}}, true});
        return absl::OkStatus();
    }

    absl::Status operator()(const Drain &command)
    {
        return (*this)(Set {Kind::Endpoint, command.endpoint, {{"drained", command.drained ? "yes" : "no"}}});
    }

    absl::Status operator()(const Evacuate &command)
    {
        const std::vector<FieldValue> fields = {{"evacuated", command.evacuated ? "yes" : "no"}};
        const bool exists = m_objects.find(Kind::DataCentre, command.dataCentre) != nullptr;
        return exists || !command.evacuated ? (*this)(Set {Kind::DataCentre, command.dataCentre, fields})
                                            : (*this)(Create {Kind::DataCentre, command.dataCentre, fields});
    }

    absl::Status operator()(const CancelRequest &)
    {
        return makeError(ErrorKind::InvalidValue,
                         "cancel request takes effect immediately and cannot be combined with other commands in a transaction");
    }

    absl::Status operator()(const ReleaseWork &)
    {
        return makeError(ErrorKind::InvalidValue,
                         "release work takes effect immediately and cannot be combined with other commands in a transaction");
    }

    std::vector<Mutation> takeMutations()
    {
        return std::move(m_mutations);
    }

private:
    absl::Status validateAndAdd(Object object)
    {
        if (absl::Status status = checkReferences(object); !status.ok()) {
            return status;
        }
        if (absl::Status status = checkUnique(object); !status.ok()) {
            return status;
        }
        if (object.kind == Kind::Setting) {
            if (absl::Status status = checkSetting(object); !status.ok()) {
                return status;
            }
        }
        add({std::move(object), false});
        return absl::OkStatus();
    }

    absl::Status checkReferences(const Object &object) const
    {
        for (const FieldSchema &field : Configuration::fieldsOf(object.kind)) {
            const std::string_view name = object.value(field.name);
            const bool mustExist = field.type == FieldType::Reference && (!name.empty() || field.required);
            if (mustExist && m_objects.find(field.reference, name) == nullptr) {
                return unknownName(m_objects, field.reference, name);
            }
        }
        return absl::OkStatus();
    }

    /// Rejects a value that must be unique within its kind: an organisation's key, a tier's rank or an endpoint's address.
    /// Two objects with the same value would be indistinguishable.
    absl::Status checkUnique(const Object &object) const
    {
        const std::string_view field = uniqueField(object.kind);
        if (field.empty()) {
            return absl::OkStatus();
        }
        for (const Object *other : m_objects.all(object.kind)) {
            if (other->name != object.name && other->value(field) == object.value(field)) {
                return makeError(
                    ErrorKind::InvalidValue,
                    fmt::format("{} '{}' has the same {} as '{}'", kindName(object.kind), object.name, field, other->name));
            }
        }
        return absl::OkStatus();
    }

    static std::string_view uniqueField(Kind kind)
    {
        switch (kind) {
        case Kind::Tier:
            return "rank";
        case Kind::Organisation:
            return "key";
        case Kind::Endpoint:
            return "address";
        case Kind::Class:
        case Kind::Pool:
        case Kind::Setting:
        case Kind::DataCentre:
            return {};
        }
        return {};
    }

    static absl::Status checkSetting(Object &object)
    {
        const auto settings = Configuration::settingSchemas();
        const auto schema = std::ranges::find(settings, std::string_view(object.name), &Configuration::SettingSchema::name);
        if (schema == settings.end()) {
            std::vector<std::string> names;
            std::ranges::transform(settings, std::back_inserter(names),
                                   [](const auto &setting) { return std::string(setting.name); });
            const std::string nearest = Configuration::nearestWord(object.name, names);
            return makeError(ErrorKind::UnknownName,
                             fmt::format("there is no setting '{}'{}", object.name,
                                         nearest.empty() ? "" : fmt::format("; did you mean '{}'?", nearest)));
        }
        const auto value = Configuration::canonicalValue(schema->value, object.value("value"));
        if (!value.ok()) {
            return value.status();
        }
        object.fields.front().value = *value;
        return absl::OkStatus();
    }

    void add(Mutation mutation)
    {
        m_objects.mutate(mutation);
        m_mutations.push_back(std::move(mutation));
    }

    Objects m_objects;
    std::vector<Mutation> m_mutations;
};

} // namespace

absl::StatusOr<std::vector<Mutation>> plan(const Objects &objects, const std::vector<Command> &commands)
{
    Planner planner(objects);
    for (const Command &command : commands) {
        if (absl::Status status = std::visit(planner, command); !status.ok()) {
            return status;
        }
    }
    return planner.takeMutations();
}

} // namespace Yokepond::Language
