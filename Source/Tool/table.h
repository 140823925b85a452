// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A query's answer as a table for people.

#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace Yokepond::Tool {

/// Columns padded to the widest value; the head in bold if @p colour.
std::string renderTable(const nlohmann::json &response, bool colour);

} // namespace Yokepond::Tool
