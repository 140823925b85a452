// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Options of TCP sockets that the client and the tunnel server share.

#pragma once

#include "Base/time.h"

namespace Yokepond::Http {

/// Time without any packet of the other system, although it was asked for one, after which a connection is given up. It leaves
/// room for a system that is silent for a second and for TCP's retransmissions, whose third follows after 1.4 s and whose fourth
/// after 3 s.
inline constexpr Base::Duration silenceLimit = std::chrono::milliseconds(3500);

/// Makes the kernel close @p socket if the other system answers no keep-alive probes for about silenceLimit, while nothing is
/// sent.
void detectSilence(int socket);

/// Makes the kernel close @p socket if bytes that were sent are not acknowledged, or not read by the other system, for
/// silenceLimit.
void limitUnacknowledged(int socket);

/// Sets whether closing @p socket resets the connection, also when the process ends. Bytes that have not been delivered are then
/// dropped. Returns false if the socket does not allow it.
bool resetWhenClosed(int socket, bool reset);

} // namespace Yokepond::Http
