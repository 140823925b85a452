// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Relay/eventsplitter.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond::Relay;

TEST_GROUP(EventSplitter)
{
    EventSplitter splitter;
};

TEST(EventSplitter, eventsDoNotDependOnWhereTheBytesAreSplit)
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nevent: error\ndata: c\n\ndata: [DONE]\n\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        EventSplitter fresh;
        auto events = fresh.feed(text.substr(0, cut));
        for (auto &event : fresh.feed(text.substr(cut))) {
            events.push_back(event);
        }
        CHECK_EQUAL(4U, events.size());
        STRCMP_EQUAL("2", events[1].id.c_str());
        CHECK_TRUE(events[2].isError);
        CHECK_TRUE(events[3].isDone);
        std::string whole;
        for (const auto &event : events) {
            whole += event.bytes;
        }
        STRCMP_EQUAL(text.c_str(), whole.c_str());
        CHECK_EQUAL(0U, fresh.pendingBytes());
    }
}

TEST(EventSplitter, resetDiscardsAnIncompleteEvent)
{
    CHECK_EQUAL(0U, splitter.feed("id: 3\ndata: ha").size());
    splitter.reset();
    const auto events = splitter.feed("id: 3\ndata: half\n\n");
    STRCMP_EQUAL("id: 3\ndata: half\n\n", events.front().bytes.c_str());
}
