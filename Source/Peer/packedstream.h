// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A Cap'n Proto message stream that packs each message, since RPC framing is mostly zero bytes.

#pragma once

#include <capnp/serialize-async.h>
#include <kj/async-io.h>

#include <atomic>
#include <cstdint>

namespace Yokepond::Peer {

/// Counters over all connections of the process. The RPC thread writes them, any thread may read them.
struct LinkCounters
{
    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> bytesReceived = 0;
    std::atomic<std::uint64_t> framesSent = 0;
    std::atomic<std::uint64_t> framesReceived = 0;
};

/// Reads and writes frames. A frame is a four-byte little-endian length and that many bytes of packed message.
class PackedStream final : public capnp::MessageStream
{
public:
    /// @p stream and @p counters must outlive this object.
    PackedStream(kj::AsyncIoStream &stream, LinkCounters &counters);

    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> fdSpace,
                                                                      capnp::ReaderOptions options,
                                                                      kj::ArrayPtr<capnp::word> scratchSpace) override;
    kj::Promise<void> writeMessage(kj::ArrayPtr<const int> fds,
                                   kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
    kj::Promise<void> writeMessages(kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override;
    kj::Maybe<int> getSendBufferSize() override;
    kj::Promise<void> end() override;

private:
    kj::AsyncIoStream &m_stream;
    LinkCounters &m_counters;
};

} // namespace Yokepond::Peer
