// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Peer/process.h"

#include "Base/text.h"

#include <fmt/format.h>

namespace Yokepond::Peer {

Process::Process(std::string host, std::uint64_t number)
    : name(std::move(host))
    , incarnation(number)
{
}

Process::Process(const char *host, std::uint64_t number)
    : name(host)
    , incarnation(number)
{
}

std::string requestName(const Process &home, std::uint64_t number)
{
    // A home of an earlier build counts from 1.
    const std::uint64_t count = number > home.incarnation ? number - home.incarnation : number;
    return fmt::format("{}.{:x}.{}", home.name, home.incarnation, count);
}

std::optional<std::uint64_t> requestNumber(const Process &home, std::string_view name)
{
    const std::string prefix = fmt::format("{}.{:x}.", home.name, home.incarnation);
    std::uint64_t count = 0;
    if (!name.starts_with(prefix) || !Base::parseInteger(name.substr(prefix.size()), &count)) {
        return std::nullopt;
    }
    return home.incarnation + count;
}

} // namespace Yokepond::Peer
