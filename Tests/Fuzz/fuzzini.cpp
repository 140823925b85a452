// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Fuzzes the parser of INI files and of the settings in them: the only error of the settings parser is InvalidSettings.

#include "Base/error.h"
#include "Node/settings.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace Yokepond;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    auto ini = Base::IniFile::parse(text, "fuzz.ini");
    if (!ini.ok()) {
        return 0;
    }
    const auto settings = Node::parseSettings(std::move(*ini));
    if (!settings.ok() && Base::errorKind(settings.status()) != Base::ErrorKind::InvalidSettings) {
        std::abort();
    }
    return 0;
}
