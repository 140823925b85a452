// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Tool/table.h"

#include <fmt/format.h>

#include <algorithm>
#include <ranges>
#include <vector>

namespace Yokepond::Tool {

namespace {

constexpr std::string_view bold = "\033[1m";
constexpr std::string_view resetStyle = "\033[0m";
constexpr std::string_view columnGap = "  ";

std::string cell(const nlohmann::json &row, const std::string &column)
{
    const auto value = row.find(column);
    if (value == row.end()) {
        return {};
    }
    if (value->is_number_float()) {
        return fmt::format("{:.2f}", value->get<double>());
    }
    return value->is_string() ? value->get<std::string>() : value->dump();
}

std::string line(const std::vector<std::string> &cells, const std::vector<std::size_t> &widths)
{
    std::string text;
    for (std::size_t index = 0; index < cells.size(); ++index) {
        const bool last = index + 1 == cells.size();
        text += last ? cells[index] : fmt::format("{:<{}}{}", cells[index], widths[index], columnGap);
    }
    return text;
}

} // namespace

std::string renderTable(const nlohmann::json &response, bool colour)
{
    const auto columns = response.value("columns", std::vector<std::string>());
    std::vector<std::vector<std::string>> lines {columns};
    for (const nlohmann::json &row : response.value("rows", nlohmann::json::array())) {
        std::vector<std::string> cells;
        std::ranges::transform(columns, std::back_inserter(cells), [&](const std::string &column) { return cell(row, column); });
        lines.push_back(std::move(cells));
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto &cells : lines) {
        for (std::size_t index = 0; index < cells.size(); ++index) {
            widths[index] = std::max(widths[index], cells[index].size());
        }
    }
    std::string text = fmt::format("{}{}{}\n", colour ? bold : "", line(lines.front(), widths), colour ? resetStyle : "");
    for (const auto &cells : lines | std::views::drop(1)) {
        text += line(cells, widths) + "\n";
    }
    for (const std::string &host : response.value("missing", std::vector<std::string>())) {
        text += fmt::format("(host {} did not answer)\n", host);
    }
    return text;
}

} // namespace Yokepond::Tool
