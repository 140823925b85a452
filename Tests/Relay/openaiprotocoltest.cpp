// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Relay/openaiprotocol.h"

#include "Base/error.h"
#include "Base/json.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <string>

using namespace Yokepond;
using namespace Yokepond::Relay;

TEST_GROUP(OpenAiProtocol)
{
    OpenAiProtocol protocol;
    Http::Request request {.method = "POST", .path = "/v1/chat/completions"};
    OpenAiProtocol::State state;
    CallArrived event;
    Run run;

    void describe(const std::string &body)
    {
        request.body = body;
        protocol.describeRequest(request, state, event);
    }

    /// Returns the decoded body that an engine gets.
    nlohmann::json bodyForEngine(std::size_t urgency)
    {
        run.urgency.index = urgency;
        return *Base::decodeJson(protocol.buildTransfer(state, request, run, {}).body);
    }
};

// Guards against a body whose depth ends the host when it is written for the engine.
TEST(OpenAiProtocol, aDeeplyNestedBodyIsRefused)
{
    constexpr std::size_t depth = 100'000;
    describe(fmt::format(R"({{"messages":[{{"role":"user","content":"x"}}],"metadata":{}{}}})", std::string(depth, '['),
                         std::string(depth, ']')));
    CHECK_TRUE(Base::errorKind(event.error) == Base::ErrorKind::InvalidRequest);
    STRCMP_CONTAINS("nested more than 128 levels deep", std::string(event.error.message()).c_str());
}

// Guards against a body at the bound of depth that ends the host when it is written for the engine.
TEST(OpenAiProtocol, aBodyAtTheBoundOfDepthReachesTheEngine)
{
    const std::string nested = std::string(Base::maxJsonDepth - 1, '[') + std::string(Base::maxJsonDepth - 1, ']');
    describe(fmt::format(R"({{"messages":[{{"role":"user","content":"x"}}],"metadata":{}}})", nested));
    CHECK_TRUE(event.error.ok());
    STRCMP_EQUAL(nested.c_str(), bodyForEngine(0)["metadata"].dump().c_str());
}

TEST(OpenAiProtocol, theEngineGetsTheBodyWithThePriority)
{
    describe(R"({"messages":[{"role":"user","content":"\u00e9\n"}],"a\"b":[1,-2,0.5,null,{}],"stream":true,"zoo":1})");
    STRCMP_EQUAL(R"({"a\"b":[1,-2,0.5,null,{}],"messages":[{"content":"é\n","role":"user"}],"priority":3,"stream":true,"zoo":1})",
                 bodyForEngine(2).dump().c_str());
}

TEST(OpenAiProtocol, aCallerCannotSetThePriority)
{
    describe(R"({"messages":[{"role":"user","content":"x"}],"priority":1,"pr\u0069ority":{"a":1}})");
    CHECK_EQUAL(2U, bodyForEngine(1)["priority"].get<unsigned>());
    const std::string forEngine = protocol.buildTransfer(state, request, run, {}).body;
    CHECK_EQUAL(forEngine.find("priority"), forEngine.rfind("priority"));
}

/// A repeated member must not let an engine read another value than the router.
TEST(OpenAiProtocol, aRepeatedMemberReachesTheEngineOnce)
{
    describe(R"({"model":"a","messages":[{"role":"user","content":"x"}],"model":"b"})");
    STRCMP_EQUAL("b", event.model.c_str());
    const std::string forEngine = protocol.buildTransfer(state, request, run, {}).body;
    CHECK_EQUAL(forEngine.find("\"model\""), forEngine.rfind("\"model\""));
}

/// Bodies for services are passed on as they come.
TEST(OpenAiProtocol, aDeeplyNestedBodyForAServiceIsPassedOn)
{
    request.path = "/v1/services/warnings/issue";
    describe(std::string(100'000, '['));
    run.engine = false;
    CHECK_TRUE(event.error.ok());
    CHECK_TRUE(protocol.buildTransfer(state, request, run, {}).body == request.body);
}
