// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Converts between the plain message types and their Cap'n Proto form.

#pragma once

#include "Peer/message.h"
#include "Peer/peer.capnp.h"

#include <optional>

namespace Yokepond::Peer {

/// Writes @p message into @p builder.
void encode(const Message &message, Wire::Message::Builder builder);

/// Reads a message. Returns nothing if a newer host sent a type of message or an enumerator that this version does not know.
std::optional<Message> decode(Wire::Message::Reader reader);

} // namespace Yokepond::Peer
