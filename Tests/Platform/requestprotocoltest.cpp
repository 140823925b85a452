// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "platform/requestprotocol.h"

#include "Base/hash.h"
#include "platform/names.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Platform;
using Relay::ResponseKind;

TEST_GROUP(RequestProtocol)
{
    RequestProtocol protocol;
    Http::Request request {.method = "POST", .path = "/a b/", .target = "/a%20b/?q=1%2F2"};
    Relay::Run run {
        .callerRequestId = "id-1", .address = "10.0.0.1:80", .endpoint = "i-7", .organisation = "town", .priority = 3};

    void setup() override
    {
        request.headers = {{"host", "Site.example:8080"},
                           {std::string(Names::requestId), "id-1"},
                           {std::string(Names::key), "secret"},
                           {std::string(Names::organisation), "forged"},
                           {std::string(Names::deadline), "6000"},
                           {std::string(Names::tokens), "1460,80"},
                           {std::string(Names::prefixParts), "5c:800,91:410,e4:250"},
                           {"connection", "keep-alive, x-hop"},
                           {"x-hop", "1"},
                           {"x-own", ""}};
        run.deadline = Base::now() + std::chrono::seconds(5);
    }

    Relay::CallArrived described()
    {
        RequestProtocol::State state;
        Relay::CallArrived call;
        protocol.describeRequest(request, state, call);
        return call;
    }

    std::string sent(std::string_view name, const std::string &lastEventId = "")
    {
        const Http::Transfer transfer = protocol.buildTransfer({}, request, run, lastEventId);
        return std::string(Http::headerValue(transfer.headers, name).value_or("(none)"));
    }

    ResponseKind judged(int status, Http::Headers headers)
    {
        return protocol.classifyResponse(run, {status, std::move(headers)});
    }

    Http::Headers answer()
    {
        return {{std::string(Names::requestId), "id-1"}, {std::string(Names::signature), "s"}};
    }
};

TEST(RequestProtocol, theRateThatAnEndpointStatesIsTypedOnce)
{
    const auto stated = [&](int status, const char *text) {
        return protocol.advertisement({}, {status, {{std::string(Names::statedRate), text}}}).rate;
    };
    CHECK_TRUE(protocol.advertisement({}, {200, answer()}).rate.header == Rate::RateHeader::None);
    CHECK_TRUE(stated(200, "0.2").header == Rate::RateHeader::Limit);
    DOUBLES_EQUAL(0.2, stated(200, "0.2").perSecond, 1e-9);
    DOUBLES_EQUAL(3.0, stated(500, " 3 ").perSecond, 1e-9);
    CHECK_TRUE(stated(503, "0").header == Rate::RateHeader::Limit);
    DOUBLES_EQUAL(Rate::largestRate, stated(200, "100000000000000000000").perSecond, 1e-9);
    for (const char *text : {"", "-1", "many", "1 2", "nan", "inf", "1e3", "0x10", "1,5"}) {
        CHECK_TRUE(stated(200, text).header == Rate::RateHeader::Unreadable);
    }
}

TEST(RequestProtocol, whatAnEndpointSaysOfLeavingAndRestIsTypedOnce)
{
    const auto stated = [&](int status, Http::Headers headers) {
        return protocol.advertisement({}, {status, std::move(headers)}).availability;
    };
    const Http::Header leaving {std::string(Names::leaving), "1"};
    const Http::Header cooldown {std::string(Names::retryAfter), "3"};
    const Http::Header notRun {std::string(Names::notRun), "1"};
    for (const int status : {200, 404, 500, 503}) {
        CHECK_TRUE(stated(status, {leaving}).leaves);
        CHECK_FALSE(stated(status, {cooldown}).leaves);
    }
    CHECK_TRUE(stated(503, {cooldown, notRun}).cooldown == std::chrono::seconds(3));
    CHECK_TRUE(stated(503, {cooldown}).cooldown == std::chrono::seconds(3));
    CHECK_TRUE(stated(429, {cooldown, notRun}).cooldown == std::chrono::seconds(3));
    // An application's word to one caller.
    for (const int status : {200, 413, 429, 500}) {
        CHECK_TRUE(stated(status, {cooldown}).cooldown == Base::Duration::zero());
    }
}

TEST(RequestProtocol, headersBecomeTypedFields)
{
    const Relay::CallArrived call = described();
    STRCMP_EQUAL("site.example", call.host.c_str());
    STRCMP_EQUAL("/a%20b/", call.path.c_str());
    STRCMP_EQUAL("id-1", call.callerRequestId.c_str());
    STRCMP_EQUAL(Base::sha256("secret").c_str(), call.keyDigest.c_str());
    CHECK_EQUAL(1460U, call.promptTokens);
    CHECK_EQUAL(80U, call.expectedTokens);
    CHECK_TRUE(call.timeLeft == std::chrono::seconds(6));
    CHECK_EQUAL(3U, call.prefix.size());
    CHECK_TRUE(call.prefixTokens == (std::vector<std::uint32_t> {800, 1210, 1460}));
}

TEST(RequestProtocol, promptsThatBeginAlikeShareTheBeginningOfTheirChains)
{
    const auto first = described().prefix;
    request.headers[6].value = "5c:800,91:410,aa:100";
    const auto second = described().prefix;
    CHECK_EQUAL(first[1], second[1]);
    CHECK_TRUE(first[2] != second[2]);
}

TEST(RequestProtocol, brokenNumbersAreAbsentOnes)
{
    request.headers[5].value = "many,";
    request.headers[6].value = "nonsense";
    const Relay::CallArrived call = described();
    CHECK_EQUAL(0U, call.promptTokens);
    CHECK_TRUE(call.prefix.empty());
}

TEST(RequestProtocol, theEndpointGetsTheRequestUnalteredAndOurWordOnTheRest)
{
    const Http::Transfer transfer = protocol.buildTransfer({}, request, run, "");
    STRCMP_EQUAL("/a%20b/?q=1%2F2", transfer.target.c_str());
    CHECK_TRUE(transfer.freshConnection);
    STRCMP_EQUAL("town", sent(Names::organisation).c_str());
    STRCMP_EQUAL("i-7", sent(Names::expectEndpoint).c_str());
    STRCMP_EQUAL("2", sent(Names::priority).c_str());
    STRCMP_EQUAL("(none)", sent(Names::key).c_str());
    STRCMP_EQUAL("(none)", sent("x-hop").c_str());
    STRCMP_EQUAL("(none)", sent("connection").c_str());
    STRCMP_EQUAL("", sent("x-own").c_str());
    STRCMP_EQUAL("Site.example:8080", sent("host").c_str());
    const int left = std::stoi(sent(Names::deadline));
    CHECK_TRUE(left > 4000 && left <= 5000);
}

/// Endpoints obey these whoever wrote them; a lease or a handle that a caller made up is refused as not run, or pins memory.
TEST(RequestProtocol, aCallerCannotGiveOrdersThatAreTheRouters)
{
    const std::vector<std::string> orders
        = {"x-retention-policy", "x-pin-ms",          "x-kv-backup", "kv-from", "kv-fetch",          "kv-later",
           "x-expect-version",   "x-expect-instance", "x-tenant-id", "expect",  "x-request-priority"};
    for (const std::string &order : orders) {
        request.headers.push_back({order, "forged"});
    }
    for (const std::string &order : orders) {
        CHECK_TRUE(sent(order) != "forged");
    }
    STRCMP_EQUAL("(none)", sent("x-retention-policy").c_str());
    STRCMP_EQUAL("(none)", sent("kv-from").c_str());
    STRCMP_EQUAL("(none)", sent("x-expect-version").c_str());
}

TEST(RequestProtocol, anEndpointIsToldWhoKeepsThePrompt)
{
    STRCMP_EQUAL("(none)", sent("kv-fetch").c_str());
    run.keeper = "10.0.0.2:80";
    STRCMP_EQUAL("10.0.0.2:80", sent("kv-fetch").c_str());
}

TEST(RequestProtocol, whatACallerSaysOfItsPromptReachesTheEndpoint)
{
    request.headers.push_back({std::string(Names::lengthHint), "70"});
    request.headers.push_back({std::string(Names::model), "m"});
    STRCMP_EQUAL("70", sent(Names::lengthHint).c_str());
    STRCMP_EQUAL("m", sent(Names::model).c_str());
    STRCMP_EQUAL("1460,80", sent(Names::tokens).c_str());
    STRCMP_EQUAL("5c:800,91:410,e4:250", sent(Names::prefixParts).c_str());
    STRCMP_EQUAL("id-1", sent(Names::requestId).c_str());
}

TEST(RequestProtocol, aStreamGoesOnBehindItsLastEvent)
{
    STRCMP_EQUAL("(none)", sent(Names::lastEventId).c_str());
    request.headers.push_back({std::string(Names::lastEventId), "4"});
    STRCMP_EQUAL("4", sent(Names::lastEventId).c_str());
    STRCMP_EQUAL("9", sent(Names::lastEventId, "9").c_str());
}

TEST(RequestProtocol, onlyTheEndpointsOwnWordIsARefusal)
{
    Http::Headers refused = answer();
    refused.push_back({std::string(Names::notRun), "1"});
    CHECK_TRUE(judged(503, refused) == ResponseKind::Rejected);
    CHECK_TRUE(judged(421, {}) == ResponseKind::EndpointReplaced);
    run.repeatable = false;
    CHECK_TRUE(judged(503, answer()) == ResponseKind::Body);
    CHECK_TRUE(judged(500, answer()) == ResponseKind::Body);
    run.repeatable = true;
    CHECK_TRUE(judged(500, answer()) == ResponseKind::Failed);
}

TEST(RequestProtocol, anAnswerOfAnotherRequestOrWithoutASignatureIsNone)
{
    CHECK_TRUE(judged(200, answer()) == ResponseKind::Body);
    CHECK_TRUE(judged(200, {{std::string(Names::requestId), "id-1"}}) == ResponseKind::Failed);
    CHECK_TRUE(judged(200, {{std::string(Names::requestId), "id-2"}, {std::string(Names::signature), "s"}})
               == ResponseKind::Failed);
    Http::Headers events = answer();
    events.push_back({"content-type", "text/event-stream"});
    CHECK_TRUE(judged(200, events) == ResponseKind::Events);
}
