// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/schema.h"

#include "Base/address.h"
#include "Base/error.h"
#include "Base/hash.h"
#include "Base/text.h"

#include <fmt/format.h>

#include <numeric>
#include <vector>

namespace Yokepond::Configuration {

namespace {

constexpr std::int64_t hourMs = 3'600'000;
constexpr std::size_t digestDigits = 64;
constexpr std::size_t maxNameLength = 64;

constexpr std::array tierFields = {
    FieldSchema {.name = "rank", .type = FieldType::Integer, .required = true, .minimum = 1, .maximum = 100},
};

constexpr std::array classFields = {
    FieldSchema {.name = "tier", .type = FieldType::Reference, .required = true, .reference = Kind::Tier},
    FieldSchema {.name = "pool", .type = FieldType::Reference, .required = true, .reference = Kind::Pool},
    FieldSchema {.name = "repeatable", .type = FieldType::Flag, .fallback = "yes"},
    FieldSchema {.name = "first-token", .type = FieldType::Milliseconds, .fallback = "1400", .minimum = 1, .maximum = hourMs},
    FieldSchema {.name = "token-gap", .type = FieldType::Milliseconds, .fallback = "37", .minimum = 1, .maximum = hourMs},
    FieldSchema {.name = "deadline", .type = FieldType::Milliseconds, .fallback = "60000", .minimum = 10, .maximum = 24 * hourMs},
    FieldSchema {
        .name = "starvation-bound", .type = FieldType::Milliseconds, .fallback = "15000", .minimum = 10, .maximum = 24 * hourMs},
    FieldSchema {.name = "regions", .type = FieldType::Text, .fallback = ""},
};

constexpr std::array organisationFields = {
    FieldSchema {.name = "key", .type = FieldType::Digest, .required = true},
    FieldSchema {.name = "weight", .type = FieldType::Integer, .fallback = "1", .minimum = 1, .maximum = 1000},
    FieldSchema {.name = "default-class", .type = FieldType::Reference, .fallback = "", .reference = Kind::Class},
    FieldSchema {.name = "regions", .type = FieldType::Text, .fallback = ""},
};

constexpr std::array poolFields = {
    FieldSchema {.name = "kind", .type = FieldType::Choice, .fallback = "engine", .choices = "engine service"},
    FieldSchema {.name = "model", .type = FieldType::Text, .fallback = ""},
};

constexpr std::array endpointFields = {
    FieldSchema {.name = "pool", .type = FieldType::Reference, .required = true, .reference = Kind::Pool},
    FieldSchema {.name = "address", .type = FieldType::Address, .required = true},
    FieldSchema {.name = "data-centre", .type = FieldType::Text, .fallback = ""},
    FieldSchema {.name = "slots", .type = FieldType::Integer, .fallback = "8", .minimum = 1, .maximum = 100'000},
    FieldSchema {.name = "checks-orders", .type = FieldType::Flag, .fallback = "no"},
    FieldSchema {.name = "drained", .type = FieldType::Flag, .fallback = "no"},
};

constexpr std::array dataCentreFields = {
    FieldSchema {.name = "evacuated", .type = FieldType::Flag, .fallback = "no"},
    FieldSchema {.name = "region", .type = FieldType::Text, .fallback = ""},
};

constexpr std::array settingFields = {
    FieldSchema {.name = "value", .type = FieldType::Text, .required = true},
};

absl::Status invalid(const FieldSchema &field, std::string_view value, std::string_view expected)
{
    return Base::makeError(Base::ErrorKind::InvalidValue,
                           fmt::format("{}: expected {}, found '{}'", field.name, expected, value));
}

absl::StatusOr<std::string> canonicalInteger(const FieldSchema &field, std::string_view value)
{
    std::int64_t number = 0;
    if (!Base::parseInteger(value, &number) || number < field.minimum || number > field.maximum) {
        return invalid(field, value, fmt::format("a whole number from {} to {}", field.minimum, field.maximum));
    }
    return fmt::format("{}", number);
}

absl::StatusOr<std::string> canonicalMilliseconds(const FieldSchema &field, std::string_view value)
{
    struct Unit
    {
        std::string_view suffix;
        std::int64_t milliseconds;
    };
    constexpr std::array units = {Unit {"ms", 1}, Unit {"s", 1000}, Unit {"m", 60'000}, Unit {"h", hourMs}, Unit {"", 1}};
    const auto unit = std::ranges::find_if(units, [&](const Unit &candidate) { return value.ends_with(candidate.suffix); });
    std::int64_t number = 0;
    const bool parsed = Base::parseInteger(value.substr(0, value.size() - unit->suffix.size()), &number);
    if (!parsed || number < 0 || number > field.maximum || number * unit->milliseconds < field.minimum
        || number * unit->milliseconds > field.maximum) {
        return invalid(field, value,
                       fmt::format("a duration from {}ms to {}ms, such as 250ms, 2s or 1m", field.minimum, field.maximum));
    }
    return fmt::format("{}", number * unit->milliseconds);
}

bool isHexadecimal(char character)
{
    return absl::ascii_isxdigit(static_cast<unsigned char>(character));
}

} // namespace

std::span<const FieldSchema> fieldsOf(Kind kind)
{
    switch (kind) {
    case Kind::Tier:
        return tierFields;
    case Kind::Class:
        return classFields;
    case Kind::Organisation:
        return organisationFields;
    case Kind::Pool:
        return poolFields;
    case Kind::Endpoint:
        return endpointFields;
    case Kind::Setting:
        return settingFields;
    case Kind::DataCentre:
        return dataCentreFields;
    }
    return {};
}

absl::StatusOr<std::string> canonicalValue(const FieldSchema &field, std::string_view value)
{
    switch (field.type) {
    case FieldType::Integer:
        return canonicalInteger(field, value);
    case FieldType::Milliseconds:
        return canonicalMilliseconds(field, value);
    case FieldType::Flag:
        if (value != "yes" && value != "no") {
            return invalid(field, value, "yes or no");
        }
        break;
    case FieldType::Choice: {
        const std::vector<std::string_view> choices = Base::split(field.choices, ' ');
        if (std::ranges::find(choices, value) == choices.end()) {
            return invalid(field, value, fmt::format("one of: {}", field.choices));
        }
        break;
    }
    case FieldType::Reference:
        if (!value.empty() && !validName(value)) {
            return invalid(field, value, fmt::format("the name of a {}", Base::nameOf(kindNames, field.reference)));
        }
        break;
    case FieldType::Address:
        if (!Base::parseAddress(value).ok()) {
            return invalid(field, value, "an IPv4 address and a port such as 10.0.0.1:8000");
        }
        break;
    case FieldType::Digest:
        if (value.size() == digestDigits && std::ranges::all_of(value, isHexadecimal)) {
            return Base::lowerCase(value);
        }
        return Base::sha256(value);
    case FieldType::Text:
        break;
    }
    return std::string(value);
}

bool validName(std::string_view name)
{
    const auto allowed = [](char character) {
        return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_'
            || character == '.';
    };
    return !name.empty() && name.size() <= maxNameLength && absl::ascii_isalnum(static_cast<unsigned char>(name.front()))
        && std::ranges::all_of(name, allowed);
}

std::string nearestWord(std::string_view word, std::span<const std::string> candidates)
{
    // Computes the Levenshtein distance one row of the matrix at a time.
    const auto distance = [&](std::string_view other) {
        std::vector<std::size_t> row(other.size() + 1);
        std::iota(row.begin(), row.end(), std::size_t {0});
        for (std::size_t left = 1; left <= word.size(); ++left) {
            std::size_t diagonal = std::exchange(row[0], left);
            for (std::size_t right = 1; right <= other.size(); ++right) {
                const std::size_t replaced = diagonal + (word[left - 1] == other[right - 1] ? 0 : 1);
                diagonal = row[right];
                row[right] = std::min({replaced, row[right] + 1, row[right - 1] + 1});
            }
        }
        return row.back();
    };
    const auto nearest = std::ranges::min_element(candidates, {}, distance);
    const std::size_t maxDistance = std::max<std::size_t>(2, word.size() / 3);
    return nearest == candidates.end() || distance(*nearest) > maxDistance ? std::string() : *nearest;
}

} // namespace Yokepond::Configuration
