// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Fuzzes the event splitter: no byte is lost or added, wherever the input is split into two parts.

#include "Relay/eventsplitter.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace Yokepond;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    Relay::EventSplitter splitter;
    std::string output;
    const std::size_t splitAt = size == 0 ? 0 : data[0] % size;
    for (const std::string_view part : {std::string_view(text).substr(0, splitAt), std::string_view(text).substr(splitAt)}) {
        for (const Relay::ServerSentEvent &event : splitter.feed(part)) {
            output += event.bytes;
        }
    }
    if (output.size() + splitter.pendingBytes() != text.size() || !text.starts_with(output)) {
        std::abort();
    }
    return 0;
}
