// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A link: the TCP connection of a client, the TCP connection to the target, and the faults that are injected between them.

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

/// Faults that are injected into the links of a route, that is a listening address with its target. They are set over HTTP while
/// the proxy runs. Except for refuse they also affect open links; a new delay applies to the bytes that are read after the
/// change. Forward is the direction from the client to the target.
struct Faults
{
    Base::Duration delay {}; ///< time for which the bytes of each direction are held back
    bool blackholeForward = false; ///< discard bytes to the target
    bool blackholeBackward = false; ///< discard bytes from the target
    bool refuse = false; ///< close new connections immediately
    std::uint64_t bytesPerSecond = 0; ///< bandwidth limit of each direction of a link; 0 means no limit
    std::int64_t cutAfterForward = -1; ///< close a link after this many bytes to the target; -1 means never
    std::int64_t cutAfterBackward = -1; ///< close a link after this many bytes from the target; -1 means never
    bool halfOpen = false; ///< close the target's connection and leave the client's open but unread; unsetting it closes the link
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
    /// write failed, cutAfterForward or cutAfterBackward is reached, or the source has ended and all its bytes are written.
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
    std::int64_t m_bytesWritten = 0; ///< bytes written in this direction since the start of the link
    /// Token bucket for bytesPerSecond: bytes that may be written now, at most those of one second. Not consulted without a
    /// limit.
    double m_byteAllowance = 0;
    Base::Instant m_lastRefill {}; ///< time of the last addition to m_byteAllowance
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

    /// Makes the next tick() return false.
    void requestClose();

    /// Writes due bytes in both directions. Returns false if the link is to be closed; the route then destroys it.
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
