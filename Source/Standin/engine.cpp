// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Standin/engine.h"

#include "Base/hash.h"
#include "Base/text.h"
#include "Http/message.h"
#include "Relay/openaiprotocol.h"
#include "Relay/prompt.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace Yokepond::Standin {

namespace {

constexpr std::uint32_t prefillTokensPerStep = 2048;
constexpr std::uint32_t percent = 100;
/// Older cache events are removed from /cache-events.
constexpr std::size_t maxCacheEvents = 1000;
/// Simulates a lossy event feed: this percentage of cache events is never published.
constexpr std::uint32_t droppedCacheEventPercent = 10;
constexpr std::uint32_t bytesPerToken = 4;
constexpr int httpOk = 200;
constexpr int httpBadRequest = 400;
constexpr int httpNotFound = 404;
constexpr int httpServerError = 500;
constexpr int httpUnavailable = 503;

std::string promptText(const nlohmann::json &body)
{
    if (body.contains("prompt")) {
        return body["prompt"].get<std::string>();
    }
    std::string text;
    for (const nlohmann::json &message : body["messages"]) {
        const nlohmann::json &content = message["content"];
        text += content.is_string() ? content.get<std::string>() : content.dump();
        text += '\n';
    }
    return text;
}

std::string tokenText(std::uint64_t promptHash, std::uint32_t index)
{
    return fmt::format("{:08x}:{} ", promptHash & 0xffffffffU, index);
}

} // namespace

Engine::Engine(Base::Loop &loop, EngineOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_random(m_options.common.seed)
    , m_cache(m_options.cacheBlocks)
    , m_log(m_options.common.runLogFile)
    , m_publishedLoad({{"running", 0}, {"waiting", 0}, {"slots", m_options.slots}})
{
    m_periodicTimer = loop.every(m_options.publishInterval, [this] { runPeriodicTasks(); });
}

void Engine::handle(const std::shared_ptr<Http::Exchange> &exchange)
{
    const Http::Request &request = exchange->request();
    std::string_view path = request.path;
    if (request.method == "POST" && (path == "/v1/chat/completions" || path == "/v1/completions")) {
        startRun(exchange);
    } else if (Base::consumePrefix(path, "/v1/runs/") && Base::consumeSuffix(path, "/events")) {
        resumeStream(exchange, std::string(path));
    } else if (path == "/runs") {
        respondJson(exchange, httpOk, m_log.toJson());
    } else if (path == "/counts") {
        respondJson(exchange, httpOk, {{"tokens", m_generatedTokens}});
    } else if (path == "/load") {
        respondJson(exchange, httpOk, m_publishedLoad);
    } else if (path == "/cache-events") {
        respondJson(exchange, httpOk, m_cacheEvents);
    } else if (path == "/faults" && request.method == "POST") {
        setFaults(exchange);
    } else {
        respondError(exchange, httpNotFound, "no such path");
    }
}

void Engine::setFaults(const std::shared_ptr<Http::Exchange> &exchange)
{
    const auto faults = readFaultsOrCrash(exchange);
    if (!faults) {
        return;
    }
    m_faults.slowdown = faults->value("slow", m_faults.slowdown);
    m_faults.stall = faults->value("stall", m_faults.stall);
    m_faults.rejectRuns = faults->value("refuse", m_faults.rejectRuns);
    m_faults.errorPercent = faults->value("fail-percent", m_faults.errorPercent);
    m_faults.disconnectPercent = faults->value("cut-percent", m_faults.disconnectPercent);
    m_faults.advertisedRate = faults->value("rate", m_faults.advertisedRate);
    m_faults.advertisedLeaving = faults->value("leaving", m_faults.advertisedLeaving);
    m_faults.retryAfter = faults->value("retry-after", m_faults.retryAfter);
    m_faults.crashOnText = faults->value("ends-on", m_faults.crashOnText);
    m_faults.eventBytes = faults->value("event-bytes", m_faults.eventBytes);
    respondJson(exchange, httpOk, {{"set", true}});
    scheduleStep();
}

Http::Headers Engine::advertisementHeaders() const
{
    Http::Headers headers;
    if (!m_faults.advertisedRate.empty()) {
        headers.push_back({std::string(Relay::advertisedRateHeader), m_faults.advertisedRate});
    }
    if (!m_faults.advertisedLeaving.empty()) {
        headers.push_back({std::string(Relay::leavingHeader), m_faults.advertisedLeaving});
    }
    return headers;
}

void Engine::startRun(const std::shared_ptr<Http::Exchange> &exchange)
{
    const Http::Request &request = exchange->request();
    const auto prompt = Relay::parsePrompt(request.body, request.path == "/v1/chat/completions");
    if (!prompt.ok()) {
        respondError(exchange, httpBadRequest, Base::messageOf(prompt.status()));
        return;
    }
    if (m_faults.rejectRuns) {
        Http::Headers headers = advertisementHeaders();
        if (!m_faults.retryAfter.empty()) {
            headers.push_back({"retry-after", m_faults.retryAfter});
        }
        respondError(exchange, httpUnavailable, "the engine is rejecting new runs", std::move(headers));
        return;
    }
    if (m_random() % percent < m_faults.errorPercent) {
        respondError(exchange, httpServerError, "simulated engine failure");
        return;
    }
    const std::string text = promptText(prompt->body);
    auto run = std::make_shared<Run>();
    run->requestId = Http::headerValue(request.headers, "yokepond-request").value_or("");
    run->promptHash = Base::hash64(text);
    run->priority = prompt->body.value("priority", 0);
    run->arrivalNumber = m_nextArrivalNumber++;
    run->crashesEngine = !m_faults.crashOnText.empty() && text.find(m_faults.crashOnText) != std::string::npos;
    run->stream = prompt->stream;
    std::geometric_distribution<std::uint32_t> length(1.0 / std::max(1U, m_options.meanTokens));
    run->responseTokens = std::max(1U, prompt->body.value("max_tokens", 1 + length(m_random)));
    run->prefillLeft = static_cast<std::uint32_t>((text.size() - m_cache.insertAndCountCachedBytes(text)) / bytesPerToken) + 1;
    run->disconnectAtToken = m_random() % percent < m_faults.disconnectPercent
        ? 1 + static_cast<std::uint32_t>(m_random() % run->responseTokens)
        : 0;
    run->runLogIndex = m_log.recordStart({std::string(Http::headerValue(request.headers, "idempotency-key").value_or("")),
                                          run->requestId, request.path, "running"});
    if (!run->requestId.empty()) {
        m_runsByRequestId[run->requestId] = run;
    }
    attachExchange(run, exchange, 0);
    m_waiting.push_back(run);
    scheduleStep();
}

void Engine::attachExchange(const RunPointer &run, const std::shared_ptr<Http::Exchange> &exchange, std::uint32_t lastSentToken)
{
    run->exchange = exchange;
    const std::weak_ptr<Run> weak = run;
    exchange->onClosed([this, weak] {
        if (const auto closed = weak.lock()) {
            suspendRun(closed);
        }
    });
    if (!run->stream) {
        return;
    }
    Http::Headers headers = advertisementHeaders();
    headers.push_back({"content-type", std::string(Http::eventStreamType)});
    exchange->beginStream(httpOk, std::move(headers));
    for (std::uint32_t token = lastSentToken + 1; token <= run->generated; ++token) {
        exchange->write(tokenEvent(*run, token));
    }
}

void Engine::resumeStream(const std::shared_ptr<Http::Exchange> &exchange, const std::string &requestId)
{
    const auto entry = m_runsByRequestId.find(requestId);
    std::uint32_t lastEventId = 0;
    const bool valid
        = Base::parseInteger(Http::headerValue(exchange->request().headers, "last-event-id").value_or(""), &lastEventId);
    if (entry == m_runsByRequestId.end() || !valid || lastEventId > entry->second->generated || !entry->second->stream) {
        respondError(exchange, httpNotFound, "the run is unknown or cannot be resumed from this event");
        return;
    }
    const RunPointer run = entry->second;
    if (run->exchange != nullptr) {
        run->exchange->onClosed(nullptr);
        run->exchange->abort();
    }
    attachExchange(run, exchange, lastEventId);
    if (run->generated >= run->responseTokens) {
        finishRun(run);
    } else if (run->state == State::Suspended) {
        run->state = State::Waiting;
        m_waiting.push_back(run);
    }
    scheduleStep();
}

void Engine::suspendRun(const RunPointer &run)
{
    if (run->state == State::Done) {
        return;
    }
    // The slot is freed immediately. The generated tokens are kept until resumeRetention passes, in case the stream is resumed.
    run->state = State::Suspended;
    run->inactiveSince = Base::now();
    run->exchange.reset();
    std::erase(m_waiting, run);
    std::erase(m_active, run);
    m_log.setState(run->runLogIndex, "cancelled");
}

void Engine::scheduleStep()
{
    if (m_stepTimer != nullptr || (m_waiting.empty() && m_active.empty())) {
        return;
    }
    admitWaitingRuns();
    m_stepTimer = m_loop.after(stepDuration(), [this] { runStep(); });
}

void Engine::admitWaitingRuns()
{
    std::ranges::stable_sort(m_waiting, [](const RunPointer &left, const RunPointer &right) {
        return std::pair(left->priority, left->arrivalNumber) < std::pair(right->priority, right->arrivalNumber);
    });
    while (!m_waiting.empty() && m_active.size() < m_options.slots) {
        m_waiting.front()->state = State::Active;
        m_active.push_back(m_waiting.front());
        m_waiting.erase(m_waiting.begin());
    }
}

Base::Duration Engine::stepDuration() const
{
    std::uint32_t budget = prefillTokensPerStep;
    std::uint32_t prefill = 0;
    for (const RunPointer &run : m_active) {
        const std::uint32_t share = std::min(budget, run->prefillLeft);
        prefill += share;
        budget -= share;
    }
    const Base::Duration duration
        = m_options.decodeBase + m_options.decodePerRun * m_active.size() + m_options.prefillPerToken * prefill;
    return std::chrono::duration_cast<Base::Duration>(duration * (m_faults.slowdown / m_options.common.speed));
}

void Engine::runStep()
{
    m_stepTimer.reset();
    if (!m_faults.stall) {
        std::uint32_t budget = prefillTokensPerStep;
        const std::vector<RunPointer> batch = m_active;
        for (const RunPointer &run : batch) {
            const std::uint32_t share = std::min(budget, run->prefillLeft);
            run->prefillLeft -= share;
            budget -= share;
            if (run->prefillLeft == 0) {
                generateToken(run);
            }
        }
    }
    scheduleStep();
}

void Engine::generateToken(const RunPointer &run)
{
    if (run->crashesEngine) {
        std::_Exit(EXIT_FAILURE);
    }
    ++run->generated;
    ++m_generatedTokens;
    if (run->stream) {
        run->exchange->write(tokenEvent(*run, run->generated));
    }
    if (run->generated == run->disconnectAtToken && run->exchange != nullptr) {
        const auto exchange = run->exchange;
        suspendRun(run);
        exchange->onClosed(nullptr);
        exchange->abort();
        return;
    }
    if (run->generated >= run->responseTokens) {
        std::erase(m_active, run);
        finishRun(run);
    }
}

void Engine::finishRun(const RunPointer &run)
{
    run->state = State::Done;
    m_log.setState(run->runLogIndex, "completed");
    if (run->stream) {
        run->exchange->write(fmt::format("id: {}\ndata: [DONE]\n\n", run->responseTokens + 1));
        run->exchange->finish();
    } else {
        respondJson(run->exchange, httpOk, completeResponse(*run), advertisementHeaders());
    }
    run->exchange.reset();
    run->inactiveSince = Base::now();
}

std::string Engine::tokenEvent(const Run &run, std::uint32_t token) const
{
    nlohmann::json chunk = {{"id", run.requestId},
                            {"object", "chat.completion.chunk"},
                            {"choices", {{{"index", 0}, {"delta", {{"content", tokenText(run.promptHash, token)}}}}}}};
    if (m_faults.eventBytes > 0) {
        chunk["padding"] = std::string(m_faults.eventBytes, '.');
    }
    return fmt::format("id: {}\ndata: {}\n\n", token, chunk.dump());
}

nlohmann::json Engine::completeResponse(const Run &run) const
{
    std::string text;
    for (std::uint32_t token = 1; token <= run.responseTokens; ++token) {
        text += tokenText(run.promptHash, token);
    }
    return {{"id", run.requestId},
            {"object", "chat.completion"},
            {"choices", {{{"index", 0}, {"finish_reason", "stop"}, {"message", {{"role", "assistant"}, {"content", text}}}}}},
            {"usage", {{"completion_tokens", run.responseTokens}}}};
}

void Engine::runPeriodicTasks()
{
    m_publishedLoad = {{"running", m_active.size()}, {"waiting", m_waiting.size()}, {"slots", m_options.slots}};
    for (const std::uint64_t block : m_cache.takeAddedBlocks()) {
        if (m_random() % percent >= droppedCacheEventPercent) {
            m_cacheEvents.push_back({{"stored", Base::hexadecimal(block)}});
        }
    }
    while (m_cacheEvents.size() > maxCacheEvents) {
        m_cacheEvents.pop_front();
    }
    const Base::Instant now = Base::now();
    std::erase_if(m_runsByRequestId, [&](const auto &entry) {
        const Run &run = *entry.second;
        return (run.state == State::Suspended || run.state == State::Done) && now - run.inactiveSince > m_options.resumeRetention;
    });
}

} // namespace Yokepond::Standin
