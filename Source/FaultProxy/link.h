// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A proxied TCP connection and the faults that are injected into it.

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

/// Faults that are injected into the connections of a route. They are set over HTTP while the proxy runs and also affect open
/// connections. Forward is the direction from the client to the target.
struct Faults
{
    Base::Duration delay {}; ///< added to every byte in both directions
    bool blackholeForward = false; ///< discard bytes to the target
    bool blackholeBackward = false; ///< discard bytes from the target
    bool refuse = false; ///< close new connections immediately
    std::uint64_t bytesPerSecond = 0; ///< bandwidth limit of each direction of a connection; 0 means no limit
    std::int64_t cutAfterForward = -1; ///< close a connection after this many bytes to the target; -1 means never
    std::int64_t cutAfterBackward = -1; ///< close a connection after this many bytes from the target; -1 means never
    bool halfOpen = false; ///< close the connection to the target and keep the one from the client open
};

class Link;

/// One direction of a link. Reads from the source socket, buffers the bytes for the configured delay, and writes them to the
/// destination socket.
class Pipe : public ACE_Event_Handler
{
public:
    Pipe(Base::Loop &loop, Link &link, bool forward, ACE_SOCK_Stream &source, ACE_SOCK_Stream &destination);
    ~Pipe() override;

    ACE_HANDLE get_handle() const override;
    int handle_input(ACE_HANDLE handle) override;

    /// Writes the buffered bytes whose delay has passed, within the bandwidth limit. Returns false if the link is to be closed: a
    /// write failed, the byte limit of the fault is reached, or the source has ended and all its bytes are written.
    bool writeDue(Base::Instant now);

private:
    /// Bytes of one read, with the time from which they may be written.
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
    bool m_sourceEnded = false; ///< the source was closed or failed
    std::deque<Chunk> m_chunks;
    std::int64_t m_bytesWritten = 0; ///< total of the connection, for cutAfterForward and cutAfterBackward
    double m_byteAllowance = 0; ///< content of the token bucket that limits the bandwidth, at most one second's worth
    Base::Instant m_lastWrite {};
};

/// A connection from a client and the connection to the target to which it is forwarded.
class Link
{
public:
    Link(Base::Loop &loop, const Faults &faults, const ACE_SOCK_Stream &client, const ACE_SOCK_Stream &target);
    ~Link();
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    const Faults &faults() const;

    /// Requests that the next tick() removes the link.
    void close();

    /// Writes due bytes in both directions. Returns false if the link is to be removed.
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
