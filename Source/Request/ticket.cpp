// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/ticket.h"

#include "Base/error.h"
#include "Base/hash.h"
#include "Base/text.h"

#include <fmt/format.h>

#include <vector>

namespace Yokepond::Request {

namespace {

constexpr std::string_view ticketMark = "ykt1";
constexpr char separator = '~'; ///< does not occur in host names
constexpr std::size_t fieldCount = 6;

std::string payload(const Ticket &ticket)
{
    return fmt::format("{}~{}~{}~{}~{}", ticketMark, ticket.home, Base::hexadecimal(ticket.incarnation),
                       Base::hexadecimal(ticket.number), ticket.organisation);
}

} // namespace

bool looksLikeTicket(std::string_view key)
{
    return key.starts_with(ticketMark) && key.size() > ticketMark.size() && key[ticketMark.size()] == separator;
}

std::string ticketToText(const Ticket &ticket, std::string_view secret)
{
    const std::string text = payload(ticket);
    return fmt::format("{}{}{}", text, separator, Base::hmacSha256(secret, text));
}

absl::StatusOr<Ticket> ticketFromText(std::string_view text, std::string_view secret)
{
    const absl::Status invalid = Base::makeError(
        Base::ErrorKind::KeyInvalid, "the ticket was not issued by this fleet; request a new one with POST /v1/tickets");
    const std::vector<std::string_view> fields = Base::split(text, separator);
    if (fields.size() != fieldCount || fields[0] != ticketMark) {
        return invalid;
    }
    Ticket ticket;
    ticket.home = fields[1];
    const bool parsed = Base::parseHexadecimal(fields[2], &ticket.incarnation)
        && Base::parseHexadecimal(fields[3], &ticket.number) && Base::parseInteger(fields[4], &ticket.organisation);
    // Comparing the whole text also rejects other spellings of the same numbers.
    if (!parsed || !Base::equalInConstantTime(ticketToText(ticket, secret), text)) {
        return invalid;
    }
    return ticket;
}

} // namespace Yokepond::Request
