// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Tickets: operation keys that name the only home that may run the operation. They are authenticated, so that only this fleet
/// can issue them.

#pragma once

#include "Base/time.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Yokepond::Request {

/// The contents of a ticket.
struct Ticket
{
    std::string home; ///< host name
    std::uint64_t incarnation = 0; ///< incarnation of the home
    std::uint64_t number = 0; ///< unique within the incarnation
    std::uint32_t organisation = 0;

    bool operator==(const Ticket &) const = default;
};

/// Returns whether @p key has the form of a ticket, valid or not.
bool looksLikeTicket(std::string_view key);

/// Returns the text form of @p ticket, authenticated with HMAC-SHA-256 under @p secret.
std::string ticketToText(const Ticket &ticket, std::string_view secret);

/// Fails with ErrorKind::KeyInvalid if @p text is malformed or was not made with @p secret.
absl::StatusOr<Ticket> ticketFromText(std::string_view text, std::string_view secret);

} // namespace Yokepond::Request
