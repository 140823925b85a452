// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// An HTTP server on libmicrohttpd, run by a Base::Loop: no thread of its own, no blocking call.

#pragma once

#include "Base/address.h"
#include "Base/error.h"
#include "Base/loop.h"
#include "Http/message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace Yokepond::Http {

struct ServerLimits
{
    std::size_t connections = 4096;
    std::size_t bodyBytes = 4U << 20U;
    std::size_t headerBytes = 16U << 10U;
    Base::Duration idle = std::chrono::seconds(60); ///< without a byte in either direction, while no answer is awaited
    Base::Duration receive = std::chrono::seconds(30); ///< from the first header line to the end of the body
};

/// One request and its answer. All calls on the loop's thread.
class Exchange
{
public:
    using Task = std::function<void()>;

    virtual ~Exchange() = default;

    virtual const Request &request() const = 0;

    /// Answers with a whole body. Exactly one of respond() and beginStream() is called, once.
    virtual void respond(Response response) = 0;

    /// Begins an answer whose body follows by write().
    virtual void beginStream(int status, Headers headers) = 0;

    /// Adds to the body of a begun stream. The bytes are held until the caller takes them; see buffered().
    virtual void write(std::string_view bytes) = 0;

    /// Sends @p header after the body of a begun stream. The stream's head must have announced it in a `trailer` header.
    virtual void setTrailer(Header header) = 0;

    /// Ends a begun stream after what has been written.
    virtual void finish() = 0;

    /// Cuts the connection: the caller can tell that the answer is not whole.
    virtual void abort() = 0;

    /// Bytes written and not yet handed to the kernel.
    virtual std::size_t buffered() const = 0;

    /// Called when buffered() has fallen to the low mark after having been over it.
    virtual void onDrained(std::size_t lowMark, Task task) = 0;

    /// Called once if the caller closes the connection (or half of it) before the answer has ended.
    virtual void onClosed(Task task) = 0;
};

/// Answers are JSON unless the handler says otherwise; requests over a limit never reach the handler.
class Server
{
public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    /// Makes the body of the answer to a request that is refused before it reaches the handler.
    using ErrorBody = std::function<std::string(const absl::Status &)>;

    /// Listens on @p address (port 0: a free one). Fails with ErrorKind::InvalidSettings if the address cannot be had.
    static absl::StatusOr<std::unique_ptr<Server>> listen(Base::Loop &loop, const Base::Address &address,
                                                          const ServerLimits &limits, Handler handler, ErrorBody errorBody);

    virtual ~Server() = default;

    /// The address that is listened on, with the port chosen.
    virtual const Base::Address &address() const = 0;

    /// Connections open now.
    virtual std::size_t connections() const = 0;

    /// Stops accepting connections; those open go on.
    virtual void closeListener() = 0;

    /// From now on each answer ends its connection, and says so.
    virtual void closeAfterResponses() = 0;

    /// Requests that have come, whole or in part, and whose answers have not been handed to the kernel whole.
    virtual std::size_t openRequests() const = 0;
};

} // namespace Yokepond::Http
