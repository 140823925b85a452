// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/ini.h"

#include "Base/error.h"
#include "Base/text.h"

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <optional>
#include <ranges>
#include <sstream>

namespace Yokepond::Base {

namespace {

/// State that inih passes to the callbacks.
struct ReadState
{
    std::string_view rest;
    int line = 0;
    std::optional<std::string> longValue; ///< value of the current line, if the line does not fit into inih's buffer
    int unreadableLine = 0; ///< first line that is too long and is not `key = value`; 0 if there is none
    std::vector<IniEntry> entries;
};

constexpr std::string_view commentCharacters = ";#";
constexpr std::string_view delimiters = "=:";

bool isComment(std::string_view line)
{
    const std::string_view text = trimmed(line);
    return !text.empty() && commentCharacters.find(text.front()) != std::string_view::npos;
}

/// Removes a comment from the end of a value. As in inih, a semicolon after white space begins a comment.
std::string_view withoutComment(std::string_view value)
{
    for (std::size_t index = 1; index < value.size(); ++index) {
        if (value[index] == ';' && absl::ascii_isspace(static_cast<unsigned char>(value[index - 1]))) {
            return value.substr(0, index);
        }
    }
    return value;
}

/// Returns a replacement for a line that does not fit into inih's buffer of @p room bytes: the key with a short placeholder. The
/// real value goes to @p state.
std::string shortenLine(std::string_view line, std::size_t room, ReadState &state)
{
    if (isComment(line)) {
        return std::string(line.substr(0, room));
    }
    const std::size_t delimiter = line.find_first_of(delimiters);
    const bool isContinuation = absl::ascii_isspace(static_cast<unsigned char>(line.front()));
    constexpr std::string_view placeholder = "= x\n";
    if (isContinuation || delimiter == std::string_view::npos || delimiter + placeholder.size() > room) {
        state.unreadableLine = state.unreadableLine == 0 ? state.line + 1 : state.unreadableLine;
        return "\n";
    }
    state.longValue = trimmed(withoutComment(line.substr(delimiter + 1)));
    return std::string(line.substr(0, delimiter)).append(placeholder);
}

char *readLine(char *buffer, int size, void *stream)
{
    auto &state = *static_cast<ReadState *>(stream);
    if (state.rest.empty()) {
        return nullptr;
    }
    const std::size_t end = state.rest.find('\n');
    const std::size_t length = end == std::string_view::npos ? state.rest.size() : end + 1;
    const std::size_t room = static_cast<std::size_t>(size) - 1;
    const std::string_view whole = state.rest.substr(0, length);
    state.longValue.reset();
    const std::string line = length > room ? shortenLine(whole, room, state) : std::string(whole);
    std::ranges::copy(line, buffer);
    buffer[line.size()] = '\0';
    state.rest.remove_prefix(length);
    ++state.line;
    return buffer;
}

int storeEntry(void *user, const char *section, const char *key, const char *value)
{
    auto &state = *static_cast<ReadState *>(user);
    state.entries.push_back({section, key, state.longValue.value_or(value), state.line});
    return 1;
}

} // namespace

absl::StatusOr<IniFile> IniFile::parse(std::string_view text, std::string file)
{
    ReadState state {.rest = text};
    const int badLine = ini_parse_stream(readLine, &state, storeEntry, &state);
    if (badLine != 0) {
        return makeError(ErrorKind::InvalidSettings,
                         fmt::format("{}:{}: expected [section], key = value, or a comment", file, badLine));
    }
    if (state.unreadableLine != 0) {
        return makeError(ErrorKind::InvalidSettings,
                         fmt::format("{}:{}: a line of more than {} bytes must have the form key = value", file,
                                     state.unreadableLine, INI_MAX_LINE - 2));
    }
    IniFile ini;
    ini.m_file = std::move(file);
    for (IniEntry &entry : state.entries) {
        if (ini.find(entry.section, entry.key) != nullptr) {
            return makeError(
                ErrorKind::InvalidSettings,
                fmt::format("{}:{}: [{}] {} appears twice; remove one", ini.m_file, entry.line, entry.section, entry.key));
        }
        ini.m_entries.push_back(std::move(entry));
    }
    ini.m_known.clear();
    return ini;
}

absl::StatusOr<IniFile> IniFile::load(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream) {
        return makeError(ErrorKind::InvalidSettings, fmt::format("{}: cannot be read; check the path and its permissions", path));
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parse(text.str(), path);
}

std::vector<std::string> IniFile::sections() const
{
    std::vector<std::string> names;
    for (const IniEntry &entry : m_entries) {
        if (std::ranges::find(names, entry.section) == names.end()) {
            names.push_back(entry.section);
        }
    }
    return names;
}

std::vector<IniEntry> IniFile::entries(std::string_view section) const
{
    std::vector<IniEntry> found;
    std::ranges::copy_if(m_entries, std::back_inserter(found), [&](const IniEntry &entry) { return entry.section == section; });
    return found;
}

const IniEntry *IniFile::find(std::string_view section, std::string_view key)
{
    m_known.emplace(section, key);
    const auto entry = std::ranges::find_if(
        m_entries, [&](const IniEntry &candidate) { return candidate.section == section && candidate.key == key; });
    return entry == m_entries.end() ? nullptr : &*entry;
}

std::string IniFile::text(std::string_view section, std::string_view key, std::string_view fallback)
{
    const IniEntry *entry = find(section, key);
    return entry == nullptr ? std::string(fallback) : entry->value;
}

std::string IniFile::requiredText(std::string_view section, std::string_view key)
{
    const IniEntry *entry = find(section, key);
    if (entry == nullptr || entry->value.empty()) {
        reject(section, key, "a value; the key is required");
        return {};
    }
    return entry->value;
}

std::int64_t IniFile::number(std::string_view section, std::string_view key, std::int64_t fallback, std::int64_t min,
                             std::int64_t max)
{
    const IniEntry *entry = find(section, key);
    if (entry == nullptr) {
        return fallback;
    }
    std::int64_t value = 0;
    if (!parseInteger(entry->value, &value) || value < min || value > max) {
        reject(section, key, fmt::format("a whole number from {} to {}", min, max));
        return fallback;
    }
    return value;
}

double IniFile::decimal(std::string_view section, std::string_view key, double fallback, double min, double max)
{
    const IniEntry *entry = find(section, key);
    if (entry == nullptr) {
        return fallback;
    }
    double value = 0;
    if (!parseDecimal(entry->value, &value) || std::isnan(value) || value < min || value > max) {
        reject(section, key, fmt::format("a number from {} to {}", min, max));
        return fallback;
    }
    return value;
}

bool IniFile::flag(std::string_view section, std::string_view key, bool fallback)
{
    const IniEntry *entry = find(section, key);
    if (entry == nullptr) {
        return fallback;
    }
    if (entry->value != "yes" && entry->value != "no") {
        reject(section, key, "yes or no");
    }
    return entry->value == "yes";
}

void IniFile::reject(std::string_view section, std::string_view key, std::string_view expected)
{
    if (!m_error.ok()) {
        return;
    }
    const IniEntry *entry = find(section, key);
    const std::string where = entry == nullptr ? m_file : fmt::format("{}:{}", m_file, entry->line);
    const std::string found = entry == nullptr ? "the key is missing" : fmt::format("found '{}'", entry->value);
    m_error = makeError(ErrorKind::InvalidSettings,
                        fmt::format("{}: [{}] {}: expected {}; {}", where, section, key, expected, found));
}

absl::Status IniFile::finish() const
{
    if (!m_error.ok()) {
        return m_error;
    }
    const auto unknown = std::ranges::find_if(m_entries, [&](const IniEntry &entry) {
        return !m_known.contains({entry.section, entry.key});
    });
    if (unknown == m_entries.end()) {
        return absl::OkStatus();
    }
    return makeError(ErrorKind::InvalidSettings,
                     fmt::format("{}:{}: [{}] {}: unknown key; see the manual page for the keys of this section", m_file,
                                 unknown->line, unknown->section, unknown->key));
}

} // namespace Yokepond::Base
