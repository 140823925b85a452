// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The operators' language: queries and commands as types, and their parser. The grammar is in docs/LANGUAGE.md.

#pragma once

#include "Configuration/objects.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Yokepond::Language {

// Commands

struct Create
{
    Configuration::Kind kind = Configuration::Kind::Tier;
    std::string name;
    std::vector<Configuration::FieldValue> fields;
};

struct Set
{
    Configuration::Kind kind = Configuration::Kind::Tier;
    std::string name;
    std::vector<Configuration::FieldValue> fields;
};

struct Delete
{
    Configuration::Kind kind = Configuration::Kind::Tier;
    std::string name;
};

/// `drain endpoint` and `resume endpoint`.
struct Drain
{
    std::string endpoint;
    bool drained = true;
};

/// Acts on a request under way; not part of the configuration.
struct CancelRequest
{
    std::string id;
};

/// Lets work run again that is held because endpoints ended under it; not part of the configuration.
struct ReleaseWork
{
    std::string work;
};

using Command = std::variant<Create, Set, Delete, Drain, CancelRequest, ReleaseWork>;

// Queries

enum class Subject {
    Requests,
    Classes,
    Tiers,
    Organisations,
    Pools,
    Endpoints,
    Hosts,
    Dispatchers,
    Duties,
    Quarantine,
    Changes,
    Settings
};

inline constexpr Base::NameTable<Subject, 12> subjectNames = {{
    {Subject::Requests, "requests"},
    {Subject::Classes, "classes"},
    {Subject::Tiers, "tiers"},
    {Subject::Organisations, "organisations"},
    {Subject::Pools, "pools"},
    {Subject::Endpoints, "endpoints"},
    {Subject::Hosts, "hosts"},
    {Subject::Dispatchers, "dispatchers"},
    {Subject::Duties, "duties"},
    {Subject::Quarantine, "quarantine"},
    {Subject::Changes, "changes"},
    {Subject::Settings, "settings"},
}};

enum class Comparison { Equal, NotEqual, Less, Greater };

struct Condition
{
    std::string field;
    Comparison comparison = Comparison::Equal;
    std::string value;
};

struct Ordering
{
    std::string field;
    bool descending = false;
};

struct Show
{
    Subject subject = Subject::Hosts;
    std::vector<Condition> conditions;
    std::optional<Ordering> ordering;
    std::optional<std::size_t> limit;
};

enum class WhySubject { Request, Endpoint, Class };

inline constexpr Base::NameTable<WhySubject, 3> whySubjectNames = {{
    {WhySubject::Request, "request"},
    {WhySubject::Endpoint, "endpoint"},
    {WhySubject::Class, "class"},
}};

struct Why
{
    WhySubject subject = WhySubject::Request;
    std::string name;
};

using Query = std::variant<Show, Why>;

/// Parses one query. Fails with ErrorKind::Syntax or ErrorKind::UnknownName; the message names the column.
absl::StatusOr<Query> parseQuery(std::string_view text);

/// Parses one command. Fails like parseQuery().
absl::StatusOr<Command> parseCommand(std::string_view text);

/// Parses many commands, one a line or separated by ';'. Empty lines and those beginning with '#' are passed over.
/// Errors name the line as well.
absl::StatusOr<std::vector<Command>> parseCommands(std::string_view text);

} // namespace Yokepond::Language
