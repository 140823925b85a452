// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Language/statement.h"

#include "Base/error.h"
#include "Base/text.h"

#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include <algorithm>
#include <ranges>

namespace Yokepond::Language {

namespace {

using Configuration::FieldSchema;
using Configuration::FieldValue;
using Configuration::Kind;

struct Token
{
    std::string text;
    std::size_t column = 1;
    bool quoted = false;
};

constexpr std::string_view comparisonCharacters = "=!<>";

absl::Status syntaxError(std::size_t column, std::string_view expected, std::string_view found, std::string_view nearest = {})
{
    const std::string hint = nearest.empty() ? "" : fmt::format("; did you mean '{}'?", nearest);
    const std::string foundText = found.empty() ? "the end" : fmt::format("'{}'", found);
    return Base::makeError(Base::ErrorKind::Syntax,
                           fmt::format("column {}: expected {}, found {}{}", column, expected, foundText, hint));
}

absl::StatusOr<Token> readQuoted(std::string_view text, std::size_t &position)
{
    Token token {{}, position + 1, true};
    for (++position; position < text.size(); ++position) {
        if (text[position] == '"') {
            ++position;
            return token;
        }
        if (text[position] == '\\' && position + 1 < text.size()) {
            ++position;
        }
        token.text += text[position];
    }
    return syntaxError(token.column, "a closing quotation mark", "");
}

Token readWhile(std::string_view text, std::size_t &position, const auto &matches)
{
    const std::size_t begin = position;
    while (position < text.size() && matches(text[position])) {
        ++position;
    }
    return {std::string(text.substr(begin, position - begin)), begin + 1, false};
}

absl::StatusOr<std::vector<Token>> tokenise(std::string_view text)
{
    const auto isComparison = [](char character) { return comparisonCharacters.find(character) != std::string_view::npos; };
    const auto isSpace = [](char character) { return absl::ascii_isspace(static_cast<unsigned char>(character)); };
    const auto isWord = [&](char character) { return !isComparison(character) && !isSpace(character) && character != '"'; };
    std::vector<Token> tokens;
    for (std::size_t position = 0; position < text.size();) {
        if (isSpace(text[position])) {
            ++position;
        } else if (text[position] == '"') {
            auto token = readQuoted(text, position);
            if (!token.ok()) {
                return token.status();
            }
            tokens.push_back(std::move(*token));
        } else if (isComparison(text[position])) {
            tokens.push_back(readWhile(text, position, isComparison));
        } else {
            tokens.push_back(readWhile(text, position, isWord));
        }
    }
    return tokens;
}

/// Reads the tokens of one statement in order. It keeps the first error; after an error the consume functions return empty or
/// default values, so that most callers need no check of their own.
class TokenReader
{
public:
    explicit TokenReader(std::string_view text)
        : m_length(text.size())
    {
        auto tokens = tokenise(text);
        if (tokens.ok()) {
            m_tokens = std::move(*tokens);
        } else {
            m_error = tokens.status();
        }
    }

    bool atEnd() const
    {
        return m_next >= m_tokens.size();
    }

    const absl::Status &error() const
    {
        return m_error;
    }

    std::size_t column() const
    {
        return atEnd() ? m_length + 1 : m_tokens[m_next].column;
    }

    std::string peek() const
    {
        return atEnd() ? std::string() : m_tokens[m_next].text;
    }

    void setSyntaxError(std::string_view expected, std::string_view nearest = {})
    {
        if (m_error.ok()) {
            m_error = syntaxError(column(), expected, peek(), nearest);
        }
    }

    void setError(const absl::Status &error)
    {
        if (m_error.ok()) {
            m_error = error;
        }
    }

    /// Consumes the next token and returns its text. If there is none, sets a syntax error that says what was @p expected.
    std::string consume(std::string_view expected)
    {
        if (!m_error.ok() || atEnd()) {
            setSyntaxError(expected);
            return {};
        }
        return m_tokens[m_next++].text;
    }

    /// Consumes the next token if it is the unquoted @p word. Returns whether it did.
    bool consumeIf(std::string_view word)
    {
        if (!m_error.ok() || atEnd() || m_tokens[m_next].quoted || m_tokens[m_next].text != word) {
            return false;
        }
        ++m_next;
        return true;
    }

    void require(std::string_view word)
    {
        if (!consumeIf(word)) {
            setSyntaxError(fmt::format("'{}'", word));
        }
    }

    /// Consumes the next token as a name of @p table and returns the value of that name. An error suggests the nearest name.
    template<typename Enum, std::size_t Size>
    Enum consumeEnum(const Base::NameTable<Enum, Size> &table, std::string_view description)
    {
        const auto value = Base::valueOf(table, peek());
        if (!m_error.ok() || !value) {
            const std::vector<std::string> words = namesOf(table);
            setSyntaxError(fmt::format("{}: {}", description, absl::StrJoin(words, ", ")),
                           Configuration::nearestWord(peek(), words));
            return table.front().first;
        }
        ++m_next;
        return *value;
    }

    std::string consumeName(std::string_view description)
    {
        if (!Configuration::validName(peek())) {
            setSyntaxError(fmt::format("{} (letters, digits, '-', '_', '.'; at most 64)", description));
            return {};
        }
        return consume(description);
    }

    void requireEnd()
    {
        if (!atEnd()) {
            setSyntaxError("the end of the statement");
        }
    }

private:
    template<typename Enum, std::size_t Size>
    static std::vector<std::string> namesOf(const Base::NameTable<Enum, Size> &table)
    {
        std::vector<std::string> names;
        std::ranges::transform(table, std::back_inserter(names), [](const auto &entry) { return std::string(entry.second); });
        return names;
    }

    std::size_t m_length;
    std::vector<Token> m_tokens;
    std::size_t m_next = 0;
    absl::Status m_error;
};

std::vector<std::string> fieldNames(Kind kind)
{
    std::vector<std::string> names;
    std::ranges::transform(Configuration::fieldsOf(kind), std::back_inserter(names),
                           [](const FieldSchema &field) { return std::string(field.name); });
    return names;
}

FieldValue readField(TokenReader &reader, Kind kind)
{
    const auto schemas = Configuration::fieldsOf(kind);
    const auto schema = std::ranges::find(schemas, reader.peek(), &FieldSchema::name);
    if (schema == schemas.end()) {
        const std::vector<std::string> names = fieldNames(kind);
        reader.setSyntaxError(
            fmt::format("a field of a {}: {}", Base::nameOf(Configuration::kindNames, kind), absl::StrJoin(names, ", ")),
            Configuration::nearestWord(reader.peek(), names));
        return {};
    }
    reader.consume("a field");
    const std::size_t column = reader.column();
    const std::string text = reader.consume(fmt::format("a value for {}", schema->name));
    const auto value = Configuration::canonicalValue(*schema, text);
    if (!value.ok()) {
        reader.setError(Base::makeError(Base::errorKind(value.status()),
                                        fmt::format("column {}: {}", column, Base::messageOf(value.status()))));
        return {};
    }
    return {std::string(schema->name), *value};
}

std::vector<FieldValue> readFields(TokenReader &reader, Kind kind)
{
    std::vector<FieldValue> fields;
    while (reader.error().ok() && !reader.atEnd()) {
        FieldValue field = readField(reader, kind);
        if (std::ranges::find(fields, field.field, &FieldValue::field) != fields.end()) {
            reader.setSyntaxError(fmt::format("the field '{}' at most once", field.field));
        }
        fields.push_back(std::move(field));
    }
    return fields;
}

enum class Verb { Create, Set, Delete, Drain, Evacuate, Resume, Cancel, Release };

constexpr Base::NameTable<Verb, 8> verbNames = {{
    {Verb::Create, "create"},
    {Verb::Set, "set"},
    {Verb::Delete, "delete"},
    {Verb::Drain, "drain"},
    {Verb::Evacuate, "evacuate"},
    {Verb::Resume, "resume"},
    {Verb::Cancel, "cancel"},
    {Verb::Release, "release"},
}};

constexpr std::string_view dataCentreWord = "data-centre";

Command readCommand(TokenReader &reader)
{
    const Verb verb = reader.consumeEnum(verbNames, "a command");
    if (verb == Verb::Evacuate || (verb == Verb::Resume && reader.consumeIf(dataCentreWord))) {
        if (verb == Verb::Evacuate) {
            reader.require(dataCentreWord);
        }
        return Evacuate {reader.consumeName("the name of a data centre"), verb == Verb::Evacuate};
    }
    if (verb == Verb::Drain || verb == Verb::Resume) {
        reader.require("endpoint");
        return Drain {reader.consumeName("the name of an endpoint"), verb == Verb::Drain};
    }
    if (verb == Verb::Cancel) {
        reader.require("request");
        return CancelRequest {reader.consume("a request id")};
    }
    if (verb == Verb::Release) {
        reader.require("work");
        return ReleaseWork {reader.consume("the work hash that `show quarantine` lists")};
    }
    const Kind kind = reader.consumeEnum(Configuration::kindNames, "a kind");
    std::string name = reader.consumeName(fmt::format("the name of a {}", Base::nameOf(Configuration::kindNames, kind)));
    if (verb == Verb::Delete) {
        return Delete {kind, std::move(name)};
    }
    if (verb == Verb::Set && reader.atEnd()) {
        reader.setSyntaxError("a field and its value");
    }
    std::vector<FieldValue> fields = readFields(reader, kind);
    if (verb == Verb::Set) {
        return Set {kind, std::move(name), std::move(fields)};
    }
    return Create {kind, std::move(name), std::move(fields)};
}

constexpr Base::NameTable<Comparison, 4> comparisonNames = {{
    {Comparison::Equal, "="},
    {Comparison::NotEqual, "!="},
    {Comparison::Less, "<"},
    {Comparison::Greater, ">"},
}};

Condition readCondition(TokenReader &reader)
{
    Condition condition;
    condition.field = reader.consume("a field");
    condition.comparison = reader.consumeEnum(comparisonNames, "a comparison");
    condition.value = reader.consume("a value");
    return condition;
}

Show readShow(TokenReader &reader)
{
    Show show;
    show.subject = reader.consumeEnum(subjectNames, "a subject to show");
    if (reader.consumeIf("where")) {
        do {
            show.conditions.push_back(readCondition(reader));
        } while (reader.consumeIf("and"));
    }
    if (reader.consumeIf("order")) {
        reader.require("by");
        show.ordering = Ordering {reader.consume("a field"), false};
        show.ordering->descending = reader.consumeIf("desc");
    }
    if (reader.consumeIf("limit")) {
        std::size_t limit = 0;
        if (!Base::parseInteger(reader.peek(), &limit)) {
            reader.setSyntaxError("a whole number");
        }
        reader.consume("a whole number");
        show.limit = limit;
    }
    return show;
}

enum class QueryVerb { Show, Why };

constexpr Base::NameTable<QueryVerb, 2> queryVerbNames = {{{QueryVerb::Show, "show"}, {QueryVerb::Why, "why"}}};

Query readQuery(TokenReader &reader)
{
    if (reader.consumeEnum(queryVerbNames, "a query") == QueryVerb::Show) {
        return readShow(reader);
    }
    const WhySubject subject = reader.consumeEnum(whySubjectNames, "a kind of object to explain");
    return Why {subject, reader.consume("a name or id")};
}

template<typename Statement>
absl::StatusOr<Statement> parseWhole(std::string_view text, Statement (*read)(TokenReader &))
{
    TokenReader reader(text);
    Statement statement = read(reader);
    reader.requireEnd();
    if (!reader.error().ok()) {
        return reader.error();
    }
    return statement;
}

} // namespace

absl::StatusOr<Query> parseQuery(std::string_view text)
{
    return parseWhole<Query>(text, readQuery);
}

absl::StatusOr<Command> parseCommand(std::string_view text)
{
    return parseWhole<Command>(text, readCommand);
}

absl::StatusOr<std::vector<Command>> parseCommands(std::string_view text)
{
    std::vector<Command> commands;
    std::size_t lineNumber = 0;
    for (const std::string_view line : Base::split(text, '\n')) {
        ++lineNumber;
        if (Base::trimmed(line).starts_with('#')) {
            continue;
        }
        for (const std::string_view part : Base::split(line, ';')) {
            if (Base::trimmed(part).empty()) {
                continue;
            }
            auto command = parseCommand(part);
            if (!command.ok()) {
                return Base::makeError(Base::errorKind(command.status()),
                                       fmt::format("line {}, {}", lineNumber, Base::messageOf(command.status())));
            }
            commands.push_back(std::move(*command));
        }
    }
    return commands;
}

} // namespace Yokepond::Language
