// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Fuzzes the decoder of JSON: it returns what nlohmann::json::parse() does, but for texts with more levels than the bound, which
/// it refuses as it does invalid ones, with a short message.

#include "Base/error.h"
#include "Base/json.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

using namespace Yokepond;

namespace {

/// Returns the number of levels of arrays and objects in @p whole, without recursion.
std::size_t levelsOf(const nlohmann::json &whole)
{
    std::size_t levels = 0;
    std::vector<std::pair<const nlohmann::json *, std::size_t>> pending {{&whole, 0}};
    while (!pending.empty()) {
        const auto [value, outer] = pending.back();
        pending.pop_back();
        if (value->is_structured()) {
            levels = std::max(levels, outer + 1);
            for (const nlohmann::json &element : *value) {
                pending.emplace_back(&element, outer + 1);
            }
        }
    }
    return levels;
}

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    constexpr std::size_t maxMessageLength = 150;
    const std::string text(reinterpret_cast<const char *>(data), size);
    const nlohmann::json expected = nlohmann::json::parse(text, nullptr, false);
    const auto decoded = Base::decodeJson(text);
    if (decoded.ok()) {
        require(levelsOf(*decoded) <= Base::maxJsonDepth && *decoded == expected);
        require(Base::decodeJsonOrDiscard(decoded->dump()) == expected);
    } else {
        require(Base::errorKind(decoded.status()) == Base::ErrorKind::InvalidValue);
        require(decoded.status().message().size() < maxMessageLength);
        // Where a name is repeated, a value that is too deep may have been replaced by a later one.
        const bool nestedTooDeeply = decoded.status().message().find("nested") != absl::string_view::npos;
        require(nestedTooDeeply || expected.is_discarded());
        require(Base::decodeJsonOrDiscard(text).is_discarded());
    }
    require(expected.is_discarded() || levelsOf(expected) <= Base::maxJsonDepth || !decoded.ok());
    return 0;
}
