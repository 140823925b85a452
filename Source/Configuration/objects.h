// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The configuration as a set of named objects, and the changes from one revision to the next.

#pragma once

#include "Configuration/schema.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Yokepond::Configuration {

struct FieldValue
{
    std::string field;
    std::string value; ///< canonical text

    bool operator==(const FieldValue &) const = default;
};

struct Object
{
    Kind kind = Kind::Tier;
    std::string name;
    std::uint32_t number = 0; ///< never reused for another object; 0 stands for no object
    std::vector<FieldValue> fields; ///< all fields of the kind, in the schema's order

    bool operator==(const Object &) const = default;

    /// Returns the canonical text of @p field, or an empty text if the object does not have it.
    std::string_view value(std::string_view field) const;
};

/// Sets one object to a new state, or removes it.
struct Mutation
{
    Object object; ///< without fields if it is removed
    bool removed = false;
};

/// An accepted change, which leads from the previous revision to its own.
struct Change
{
    std::uint64_t revision = 0;
    std::string id; ///< unique, chosen by the committing host
    std::int64_t atMicroseconds = 0; ///< wall clock of the committing host
    std::string author; ///< name of the operator
    std::string reason;
    std::vector<Mutation> mutations;
};

/// All configured objects at one revision.
class Objects
{
public:
    std::uint64_t revision() const;

    /// Returns the object called @p name, or null.
    const Object *find(Kind kind, std::string_view name) const;

    /// Returns all objects of @p kind, sorted by name.
    std::vector<const Object *> all(Kind kind) const;

    /// Returns the number for the next new object.
    std::uint32_t nextNumber() const;

    /// Returns the first object that refers to the object of @p kind called @p name, or null.
    const Object *referrer(Kind kind, std::string_view name) const;

    /// Sets or removes one object without changing the revision.
    void mutate(const Mutation &mutation);

    /// Applies @p change, whose revision must be the next one.
    void apply(const Change &change);

    bool operator==(const Objects &) const = default;

    nlohmann::json toJson() const;

    /// Parses the format that toJson() returns. Fails with ErrorKind::InvalidValue.
    static absl::StatusOr<Objects> fromJson(const nlohmann::json &json);

private:
    using Key = std::pair<Kind, std::string>;

    std::uint64_t m_revision = 0;
    std::uint32_t m_nextNumber = 1;
    std::map<Key, Object> m_objects;
};

nlohmann::json changeToJson(const Change &change);

/// Parses the format that changeToJson() returns. Fails with ErrorKind::InvalidValue.
absl::StatusOr<Change> changeFromJson(const nlohmann::json &json);

/// Parses @p text as JSON. Returns a value of type `discarded` if it is malformed or too deeply nested.
nlohmann::json parseJson(std::string_view text);

} // namespace Yokepond::Configuration
