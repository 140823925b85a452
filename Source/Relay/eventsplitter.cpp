// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Relay/eventsplitter.h"

#include "Base/text.h"

namespace Yokepond::Relay {

namespace {

constexpr std::string_view doneMarker = "[DONE]";

/// Returns the length of the first complete event in @p text, including its blank line, or npos if there is none.
/// Searches for the blank line from position @p from on. Lines may end in "\n" or "\r\n".
std::size_t eventLength(std::string_view text, std::size_t from)
{
    for (std::size_t position = text.find('\n', from); position != std::string_view::npos;
         position = text.find('\n', position + 1)) {
        const std::string_view rest = text.substr(position + 1);
        if (rest.starts_with('\n')) {
            return position + 2;
        }
        if (rest.starts_with("\r\n")) {
            return position + 3;
        }
    }
    return std::string_view::npos;
}

ServerSentEvent readEvent(std::string_view text)
{
    ServerSentEvent event;
    event.bytes = text;
    for (std::string_view line : Base::split(text, '\n')) {
        line = Base::trimmed(line);
        if (Base::consumePrefix(line, "data:")) {
            event.hasData = true;
            event.isDone = Base::trimmed(line) == doneMarker;
        } else if (Base::consumePrefix(line, "id:")) {
            event.id = Base::trimmed(line);
        } else if (Base::consumePrefix(line, "event:")) {
            event.isError = Base::trimmed(line) == "error";
        }
    }
    return event;
}

} // namespace

std::vector<ServerSentEvent> EventSplitter::feed(std::string_view bytes)
{
    std::vector<ServerSentEvent> events;
    // Up to three bytes of the blank line may have been received with the previous call, so the search starts before the new
    // bytes.
    std::size_t from = m_partial.size() > 3 ? m_partial.size() - 3 : 0;
    m_partial.append(bytes);
    std::string_view rest = m_partial;
    for (std::size_t length = eventLength(rest, from); length != std::string_view::npos; length = eventLength(rest, 0)) {
        events.push_back(readEvent(rest.substr(0, length)));
        rest.remove_prefix(length);
    }
    m_partial.erase(0, m_partial.size() - rest.size());
    return events;
}

void EventSplitter::reset()
{
    m_partial.clear();
}

std::size_t EventSplitter::pendingBytes() const
{
    return m_partial.size();
}

} // namespace Yokepond::Relay
