// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The configuration as a set of named objects, and the changes that lead from one revision to the next.

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
    std::uint32_t number = 0; ///< never used again for another object; 0 names none
    std::vector<FieldValue> fields; ///< all fields of the kind, in the schema's order

    bool operator==(const Object &) const = default;

    /// The canonical text of @p field, or an empty text.
    std::string_view value(std::string_view field) const;
};

/// One object set to a new state, or removed.
struct Mutation
{
    Object object; ///< without fields if removed
    bool removed = false;
};

/// An accepted change: the step from the revision before it to its own.
struct Change
{
    std::uint64_t revision = 0;
    std::string id; ///< chosen by the committing host, unique
    std::int64_t atMicroseconds = 0; ///< wall clock of the committing host
    std::string author; ///< operator
    std::string reason;
    std::vector<Mutation> mutations;
};

/// All objects at one revision.
class Objects
{
public:
    std::uint64_t revision() const;

    /// The object called @p name, or null.
    const Object *find(Kind kind, std::string_view name) const;

    /// All objects of @p kind by name.
    std::vector<const Object *> all(Kind kind) const;

    /// The number the next new object gets.
    std::uint32_t nextNumber() const;

    /// The first object that refers to the one named, or null.
    const Object *referrer(Kind kind, std::string_view name) const;

    /// Sets or removes one object; the revision stays.
    void mutate(const Mutation &mutation);

    /// Applies @p change, whose revision must be the next.
    void apply(const Change &change);

    bool operator==(const Objects &) const = default;

    nlohmann::json toJson() const;

    /// Fails with ErrorKind::InvalidValue if @p json does not have the form toJson() gives.
    static absl::StatusOr<Objects> fromJson(const nlohmann::json &json);

private:
    using Key = std::pair<Kind, std::string>;

    std::uint64_t m_revision = 0;
    std::uint32_t m_nextNumber = 1;
    std::map<Key, Object> m_objects;
};

nlohmann::json changeToJson(const Change &change);

/// Fails with ErrorKind::InvalidValue.
absl::StatusOr<Change> changeFromJson(const nlohmann::json &json);

/// @p text as JSON; a value of type `discarded` if it is malformed.
nlohmann::json parseJson(std::string_view text);

} // namespace Yokepond::Configuration
