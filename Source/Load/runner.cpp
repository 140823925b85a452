// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Load/runner.h"

#include "Base/error.h"
#include "Base/hash.h"
#include "Base/json.h"
#include "Relay/eventsplitter.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>

namespace Yokepond::Load {

namespace {

constexpr Base::Duration sendPeriod = std::chrono::milliseconds(2);
constexpr std::size_t clientCount = 32;
constexpr std::size_t idleConnectionsPerClient = 32;
constexpr int httpOk = 200;
constexpr int httpCreated = 201;

} // namespace

/// A request whose response has not ended.
struct Runner::OpenRequest
{
    std::size_t index = 0; ///< index of its arrival
    std::string tokenPrefix; ///< text with which every token of the right response begins
    int status = 0;
    std::string outcome; ///< value of the response header yokepond-outcome
    std::string body;
    Relay::EventSplitter splitter;
    std::uint32_t tokens = 0;
    bool doneReceived = false; ///< the end marker of the stream was received
    bool wrong = false; ///< a token was lost, reordered, repeated or of another request, or an error event was received
    Base::Instant firstTokenAt {};
    Base::Instant lastTokenAt {};
};

absl::StatusOr<FleetAccess> loadFleet(const std::string &file)
{
    std::ifstream stream(file);
    const std::string text {std::istreambuf_iterator<char>(stream), {}};
    const nlohmann::json json = Base::decodeJsonOrDiscard(text);
    try {
        FleetAccess fleet;
        for (const nlohmann::json &host : json.at("hosts")) {
            fleet.hosts.push_back(host.at("caller"));
        }
        fleet.keys = json.at("callerKeys").get<std::map<std::string, std::string>>();
        fleet.faultTargets["platform"] = json.at("platform").at("address");
        for (const nlohmann::json &endpoint : json.at("endpoints")) {
            fleet.faultTargets[endpoint.at("name")] = endpoint.at("address");
            if (endpoint.at("kind") == "engine") {
                fleet.engines.push_back(endpoint.at("address"));
            }
        }
        return fleet;
    } catch (const nlohmann::json::exception &exception) {
        return makeError(Base::ErrorKind::InvalidSettings,
                         fmt::format("{}: missing or not a valid fleet.json file: {}", file, exception.what()));
    }
}

Runner::Runner(const Scenario &scenario, FleetAccess fleet, std::vector<Arrival> arrivals)
    : m_scenario(scenario)
    , m_fleet(std::move(fleet))
    , m_arrivals(std::move(arrivals))
{
    std::ranges::generate_n(std::back_inserter(m_clients), clientCount,
                            [this] { return std::make_unique<Http::Client>(m_loop, idleConnectionsPerClient); });
}

Http::Client &Runner::client(std::size_t index)
{
    return *m_clients[index % m_clients.size()];
}

Runner::~Runner() = default;

const std::string &Runner::host(std::size_t index) const
{
    // Round robin, like a load balancer that sends each new request to the next host.
    return m_fleet.hosts[index % m_fleet.hosts.size()];
}

std::vector<Sample> Runner::run()
{
    m_samples.resize(m_arrivals.size());
    for (std::size_t index = 0; index < m_arrivals.size(); ++index) {
        m_samples[index].classIndex = m_arrivals[index].classIndex;
        m_samples[index].due = m_arrivals[index].at;
    }
    m_start = Base::now();
    const auto timer = m_loop.every(sendPeriod, [this] {
        sendDueRequests();
        injectFaults();
        const Base::Duration elapsed = Base::now() - m_start;
        const bool allFinished = m_next == m_arrivals.size() && m_openRequests.empty() && elapsed >= m_scenario.duration;
        if (allFinished || elapsed >= m_scenario.duration + m_scenario.drain) {
            m_loop.stop();
        }
    });
    m_loop.run();
    // Closes the connections of open requests to free low descriptor numbers: Base::Loop needs descriptors below FD_SETSIZE, and
    // fetchEngineTokenTotal() creates another loop later.
    m_clients.clear();
    m_openRequests.clear();
    return m_samples;
}

void Runner::sendDueRequests()
{
    const Base::Duration elapsed = Base::now() - m_start;
    while (m_next < m_arrivals.size() && m_arrivals[m_next].at <= elapsed) {
        const std::size_t index = m_next++;
        m_scenario.classes[m_arrivals[index].classIndex].service ? sendServiceCall(index) : sendCompletion(index);
    }
}

std::string Runner::prompt(const Arrival &arrival) const
{
    const ClassLoad &load = m_scenario.classes[arrival.classIndex];
    std::string text;
    if (load.prefixBytes > 0) {
        text = fmt::format("{}-{} ", load.name, arrival.prefix);
        text.resize(load.prefixBytes, 'p');
    }
    const std::string uniquePart = fmt::format("{:016x} ", arrival.nonce);
    text += uniquePart;
    text.resize(std::max(text.size(), load.prefixBytes + load.promptBytes), 'q');
    return text;
}

Http::Headers Runner::headers(const Arrival &arrival) const
{
    const ClassLoad &load = m_scenario.classes[arrival.classIndex];
    const auto key = m_fleet.keys.find(load.organisations[arrival.organisationIndex].name);
    return {{"Authorization", fmt::format("Bearer {}", key == m_fleet.keys.end() ? "" : key->second)},
            {"Yokepond-Class", load.name},
            {"Content-Type", "application/json"}};
}

void Runner::sendCompletion(std::size_t index)
{
    const Arrival &arrival = m_arrivals[index];
    const std::string text = prompt(arrival);
    auto request = std::make_unique<OpenRequest>();
    request->index = index;
    // The stand-in engine begins every token with a hash of the prompt. It appends a line feed to each message before it hashes.
    request->tokenPrefix = fmt::format("{:08x}:", Base::hash64(text + "\n") & 0xffffffffU);
    m_openRequests[index] = std::move(request);
    const nlohmann::json body
        = {{"messages", {{{"role", "user"}, {"content", text}}}}, {"stream", true}, {"max_tokens", arrival.tokens}};
    startTransfer(index,
                  {.method = "POST",
                   .url = fmt::format("http://{}/v1/chat/completions", host(index)),
                   .headers = headers(arrival),
                   .body = body.dump()});
}

void Runner::sendServiceCall(std::size_t index)
{
    const Arrival &arrival = m_arrivals[index];
    m_openRequests[index] = std::make_unique<OpenRequest>();
    m_openRequests[index]->index = index;
    Http::Transfer ticketRequest {
        .method = "POST", .url = fmt::format("http://{}/v1/tickets", host(index)), .headers = headers(arrival)};
    fetch(client(index), std::move(ticketRequest),
          [this, index, arrival](const Http::TransferResult &result, const std::string &body) {
              if (result.status != httpCreated) {
                  requestFinished(index, result);
                  return;
              }
              Http::Headers callHeaders = headers(arrival);
              callHeaders.push_back({"Idempotency-Key", Base::decodeJsonOrDiscard(body).value("ticket", "")});
              const std::string &pool = m_scenario.classes[arrival.classIndex].pool;
              startTransfer(index,
                            {.method = "POST",
                             .url = fmt::format("http://{}/v1/services/{}/do", host(index), pool),
                             .headers = callHeaders,
                             .body = "{}"});
          });
}

void Runner::startTransfer(std::size_t index, Http::Transfer transfer)
{
    Http::TransferEvents events;
    events.onHeaders = [this, index](int status, const Http::Headers &responseHeaders) {
        OpenRequest &request = *m_openRequests.at(index);
        request.status = status;
        request.outcome = Http::headerValue(responseHeaders, "yokepond-outcome").value_or("");
    };
    events.onBytes = [this, index](std::string_view bytes) { processBytes(*m_openRequests.at(index), bytes); };
    events.onEnd = [this, index](const Http::TransferResult &result) { requestFinished(index, result); };
    client(index).start(std::move(transfer), std::move(events));
}

void Runner::processBytes(OpenRequest &request, std::string_view bytes)
{
    const bool stream = request.status == httpOk && !m_scenario.classes[m_arrivals[request.index].classIndex].service;
    if (!stream) {
        request.body.append(bytes);
        return;
    }
    const Base::Instant now = Base::now();
    for (const Relay::ServerSentEvent &event : request.splitter.feed(bytes)) {
        if (event.isDone) {
            request.doneReceived = true;
            continue;
        }
        ++request.tokens;
        // Each token contains the hash of the prompt and the token's number, so this comparison finds lost, reordered and
        // repeated tokens, and tokens of another request.
        request.wrong = request.wrong || event.isError
            || event.bytes.find(fmt::format("{}{} ", request.tokenPrefix, request.tokens)) == std::string::npos;
        request.firstTokenAt = request.tokens == 1 ? now : request.firstTokenAt;
        request.lastTokenAt = now;
    }
}

Result Runner::classifyResult(const OpenRequest &request, const Http::TransferResult &result) const
{
    const Arrival &arrival = m_arrivals[request.index];
    const bool service = m_scenario.classes[arrival.classIndex].service;
    if (request.status == httpOk && service) {
        return result.stage == Http::TransferStage::Complete ? Result::Completed : Result::Failed;
    }
    if (request.status == httpOk) {
        const bool complete = request.doneReceived && request.tokens == arrival.tokens;
        return request.wrong && request.doneReceived ? Result::WrongResponse : (complete ? Result::Completed : Result::Failed);
    }
    if (request.outcome == "not-run") {
        return Result::Refused;
    }
    return request.outcome == "unknown" ? Result::Unknown : Result::Failed;
}

void Runner::requestFinished(std::size_t index, const Http::TransferResult &result)
{
    const std::unique_ptr<OpenRequest> request = std::move(m_openRequests.at(index));
    m_openRequests.erase(index);
    Sample &sample = m_samples[index];
    const Base::Instant due = m_start + sample.due;
    sample.result = classifyResult(*request, result);
    sample.status = request->status;
    sample.total = Base::now() - due;
    sample.tokens = request->tokens;
    sample.firstToken = request->tokens > 0 ? request->firstTokenAt - due : sample.total;
    sample.meanGap
        = request->tokens > 1 ? (request->lastTokenAt - request->firstTokenAt) / (request->tokens - 1) : Base::Duration::zero();
}

void Runner::injectFaults()
{
    const Base::Duration elapsed = Base::now() - m_start;
    while (m_nextFault < m_scenario.faults.size() && m_scenario.faults[m_nextFault].at <= elapsed) {
        const ScheduledFault &fault = m_scenario.faults[m_nextFault++];
        const auto target = m_fleet.faultTargets.find(fault.target);
        if (target != m_fleet.faultTargets.end()) {
            fetch(client(0), {.method = "POST", .url = fmt::format("http://{}/faults", target->second), .body = fault.body},
                  [](const Http::TransferResult &, const std::string &) {});
        }
    }
}

std::uint64_t Runner::fetchEngineTokenTotal()
{
    std::uint64_t tokens = 0;
    std::size_t pending = m_fleet.engines.size();
    Base::Loop loop;
    Http::Client client(loop);
    for (const std::string &engine : m_fleet.engines) {
        Http::Transfer transfer {.url = fmt::format("http://{}/counts", engine), .totalTimeout = std::chrono::seconds(5)};
        fetch(client, std::move(transfer), [&](const Http::TransferResult &, const std::string &body) {
            const nlohmann::json counts = Base::decodeJsonOrDiscard(body);
            tokens += counts.is_object() ? counts.value("tokens", std::uint64_t {0}) : 0;
            if (--pending == 0) {
                loop.stop();
            }
        });
    }
    if (pending > 0) {
        loop.run();
    }
    return tokens;
}

} // namespace Yokepond::Load
