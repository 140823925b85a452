// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The members whose states a host still has to disseminate.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Yokepond::Membership {

/// Names of members in the order in which they are to be sent: those that were sent least often come first, and among these the
/// latest. An operation takes logarithmic time, since after a loss of power thousands of members may be queued.
class GossipQueue
{
public:
    /// Adds @p member as not sent yet, or sets it back to that.
    void add(const std::string &member);

    void remove(const std::string &member);
    void clear();

    bool contains(const std::string &member) const;
    bool empty() const;
    std::size_t size() const;

    /// Returns the next @p count members and counts that they are sent once more. Removes those that have then been sent
    /// @p maxSent times.
    std::vector<std::string> take(std::size_t count, unsigned int maxSent);

    /// Returns the members in the order in which they would be sent.
    std::vector<std::string> members() const;

private:
    /// How often a member was sent, and its place among those that were sent as often.
    using Position = std::pair<unsigned int, std::int64_t>;

    std::map<Position, std::string> m_order;
    std::map<std::string, Position> m_positions;
    std::int64_t m_first = 0; ///< decreases with each added member
    std::int64_t m_last = 0; ///< increases with each member that was sent
};

} // namespace Yokepond::Membership
