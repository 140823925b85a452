// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Relay/prompt.h"

#include "Base/error.h"
#include "Relay/promptparts.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <numeric>

using namespace Yokepond;
using namespace Yokepond::Relay;

TEST_GROUP(Prompt) {};

TEST(Prompt, invalidBodiesAreRejected)
{
    for (const std::string_view body :
         {"", "[]", "{", "{}", R"({"messages":[]})", R"({"messages":[1]})", R"({"messages":[{"role":"user"}]})",
          R"({"messages":[{"role":"user","content":"x"}],"stream":1})",
          R"({"messages":[{"role":"user","content":"x"}],"model":2})"}) {
        CHECK_TRUE(Base::errorKind(parsePrompt(body, true).status()) == Base::ErrorKind::InvalidRequest);
    }
}

TEST(Prompt, promptsWithACommonPrefixShareItsHashes)
{
    const std::string common(2000, 'x');
    const auto first = parsePrompt(fmt::format(R"({{"prompt":"{}first"}})", common), false);
    const auto second = parsePrompt(fmt::format(R"({{"prompt":"{}second"}})", common), false);
    CHECK_EQUAL(2U, first->prefix.size());
    CHECK_TRUE(first->prefix == second->prefix);
}

TEST(Prompt, textPartsOfAMessageAreCounted)
{
    const auto prompt
        = parsePrompt(R"({"messages":[{"role":"user","content":[{"type":"text","text":"hello there"}]}],"stream":true})", true);
    CHECK_TRUE(prompt.ok());
    CHECK_TRUE(prompt->stream);
    CHECK_EQUAL(5U, prompt->tokens);
}

/// The parts of a conversation are its messages; the last one is the request's own.
TEST(Prompt, thePartsOfAConversationAreItsMessages)
{
    const auto first = parsePrompt(
        R"({"messages":[{"role":"system","content":"s"},{"role":"user","content":"a"},{"role":"user","content":"b"}]})", true);
    const auto second = parsePrompt(R"({"messages":[{"role":"user","content":"a"},{"role":"user","content":"c"}]})", true);
    CHECK_EQUAL(2U, first->parts.size());
    CHECK_EQUAL(1U, second->parts.size());
    CHECK_EQUAL(first->parts[1], second->parts[0]);
    CHECK_TRUE(parsePrompt(R"({"prompt":"all of it"})", false)->parts.empty());
}

TEST(Prompt, ofVeryManyPartsTheFirstAndTheLastAreKept)
{
    std::vector<std::uint64_t> parts(200);
    std::iota(parts.begin(), parts.end(), 1U);
    const std::vector<std::uint64_t> kept = sharedParts(parts);
    CHECK_EQUAL(64U, kept.size());
    CHECK_EQUAL(1U, kept.front());
    CHECK_EQUAL(199U, kept.back());
}
