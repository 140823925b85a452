// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A blocking client for the operator interface of a host.

#pragma once

#include "Http/client.h"

#include <string>

namespace Yokepond::Tool {

struct OperatorResponse
{
    bool reached = false; ///< a complete response was received
    int status = 0; ///< HTTP status, 0 if none was received
    std::string body;
    std::string detail; ///< error of the connection or transfer, if no complete response was received
};

/// Address of an operator interface and the key that authenticates the operator.
struct OperatorAccess
{
    std::string host; ///< ip:port
    std::string key;
};

/// Sends one HTTP request to the operator interface and blocks until the response is complete, for at most 30 s.
OperatorResponse sendOperatorRequest(const OperatorAccess &access, const std::string &method, const std::string &path,
                                     const Http::Headers &headers, const std::string &body);

} // namespace Yokepond::Tool
