// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/meetinglog.h"

#include "Base/log.h"

#include <fmt/format.h>

namespace Yokepond::Node {

namespace {

/// Number of lines that are logged at a time; the metric has the number of all meetings.
constexpr std::size_t maxLinesPerUpdate = 20;

} // namespace

void MeetingLog::update(const std::vector<Configuration::NameMeeting> &meetings)
{
    std::set<std::vector<std::string>> present;
    std::size_t lines = 0;
    for (const Configuration::NameMeeting &meeting : meetings) {
        present.insert(meeting.names);
        if (!m_known.contains(meeting.names) && lines < maxLinesPerUpdate) {
            Base::log(Base::LogLevel::Warning, Base::LogEvent::NamesMeet,
                      {{"names", meeting.names}, {"number", fmt::format("{:08x}", meeting.number)}});
            ++lines;
        }
    }
    m_known = std::move(present);
}

std::size_t MeetingLog::count() const
{
    return m_known.size();
}

} // namespace Yokepond::Node
