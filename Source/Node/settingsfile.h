// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The settings file of a running daemon.

#pragma once

#include "Node/settings.h"

#include <absl/status/statusor.h>

#include <filesystem>
#include <string>

namespace Yokepond::Node {

/// Loads the settings file and detects changes of it by its modification time.
class SettingsFile
{
public:
    explicit SettingsFile(std::string path);

    /// Returns whether the file has been written since the last call of this function or of load().
    bool hasChanged();

    /// Reads the file. Fails with ErrorKind::InvalidSettings; the message has the file, the line and the key.
    absl::StatusOr<Settings> load();

private:
    std::filesystem::file_time_type lastWriteTime() const;

    std::string m_path;
    std::filesystem::file_time_type m_lastWriteTime {};
};

} // namespace Yokepond::Node
