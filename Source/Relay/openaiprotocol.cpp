// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Relay/openaiprotocol.h"

#include "Base/hash.h"
#include "Base/text.h"
#include "Relay/prompt.h"

#include <fmt/format.h>

namespace Yokepond::Relay {

namespace {

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view completionPath = "/v1/completions";
constexpr int httpOk = 200;
constexpr int httpTooManyRequests = 429;
constexpr int httpServerError = 500;
constexpr int httpUnavailable = 503;

std::string bearerDigest(const Http::Headers &headers)
{
    const std::string_view key = Base::bearerKey(Http::headerValue(headers, "authorization").value_or(""));
    return key.empty() ? std::string() : Base::sha256(key);
}

std::string toText(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Writes the object @p body, or an empty one if it is null, with @p priority in place of a member of that name. @p size is the
/// expected length of the text. The body is written anew rather than passed on so that an engine cannot read another value of a
/// repeated member than the router.
std::string bodyWithPriority(const nlohmann::json &body, std::size_t priority, std::size_t size)
{
    constexpr std::string_view priorityName = "priority";
    std::string text = fmt::format(R"({{"{}":{})", priorityName, priority);
    text.reserve(text.size() + size);
    for (const auto &[name, value] : body.items()) {
        if (name != priorityName) {
            text += ',';
            text += toText(name);
            text += ':';
            text += toText(value);
        }
    }
    text += '}';
    return text;
}

} // namespace

void OpenAiProtocol::describeRequest(const Http::Request &request, State &state, CallArrived &event) const
{
    event.keyDigest = bearerDigest(request.headers);
    event.className = Http::headerValue(request.headers, "yokepond-class").value_or("");
    event.idempotencyKey = Http::headerValue(request.headers, "idempotency-key").value_or("");
    event.waitForRun = Http::headerValue(request.headers, "prefer").value_or("").find("wait") != std::string_view::npos;
    if (!event.idempotencyKey.empty()) {
        event.bodyDigest = Base::sha256(fmt::format("{} {}\n{}", request.method, request.path, request.body));
        event.fullRequest = request;
    }
    if (request.method != "POST" || (request.path != chatPath && request.path != completionPath)) {
        return;
    }
    auto prompt = parsePrompt(request.body, request.path == chatPath);
    if (!prompt.ok()) {
        event.error = prompt.status();
        return;
    }
    event.model = std::move(prompt->model);
    event.promptTokens = prompt->tokens;
    event.prefix = std::move(prompt->prefix);
    event.parts = std::move(prompt->parts);
    event.streams = prompt->stream;
    state.body = std::move(prompt->body);
}

Http::Transfer OpenAiProtocol::buildTransfer(const State &state, const Http::Request &request, const Run &run,
                                             const std::string &) const
{
    Http::Transfer transfer;
    transfer.method = request.method;
    transfer.url = fmt::format("http://{}{}{}{}", run.address, run.path, request.query.empty() ? "" : "?", request.query);
    transfer.headers = {{"Yokepond-Request", run.requestName}, {"Yokepond-Tier-Rank", fmt::format("{}", run.tierRank)}};
    transfer.freshConnection = !run.repeatable;
    if (const auto type = Http::headerValue(request.headers, "content-type")) {
        transfer.headers.push_back({"content-type", std::string(*type)});
    }
    if (!run.operationKey.empty()) {
        transfer.headers.push_back({"Idempotency-Key", run.operationKey});
    }
    if (!run.fence.empty()) {
        transfer.headers.push_back({"Yokepond-Fence", run.fence});
    }
    if (run.engine) {
        transfer.body = bodyWithPriority(state.body, run.urgency.index + 1, request.body.size());
    } else {
        transfer.body = request.body;
    }
    return transfer;
}

/// The resume request is a GET of the existing run, so it cannot start the request again.
std::optional<Http::Transfer> OpenAiProtocol::buildResumeTransfer(const Run &run, const std::string &lastEventId) const
{
    Http::Transfer transfer;
    transfer.url = fmt::format("http://{}/v1/runs/{}/events", run.address, run.requestName);
    transfer.headers = {{"Last-Event-ID", lastEventId}};
    transfer.freshConnection = true;
    return transfer;
}

ResponseKind OpenAiProtocol::classifyResponse(const Run &run, const ResponseHead &head) const
{
    const auto type = Http::headerValue(head.headers, "content-type");
    const bool events = type && type->starts_with(Http::eventStreamType);
    if (!run.engine) {
        return events ? ResponseKind::Failed : ResponseKind::Body;
    }
    if (head.status == httpOk && events) {
        return ResponseKind::Events;
    }
    if (head.status == httpTooManyRequests || head.status == httpUnavailable) {
        return ResponseKind::Rejected;
    }
    return events || head.status >= httpServerError ? ResponseKind::Failed : ResponseKind::Body;
}

Request::EndpointAdvertisement OpenAiProtocol::advertisement(const Run &run, const ResponseHead &head) const
{
    // A service may send 429 to limit a single caller. Only an engine's 429 means that the endpoint rejects runs.
    const bool rejected = head.status == httpUnavailable || (run.engine && head.status == httpTooManyRequests);
    return {Rate::parseAdvertisedRate(Http::headerValue(head.headers, advertisedRateHeader)),
            Availability::parseAdvertisedAvailability({Http::headerValue(head.headers, leavingHeader),
                                                       rejected ? Http::headerValue(head.headers, "retry-after") : std::nullopt,
                                                       Http::headerValue(head.headers, "date")})};
}

Http::Headers OpenAiProtocol::streamHeaders(const Run &run, const ResponseHead &) const
{
    return {{"content-type", std::string(Http::eventStreamType)},
            {"cache-control", "no-cache"},
            {"yokepond-request", run.requestName},
            {"trailer", "yokepond-outcome"}};
}

Http::Headers OpenAiProtocol::bodyHeaders(const Run &run, const ResponseHead &head) const
{
    Http::Headers headers;
    if (const auto type = Http::headerValue(head.headers, "content-type")) {
        headers.push_back({"content-type", std::string(*type)});
    }
    headers.push_back({"yokepond-request", run.requestName});
    headers.push_back({"yokepond-outcome", std::string(Base::nameOf(Request::outcomeNames, Request::Outcome::Completed))});
    return headers;
}

} // namespace Yokepond::Relay
