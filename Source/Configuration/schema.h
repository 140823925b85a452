// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The kinds of configured objects, and the fields of each kind.

#pragma once

#include "Base/names.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Yokepond::Configuration {

enum class Kind { Tier, Class, Organisation, Pool, Endpoint, Setting, DataCentre };

inline constexpr Base::NameTable<Kind, 7> kindNames = {{
    {Kind::Tier, "tier"},
    {Kind::Class, "class"},
    {Kind::Organisation, "organisation"},
    {Kind::Pool, "pool"},
    {Kind::Endpoint, "endpoint"},
    {Kind::Setting, "setting"},
    {Kind::DataCentre, "data-centre"},
}};

enum class FieldType {
    Integer, ///< from minimum to maximum
    Milliseconds, ///< with a unit (250ms, 2s, 1m, 1h), or whole milliseconds; from minimum to maximum
    Flag, ///< yes or no
    Text,
    Choice, ///< one of the words in choices
    Reference, ///< name of an object of the kind `reference`
    Address, ///< ip:port
    Digest, ///< SHA-256 in 64 hexadecimal digits; any other value is taken for a plain key and hashed
};

/// A field that objects of a kind have.
struct FieldSchema
{
    std::string_view name;
    FieldType type = FieldType::Text;
    std::string_view fallback; ///< canonical text used if the field is not given
    bool required = false;
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::string_view choices; ///< separated by spaces
    Kind reference = Kind::Tier;
};

/// Returns the fields of @p kind in the order in which they are shown.
std::span<const FieldSchema> fieldsOf(Kind kind);

/// Returns the canonical text of @p value for @p field. Fails with ErrorKind::InvalidValue and a message that describes the
/// expected values. Does not check whether the object of a reference exists.
absl::StatusOr<std::string> canonicalValue(const FieldSchema &field, std::string_view value);

/// Returns whether @p name is valid as an object's name: letters, digits, '-', '_' and '.', at most 64 characters, of which the
/// first is a letter or digit.
bool validName(std::string_view name);

/// Returns the word of @p candidates with the smallest edit distance to @p word, or an empty text if none is close.
std::string nearestWord(std::string_view word, std::span<const std::string> candidates);

} // namespace Yokepond::Configuration
