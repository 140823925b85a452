// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Fuzzes the event splitter: no byte is lost or added, however the stream is cut.

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
    std::string whole;
    const std::size_t cut = size == 0 ? 0 : data[0] % size;
    for (const std::string_view part : {std::string_view(text).substr(0, cut), std::string_view(text).substr(cut)}) {
        for (const Relay::ServerSentEvent &event : splitter.feed(part)) {
            whole += event.bytes;
        }
    }
    if (whole.size() + splitter.pendingBytes() != text.size() || !text.starts_with(whole)) {
        std::abort();
    }
    return 0;
}
