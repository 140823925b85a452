// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// An HTTP client based on libcurl's multi interface. It runs on a Base::Loop, without its own thread and without blocking calls.

#pragma once

#include "Base/loop.h"
#include "Http/message.h"
#include "Http/responsehead.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Yokepond::Http {

/// How far a transfer got. It tells whether the server may have received any of the request.
enum class TransferStage {
    NotSent, ///< no byte of the request was passed to a connection
    Sent, ///< at least part of the request was passed to a connection, and no status line was received
    ResponseStarted, ///< a status line was received, but not the complete response
    Closed, ///< the head was received, the body has no declared length, and the server closed the connection cleanly
    Complete, ///< the complete response was received
};

/// Why a transfer failed.
enum class TransferFailure {
    None,
    Connect, ///< the connection could not be opened
    Timeout, ///< the connection or the transfer took longer than its timeout
    HeadTooLarge, ///< the head and the trailers exceeded Transfer::maxHeadBytes, so the connection was closed
    Malformed, ///< the server sent what is no response, so the connection was closed; see TransferResult::fault
    Broken, ///< any other error of libcurl
    Cancelled, ///< not reported at present, because a cancelled transfer has no onEnd
};

/// The result of a transfer that has ended.
struct TransferResult
{
    TransferStage stage = TransferStage::NotSent;
    TransferFailure failure = TransferFailure::None;
    int status = 0; ///< status code, 0 if no status line was received
    int tunnelStatus = 0; ///< status of the response to the request for a tunnel; 0 if there was none
    ResponseFault fault = ResponseFault::None; ///< what was malformed
    std::string detail; ///< a message for logs
    std::size_t headBytes = 0; ///< bytes of the head received, with interim responses and trailers
};

/// A request to send, and how to send it.
struct Transfer
{
    std::string method = "GET";
    std::string url;
    std::string target; ///< request target, sent unchanged in the request line; if empty, the target of the URL
    Headers headers; ///< sent unchanged; the client adds only Host and Content-Length
    std::string body;
    std::shared_ptr<const std::string> sharedBody; ///< the body, if it is not copied; it must not change during the transfer
    Base::Duration connectTimeout = std::chrono::seconds(1);
    Base::Duration totalTimeout = Base::Duration::zero(); ///< limit for the whole transfer; zero means no limit
    /// Whether to use a new connection. libcurl repeats a request on its own if a reused connection turns out to be closed, so
    /// a request that may run at most once must never be sent on a reused one.
    bool freshConnection = false;
    /// Whether to close the connection with a TCP reset. Bytes that have not been delivered are then dropped instead of being
    /// sent later.
    bool resetOnClose = false;
    std::string tunnelHost; ///< ip:port of a TunnelServer through which to connect; empty: connect to the server of the URL
    bool connectOnly = false; ///< whether to end the transfer when the connection is open, without sending a request
    bool detectSilence = false; ///< whether to give up the connection if the other system is silent; see socketoptions.h
    std::string sourceAddress; ///< IP address of this host from which the connection is opened; empty: the system chooses
    std::size_t maxHeadBytes = 64U << 10U; ///< limit for the head of the response, with interim responses and trailers
};

/// Callbacks of a transfer, called on the loop's thread. onEnd is called exactly once, as the last one, unless the transfer is
/// cancelled.
struct TransferEvents
{
    std::function<void(int status, const Headers &headers)> onHeaders;
    std::function<void(std::string_view bytes)> onBytes;
    std::function<void(const TransferResult &result)> onEnd;
    /// Called when a connection is open, just before the request is sent; not for Transfer::connectOnly.
    std::function<void()> onConnected = nullptr;
};

/// Sends HTTP requests.
class Client
{
public:
    using Id = std::uint64_t;

    /// Creates a client that keeps at most @p maxIdleConnections idle connections for reuse.
    explicit Client(Base::Loop &loop, std::size_t maxIdleConnections = 64);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Starts @p transfer. No callback is called before this function returns.
    Id start(Transfer transfer, TransferEvents events);

    /// Cancels a transfer and closes its connection. None of its callbacks is called afterwards.
    void cancel(Id id);

    /// Pauses or continues reading from the transfer's connection. While it is paused, TCP flow control stops the sender.
    void pause(Id id, bool paused);

    /// Returns the number of transfers in progress.
    std::size_t active() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/// Fetches a complete response and passes the result and the body to @p done.
Client::Id fetch(Client &client, Transfer transfer, std::function<void(const TransferResult &result, std::string body)> done);

} // namespace Yokepond::Http
