// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Peer/packedstream.h"

#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <array>

namespace Yokepond::Peer {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t maxFrameBytes = 16U << 20U;
constexpr unsigned int bitsPerByte = 8;

using LengthField = std::array<kj::byte, lengthBytes>;

LengthField toField(std::size_t length)
{
    LengthField field {};
    for (std::size_t index = 0; index < lengthBytes; ++index) {
        field.at(index) = static_cast<kj::byte>(length >> (bitsPerByte * index));
    }
    return field;
}

std::size_t fromField(const LengthField &field)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < lengthBytes; ++index) {
        length |= static_cast<std::size_t>(field.at(index)) << (bitsPerByte * index);
    }
    return length;
}

/// Throws an exception if the frame is too long, which closes the connection.
void requireFrameWithinLimit(std::size_t length)
{
    if (length > maxFrameBytes) {
        kj::throwFatalException(KJ_EXCEPTION(FAILED, "the peer sent a frame that is longer than the limit", length));
    }
}

/// Reads a packed message and owns the memory that holds it.
class OwnedReader final : public capnp::MessageReader
{
public:
    OwnedReader(kj::Array<kj::byte> bytes, capnp::ReaderOptions readerOptions)
        : capnp::MessageReader(readerOptions)
        , m_bytes(kj::mv(bytes))
        , m_input(m_bytes)
        , m_reader(m_input, readerOptions)
    {
    }

    kj::ArrayPtr<const capnp::word> getSegment(unsigned int id) override
    {
        return m_reader.getSegment(id);
    }

private:
    kj::Array<kj::byte> m_bytes;
    kj::ArrayInputStream m_input;
    capnp::PackedMessageReader m_reader;
};

} // namespace

PackedStream::PackedStream(kj::AsyncIoStream &stream, LinkCounters &counters)
    : m_stream(stream)
    , m_counters(counters)
{
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
PackedStream::tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd>, capnp::ReaderOptions options, kj::ArrayPtr<capnp::word>)
{
    using Result = kj::Maybe<capnp::MessageReaderAndFds>;
    auto field = kj::heap<LengthField>();
    auto *data = field->data();
    return m_stream.tryRead(data, lengthBytes, lengthBytes)
        .then([this, options, field = kj::mv(field)](std::size_t bytesRead) mutable -> kj::Promise<Result> {
            if (bytesRead < lengthBytes) {
                return Result(nullptr);
            }
            const std::size_t length = fromField(*field);
            requireFrameWithinLimit(length);
            auto bytes = kj::heapArray<kj::byte>(length);
            auto *target = bytes.begin();
            return m_stream.read(target, length).then([this, options, length, bytes = kj::mv(bytes)]() mutable -> Result {
                m_counters.bytesReceived += length + lengthBytes;
                ++m_counters.framesReceived;
                return capnp::MessageReaderAndFds {kj::heap<OwnedReader>(kj::mv(bytes), options), nullptr};
            });
        });
}

kj::Promise<void> PackedStream::writeMessage(kj::ArrayPtr<const int>,
                                             kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
{
    kj::VectorOutputStream packed;
    const LengthField empty {};
    packed.write(empty.data(), lengthBytes);
    capnp::writePackedMessage(packed, segments);
    auto bytes = kj::heapArray<kj::byte>(packed.getArray());
    const LengthField field = toField(bytes.size() - lengthBytes);
    std::copy(field.begin(), field.end(), bytes.begin());
    m_counters.bytesSent += bytes.size();
    ++m_counters.framesSent;
    const auto *data = bytes.begin();
    const std::size_t size = bytes.size();
    return m_stream.write(data, size).attach(kj::mv(bytes));
}

kj::Promise<void> PackedStream::writeMessages(kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages)
{
    if (messages.size() == 0) {
        return kj::READY_NOW;
    }
    return writeMessage(nullptr, messages[0]).then([this, rest = messages.slice(1, messages.size())]() mutable {
        return writeMessages(rest);
    });
}

kj::Maybe<int> PackedStream::getSendBufferSize()
{
    return nullptr;
}

kj::Promise<void> PackedStream::end()
{
    m_stream.shutdownWrite();
    return kj::READY_NOW;
}

} // namespace Yokepond::Peer
