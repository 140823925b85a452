// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Http/socketoptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Yokepond::Http {

namespace {

constexpr int keepAliveSeconds = 1; ///< idle time before the first keep-alive probe, and time between two probes
/// Unanswered keep-alive probes after which the kernel gives up, unless TCP_USER_TIMEOUT is set, which then decides.
constexpr int keepAliveProbes = 3;

} // namespace

void detectSilence(int socket)
{
    // A kernel that lacks one of the options notices a silent connection later, but serves it.
    constexpr int enabled = 1;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveSeconds, sizeof keepAliveSeconds);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveSeconds, sizeof keepAliveSeconds);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof keepAliveProbes);
}

void limitUnacknowledged(int socket)
{
    const auto limit = static_cast<unsigned int>(silenceLimit / std::chrono::milliseconds(1));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

bool resetWhenClosed(int socket, bool reset)
{
    const linger option {reset ? 1 : 0, 0};
    return setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option) == 0;
}

} // namespace Yokepond::Http
