// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Fuzzes the ticket parser: it accepts only texts that are identical to a ticket signed with the secret.

#include "Request/ticket.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace Yokepond;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto ticket = Request::ticketFromText(text, "the secret of the fuzzer");
    if (ticket.ok() && Request::ticketToText(*ticket, "the secret of the fuzzer") != text) {
        std::abort();
    }
    return 0;
}
