// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Selects the members that perform a duty. A duty is a task that a few hosts perform for the whole fleet.

#pragma once

#include "Peer/message.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Yokepond::Membership {

/// Returns how many members rank before @p self for @p duty; nothing if @p self is not a member. Members rank by processor
/// capacity, and at equal capacity by rendezvous hashing; leaving members rank last. All hosts with the same membership compute
/// the same order. When one of the first members is removed, exactly one other moves up in its place.
std::optional<std::size_t> rankOf(std::string_view self, std::string_view duty, const std::vector<Peer::Member> &members);

/// Returns whether @p self is one of the first @p count members in that order.
bool isSelected(std::string_view self, std::string_view duty, const std::vector<Peer::Member> &members, std::size_t count);

/// Returns the names of the first @p count members in that order.
std::vector<std::string> selectMembers(std::string_view duty, const std::vector<Peer::Member> &members, std::size_t count);

} // namespace Yokepond::Membership
