// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// One request to a host's operator interface, waited for.

#pragma once

#include "Http/client.h"

#include <string>

namespace Yokepond::Tool {

struct OperatorResponse
{
    bool reached = false;
    int status = 0;
    std::string body;
    std::string detail; ///< why the host was not reached
};

/// Where and as whom to ask.
struct OperatorAccess
{
    std::string host; ///< ip:port
    std::string key;
};

/// Sends @p body with POST, or GET if @p method says so, and waits for the answer.
OperatorResponse sendOperatorRequest(const OperatorAccess &access, const std::string &method, const std::string &path,
                                     const Http::Headers &headers, const std::string &body);

} // namespace Yokepond::Tool
