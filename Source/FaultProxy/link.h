// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// One proxied TCP connection, with the faults that are set for its route.

#pragma once

#include "Base/loop.h"

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace Yokepond::FaultProxy {

/// What happens to the bytes of a route; set over HTTP while the proxy runs.
struct Faults
{
    Base::Duration delay {}; ///< added to every byte in both directions
    bool blackholeForward = false; ///< bytes towards the target vanish
    bool blackholeBackward = false; ///< bytes from the target vanish
    bool refuse = false; ///< new connections are closed at once
    std::uint64_t bytesPerSecond = 0; ///< in each direction, 0: no limit
    std::int64_t cutAfterForward = -1; ///< bytes towards the target after which a connection is cut; -1: never
    std::int64_t cutAfterBackward = -1; ///< bytes from the target after which a connection is cut; -1: never
    bool halfOpen = false; ///< the target's side is closed and the caller's side is left open
};

class Link;

/// One direction of a link: reads from a socket, holds bytes for the delay, writes to the other socket.
class Pipe : public ACE_Event_Handler
{
public:
    Pipe(Base::Loop &loop, Link &link, bool forward, ACE_SOCK_Stream &source, ACE_SOCK_Stream &destination);
    ~Pipe() override;

    ACE_HANDLE get_handle() const override;
    int handle_input(ACE_HANDLE handle) override;

    /// Writes what is due; returns false if the connection broke.
    bool writeDue(Base::Instant now);

private:
    struct Chunk
    {
        Base::Instant due {};
        std::string bytes;
    };

    Base::Loop &m_loop;
    Link &m_link;
    bool m_forward;
    ACE_SOCK_Stream &m_source;
    ACE_SOCK_Stream &m_destination;
    bool m_registered = false;
    bool m_sourceEnded = false; ///< the reading side has ended
    std::deque<Chunk> m_chunks;
    std::int64_t m_bytesWritten = 0;
    double m_byteAllowance = 0; ///< bytes that the bandwidth allows now
    Base::Instant m_lastWrite {};
};

/// A connection from a caller and the one to the target that it is joined to.
class Link
{
public:
    Link(Base::Loop &loop, const Faults &faults, const ACE_SOCK_Stream &client, const ACE_SOCK_Stream &target);
    ~Link();
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    const Faults &faults() const;

    /// Marks the link to be taken away at the next tick.
    void close();

    /// Moves bytes that are due; false if the link is over.
    bool tick(Base::Instant now);

private:
    const Faults &m_faults;
    ACE_SOCK_Stream m_client;
    ACE_SOCK_Stream m_target;
    bool m_closeRequested = false;
    bool m_targetClosed = false;
    std::unique_ptr<Pipe> m_forward;
    std::unique_ptr<Pipe> m_backward;
};

} // namespace Yokepond::FaultProxy
