// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/ticket.h"

#include "Base/error.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Request;

TEST_GROUP(Ticket)
{
    const Ticket ticket {"h1", 0xabc, 7, 3};
};

TEST(Ticket, validTicketIsParsed)
{
    const auto read = ticketFromText(ticketToText(ticket, "secret"), "secret");
    CHECK_TRUE(read.ok());
    CHECK_TRUE(*read == ticket);
}

TEST(Ticket, changeOfAnyByteInvalidatesTheTicket)
{
    const std::string text = ticketToText(ticket, "secret");
    for (std::size_t index = 0; index < text.size(); ++index) {
        std::string changed = text;
        changed[index] = changed[index] == '0' ? '1' : '0';
        CHECK_TRUE(Base::errorKind(ticketFromText(changed, "secret").status()) == Base::ErrorKind::KeyInvalid);
    }
}

TEST(Ticket, ticketOfAnotherSecretIsInvalid)
{
    CHECK_FALSE(ticketFromText(ticketToText(ticket, "secret"), "other").ok());
}
