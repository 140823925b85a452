// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/address.h"

#include "Base/error.h"
#include "Base/text.h"

#include <fmt/format.h>

#include <arpa/inet.h>

namespace Yokepond::Base {

std::string Address::text() const
{
    return fmt::format("{}:{}", ip, port);
}

absl::StatusOr<Address> parseAddress(std::string_view text)
{
    constexpr int highestPort = 65535;
    const std::size_t colon = text.rfind(':');
    const std::string ip(text.substr(0, colon));
    int port = 0;
    in_addr parsed {};
    const bool valid = colon != std::string_view::npos && parseInteger(text.substr(colon + 1), &port) && port >= 0
        && port <= highestPort && inet_pton(AF_INET, ip.c_str(), &parsed) == 1;
    if (!valid) {
        return makeError(ErrorKind::InvalidValue,
                         fmt::format("'{}' is not an address; expected an IPv4 address and a port such as 127.0.0.1:8080", text));
    }
    return Address {ip, static_cast<std::uint16_t>(port)};
}

} // namespace Yokepond::Base
