// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "platform/requestprotocol.h"

#include "Base/hash.h"
#include "platform/names.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Platform;
using Relay::ResponseKind;

TEST_GROUP(RequestProtocol)
{
    RequestProtocol protocol;
    Http::Request request {.method = "POST", .path = "/a b/", .target = "/a%20b/?q=1%2F2"};
    Relay::Run run {
        .callerRequestId = "id-1", .address = "10.0.0.1:80", .endpoint = "i-7", .organisation = "town", .urgency = {2, 3}};

    void setup() override
    {
        request.headers = {{"host", "Site.example:8080"},
                           {std::string(Names::requestId), "id-1"},
                           {std::string(Names::callerKey), "secret"},
                           {std::string(Names::organisation), "forged"},
                           {std::string(Names::deadline), "6000"},
                           {std::string(Names::tokens), "1460,80"},
                           {std::string(Names::prefixParts), "5c:800,91:410,e4:250"},
                           {"connection", "keep-alive, x-hop"},
                           {"x-hop", "1"},
                           {"x-own", ""}};
        run.deadline = Base::now() + std::chrono::seconds(5);
    }

    Relay::CallArrived describedCall()
    {
        RequestProtocol::State state;
        Relay::CallArrived call;
        protocol.describeRequest(request, state, call);
        return call;
    }

    std::string sentHeader(std::string_view name, const std::string &lastEventId = "")
    {
        const Http::Transfer transfer = protocol.buildTransfer({}, request, run, lastEventId);
        return std::string(Http::headerValue(transfer.headers, name).value_or("(none)"));
    }

    ResponseKind classified(int status, Http::Headers headers)
    {
        return protocol.classifyResponse(run, {status, std::move(headers)});
    }

    Http::Headers response()
    {
        return {{std::string(Names::requestId), "id-1"}, {std::string(Names::signature), "s"}};
    }
};

// Guards against a time that is too long for a duration, whose conversion overflowed.
TEST(RequestProtocol, theLongestDeadlineIsBounded)
{
    const auto timeLeft = [this](const std::string &deadline) {
        request.headers = {{std::string(Names::deadline), deadline}};
        return describedCall().timeLeft;
    };
    CHECK_TRUE(timeLeft("9223372036854775807") == std::chrono::hours(24 * 365));
    CHECK_TRUE(timeLeft("9300000000000000") == std::chrono::hours(24 * 365));
    CHECK_TRUE(timeLeft("6000") == std::chrono::seconds(6));
    CHECK_TRUE(timeLeft("31536000000") == std::chrono::hours(24 * 365));
    CHECK_TRUE(timeLeft("31536000001") == std::chrono::hours(24 * 365));
    CHECK_TRUE(timeLeft("0") == Base::Duration::zero());
    CHECK_TRUE(timeLeft("-9223372036854775808") == Base::Duration::zero());
}

// Guards against a caller that takes a stream up and is served like a new request, since what it names is not read.
TEST(RequestProtocol, aRequestNamesTheStreamThatItTakesUp)
{
    STRCMP_EQUAL("", describedCall().resumedRequestId.c_str());
    request.headers.push_back({std::string(Names::resumes), "id-0"});
    request.headers.push_back({std::string(Names::lastEventId), "12"});
    STRCMP_EQUAL("id-0", describedCall().resumedRequestId.c_str());
    STRCMP_EQUAL("12", describedCall().lastEventId.c_str());
    STRCMP_EQUAL("id-0", sentHeader(Names::resumes).c_str());
}

TEST(RequestProtocol, theAdvertisedRateIsParsed)
{
    const auto advertised = [&](int status, const char *text) {
        return protocol.advertisement({}, {status, {{std::string(Names::advertisedRate), text}}}).rate;
    };
    CHECK_TRUE(protocol.advertisement({}, {200, response()}).rate.header == Rate::RateHeader::None);
    CHECK_TRUE(advertised(200, "0.2").header == Rate::RateHeader::Limit);
    DOUBLES_EQUAL(0.2, advertised(200, "0.2").perSecond, 1e-9);
    DOUBLES_EQUAL(3.0, advertised(500, " 3 ").perSecond, 1e-9);
    CHECK_TRUE(advertised(503, "0").header == Rate::RateHeader::Limit);
    DOUBLES_EQUAL(Rate::largestRate, advertised(200, "100000000000000000000").perSecond, 1e-9);
    for (const char *text : {"", "-1", "many", "1 2", "nan", "inf", "1e3", "0x10", "1,5"}) {
        CHECK_TRUE(advertised(200, text).header == Rate::RateHeader::Unreadable);
    }
}

TEST(RequestProtocol, advertisedLeavingAndCooldownAreParsed)
{
    const auto advertised = [&](int status, Http::Headers headers) {
        return protocol.advertisement({}, {status, std::move(headers)}).availability;
    };
    const Http::Header leaving {std::string(Names::leaving), "1"};
    const Http::Header cooldown {std::string(Names::retryAfter), "3"};
    const Http::Header notExecuted {std::string(Names::notExecuted), "1"};
    for (const int status : {200, 404, 500, 503}) {
        CHECK_TRUE(advertised(status, {leaving}).leaves);
        CHECK_FALSE(advertised(status, {cooldown}).leaves);
    }
    CHECK_TRUE(advertised(503, {cooldown, notExecuted}).cooldown == std::chrono::seconds(3));
    CHECK_TRUE(advertised(503, {cooldown}).cooldown == std::chrono::seconds(3));
    CHECK_TRUE(advertised(429, {cooldown, notExecuted}).cooldown == std::chrono::seconds(3));
    // In these responses `retry-after` is from the application and meant for one caller.
    for (const int status : {200, 413, 429, 500}) {
        CHECK_TRUE(advertised(status, {cooldown}).cooldown == Base::Duration::zero());
    }
}

TEST(RequestProtocol, headersBecomeTypedFields)
{
    const Relay::CallArrived call = describedCall();
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

TEST(RequestProtocol, promptsWithACommonPrefixShareItsHashes)
{
    const auto first = describedCall().prefix;
    request.headers[6].value = "5c:800,91:410,aa:100";
    const auto second = describedCall().prefix;
    CHECK_EQUAL(first[1], second[1]);
    CHECK_TRUE(first[2] != second[2]);
}

/// A part has the same identity wherever it stands, and the value of its ID. The last part is the request's own.
TEST(RequestProtocol, thePartsOfAPromptAreNamedByTheirIds)
{
    CHECK_TRUE(describedCall().parts == (std::vector<std::uint64_t> {0x5c, 0x91}));
    request.headers[6].value = "77:10,91:410,91:410,not-hex:3,e5:1";
    CHECK_TRUE(describedCall().parts == (std::vector<std::uint64_t> {0x77, 0x91, Base::hash64("not-hex")}));
    request.headers[6].value = "e5:1";
    CHECK_TRUE(describedCall().parts.empty());
}

TEST(RequestProtocol, malformedNumbersAreIgnored)
{
    request.headers[5].value = "many,";
    request.headers[6].value = "nonsense";
    const Relay::CallArrived call = describedCall();
    CHECK_EQUAL(0U, call.promptTokens);
    CHECK_TRUE(call.prefix.empty());
}

/// Guards against priorities outside of the platform's ten where there are more urgencies, or in another order.
TEST(RequestProtocol, prioritiesKeepTheOrderOfManyUrgencies)
{
    std::vector<int> priorities;
    for (run.urgency = {0, 25}; run.urgency.index < run.urgency.count; ++run.urgency.index) {
        protocol.buildTransfer({}, request, run, "");
        priorities.push_back(std::stoi(sentHeader(Names::priority)));
    }
    CHECK_TRUE(std::ranges::is_sorted(priorities));
    CHECK_EQUAL(0, priorities.front());
    CHECK_EQUAL(9, priorities.back());
}

TEST(RequestProtocol, theEndpointGetsTheRequestUnchangedAndTheRoutersHeaders)
{
    const Http::Transfer transfer = protocol.buildTransfer({}, request, run, "");
    STRCMP_EQUAL("/a%20b/?q=1%2F2", transfer.target.c_str());
    CHECK_TRUE(transfer.freshConnection);
    STRCMP_EQUAL("town", sentHeader(Names::organisation).c_str());
    STRCMP_EQUAL("i-7", sentHeader(Names::expectEndpoint).c_str());
    STRCMP_EQUAL("2", sentHeader(Names::priority).c_str());
    STRCMP_EQUAL("(none)", sentHeader(Names::callerKey).c_str());
    STRCMP_EQUAL("(none)", sentHeader("x-hop").c_str());
    STRCMP_EQUAL("(none)", sentHeader("connection").c_str());
    STRCMP_EQUAL("", sentHeader("x-own").c_str());
    STRCMP_EQUAL("Site.example:8080", sentHeader("host").c_str());
    const int left = std::stoi(sentHeader(Names::deadline));
    CHECK_TRUE(left > 4000 && left <= 5000);
}

/// Endpoints obey these headers whoever wrote them: with a forged retention policy or transfer handle they reject the request
/// without running it, or pin memory.
TEST(RequestProtocol, aCallerCannotSetTheRoutersHeaders)
{
    const std::vector<std::string> routerHeaders
        = {"x-retention-policy", "x-pin-ms",          "x-kv-backup", "kv-from", "kv-fetch",          "kv-later",
           "x-expect-version",   "x-expect-instance", "x-tenant-id", "expect",  "x-request-priority"};
    for (const std::string &routerHeader : routerHeaders) {
        request.headers.push_back({routerHeader, "forged"});
    }
    for (const std::string &routerHeader : routerHeaders) {
        CHECK_TRUE(sentHeader(routerHeader) != "forged");
    }
    STRCMP_EQUAL("(none)", sentHeader("x-retention-policy").c_str());
    STRCMP_EQUAL("(none)", sentHeader("kv-from").c_str());
    STRCMP_EQUAL("(none)", sentHeader("x-expect-version").c_str());
}

TEST(RequestProtocol, theEndpointGetsTheAddressOfThePromptsKeeper)
{
    STRCMP_EQUAL("(none)", sentHeader("kv-fetch").c_str());
    run.keeper = "10.0.0.2:80";
    STRCMP_EQUAL("10.0.0.2:80", sentHeader("kv-fetch").c_str());
}

TEST(RequestProtocol, theCallersPromptHeadersReachTheEndpoint)
{
    request.headers.push_back({std::string(Names::lengthHint), "70"});
    request.headers.push_back({std::string(Names::model), "m"});
    STRCMP_EQUAL("70", sentHeader(Names::lengthHint).c_str());
    STRCMP_EQUAL("m", sentHeader(Names::model).c_str());
    STRCMP_EQUAL("1460,80", sentHeader(Names::tokens).c_str());
    STRCMP_EQUAL("5c:800,91:410,e4:250", sentHeader(Names::prefixParts).c_str());
    STRCMP_EQUAL("id-1", sentHeader(Names::requestId).c_str());
}

TEST(RequestProtocol, aStreamResumesAfterItsLastEvent)
{
    STRCMP_EQUAL("(none)", sentHeader(Names::lastEventId).c_str());
    request.headers.push_back({std::string(Names::lastEventId), "4"});
    STRCMP_EQUAL("4", sentHeader(Names::lastEventId).c_str());
    STRCMP_EQUAL("9", sentHeader(Names::lastEventId, "9").c_str());
}

TEST(RequestProtocol, onlyAResponseMarkedAsNotExecutedIsARejection)
{
    Http::Headers rejection = response();
    rejection.push_back({std::string(Names::notExecuted), "1"});
    CHECK_TRUE(classified(503, rejection) == ResponseKind::Rejected);
    CHECK_TRUE(classified(421, {}) == ResponseKind::EndpointReplaced);
    run.repeatable = false;
    CHECK_TRUE(classified(503, response()) == ResponseKind::Body);
    CHECK_TRUE(classified(500, response()) == ResponseKind::Body);
    run.repeatable = true;
    CHECK_TRUE(classified(500, response()) == ResponseKind::Failed);
}

TEST(RequestProtocol, aResponseOfAnotherRequestOrWithoutSignatureIsAFailure)
{
    CHECK_TRUE(classified(200, response()) == ResponseKind::Body);
    CHECK_TRUE(classified(200, {{std::string(Names::requestId), "id-1"}}) == ResponseKind::Failed);
    CHECK_TRUE(classified(200, {{std::string(Names::requestId), "id-2"}, {std::string(Names::signature), "s"}})
               == ResponseKind::Failed);
    Http::Headers events = response();
    events.push_back({"content-type", "text/event-stream"});
    CHECK_TRUE(classified(200, events) == ResponseKind::Events);
}
