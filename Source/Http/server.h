// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// An HTTP server based on libmicrohttpd. It runs on a Base::Loop, without its own thread and without blocking calls.

#pragma once

#include "Base/address.h"
#include "Base/error.h"
#include "Base/loop.h"
#include "Http/bodymemory.h"
#include "Http/message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace Yokepond::Http {

/// Limits on callers' connections and requests.
struct ServerLimits
{
    /// Maximum number of open connections. For a new one beyond it, the one that has been idle for longest is closed. If none is
    /// idle, the new one is closed at once with its request unread, so that its caller can try another host.
    std::size_t connections = 4096;
    std::size_t bodyBytes = 4U << 20U; ///< maximum size of a request's body
    std::size_t headerBytes = 16U << 10U; ///< maximum size of the head of a request
    std::size_t responseHeaderBytes = 16U << 10U; ///< maximum size of the head of an endpoint's response that is passed on
    Base::Duration idle = std::chrono::seconds(60); ///< timeout without traffic, unless a response is pending
    Base::Duration receive = std::chrono::seconds(30); ///< time limit for receiving the body, from the end of the request's head
    /// Size of the kernel's send buffer of each connection, which the kernel doubles for its own overhead; 0: the system's
    /// default.
    std::size_t sendBufferBytes = 0;
    std::size_t receiveBufferBytes = 0; ///< the same for the kernel's receive buffer
    /// Bound for the bodies of all requests together, from their start until their responses; 0: none. A request whose body finds
    /// no room gets an error response, and its body is read and dropped.
    std::size_t bodyMemoryBytes = 0;
};

/// What became of connections for which there was no room.
struct ConnectionCounters
{
    std::uint64_t idleClosed = 0; ///< connections without a request that were closed to make room for new ones
    std::uint64_t turnedAway = 0; ///< new connections that were closed at once, since all others had requests
};

/// A request and its response. All functions must be called on the loop's thread.
class Exchange
{
public:
    using Task = std::function<void()>;

    virtual ~Exchange() = default;

    virtual const Request &request() const = 0;

    /// Sends a complete response. Exactly one of respond() and beginStream() must be called, once.
    virtual void respond(Response response) = 0;

    /// Starts a response whose body is passed to write() piece by piece.
    virtual void beginStream(int status, Headers headers) = 0;

    /// Appends to the body of a started stream. The bytes are buffered until the caller has received them; see buffered().
    virtual void write(std::string_view bytes) = 0;

    /// Sends @p header as a trailer, after the body of a started stream. The head of the stream must announce it in a `trailer`
    /// header.
    virtual void setTrailer(Header header) = 0;

    /// Ends a started stream after the bytes that have been written.
    virtual void finish() = 0;

    /// Drops the request's body, which must not be needed any more, and gives its room back.
    virtual void releaseBody() = 0;

    /// Closes the connection, so that the caller sees an incomplete response.
    virtual void abort() = 0;

    /// Closes the connection with a TCP reset, also if the caller does not read. Bytes that have not been delivered are dropped,
    /// so the caller sees an incomplete response, whatever the response's length or encoding.
    virtual void reset() = 0;

    /// Returns the number of bytes of the response's body that have not been passed to the kernel.
    virtual std::size_t buffered() const = 0;

    /// Returns a measure of the bytes of the response that the caller's system has acknowledged. It grows whenever the caller
    /// reads; only its differences have a meaning.
    virtual std::int64_t delivered() const = 0;

    /// Sets a callback that is called whenever buffered() falls to @p lowMark after it was above it. It replaces the callback
    /// that was set before.
    virtual void onDrained(std::size_t lowMark, Task task) = 0;

    /// Sets a callback that is called once if the caller closes the connection, or shuts down its sending side, before the end of
    /// the response.
    virtual void onClosed(Task task) = 0;
};

/// Receives requests and passes them to a handler. Requests over a limit get an error response in JSON and are not passed on.
class Server
{
public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    /// Returns the body of the error response for a request that the server rejects itself.
    using ErrorBodyFormatter = std::function<std::string(const absl::Status &)>;

    /// Starts a server that listens on @p address; port 0 selects a free port. Fails with ErrorKind::InvalidSettings if the
    /// address is not available.
    static absl::StatusOr<std::unique_ptr<Server>> listen(Base::Loop &loop, const Base::Address &address,
                                                          const ServerLimits &limits, Handler handler,
                                                          ErrorBodyFormatter formatErrorBody);

    virtual ~Server() = default;

    /// Returns the address of the listener, with the actual port.
    virtual const Base::Address &address() const = 0;

    /// Returns the number of open connections.
    virtual std::size_t connections() const = 0;

    virtual const ConnectionCounters &connectionCounters() const = 0;

    /// Returns how many bytes the bodies of requests take, counted as in ServerLimits::bodyMemoryBytes.
    virtual std::size_t bodyBytes() const = 0;

    virtual const BodyMemoryCounters &bodyCounters() const = 0;

    /// Stops accepting connections. Open connections stay open.
    virtual void closeListener() = 0;

    /// From now on, closes each connection after its next response, which announces it in a `Connection: close` header.
    virtual void closeAfterResponses() = 0;

    /// Returns the number of requests that have been received at least in part and whose responses have not been passed to the
    /// kernel completely.
    virtual std::size_t openRequests() const = 0;
};

} // namespace Yokepond::Http
