// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "EngineModel/responselengths.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <cstdint>

using namespace Yokepond;
using namespace Yokepond::EngineModel;

TEST_GROUP(ResponseLengths)
{
    static constexpr std::uint32_t chat = 1;
    static constexpr std::uint32_t report = 2;
    /// Lengths of responses that spread over a wide range. Their median is 200.
    static constexpr std::array<std::uint32_t, 5> spread = {50, 100, 200, 400, 800};

    ResponseLengths lengths;

    void add(int responses, std::uint32_t requestClass, std::uint32_t organisation, std::uint32_t events)
    {
        for (int index = 0; index < responses; ++index) {
            lengths.add(requestClass, organisation, 0, events);
        }
    }

    /// Adds @p responses responses whose lengths the hints predict exactly.
    void addWithGoodHints(int responses, std::uint32_t requestClass)
    {
        for (int index = 0; index < responses; ++index) {
            const std::uint32_t events = spread[static_cast<std::size_t>(index) % spread.size()];
            lengths.add(requestClass, 1, events, events);
        }
    }

    /// Adds @p responses responses whose lengths have nothing to do with the hints: each length comes with each hint.
    void addWithUselessHints(int responses, std::uint32_t requestClass, std::uint32_t scale = 1)
    {
        for (int index = 0; index < responses; ++index) {
            const auto step = static_cast<std::size_t>(index);
            const std::uint32_t hint = spread[(step + step / spread.size()) % spread.size()];
            lengths.add(requestClass, 1, hint * scale, spread[step % spread.size()] * scale);
        }
    }

    static void checkAbout(double expected, double found)
    {
        constexpr double factor = 1.3;
        CHECK_TRUE(found > expected / factor);
        CHECK_TRUE(found < expected * factor);
    }
};

/// Guards against requests that are refused because of a length that nobody has observed.
TEST(ResponseLengths, withoutAResponseOfTheClassNoLengthIsExpected)
{
    DOUBLES_EQUAL(0.0, lengths.expectedEvents(chat, 1, 0), 0.0);
    DOUBLES_EQUAL(0.0, lengths.expectedEvents(chat, 1, 500), 0.0);
    add(10, report, 1, 300);
    DOUBLES_EQUAL(0.0, lengths.expectedEvents(chat, 1, 0), 0.0);
}

/// A response without events says nothing about the length of others.
TEST(ResponseLengths, responsesWithoutEventsAreIgnored)
{
    add(10, chat, 1, 0);
    DOUBLES_EQUAL(0.0, lengths.expectedEvents(chat, 1, 0), 0.0);
}

/// Guards against one mean for classes with different responses.
TEST(ResponseLengths, classesAreToldApart)
{
    add(50, chat, 1, 20);
    add(50, report, 1, 900);
    DOUBLES_EQUAL(20.0, lengths.expectedEvents(chat, 1, 0), 0.5);
    DOUBLES_EQUAL(900.0, lengths.expectedEvents(report, 1, 0), 5);
}

/// Guards against an organisation with short responses that is refused because another has long ones.
TEST(ResponseLengths, organisationsWithManyResponsesAreToldApart)
{
    for (int index = 0; index < 100; ++index) {
        add(1, chat, 1, 50);
        add(1, chat, 2, 800);
    }
    checkAbout(50, lengths.expectedEvents(chat, 1, 0));
    checkAbout(800, lengths.expectedEvents(chat, 2, 0));
    checkAbout(200, lengths.expectedEvents(chat, 3, 0));
}

/// Guards against an estimate that follows a single response.
TEST(ResponseLengths, fewResponsesOfAnOrganisationCountLittle)
{
    add(100, chat, 1, 100);
    add(1, chat, 2, 10'000);
    const double expected = lengths.expectedEvents(chat, 2, 0);
    CHECK_TRUE(expected > 100);
    CHECK_TRUE(expected < 200);
}

/// Guards against estimates that stay at the lengths of the past.
TEST(ResponseLengths, theEstimateFollowsALastingChange)
{
    add(1000, chat, 1, 10);
    add(1000, chat, 1, 1000);
    checkAbout(1000, lengths.expectedEvents(chat, 1, 0));
}

/// Guards against hints that are ignored although they predict the length.
TEST(ResponseLengths, aHintThatPredictsWellIsBelieved)
{
    addWithGoodHints(100, chat);
    checkAbout(50, lengths.expectedEvents(chat, 1, 50));
    checkAbout(800, lengths.expectedEvents(chat, 1, 800));
}

/// Guards against hints that are believed although they predict nothing, such as a limit that a caller sets for all requests.
TEST(ResponseLengths, aHintThatPredictsNothingCountsLessThanTheLengthsThemselves)
{
    for (const std::uint32_t scale : {1U, 10U}) {
        for (const int responses : {25, 100}) {
            lengths = {};
            addWithUselessHints(responses, chat, scale);
            // The limit is halfway, in orders of magnitude, between the median and the hint.
            CHECK_TRUE(lengths.expectedEvents(chat, 1, 800 * scale) < 400 * scale);
            CHECK_TRUE(lengths.expectedEvents(chat, 1, 50 * scale) > 100 * scale);
        }
    }
}

/// Guards against a hint that is believed in one class because it predicts well in another.
TEST(ResponseLengths, hintsAreJudgedInEachClassOfTheirOwn)
{
    addWithGoodHints(100, chat);
    addWithUselessHints(100, report);
    checkAbout(800, lengths.expectedEvents(chat, 1, 800));
    CHECK_TRUE(lengths.expectedEvents(report, 1, 800) < 400);
}

/// A hint is in tokens. Where an event has several tokens, the expected number of events is lower in proportion.
TEST(ResponseLengths, hintsInTokensGiveLengthsInEvents)
{
    constexpr std::uint32_t tokensPerEvent = 4;
    for (int index = 0; index < 100; ++index) {
        const std::uint32_t events = spread[static_cast<std::size_t>(index) % spread.size()];
        lengths.add(chat, 1, events * tokensPerEvent, events);
    }
    checkAbout(600, lengths.expectedEvents(chat, 1, 600 * tokensPerEvent));
    checkAbout(100, lengths.expectedEvents(chat, 1, 100 * tokensPerEvent));
}

/// Guards against memory that grows with each organisation: those beyond a limit get the value of their class.
TEST(ResponseLengths, organisationsBeyondTheLimitGetTheValueOfTheClass)
{
    constexpr std::uint32_t many = 20'000;
    for (std::uint32_t organisation = 1; organisation <= many; ++organisation) {
        add(1, chat, organisation, 10);
    }
    add(50, chat, many + 1, 1000);
    const double ofClass = lengths.expectedEvents(chat, many + 2, 0);
    DOUBLES_EQUAL(ofClass, lengths.expectedEvents(chat, many + 1, 0), 1e-9);
    CHECK_TRUE(ofClass > 10);
}
