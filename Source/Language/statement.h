// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The operators' language: types for its queries and commands, and their parser. docs/LANGUAGE.md has the grammar.

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

/// The commands `drain endpoint` (drained is true) and `resume endpoint` (drained is false).
struct Drain
{
    std::string endpoint;
    bool drained = true;
};

/// The commands `evacuate data-centre` (evacuated is true) and `resume data-centre` (evacuated is false). The endpoints of an
/// evacuated data centre get no new requests.
struct Evacuate
{
    std::string dataCentre;
    bool evacuated = true;
};

/// Cancels a request that is in progress. This takes effect immediately and does not change the configuration.
struct CancelRequest
{
    std::string id;
};

/// Ends the quarantine of requests with the same content (`work`), which were quarantined because endpoints crashed while they
/// ran them. This takes effect immediately and does not change the configuration.
struct ReleaseWork
{
    std::string work; ///< hash of the content of the requests, as `show quarantine` lists it
};

using Command = std::variant<Create, Set, Delete, Drain, Evacuate, CancelRequest, ReleaseWork>;

// Queries

enum class Subject {
    Requests,
    Classes,
    Tiers,
    Organisations,
    Pools,
    Endpoints,
    DataCentres,
    Hosts,
    Dispatchers,
    Duties,
    Quarantine,
    Changes,
    Settings
};

inline constexpr Base::NameTable<Subject, 13> subjectNames = {{
    {Subject::Requests, "requests"},
    {Subject::Classes, "classes"},
    {Subject::Tiers, "tiers"},
    {Subject::Organisations, "organisations"},
    {Subject::Pools, "pools"},
    {Subject::Endpoints, "endpoints"},
    {Subject::DataCentres, "data-centres"},
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

/// Parses one query. Returns ErrorKind::Syntax for text that does not match the grammar; the message names the column.
absl::StatusOr<Query> parseQuery(std::string_view text);

/// Parses one command. Returns ErrorKind::Syntax, or the error of the field's type (such as ErrorKind::InvalidValue) for a value
/// that the field does not accept; the message names the column.
absl::StatusOr<Command> parseCommand(std::string_view text);

/// Parses commands that are separated by line breaks or ';'. Skips empty commands and lines that begin with '#'.
/// Returns the first error; its message names the line and the column. A column counts from the start of its command.
absl::StatusOr<std::vector<Command>> parseCommands(std::string_view text);

} // namespace Yokepond::Language
