// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The relay's thread, for any protocol: callers' connections, transfers to endpoints, and the events between them.

#pragma once

#include "Base/hash.h"
#include "Base/mailbox.h"
#include "Base/text.h"
#include "Http/client.h"
#include "Relay/adoptedexchange.h"
#include "Relay/eventsplitter.h"
#include "Relay/protocol.h"
#include "Relay/relay.h"

#include <fmt/format.h>
#include <malloc.h>

#include <ctime>
#include <future>
#include <thread>
#include <unordered_map>

namespace Yokepond::Relay {

/// Rejoins of one stream at its endpoint, after which it counts as broken off.
inline constexpr int mostRejoins = 3;
/// Fewer open calls than these are not worth giving memory back for.
inline constexpr std::size_t leastCallsToTrim = 200;
/// An event that is longer ends its run.
inline constexpr std::size_t largestEvent = 1U << 20U;
inline constexpr Base::Duration accountingPeriod = std::chrono::milliseconds(250);

template<Protocol P>
class RelayThread : public Relay
{
public:
    /// Listens and starts the thread. Fails with ErrorKind::InvalidSettings.
    static absl::StatusOr<std::unique_ptr<Relay>> start(RelayOptions options, P protocol, Handler handler, ErrorBody errorBody)
    {
        auto relay
            = std::make_unique<RelayThread>(std::move(options), std::move(protocol), std::move(handler), std::move(errorBody));
        if (absl::Status status = relay->startThread(); !status.ok()) {
            return status;
        }
        return relay;
    }

    RelayThread(RelayOptions options, P protocol, Handler handler, ErrorBody errorBody)
        : m_options(std::move(options))
        , m_protocol(std::move(protocol))
        , m_handler(std::move(handler))
        , m_errorBody(std::move(errorBody))
    {
    }

    RelayThread(const RelayThread &) = delete;
    RelayThread &operator=(const RelayThread &) = delete;

    ~RelayThread() override
    {
        if (m_thread.joinable()) {
            if (m_mailbox != nullptr) {
                m_mailbox->post([this] { m_loop->stop(); });
            }
            m_thread.join();
        }
    }

    void command(Command command) override
    {
        m_mailbox->post([this, command = std::move(command)]() mutable {
            std::visit([this]<typename Entry>(Entry &&entry) { carryOut(std::forward<Entry>(entry)); }, std::move(command));
        });
    }

    void closeListener() override
    {
        m_mailbox->post([this] { m_server->closeListener(); });
    }

    void closeAfterResponses() override
    {
        m_mailbox->post([this] { m_server->closeAfterResponses(); });
    }

    std::uint16_t port() const override
    {
        return m_port;
    }

    const RelayCounters &counters() const override
    {
        return m_counters;
    }

private:
    /// One caller's request and the run that serves it.
    struct Call
    {
        std::uint64_t id = 0;
        std::shared_ptr<Http::Exchange> exchange;
        typename P::State state;
        bool callerStarted = false; ///< the head of the answer has gone to the caller
        std::string lastEventId; ///< of the last event that has gone to the caller
        std::optional<Http::Response> failure; ///< the last endpoint's whole answer, if it was a failure

        // The present run.
        Run run;
        Http::Client::Id transfer = 0;
        Base::Instant began {};
        Base::Instant firstTokenAt {};
        Base::Instant lastTokenAt {};
        Base::Duration longestGap {};
        std::uint32_t tokens = 0;
        ResponseHead head;
        ResponseKind kind = ResponseKind::Failed;
        EventSplitter splitter;
        std::string whole; ///< of an answer that is not a stream, or is to be held
        bool tooLarge = false;
        bool done = false; ///< the last event has come
        bool paused = false;
        int rejoins = 0;
        bool toldBegan = false; ///< of the present run
    };

    absl::Status startThread()
    {
        std::promise<absl::Status> started;
        auto result = started.get_future();
        m_thread = std::thread([this, &started] { runThread(started); });
        return result.get();
    }

    void runThread(std::promise<absl::Status> &started)
    {
        Base::Loop loop;
        Base::Mailbox<std::function<void()>> mailbox(loop.reactor(), [](std::function<void()> &&task) { task(); });
        Http::Client client(loop);
        auto server = Http::Server::listen(
            loop, m_options.listen, m_options.limits,
            [this](const std::shared_ptr<Http::Exchange> &exchange) { arrived(exchange); }, m_errorBody);
        if (!server.ok()) {
            started.set_value(server.status());
            return;
        }
        m_loop = &loop;
        m_mailbox = &mailbox;
        m_client = &client;
        m_server = server->get();
        m_port = (*server)->address().port;
        const auto accounting = loop.every(accountingPeriod, [this] { account(); });
        started.set_value(absl::OkStatus());
        loop.run();
        m_calls.clear();
    }

    void account()
    {
        timespec used {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
        m_counters.processorMicroseconds = used.tv_sec * 1'000'000 + used.tv_nsec / 1'000;
        m_counters.open = m_calls.size();
        m_counters.unsent = m_server->openRequests();
        m_mostCalls = std::max(m_mostCalls, m_calls.size());
        if (m_mostCalls > leastCallsToTrim && m_calls.size() < m_mostCalls / 2) {
            // The allocator keeps what a burst of streams has used unless it is told.
            malloc_trim(0);
            m_mostCalls = m_calls.size();
        }
    }

    // --- From callers

    void arrived(const std::shared_ptr<Http::Exchange> &exchange, bool forwarded = false)
    {
        ++m_counters.calls;
        const Http::Request &request = exchange->request();
        auto call = std::make_unique<Call>();
        call->id = m_nextId++;
        CallArrived event;
        event.id = call->id;
        event.method = request.method;
        event.path = request.path;
        event.forwarded = forwarded;
        event.work = workOf(request);
        m_protocol.describeRequest(request, call->state, event);
        const std::uint64_t id = call->id;
        exchange->onClosed([this, id] { callerLeft(id); });
        call->exchange = exchange;
        m_calls.emplace(id, std::move(call));
        m_counters.open = m_calls.size();
        m_counters.unsent = m_server->openRequests();
        m_handler(std::move(event));
    }

    static std::uint64_t workOf(const Http::Request &request)
    {
        const std::uint64_t where = Base::hash64(request.query, Base::hash64(request.path, Base::hash64(request.method)));
        return Base::hash64(request.body, where);
    }

    void callerLeft(std::uint64_t id)
    {
        Call *call = find(id);
        if (call == nullptr) {
            return;
        }
        if (call->transfer == 0) {
            m_calls.erase(id);
            m_handler(CallerDisconnected {id});
            return;
        }
        if (call->run.reportResponse) {
            // An operation that must run at most once goes on: its caller may ask for the answer again by its key.
            m_handler(CallerDisconnected {id});
            return;
        }
        if (!call->run.engine) {
            reportRunStart(*call, call->began);
        }
        // Closing the connection cancels the run at the endpoint.
        m_client->cancel(std::exchange(call->transfer, 0));
        Request::RunReport report = reportOf(*call, Request::RunStage::Sent);
        report.callerDisconnected = true;
        m_calls.erase(id);
        m_handler(CallerDisconnected {id});
        m_handler(RunEnded {report, std::nullopt});
    }

    Call *find(std::uint64_t id)
    {
        const auto entry = m_calls.find(id);
        return entry == m_calls.end() ? nullptr : entry->second.get();
    }

    // --- Commands

    void carryOut(Run &&run)
    {
        Call *call = find(run.id.request);
        if (call == nullptr) {
            // The caller left while the command was on its way; the home must still learn that nothing runs.
            Request::RunReport report {.id = run.id, .stage = Request::RunStage::Stale, .callerDisconnected = true};
            m_handler(RunEnded {report, std::nullopt});
            return;
        }
        resetRun(*call);
        call->run = std::move(run);
        if (Base::now() > call->run.startBy) {
            reportOver(*call, Request::RunStage::Stale);
            return;
        }
        ++m_counters.runs;
        call->began = Base::now();
        Http::Transfer transfer = m_protocol.buildTransfer(call->state, call->exchange->request(), call->run, call->lastEventId);
        transfer.connectTimeout = m_options.connectTimeout;
        begin(*call, std::move(transfer));
    }

    void carryOut(Respond &&answer)
    {
        Call *call = find(answer.id);
        if (call == nullptr) {
            return;
        }
        if (!call->callerStarted) {
            const bool endpoints = answer.preferEndpointResponse && call->failure;
            call->exchange->respond(endpoints ? std::move(*call->failure) : std::move(answer.response));
        } else if constexpr (P::streamCarriesOutcome) {
            // The head has gone: an explicit error event in place of a silent cut.
            call->exchange->write(fmt::format("event: error\ndata: {}\n\n", Base::trimmed(answer.response.body)));
            call->exchange->finish();
        } else {
            call->exchange->abort();
        }
        m_calls.erase(answer.id);
    }

    void carryOut(Stop &&stop)
    {
        if (Call *call = find(stop.id); call != nullptr && call->transfer != 0) {
            m_client->cancel(std::exchange(call->transfer, 0));
        }
    }

    void carryOut(Adopt &&adopt)
    {
        const std::uint64_t token = adopt.token;
        arrived(std::make_shared<AdoptedExchange>(std::move(adopt.request),
                                                  [this, token](Http::Response response) {
                                                      m_handler(AdoptedResponse {token, std::move(response)});
                                                  }),
                true);
    }

    // --- Runs

    static void resetRun(Call &call)
    {
        call.transfer = 0;
        call.firstTokenAt = {};
        call.lastTokenAt = {};
        call.longestGap = {};
        call.tokens = 0;
        call.head = {};
        call.kind = ResponseKind::Failed;
        call.splitter.reset();
        call.whole.clear();
        call.tooLarge = false;
        call.done = false;
        call.paused = false;
        call.rejoins = 0;
        call.toldBegan = false;
        call.failure.reset();
    }

    void begin(Call &call, Http::Transfer transfer)
    {
        const std::uint64_t id = call.id;
        Http::TransferEvents events;
        events.onHeaders = [this, id](int status, const Http::Headers &headers) {
            if (Call *found = find(id)) {
                found->head = {status, headers};
                found->kind = m_protocol.classifyResponse(found->run, found->head);
                tellStatement(*found);
            }
        };
        events.onBytes = [this, id](std::string_view bytes) {
            if (Call *found = find(id)) {
                received(*found, bytes);
            }
        };
        events.onEnd = [this, id](const Http::TransferResult &result) {
            if (Call *found = find(id)) {
                found->transfer = 0;
                ended(*found, result);
            }
        };
        call.transfer = m_client->start(std::move(transfer), std::move(events));
    }

    /// Before any of the answer goes to the caller, so that the home knows at least as much as the caller.
    void tellStatement(const Call &call)
    {
        if (call.kind == ResponseKind::EndpointReplaced) {
            // Another endpoint's word.
            return;
        }
        const Request::EndpointAdvertisement stated = m_protocol.advertisement(call.run, call.head);
        const bool saysRate = call.run.reportRate || stated.rate.header != Rate::RateHeader::None;
        const bool saysAvailability = stated.availability.leaves || stated.availability.cooldown > Base::Duration::zero()
            || stated.availability.unreadable;
        if (saysRate || saysAvailability) {
            m_handler(EndpointAdvertised {call.run.id, call.run.endpointNumber, stated});
        }
    }

    void received(Call &call, std::string_view bytes)
    {
        if (call.kind != ResponseKind::Events) {
            hold(call, bytes);
            return;
        }
        for (const ServerSentEvent &event : call.splitter.feed(bytes)) {
            passOn(call, event);
        }
        if (call.splitter.pendingBytes() > largestEvent) {
            call.splitter.reset();
            m_client->cancel(std::exchange(call.transfer, 0));
            reportOver(call, Request::RunStage::Sent);
        }
    }

    void hold(Call &call, std::string_view bytes)
    {
        const bool fits
            = call.whole.size() + bytes.size() <= std::max(m_options.maxReportedResponseBytes, m_options.limits.bodyBytes);
        call.tooLarge = call.tooLarge || !fits;
        if (fits) {
            call.whole.append(bytes);
        }
    }

    void passOn(Call &call, const ServerSentEvent &event)
    {
        if (call.done) {
            return;
        }
        if (event.hasData && !event.isDone && !event.isError) {
            noteToken(call);
            reportRunStart(call, call.firstTokenAt);
        }
        if (!event.id.empty()) {
            call.lastEventId = event.id;
        }
        call.done = P::marksLastEvent && event.isDone;
        ++m_counters.events;
        if (!call.callerStarted) {
            startCaller(call);
        }
        call.exchange->write(event.bytes);
        if (call.run.reportResponse && call.whole.size() <= m_options.maxReportedResponseBytes) {
            call.whole.append(event.bytes);
        }
        if (!call.paused && call.exchange->buffered() > m_options.streamBufferBytes) {
            call.paused = true;
            m_client->pause(call.transfer, true);
        }
    }

    /// Once a run.
    void reportRunStart(Call &call, Base::Instant at)
    {
        if (m_options.reportRunStarts && !call.toldBegan) {
            call.toldBegan = true;
            m_handler(RunStarted {call.run.organisation, at});
        }
    }

    static void noteToken(Call &call)
    {
        const Base::Instant now = Base::now();
        if (call.tokens++ == 0) {
            call.firstTokenAt = now;
        } else {
            call.longestGap = std::max(call.longestGap, now - call.lastTokenAt);
        }
        call.lastTokenAt = now;
    }

    void startCaller(Call &call)
    {
        call.callerStarted = true;
        call.exchange->beginStream(call.head.status, m_protocol.streamHeaders(call.run, call.head));
        const std::uint64_t id = call.id;
        call.exchange->onDrained(m_options.streamBufferBytes / 4, [this, id] {
            Call *found = find(id);
            if (found != nullptr && found->paused && found->transfer != 0) {
                found->paused = false;
                m_client->pause(found->transfer, false);
            }
        });
    }

    void ended(Call &call, const Http::TransferResult &result)
    {
        const bool closedWhole = P::closeEndsBody && result.stage == Http::TransferStage::Closed;
        const bool whole = (result.stage == Http::TransferStage::Complete || closedWhole) && !call.tooLarge;
        const bool streamWhole
            = whole && !P::marksLastEvent && call.kind == ResponseKind::Events && call.splitter.pendingBytes() == 0;
        if (call.done || streamWhole) {
            completeStream(call);
        } else if (call.kind == ResponseKind::Events || call.rejoins > 0) {
            brokenStream(call);
        } else if (result.stage == Http::TransferStage::NotSent) {
            reportOver(call, Request::RunStage::NotSent);
        } else if (whole && call.kind == ResponseKind::Rejected) {
            reportOver(call, Request::RunStage::Rejected);
        } else if (whole && call.kind == ResponseKind::EndpointReplaced) {
            reportOver(call, Request::RunStage::EndpointReplaced);
        } else if (whole && call.kind == ResponseKind::Body && !call.callerStarted) {
            completeWhole(call);
        } else {
            keepFailure(call, whole);
            if (!call.run.engine || call.head.status != 0) {
                // A service may have run it, as it may have where it answers an error.
                reportRunStart(call, call.began);
            }
            reportOver(call, Request::RunStage::Sent);
        }
    }

    /// Goes on with the stream at the same endpoint where the protocol has a request for that.
    void brokenStream(Call &call)
    {
        const bool midStream = call.callerStarted && !call.lastEventId.empty();
        if (midStream && call.rejoins < mostRejoins) {
            if (auto transfer = m_protocol.buildResumeTransfer(call.run, call.lastEventId)) {
                ++call.rejoins;
                ++m_counters.resumes;
                // Bytes of an event that was cut off come again whole.
                call.splitter.reset();
                call.paused = false;
                transfer->connectTimeout = m_options.connectTimeout;
                begin(call, std::move(*transfer));
                return;
            }
        }
        reportOver(call, Request::RunStage::Sent);
    }

    void keepFailure(Call &call, bool whole)
    {
        if (whole && !call.callerStarted && call.head.status >= 400) {
            call.failure = Http::Response {call.head.status, m_protocol.bodyHeaders(call.run, call.head), std::move(call.whole)};
        }
    }

    void completeStream(Call &call)
    {
        if (!call.callerStarted) {
            startCaller(call);
        }
        RunEnded over {reportOf(call, Request::RunStage::ResponseComplete), std::nullopt};
        if (call.run.reportResponse && call.whole.size() <= m_options.maxReportedResponseBytes) {
            over.response = Http::Response {
                call.head.status, {{"content-type", std::string(Http::eventStreamType)}}, std::move(call.whole)};
        }
        if constexpr (P::streamCarriesOutcome) {
            call.exchange->setTrailer(
                {"yokepond-outcome", std::string(Base::nameOf(Request::outcomeNames, Request::Outcome::Completed))});
        }
        call.exchange->finish();
        conclude(call, std::move(over));
    }

    void completeWhole(Call &call)
    {
        reportRunStart(call, call.began);
        if (call.tokens == 0) {
            call.tokens = 1;
            call.firstTokenAt = Base::now();
            call.lastTokenAt = call.firstTokenAt;
        }
        RunEnded over {reportOf(call, Request::RunStage::ResponseComplete), std::nullopt};
        Http::Response response {call.head.status, m_protocol.bodyHeaders(call.run, call.head), std::move(call.whole)};
        if (call.run.reportResponse && response.body.size() <= m_options.maxReportedResponseBytes) {
            over.response = response;
        }
        call.exchange->respond(std::move(response));
        conclude(call, std::move(over));
    }

    void conclude(Call &call, RunEnded over)
    {
        m_calls.erase(call.id);
        m_handler(std::move(over));
    }

    void reportOver(Call &call, Request::RunStage stage)
    {
        m_handler(RunEnded {reportOf(call, stage), std::nullopt});
    }

    static Request::RunReport reportOf(const Call &call, Request::RunStage stage)
    {
        Request::RunReport report;
        report.id = call.run.id;
        report.stage = stage;
        report.callerSawBytes = call.callerStarted;
        report.tokens = call.tokens;
        report.status = call.head.status;
        report.longestGap = call.longestGap;
        if (call.tokens > 0) {
            report.firstToken = call.firstTokenAt - call.began;
        }
        if (call.tokens > 1) {
            report.gap = (call.lastTokenAt - call.firstTokenAt) / (call.tokens - 1);
        }
        return report;
    }

    RelayOptions m_options;
    P m_protocol;
    Handler m_handler;
    ErrorBody m_errorBody;
    std::thread m_thread;
    Base::Loop *m_loop = nullptr;
    Base::Mailbox<std::function<void()>> *m_mailbox = nullptr;
    Http::Client *m_client = nullptr;
    Http::Server *m_server = nullptr;
    std::atomic<std::uint16_t> m_port = 0;
    RelayCounters m_counters;
    std::uint64_t m_nextId = 1;
    std::size_t m_mostCalls = 0; ///< since memory was given back
    std::unordered_map<std::uint64_t, std::unique_ptr<Call>> m_calls;
};

} // namespace Yokepond::Relay
