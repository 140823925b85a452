// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Network addresses: an IPv4 address and a port. Names are not resolved, so that no call can block.

#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Yokepond::Base {

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const Address &) const = default;

    /// Returns `ip:port`.
    std::string text() const;
};

/// Parses `ip:port` with a numeric IPv4 address. Fails with ErrorKind::InvalidValue.
absl::StatusOr<Address> parseAddress(std::string_view text);

} // namespace Yokepond::Base
