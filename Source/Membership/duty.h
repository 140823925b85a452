// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Duties that a few members do for all.

#pragma once

#include "Peer/message.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Yokepond::Membership {

/// How many members rendezvous hashing puts before @p self for @p duty; nothing if @p self is no member. Every member finds the
/// same order from the same membership; one that goes is replaced by one other. Leaving members come last.
std::optional<std::size_t> rankOf(std::string_view self, std::string_view duty, const std::vector<Peer::Member> &members);

/// Whether @p self is one of the first @p count in that order.
bool isSelected(std::string_view self, std::string_view duty, const std::vector<Peer::Member> &members, std::size_t count);

/// Names of the first @p count in that order.
std::vector<std::string> selectMembers(std::string_view duty, const std::vector<Peer::Member> &members, std::size_t count);

} // namespace Yokepond::Membership
