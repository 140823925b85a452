// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// An HTTP client on libcurl's multi interface, run by a Base::Loop: no thread of its own, no blocking call.

#pragma once

#include "Base/loop.h"
#include "Http/message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Yokepond::Http {

/// How far a transfer came; decides whether the other side can have seen any of the request.
enum class TransferStage {
    NotSent, ///< no byte of the request was handed to a connection
    Sent, ///< some of the request was, and no status line has come back
    ResponseStarted, ///< a status line has come back, the body has not ended
    Closed, ///< the whole head has come, and the connection was closed in order where nothing else tells the body's length
    Complete, ///< the whole answer has come
};

enum class TransferFailure { None, Connect, Timeout, Broken, Cancelled };

struct TransferResult
{
    TransferStage stage = TransferStage::NotSent;
    TransferFailure failure = TransferFailure::None;
    int status = 0; ///< 0 before a status line
    std::string detail; ///< the library's words, for logs
};

struct Transfer
{
    std::string method = "GET";
    std::string url;
    std::string target; ///< of the request line, as it is to stand there; empty: that of the URL
    Headers headers; ///< sent as they are; the library adds none but Host and Content-Length
    std::string body;
    Base::Duration connectTimeout = std::chrono::seconds(1);
    Base::Duration totalTimeout = Base::Duration::zero(); ///< zero: none
    /// Use a connection that carried nothing before. libcurl sends a request again by itself if a kept connection turns out
    /// closed, so a request that may run at most once must never go over one.
    bool freshConnection = false;
    /// Close the connection by a reset: bytes that the other side has not got yet are dropped rather than sent later.
    bool resetOnClose = false;
};

/// What a transfer reports, all on the loop's thread. onEnd is called exactly once, and last, unless the transfer is cancelled.
struct TransferEvents
{
    std::function<void(int status, const Headers &headers)> onHeaders;
    std::function<void(std::string_view bytes)> onBytes;
    std::function<void(const TransferResult &result)> onEnd;
};

class Client
{
public:
    using Id = std::uint64_t;

    /// At most @p keptConnections idle connections are kept for reuse.
    explicit Client(Base::Loop &loop, std::size_t keptConnections = 64);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Begins @p transfer; no event is reported before this returns.
    Id start(Transfer transfer, TransferEvents events);

    /// Ends a transfer and closes its connection; nothing more is reported.
    void cancel(Id id);

    /// Stops reading from the transfer's connection, so that the sender is held back, or reads on.
    void pause(Id id, bool paused);

    /// Transfers under way.
    std::size_t active() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/// Fetches a whole answer: @p done gets the result and the body.
Client::Id fetch(Client &client, Transfer transfer, std::function<void(const TransferResult &result, std::string body)> done);

} // namespace Yokepond::Http
