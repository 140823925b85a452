// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Duties that a few members do for all.

#pragma once

#include "Peer/message.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace Yokepond::Membership {

/// Whether @p self is one of the @p count members that rendezvous hashing picks for @p duty. Every member finds the same ones
/// from the same membership; one that goes is replaced by one other. Leaving members are picked only if there are not enough
/// others.
bool isPicked(std::string_view self, std::string_view duty, const std::vector<Peer::Member> &members, std::size_t count);

} // namespace Yokepond::Membership
