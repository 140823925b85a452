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

/// Bytes that any response may have beyond its head and body: the framing of a few chunks, and what libcurl has read and not yet
/// decoded.
constexpr std::uint64_t allowedBytes = 64U << 10U;
/// Twice what a body in chunks of one byte takes: a digit, two line breaks and the byte itself for each of them.
constexpr std::uint64_t allowedPerUsefulByte = 12;
/// Number of reads for each system call that asks for the count. A read takes at most a few kilobytes.
constexpr std::uint32_t readsPerCount = 16;

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

void FramingCheck::update()
{
    ++m_reads;
    if (m_socket < 0 || m_reads % readsPerCount != 0) {
        return;
    }
    const std::optional<std::uint64_t> read = bytesRead(m_socket);
    m_exceeded = m_exceeded || (read && *read > allowedBytes + allowedPerUsefulByte * m_useful);
}

bool FramingCheck::isExceeded() const
{
    return m_exceeded;
}

} // namespace Yokepond::Http
