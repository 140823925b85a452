// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Finds out that a server sends bytes that are no part of its response. libcurl skips the extensions of chunks without a limit
/// and without a callback.

#pragma once

#include <cstddef>
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

    /// Compares again, at some of the calls; to be called after each read.
    void update();

    /// Returns whether far more had been read than the response holds at any of the comparisons.
    bool isExceeded() const;

private:
    int m_socket = -1;
    std::uint64_t m_useful = 0;
    std::uint32_t m_reads = 0;
    bool m_exceeded = false;
};

} // namespace Yokepond::Http
