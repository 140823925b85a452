// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Cuts a stream of server-sent events into whole events (WHATWG HTML, section 9.2).

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Yokepond::Relay {

/// One whole event as it came, with its blank line.
struct ServerSentEvent
{
    std::string bytes;
    std::string id; ///< of its `id:` line, empty if it has none
    bool hasData = false;
    bool isDone = false; ///< `data: [DONE]`, the last event of an OpenAI-style stream
    bool isError = false; ///< `event: error`
};

class EventSplitter
{
public:
    /// Events that @p bytes complete, in order. Bytes of an event that is not whole are kept.
    std::vector<ServerSentEvent> feed(std::string_view bytes);

    /// Forgets the beginning of an event that was cut off.
    void reset();

    /// Bytes held of an event that is not whole.
    std::size_t pendingBytes() const;

private:
    std::string m_partial;
};

} // namespace Yokepond::Relay
