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
constexpr std::size_t mostCacheEvents = 1000;
constexpr std::uint32_t lostCacheEventsPercent = 10;
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

std::string tokenText(std::uint64_t nonce, std::uint32_t index)
{
    return fmt::format("{:08x}:{} ", nonce & 0xffffffffU, index);
}

} // namespace

Engine::Engine(Base::Loop &loop, EngineOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_random(m_options.common.seed)
    , m_cache(m_options.cacheBlocks)
    , m_log(m_options.common.runLog)
    , m_publishedLoad({{"running", 0}, {"waiting", 0}, {"slots", m_options.slots}})
{
    m_publish = loop.every(m_options.loadLag, [this] { publish(); });
}

void Engine::handle(const std::shared_ptr<Http::Exchange> &exchange)
{
    const Http::Request &request = exchange->request();
    std::string_view path = request.path;
    if (request.method == "POST" && (path == "/v1/chat/completions" || path == "/v1/completions")) {
        begin(exchange);
    } else if (Base::consumePrefix(path, "/v1/runs/") && Base::consumeSuffix(path, "/events")) {
        resume(exchange, std::string(path));
    } else if (path == "/runs") {
        respondJson(exchange, httpOk, m_log.toJson());
    } else if (path == "/counts") {
        respondJson(exchange, httpOk, {{"tokens", m_tokens}});
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
    const auto faults = readFaults(exchange);
    if (!faults) {
        return;
    }
    m_faults.slow = faults->value("slow", m_faults.slow);
    m_faults.stall = faults->value("stall", m_faults.stall);
    m_faults.refuse = faults->value("refuse", m_faults.refuse);
    m_faults.failPercent = faults->value("fail-percent", m_faults.failPercent);
    m_faults.cutPercent = faults->value("cut-percent", m_faults.cutPercent);
    m_faults.rate = faults->value("rate", m_faults.rate);
    m_faults.leaving = faults->value("leaving", m_faults.leaving);
    m_faults.retryAfter = faults->value("retry-after", m_faults.retryAfter);
    m_faults.endsOn = faults->value("ends-on", m_faults.endsOn);
    respondJson(exchange, httpOk, {{"set", true}});
    schedule();
}

Http::Headers Engine::statementHeaders() const
{
    Http::Headers headers;
    if (!m_faults.rate.empty()) {
        headers.push_back({std::string(Relay::advertisedRateHeader), m_faults.rate});
    }
    if (!m_faults.leaving.empty()) {
        headers.push_back({std::string(Relay::leavingHeader), m_faults.leaving});
    }
    return headers;
}

void Engine::begin(const std::shared_ptr<Http::Exchange> &exchange)
{
    const Http::Request &request = exchange->request();
    const auto prompt = Relay::parsePrompt(request.body, request.path == "/v1/chat/completions");
    if (!prompt.ok()) {
        respondError(exchange, httpBadRequest, Base::messageOf(prompt.status()));
        return;
    }
    if (m_faults.refuse) {
        Http::Headers headers = statementHeaders();
        if (!m_faults.retryAfter.empty()) {
            headers.push_back({"retry-after", m_faults.retryAfter});
        }
        respondError(exchange, httpUnavailable, "the engine takes no work now", std::move(headers));
        return;
    }
    if (m_random() % percent < m_faults.failPercent) {
        respondError(exchange, httpServerError, "the engine failed");
        return;
    }
    const std::string text = promptText(prompt->body);
    auto run = std::make_shared<Run>();
    run->request = Http::headerValue(request.headers, "yokepond-request").value_or("");
    run->nonce = Base::hash64(text);
    run->priority = prompt->body.value("priority", 0);
    run->order = m_nextOrder++;
    run->endsEngine = !m_faults.endsOn.empty() && text.find(m_faults.endsOn) != std::string::npos;
    run->stream = prompt->stream;
    std::geometric_distribution<std::uint32_t> length(1.0 / std::max(1U, m_options.meanTokens));
    run->tokens = std::max(1U, prompt->body.value("max_tokens", 1 + length(m_random)));
    run->prefillLeft = static_cast<std::uint32_t>((text.size() - m_cache.use(text)) / bytesPerToken) + 1;
    run->cutAt = m_random() % percent < m_faults.cutPercent ? 1 + static_cast<std::uint32_t>(m_random() % run->tokens) : 0;
    run->logIndex = m_log.started(
        {std::string(Http::headerValue(request.headers, "idempotency-key").value_or("")), run->request, request.path, "running"});
    if (!run->request.empty()) {
        m_byRequest[run->request] = run;
    }
    attach(run, exchange, 0);
    m_waiting.push_back(run);
    schedule();
}

void Engine::attach(const RunPointer &run, const std::shared_ptr<Http::Exchange> &exchange, std::uint32_t from)
{
    run->exchange = exchange;
    const std::weak_ptr<Run> weak = run;
    exchange->onClosed([this, weak] {
        if (const auto closed = weak.lock()) {
            suspend(closed);
        }
    });
    if (!run->stream) {
        return;
    }
    Http::Headers headers = statementHeaders();
    headers.push_back({"content-type", std::string(Http::eventStreamType)});
    exchange->beginStream(httpOk, std::move(headers));
    for (std::uint32_t token = from + 1; token <= run->produced; ++token) {
        exchange->write(eventText(*run, token));
    }
}

void Engine::resume(const std::shared_ptr<Http::Exchange> &exchange, const std::string &request)
{
    const auto entry = m_byRequest.find(request);
    std::uint32_t last = 0;
    const bool valid = Base::parseInteger(Http::headerValue(exchange->request().headers, "last-event-id").value_or(""), &last);
    if (entry == m_byRequest.end() || !valid || last > entry->second->produced || !entry->second->stream) {
        respondError(exchange, httpNotFound, "no such run to resume");
        return;
    }
    const RunPointer run = entry->second;
    if (run->exchange != nullptr) {
        run->exchange->onClosed(nullptr);
        run->exchange->abort();
    }
    attach(run, exchange, last);
    if (run->produced >= run->tokens) {
        finish(run);
    } else if (run->state == State::Suspended) {
        run->state = State::Waiting;
        m_waiting.push_back(run);
    }
    schedule();
}

void Engine::suspend(const RunPointer &run)
{
    if (run->state == State::Done) {
        return;
    }
    // The slot is free at once; what has been computed is kept for a while in case the stream is resumed.
    run->state = State::Suspended;
    run->suspendedAt = Base::now();
    run->exchange.reset();
    std::erase(m_waiting, run);
    std::erase(m_active, run);
    m_log.setState(run->logIndex, "cancelled");
}

void Engine::schedule()
{
    if (m_step != nullptr || (m_waiting.empty() && m_active.empty())) {
        return;
    }
    admit();
    m_step = m_loop.after(stepTime(), [this] { step(); });
}

void Engine::admit()
{
    std::ranges::stable_sort(m_waiting, [](const RunPointer &left, const RunPointer &right) {
        return std::pair(left->priority, left->order) < std::pair(right->priority, right->order);
    });
    while (!m_waiting.empty() && m_active.size() < m_options.slots) {
        m_waiting.front()->state = State::Active;
        m_active.push_back(m_waiting.front());
        m_waiting.erase(m_waiting.begin());
    }
}

Base::Duration Engine::stepTime() const
{
    std::uint32_t budget = prefillTokensPerStep;
    std::uint32_t prefill = 0;
    for (const RunPointer &run : m_active) {
        const std::uint32_t part = std::min(budget, run->prefillLeft);
        prefill += part;
        budget -= part;
    }
    const Base::Duration time
        = m_options.decodeBase + m_options.decodePerRun * m_active.size() + m_options.prefillPerToken * prefill;
    return std::chrono::duration_cast<Base::Duration>(time * (m_faults.slow / m_options.common.speed));
}

void Engine::step()
{
    m_step.reset();
    if (!m_faults.stall) {
        std::uint32_t budget = prefillTokensPerStep;
        const std::vector<RunPointer> batch = m_active;
        for (const RunPointer &run : batch) {
            const std::uint32_t part = std::min(budget, run->prefillLeft);
            run->prefillLeft -= part;
            budget -= part;
            if (run->prefillLeft == 0) {
                produce(run);
            }
        }
    }
    schedule();
}

void Engine::produce(const RunPointer &run)
{
    if (run->endsEngine) {
        std::_Exit(EXIT_FAILURE);
    }
    ++run->produced;
    ++m_tokens;
    if (run->stream) {
        run->exchange->write(eventText(*run, run->produced));
    }
    if (run->produced == run->cutAt && run->exchange != nullptr) {
        const auto exchange = run->exchange;
        suspend(run);
        exchange->onClosed(nullptr);
        exchange->abort();
        return;
    }
    if (run->produced >= run->tokens) {
        std::erase(m_active, run);
        finish(run);
    }
}

void Engine::finish(const RunPointer &run)
{
    run->state = State::Done;
    m_log.setState(run->logIndex, "completed");
    if (run->stream) {
        run->exchange->write(fmt::format("id: {}\ndata: [DONE]\n\n", run->tokens + 1));
        run->exchange->finish();
    } else {
        respondJson(run->exchange, httpOk, wholeAnswer(*run), statementHeaders());
    }
    run->exchange.reset();
    run->suspendedAt = Base::now();
}

std::string Engine::eventText(const Run &run, std::uint32_t token) const
{
    const nlohmann::json chunk = {{"id", run.request},
                                  {"object", "chat.completion.chunk"},
                                  {"choices", {{{"index", 0}, {"delta", {{"content", tokenText(run.nonce, token)}}}}}}};
    return fmt::format("id: {}\ndata: {}\n\n", token, chunk.dump());
}

nlohmann::json Engine::wholeAnswer(const Run &run) const
{
    std::string text;
    for (std::uint32_t token = 1; token <= run.tokens; ++token) {
        text += tokenText(run.nonce, token);
    }
    return {{"id", run.request},
            {"object", "chat.completion"},
            {"choices", {{{"index", 0}, {"finish_reason", "stop"}, {"message", {{"role", "assistant"}, {"content", text}}}}}},
            {"usage", {{"completion_tokens", run.tokens}}}};
}

void Engine::publish()
{
    m_publishedLoad = {{"running", m_active.size()}, {"waiting", m_waiting.size()}, {"slots", m_options.slots}};
    for (const std::uint64_t block : m_cache.takeAdded()) {
        if (m_random() % percent >= lostCacheEventsPercent) {
            m_cacheEvents.push_back({{"stored", Base::hexadecimal(block)}});
        }
    }
    while (m_cacheEvents.size() > mostCacheEvents) {
        m_cacheEvents.pop_front();
    }
    const Base::Instant now = Base::now();
    std::erase_if(m_byRequest, [&](const auto &entry) {
        const Run &run = *entry.second;
        return (run.state == State::Suspended || run.state == State::Done) && now - run.suspendedAt > m_options.resumable;
    });
}

} // namespace Yokepond::Standin
