// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Reads INI files with inih and keeps the line of every key for error messages.

#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Yokepond::Base {

/// One `key = value` line.
struct IniEntry
{
    std::string section;
    std::string key;
    std::string value;
    int line = 0;
};

/// A parsed INI file. Each read marks its key as known, so that finish() can reject keys that nobody reads.
class IniFile
{
public:
    /// Parses @p text; @p file is its name in messages. Fails with ErrorKind::InvalidSettings and a message with file and line.
    static absl::StatusOr<IniFile> parse(std::string_view text, std::string file);

    /// Reads and parses the file at @p path. Fails with ErrorKind::InvalidSettings.
    static absl::StatusOr<IniFile> load(const std::string &path);

    /// Returns the names of the sections in the order of the file.
    std::vector<std::string> sections() const;

    /// Returns all entries of @p section in the order of the file, and marks none as known.
    std::vector<IniEntry> entries(std::string_view section) const;

    /// Returns the value of a key, or @p fallback if the file does not have it.
    std::string text(std::string_view section, std::string_view key, std::string_view fallback);

    /// Returns the value of a key that is required and must not be empty.
    std::string requiredText(std::string_view section, std::string_view key);

    /// Returns a whole number from @p min to @p max, or @p fallback if the file does not have the key.
    std::int64_t number(std::string_view section, std::string_view key, std::int64_t fallback, std::int64_t min,
                        std::int64_t max);

    /// Returns a decimal number from @p min to @p max, or @p fallback if the file does not have the key.
    double decimal(std::string_view section, std::string_view key, double fallback, double min, double max);

    /// Returns whether the value is `yes` rather than `no`, or @p fallback if the file does not have the key.
    bool flag(std::string_view section, std::string_view key, bool fallback);

    /// Records that a value is invalid. The message has the file, the line and the key in addition to @p expected.
    void reject(std::string_view section, std::string_view key, std::string_view expected);

    /// Returns the first error of any read, else an error for a key that nobody read, else OK.
    absl::Status finish() const;

private:
    const IniEntry *find(std::string_view section, std::string_view key);

    std::string m_file;
    std::vector<IniEntry> m_entries;
    std::set<std::pair<std::string, std::string>> m_known;
    absl::Status m_error;
};

} // namespace Yokepond::Base
