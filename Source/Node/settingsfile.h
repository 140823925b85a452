// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The settings file of a running daemon: notices that it has changed, with or without a signal.

#pragma once

#include "Node/settings.h"

#include <absl/status/statusor.h>

#include <filesystem>
#include <string>

namespace Yokepond::Node {

class SettingsFile
{
public:
    explicit SettingsFile(std::string path);

    /// Whether the file has been written since the last call of this or load().
    bool hasChanged();

    /// Reads it. Fails with ErrorKind::InvalidSettings naming file, line and key.
    absl::StatusOr<Settings> load();

private:
    std::filesystem::file_time_type lastWriteTime() const;

    std::string m_path;
    std::filesystem::file_time_type m_lastWriteTime {};
};

} // namespace Yokepond::Node
