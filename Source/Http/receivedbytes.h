// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Finds out that a server sends bytes that are no part of its response. libcurl skips the extensions of chunks without a limit
/// and without a callback.

#pragma once

#include <cstdint>
#include <optional>

namespace Yokepond::Http {

/// Returns how many bytes have been read from a TCP socket since it was connected, or none if the system does not tell.
std::optional<std::uint64_t> bytesRead(int socket);

/// Compares the bytes that were read from a connection with those that became a part of the response.
class FramingCheck
{
public:
    /// @p socket is a new connection.
    void begin(int socket);

    /// Adds bytes of heads, trailers or the body.
    void addUseful(std::size_t bytes);

    /// Returns whether far more was read than the response holds. It asks the system only now and then; to be called after each
    /// read.
    bool isExceeded();

private:
    int m_socket = -1;
    std::uint64_t m_useful = 0;
    std::uint32_t m_calls = 0;
};

} // namespace Yokepond::Http
