// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Formats the response to a query as a plain-text table.

#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace Yokepond::Tool {

/// Returns the rows of @p response with columns padded to their widest value. The header is bold if @p colour is true. A line at
/// the end names each host that did not respond.
std::string renderTable(const nlohmann::json &response, bool colour);

} // namespace Yokepond::Tool
