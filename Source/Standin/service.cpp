// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Standin/service.h"

namespace Yokepond::Standin {

namespace {

constexpr int httpOk = 200;
constexpr int httpConflict = 409;
constexpr std::uint32_t percent = 100;

} // namespace

Service::Service(Base::Loop &loop, ServiceOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_random(m_options.common.seed)
    , m_log(m_options.common.runLogFile)
{
}

void Service::handle(const std::shared_ptr<Http::Exchange> &exchange)
{
    const Http::Request &request = exchange->request();
    if (request.path == "/runs" && request.method == "GET") {
        respondJson(exchange, httpOk, m_log.toJson());
    } else if (request.path == "/faults" && request.method == "POST") {
        setFaults(exchange);
    } else {
        startCall(exchange);
    }
}

void Service::setFaults(const std::shared_ptr<Http::Exchange> &exchange)
{
    const auto faults = readFaultsOrCrash(exchange);
    if (!faults) {
        return;
    }
    m_faults.slowdown = faults->value("slow", m_faults.slowdown);
    m_faults.stall = faults->value("stall", m_faults.stall);
    m_faults.disconnectPercent = faults->value("cut-percent", m_faults.disconnectPercent);
    respondJson(exchange, httpOk, {{"set", true}});
}

bool Service::acceptFence(const Http::Request &request, const std::string &key)
{
    if (!m_options.checksFences) {
        return true;
    }
    const std::string fence(Http::headerValue(request.headers, "yokepond-fence").value_or(""));
    std::string &lastFence = m_lastFences[key];
    if (fence.empty() || fence <= lastFence) {
        return false;
    }
    lastFence = fence;
    return true;
}

void Service::startCall(const std::shared_ptr<Http::Exchange> &exchange)
{
    const Http::Request &request = exchange->request();
    const std::string key(Http::headerValue(request.headers, "idempotency-key").value_or(""));
    if (!acceptFence(request, key)) {
        respondError(exchange, httpConflict, "the fencing token is missing or stale; the call was not run");
        return;
    }
    const std::uint64_t id = m_nextCallId++;
    OpenCall &call = m_openCalls[id];
    call.exchange = exchange;
    call.key = key;
    call.runLogIndex = m_log.recordStart(
        {key, std::string(Http::headerValue(request.headers, "yokepond-request").value_or("")), request.path, "running"});
    ++m_runCounts[key];
    // The call counts as run from here on: a connection that closes later does not undo it.
    exchange->onClosed([this, id] { m_openCalls.erase(id); });
    if (m_faults.stall) {
        return;
    }
    const auto latency
        = std::chrono::duration_cast<Base::Duration>(m_options.latency * (m_faults.slowdown / m_options.common.speed));
    call.timer = m_loop.after(latency, [this, id] { completeCall(id); });
}

void Service::completeCall(std::uint64_t id)
{
    const auto entry = m_openCalls.find(id);
    if (entry == m_openCalls.end()) {
        return;
    }
    const OpenCall call = std::move(entry->second);
    m_openCalls.erase(entry);
    m_log.setState(call.runLogIndex, "completed");
    call.exchange->onClosed(nullptr);
    if (m_random() % percent < m_faults.disconnectPercent) {
        call.exchange->abort();
        return;
    }
    respondJson(call.exchange, httpOk,
                {{"key", call.key}, {"runs", m_runCounts[call.key]}, {"echo", call.exchange->request().body}});
}

} // namespace Yokepond::Standin
