// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/settingsfile.h"

#include <system_error>
#include <utility>

namespace Yokepond::Node {

SettingsFile::SettingsFile(std::string path)
    : m_path(std::move(path))
    , m_lastWriteTime(lastWriteTime())
{
}

std::filesystem::file_time_type SettingsFile::lastWriteTime() const
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(m_path, error);
    // One that is being replaced is looked at again later.
    return error ? m_lastWriteTime : time;
}

bool SettingsFile::hasChanged()
{
    const auto written = lastWriteTime();
    return std::exchange(m_lastWriteTime, written) != written;
}

absl::StatusOr<Settings> SettingsFile::load()
{
    m_lastWriteTime = lastWriteTime();
    auto ini = Base::IniFile::load(m_path);
    if (!ini.ok()) {
        return ini.status();
    }
    return parseSettings(std::move(*ini));
}

} // namespace Yokepond::Node
