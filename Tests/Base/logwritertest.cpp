// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/logwriter.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <array>
#include <string>

using Yokepond::Base::LogWriter;

TEST_GROUP(LogWriter)
{
    std::array<int, 2> ends {};

    void setup() override
    {
        CHECK_EQUAL(0, pipe(ends.data()));
    }

    std::string readAll()
    {
        close(ends[1]);
        std::string all;
        std::array<char, 65536> buffer {};
        for (ssize_t count = 1; count > 0;) {
            count = read(ends[0], buffer.data(), buffer.size());
            all.append(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
        }
        close(ends[0]);
        return all;
    }
};

TEST(LogWriter, writesAllLinesInOrderBeforeItIsDestroyed)
{
    {
        LogWriter writer(ends[1]);
        writer.append("one\n");
        writer.append("two\n");
    }
    STRCMP_EQUAL("one\ntwo\n", readAll().c_str());
}

TEST(LogWriter, slowReaderDoesNotBlockWritersAndDroppedLinesAreCounted)
{
    auto writer = std::make_unique<LogWriter>(ends[1]);
    const std::string line(1000, 'x');
    const std::size_t lines = 4 * LogWriter::maxQueuedBytes / line.size();
    for (std::size_t index = 0; index < lines; ++index) {
        // Nobody reads yet, so this would never return if it waited for the reader.
        writer->append(line);
    }
    std::thread reader([this] {
        std::array<char, 65536> buffer {};
        while (read(ends[0], buffer.data(), buffer.size()) > 0) { }
    });
    std::uint64_t dropped = 0;
    while (dropped == 0) {
        dropped = writer->append("last\n");
        std::this_thread::yield();
    }
    CHECK_TRUE(dropped > lines / 4 && dropped < lines);
    writer.reset();
    close(ends[1]);
    reader.join();
    close(ends[0]);
}
