// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "FaultProxy/link.h"

#include <array>
#include <cerrno>

namespace Yokepond::FaultProxy {

namespace {

constexpr std::size_t readBytes = 16U << 10U;
/// Bytes that arrive while this many chunks are buffered are discarded.
constexpr std::size_t maxBufferedChunks = 4096;

} // namespace

Pipe::Pipe(Base::Loop &loop, Link &link, bool forward, ACE_SOCK_Stream &source, ACE_SOCK_Stream &destination)
    : m_loop(loop)
    , m_link(link)
    , m_forward(forward)
    , m_source(source)
    , m_destination(destination)
{
    m_source.enable(ACE_NONBLOCK);
    m_registered = loop.reactor().register_handler(this, ACE_Event_Handler::READ_MASK) == 0;
}

Pipe::~Pipe()
{
    if (m_registered) {
        m_loop.reactor().remove_handler(this, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
    }
}

ACE_HANDLE Pipe::get_handle() const
{
    return m_source.get_handle();
}

int Pipe::handle_input(ACE_HANDLE)
{
    std::array<char, readBytes> buffer {};
    const ssize_t received = m_source.recv(buffer.data(), buffer.size());
    if (received < 0 && errno == EWOULDBLOCK) {
        return 0;
    }
    if (received <= 0) {
        m_sourceEnded = true;
        m_registered = false;
        m_loop.reactor().remove_handler(this, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
        return 0;
    }
    const Faults &faults = m_link.faults();
    const bool discarded = m_forward ? faults.blackholeForward : faults.blackholeBackward;
    if (!discarded && m_chunks.size() < maxBufferedChunks) {
        m_chunks.push_back({Base::now() + faults.delay, std::string(buffer.data(), static_cast<std::size_t>(received))});
        if (!writeDue(Base::now())) {
            m_link.requestClose();
        }
    }
    return 0;
}

bool Pipe::writeDue(Base::Instant now)
{
    const Faults &faults = m_link.faults();
    const double elapsed = m_lastRefill == Base::Instant {} ? 0 : Base::seconds(now - m_lastRefill);
    m_lastRefill = now;
    m_byteAllowance = std::min<double>(m_byteAllowance + elapsed * static_cast<double>(faults.bytesPerSecond),
                                       static_cast<double>(faults.bytesPerSecond));
    const std::int64_t cutAfter = m_forward ? faults.cutAfterForward : faults.cutAfterBackward;
    while (!m_chunks.empty() && m_chunks.front().due <= now) {
        std::string &bytes = m_chunks.front().bytes;
        std::size_t size = bytes.size();
        if (faults.bytesPerSecond > 0) {
            size = std::min(size, static_cast<std::size_t>(m_byteAllowance));
        }
        if (cutAfter >= 0) {
            size = std::min(size, static_cast<std::size_t>(std::max<std::int64_t>(0, cutAfter - m_bytesWritten)));
        }
        const ssize_t sent = size == 0 ? 0 : m_destination.send(bytes.data(), size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0) {
            return errno == EWOULDBLOCK;
        }
        m_bytesWritten += sent;
        m_byteAllowance -= static_cast<double>(sent);
        bytes.erase(0, static_cast<std::size_t>(sent));
        if (cutAfter >= 0 && m_bytesWritten >= cutAfter) {
            return false;
        }
        if (!bytes.empty()) {
            return true;
        }
        m_chunks.pop_front();
    }
    if (m_sourceEnded && m_chunks.empty()) {
        m_destination.close_writer();
        return false;
    }
    return true;
}

Link::Link(Base::Loop &loop, const Faults &faults, const ACE_SOCK_Stream &client, const ACE_SOCK_Stream &target)
    : m_faults(faults)
    , m_client(client)
    , m_target(target)
    , m_forward(std::make_unique<Pipe>(loop, *this, true, m_client, m_target))
    , m_backward(std::make_unique<Pipe>(loop, *this, false, m_target, m_client))
{
}

Link::~Link()
{
    m_forward.reset();
    m_backward.reset();
    m_client.close();
    m_target.close();
}

const Faults &Link::faults() const
{
    return m_faults;
}

void Link::requestClose()
{
    m_closeRequested = true;
}

bool Link::tick(Base::Instant now)
{
    if (m_closeRequested) {
        return false;
    }
    if (m_faults.halfOpen) {
        if (!m_targetClosed) {
            m_targetClosed = true;
            m_backward.reset();
            m_forward.reset();
            m_target.close();
        }
        return true;
    }
    if (m_targetClosed) {
        return false;
    }
    return m_forward->writeDue(now) && m_backward->writeDue(now);
}

} // namespace Yokepond::FaultProxy
