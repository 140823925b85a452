// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Http/receivedbytes.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cstddef>

namespace Yokepond::Http {

namespace {

/// Framing that a response may have beyond its body: of a few chunks, with what the HTTP library has read and not yet decoded.
constexpr std::uint64_t allowedBytes = 64U << 10U;
/// Framing of a body in chunks of one byte: a size, two line breaks and the byte. Short extensions double it.
constexpr std::uint64_t allowedPerUsefulByte = 12;
/// Reads between two questions to the system. A read takes at most a few kilobytes.
constexpr std::uint32_t callsPerQuestion = 16;

} // namespace

std::optional<std::uint64_t> bytesRead(int socket)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    int unread = 0;
    const bool known = getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
        && size >= offsetof(tcp_info, tcpi_bytes_received) + sizeof info.tcpi_bytes_received
        && ioctl(socket, FIONREAD, &unread) == 0;
    if (!known) {
        return std::nullopt;
    }
    const std::uint64_t received = info.tcpi_bytes_received;
    const auto waiting = static_cast<std::uint64_t>(unread);
    return received > waiting ? received - waiting : 0;
}

void FramingCheck::begin(int socket)
{
    *this = {};
    m_socket = socket;
}

void FramingCheck::addUseful(std::size_t bytes)
{
    m_useful += bytes;
}

bool FramingCheck::isExceeded()
{
    ++m_calls;
    if (m_socket < 0 || m_calls % callsPerQuestion != 0) {
        return false;
    }
    const std::optional<std::uint64_t> read = bytesRead(m_socket);
    return read && *read > allowedBytes + allowedPerUsefulByte * m_useful;
}

} // namespace Yokepond::Http
