// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/settingsfile.h"

#include <system_error>
#include <utility>

namespace Yokepond::Node {

SettingsFile::SettingsFile(std::string path)
    : m_path(std::move(path))
    , m_seen(writtenAt())
{
}

std::filesystem::file_time_type SettingsFile::writtenAt() const
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(m_path, error);
    // One that is being replaced is looked at again later.
    return error ? m_seen : time;
}

bool SettingsFile::hasChanged()
{
    const auto written = writtenAt();
    return std::exchange(m_seen, written) != written;
}

absl::StatusOr<Settings> SettingsFile::load()
{
    m_seen = writtenAt();
    auto ini = Base::IniFile::load(m_path);
    if (!ini.ok()) {
        return ini.status();
    }
    return parseSettings(std::move(*ini));
}

} // namespace Yokepond::Node
