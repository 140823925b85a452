// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Fuzzes the parser and planner of the operators' language: no text causes an internal error.

#include "Base/error.h"
#include "Language/plan.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace Yokepond;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto query = Language::parseQuery(text);
    if (!query.ok() && Base::errorKind(query.status()) == Base::ErrorKind::Internal) {
        std::abort();
    }
    const auto commands = Language::parseCommands(text);
    if (commands.ok()) {
        const auto mutations = Language::plan(Configuration::Objects(), *commands);
        if (!mutations.ok() && Base::errorKind(mutations.status()) == Base::ErrorKind::Internal) {
            std::abort();
        }
    }
    return 0;
}
