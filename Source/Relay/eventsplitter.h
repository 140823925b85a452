// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Splits a stream of server-sent events into complete events (WHATWG HTML, section 9.2).

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Yokepond::Relay {

/// One complete event.
struct ServerSentEvent
{
    std::string bytes; ///< the event as received, including the blank line at its end
    std::string id; ///< value of its `id:` line, empty if it has none
    bool hasData = false; ///< whether it has a `data:` line
    bool isDone = false; ///< whether it is `data: [DONE]`, the last event of an OpenAI-style stream
    bool isError = false; ///< whether it is an `event: error`
};

/// Splits the bytes of a stream, received in arbitrary pieces, into events.
class EventSplitter
{
public:
    /// Appends @p bytes to the stream and returns the events that they complete, in order. The bytes of an incomplete event are
    /// kept for the next call.
    std::vector<ServerSentEvent> feed(std::string_view bytes);

    /// Discards the bytes of an incomplete event.
    void reset();

    /// Returns the number of bytes kept of an incomplete event.
    std::size_t pendingBytes() const;

private:
    std::string m_partial;
};

} // namespace Yokepond::Relay
