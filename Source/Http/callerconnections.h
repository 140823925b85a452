// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Which connections of callers are open, and which of them are idle.

#pragma once

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace Yokepond::Http {

/// The open connections of a server, identified by @p Connection, and the order in which those without a request became idle.
template<typename Connection>
class CallerConnections
{
public:
    /// Adds a connection, which is idle until its first request begins.
    void opened(Connection connection)
    {
        m_open.insert(connection);
        becameIdle(connection);
    }

    void closed(Connection connection)
    {
        becameBusy(connection);
        m_open.erase(connection);
    }

    /// Records that the connection has no request any more. Does nothing if it is not open or is idle already.
    void becameIdle(Connection connection)
    {
        if (m_open.contains(connection) && !m_positions.contains(connection)) {
            m_positions[connection] = m_idle.insert(m_idle.end(), connection);
        }
    }

    /// Records that a request of the connection has begun.
    void becameBusy(Connection connection)
    {
        const auto position = m_positions.find(connection);
        if (position != m_positions.end()) {
            m_idle.erase(position->second);
            m_positions.erase(position);
        }
    }

    /// Removes and returns the connection that has been idle for longest; nothing if none is idle.
    std::optional<Connection> takeLongestIdle()
    {
        if (m_idle.empty()) {
            return std::nullopt;
        }
        const Connection connection = m_idle.front();
        closed(connection);
        return connection;
    }

    std::size_t open() const
    {
        return m_open.size();
    }

    std::size_t idle() const
    {
        return m_idle.size();
    }

private:
    std::unordered_set<Connection> m_open;
    std::list<Connection> m_idle; ///< the one that has been idle for longest first
    std::unordered_map<Connection, typename std::list<Connection>::iterator> m_positions; ///< in m_idle
};

} // namespace Yokepond::Http
