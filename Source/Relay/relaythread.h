// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The relay's thread, as a template of the protocol. It serves callers' connections, runs the transfers to endpoints, and passes
/// the events of responses from endpoints to callers.

#pragma once

#include "Base/crashreport.h"
#include "Base/hash.h"
#include "Base/mailbox.h"
#include "Base/text.h"
#include "Http/client.h"
#include "Http/tunnelserver.h"
#include "Relay/adoptedexchange.h"
#include "Relay/endpointtransfers.h"
#include "Relay/eventsplitter.h"
#include "Relay/protocol.h"
#include "Relay/relay.h"
#include "Relay/slowcallers.h"

#include <fmt/format.h>
#include <malloc.h>

#include <ctime>
#include <future>
#include <thread>
#include <unordered_map>

namespace Yokepond::Relay {

/// Number of times an interrupted stream is resumed at its endpoint. After that, the run fails.
inline constexpr int maxResumes = 3;
/// Free memory is returned to the system (malloc_trim) only after a peak of more open calls than this. After a smaller peak,
/// there is too little free memory to return.
inline constexpr std::size_t minCallsToTrim = 200;
/// Size limit of one event. A longer one fails its run.
inline constexpr std::size_t maxEventBytes = 1U << 20U;
/// Limit for the comments and events without data that an endpoint sends between two events with data. Comments that keep a
/// connection open have a few bytes a second.
inline constexpr std::size_t maxBytesWithoutData = 1U << 20U;
/// Limit for the body of a response whose head says that the request was not run.
inline constexpr std::size_t maxUnusedBodyBytes = 64U << 10U;
inline constexpr Base::Duration counterUpdatePeriod = std::chrono::milliseconds(250);
/// Least time from noticing that too much is held for callers to cutting some. What arrives meanwhile exceeds the bound.
inline constexpr Base::Duration overBoundCheckDelay = std::chrono::milliseconds(10);

/// Implements the relay for the protocol @p P on a thread of its own.
template<Protocol P>
class RelayThread : public Relay
{
public:
    /// Opens the listener and starts the thread. Fails with ErrorKind::InvalidSettings if the address is not available.
    static absl::StatusOr<std::unique_ptr<Relay>> start(RelayOptions options, P protocol, Handler handler,
                                                        ErrorBodyFormatter formatErrorBody)
    {
        auto relay = std::make_unique<RelayThread>(std::move(options), std::move(protocol), std::move(handler),
                                                   std::move(formatErrorBody));
        if (absl::Status status = relay->startThread(); !status.ok()) {
            return status;
        }
        return relay;
    }

    RelayThread(RelayOptions options, P protocol, Handler handler, ErrorBodyFormatter formatErrorBody)
        : m_options(std::move(options))
        , m_protocol(std::move(protocol))
        , m_handler(std::move(handler))
        , m_formatErrorBody(std::move(formatErrorBody))
        , m_callNumbers(m_options.incarnation)
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
            std::visit([this]<typename Entry>(Entry &&entry) { execute(std::forward<Entry>(entry)); }, std::move(command));
        });
    }

    void closeListener() override
    {
        m_mailbox->post([this] {
            m_server->closeListener();
            if (m_tunnelServer != nullptr) {
                m_tunnelServer->closeListener();
            }
        });
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
    /// A caller's request and the current run for it.
    struct Call
    {
        std::uint64_t id = 0;
        std::shared_ptr<Http::Exchange> exchange;
        typename P::State state;
        bool responseStarted = false; ///< whether the head of the response has been sent to the caller
        std::string lastEventId; ///< id of the last event sent to the caller that had one
        std::optional<Http::Response> errorResponse; ///< the last endpoint's response, if it was a complete error response

        // The current run.
        Run run;
        EndpointTransfers::Id transfer = 0;
        Base::Instant startedAt {};
        Base::Instant firstTokenAt {};
        Base::Instant lastTokenAt {};
        Base::Duration longestGap {};
        std::uint32_t tokens = 0;
        ResponseHead head;
        ResponseKind kind = ResponseKind::Failed;
        EventSplitter splitter;
        std::string body; ///< body of a response that is not a stream, or events of a stream that is to be reported
        std::size_t bytesWithoutData = 0; ///< of a stream, since its last event with data
        bool lastEventReceived = false; ///< whether the marked last event has been received
        bool paused = false; ///< whether reading from the endpoint is paused because the caller reads slowly
        bool callerLeft = false; ///< whether the caller is gone while the run continues
        int resumeCount = 0;
        bool pathInDoubt = false; ///< see EndpointTransferResult
        bool endsWithConnection = false; ///< see Request::RunReport
        Request::ResponseLimit overLimit = Request::ResponseLimit::None; ///< that the endpoint exceeded in this run
        bool malformed = false; ///< the endpoint sent what is no response in this run
        bool startReported = false; ///< whether RunStarted has been sent for the current run
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
        const Base::CrashReportThread thread("data");
        Base::Loop loop;
        Base::Mailbox<std::function<void()>> mailbox(loop.reactor(), [](std::function<void()> &&task) { task(); });
        Http::Client client(loop);
        auto server = Http::Server::listen(
            loop, m_options.listen, m_options.limits,
            [this](const std::shared_ptr<Http::Exchange> &exchange) { requestReceived(exchange); }, m_formatErrorBody);
        if (!server.ok()) {
            started.set_value(server.status());
            return;
        }
        EndpointTransfers transfers(loop, client,
                                    {m_options.connectTimeout, m_options.sourceAddress, m_options.limits.responseHeaderBytes},
                                    m_counters.paths);
        m_transfers = &transfers;
        if (absl::Status status = startTunnelServer(loop); !status.ok()) {
            started.set_value(status);
            return;
        }
        m_loop = &loop;
        m_mailbox = &mailbox;
        m_server = server->get();
        m_port = (*server)->address().port;
        SlowCallers slowCallers(m_options.buffers, m_counters, [this](std::uint64_t id) { callerDisconnected(id); });
        m_slowCallers = &slowCallers;
        const auto counterUpdates = loop.every(counterUpdatePeriod, [this] { updateCounters(); });
        started.set_value(absl::OkStatus());
        loop.run();
        m_overBoundCheck.reset();
        m_calls.clear();
        m_tunnelServer.reset();
    }

    absl::Status startTunnelServer(Base::Loop &loop)
    {
        if (m_options.tunnelListen.port == 0) {
            return absl::OkStatus();
        }
        Http::TunnelServerCallbacks callbacks;
        callbacks.requested = [this](std::uint64_t tunnel, const std::string &target) {
            m_handler(TunnelRequested {tunnel, target});
        };
        callbacks.connected
            = [this](const std::string &target, bool connected) { return m_transfers->recordDirect(target, connected); };
        auto server = Http::TunnelServer::listen(
            loop, {.listen = m_options.tunnelListen, .sourceAddress = m_options.sourceAddress}, std::move(callbacks));
        if (!server.ok()) {
            return server.status();
        }
        m_tunnelServer = std::move(*server);
        return absl::OkStatus();
    }

    /// Updates the counters, and returns free memory to the system after a peak of open calls.
    void updateCounters()
    {
        timespec used {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
        m_counters.processorMicroseconds = used.tv_sec * 1'000'000 + used.tv_nsec / 1'000;
        m_counters.open = m_calls.size();
        m_counters.unsent = m_server->openRequests();
        m_counters.idleClosed = m_server->connectionCounters().idleClosed;
        m_counters.turnedAway = m_server->connectionCounters().turnedAway;
        m_counters.bodyBytes = m_server->bodyBytes();
        m_counters.bodiesRefused = m_server->bodyCounters().refused;
        m_counters.bodiesCut = m_server->bodyCounters().cut;
        if (m_tunnelServer != nullptr) {
            m_counters.tunnels = m_tunnelServer->busy();
            m_counters.tunnelsOpened = m_tunnelServer->opened();
        }
        m_slowCallers->check();
        m_peakCalls = std::max(m_peakCalls, m_calls.size());
        if (m_peakCalls > minCallsToTrim && m_calls.size() < m_peakCalls / 2) {
            // After a burst of streams, the allocator keeps their memory until it is trimmed.
            malloc_trim(0);
            m_peakCalls = m_calls.size();
        }
    }

    /// Accounts what is held for the call. If that is too much for all calls together, callers are cut soon, but not now: the
    /// caller of this function may be about to use the call.
    void measure(Call &call, std::size_t collectedBytes)
    {
        m_slowCallers->measure(call.id, collectedBytes);
        if (m_slowCallers->overBound() && m_overBoundCheck == nullptr) {
            m_overBoundCheck = m_loop->after(overBoundCheckDelay, [this] {
                m_overBoundCheck.reset();
                m_slowCallers->check();
            });
        }
    }

    /// Removes the call; what its caller has not read is still accounted if @p responds.
    void eraseCall(std::uint64_t id, bool responds)
    {
        if (responds) {
            if (Call *call = find(id); call != nullptr && call->transfer == 0) {
                // No run needs the body any more, while the caller may read the response for long.
                call->exchange->releaseBody();
            }
            m_slowCallers->finish(id);
        } else {
            m_slowCallers->remove(id);
        }
        m_calls.erase(id);
    }

    // --- Requests from callers

    void requestReceived(const std::shared_ptr<Http::Exchange> &exchange, bool forwarded = false)
    {
        const Base::Activity activity("a request of a caller");
        ++m_counters.calls;
        const Http::Request &request = exchange->request();
        auto call = std::make_unique<Call>();
        call->id = m_callNumbers.next();
        CallArrived event;
        event.id = call->id;
        event.method = request.method;
        event.path = request.path;
        event.forwarded = forwarded;
        event.work = hashWork(request);
        m_protocol.describeRequest(request, call->state, event);
        const std::uint64_t id = call->id;
        exchange->onClosed([this, id] { callerDisconnected(id); });
        call->exchange = exchange;
        m_slowCallers->add(id, exchange);
        m_calls.emplace(id, std::move(call));
        m_counters.open = m_calls.size();
        m_counters.unsent = m_server->openRequests();
        m_handler(std::move(event));
    }

    static std::uint64_t hashWork(const Http::Request &request)
    {
        const std::uint64_t targetHash = Base::hash64(request.query, Base::hash64(request.path, Base::hash64(request.method)));
        return Base::hash64(request.body, targetHash);
    }

    void callerDisconnected(std::uint64_t id)
    {
        Call *call = find(id);
        if (call == nullptr) {
            return;
        }
        if (call->transfer == 0) {
            eraseCall(id, false);
            m_handler(CallerDisconnected {id});
            return;
        }
        if (call->run.reportResponse) {
            // The run continues: the request has an idempotency key, so its caller may ask for the response again with the key.
            call->callerLeft = true;
            m_slowCallers->callerLeft(id);
            m_handler(CallerDisconnected {id});
            continueStream(id);
            return;
        }
        if (!call->run.engine) {
            reportRunStart(*call, call->startedAt);
        }
        // Closing the connection to the endpoint cancels the run there.
        m_transfers->cancel(std::exchange(call->transfer, 0));
        Request::RunReport report = makeReport(*call, Request::RunStage::Sent);
        report.callerDisconnected = true;
        eraseCall(id, false);
        m_handler(CallerDisconnected {id});
        m_handler(RunEnded {report, std::nullopt});
    }

    Call *find(std::uint64_t id)
    {
        const auto entry = m_calls.find(id);
        return entry == m_calls.end() ? nullptr : entry->second.get();
    }

    // --- Commands

    void execute(Run &&run)
    {
        Call *call = find(run.id.request);
        if (call == nullptr) {
            // The caller disconnected while the command was queued. Request::Home must still be notified that
            // no run was started.
            Request::RunReport report {.id = run.id, .stage = Request::RunStage::Stale, .callerDisconnected = true};
            m_handler(RunEnded {report, std::nullopt});
            return;
        }
        resetRun(*call);
        call->run = std::move(run);
        m_slowCallers->setName(call->id, call->run.requestName);
        if (Base::now() > call->run.startBy) {
            reportRunEnd(*call, Request::RunStage::Stale);
            return;
        }
        ++m_counters.runs;
        call->startedAt = Base::now();
        startTransfer(*call, [this, id = call->id] {
            const Call *found = find(id);
            return found == nullptr ? Http::Transfer {} : buildTransfer(*found);
        });
    }

    Http::Transfer buildTransfer(const Call &call) const
    {
        const Http::Request &request = call.exchange->request();
        Http::Transfer transfer = m_protocol.buildTransfer(call.state, request, call.run, call.lastEventId);
        if constexpr (P::forwardsBody) {
            transfer.sharedBody = {call.exchange, &request.body};
        }
        return transfer;
    }

    void execute(Respond &&command)
    {
        Call *call = find(command.id);
        if (call == nullptr) {
            return;
        }
        if (!call->responseStarted) {
            const bool useEndpointResponse = command.preferEndpointResponse && call->errorResponse;
            call->exchange->respond(useEndpointResponse ? std::move(*call->errorResponse) : std::move(command.response));
        } else if constexpr (P::streamCarriesOutcome) {
            // The head of the response has been sent, so the error is reported by an event rather than by a closed connection.
            call->exchange->write(fmt::format("event: error\ndata: {}\n\n", Base::trimmed(command.response.body)));
            call->exchange->finish();
        } else {
            call->exchange->abort();
        }
        eraseCall(command.id, true);
    }

    void execute(Stop &&stop)
    {
        if (Call *call = find(stop.id); call != nullptr && call->transfer != 0) {
            m_transfers->cancel(std::exchange(call->transfer, 0));
        }
    }

    void execute(Adopt &&adopt)
    {
        const std::uint64_t token = adopt.token;
        requestReceived(std::make_shared<AdoptedExchange>(std::move(adopt.request),
                                                          [this, token](Http::Response response) {
                                                              m_handler(AdoptedResponse {token, std::move(response)});
                                                          }),
                        true);
    }

    void execute(AllowTunnel &&answer)
    {
        if (m_tunnelServer != nullptr) {
            m_tunnelServer->decide(answer.tunnel, answer.allowed);
        }
    }

    void execute(SetHelpers &&command)
    {
        m_transfers->setHelpers(std::move(command.helpers));
    }

    // --- Runs

    void resetRun(Call &call)
    {
        call.transfer = 0;
        call.firstTokenAt = {};
        call.lastTokenAt = {};
        call.longestGap = {};
        call.tokens = 0;
        call.head = {};
        call.kind = ResponseKind::Failed;
        call.splitter.reset();
        std::string().swap(call.body); // an assignment would keep its memory
        m_slowCallers->measure(call.id, 0);
        m_slowCallers->setPaused(call.id, false);
        call.bytesWithoutData = 0;
        call.lastEventReceived = false;
        call.paused = false;
        call.resumeCount = 0;
        call.pathInDoubt = false;
        call.endsWithConnection = false;
        call.overLimit = Request::ResponseLimit::None;
        call.malformed = false;
        call.startReported = false;
        call.errorResponse.reset();
    }

    void startTransfer(Call &call, const EndpointTransfers::Builder &build)
    {
        const std::uint64_t id = call.id;
        EndpointTransferEvents events;
        events.onHeaders = [this, id](int status, const Http::Headers &headers) {
            if (Call *found = find(id)) {
                found->head = {status, headers};
                found->kind = m_protocol.classifyResponse(found->run, found->head);
                reportAdvertisement(*found);
            }
        };
        events.onBytes = [this, id](std::string_view bytes) {
            if (Call *found = find(id)) {
                bytesReceived(*found, bytes);
            }
        };
        events.onEnd = [this, id](const EndpointTransferResult &result) {
            if (Call *found = find(id)) {
                found->transfer = 0;
                found->pathInDoubt = result.pathInDoubt;
                transferEnded(*found, result.http);
            }
        };
        call.transfer = m_transfers->start({call.run.address, call.run.region}, build, std::move(events));
    }

    /// Sends EndpointAdvertised if the response advertises something about its endpoint. This happens before any part of the
    /// response is sent to the caller, so Request::Home always has at least the information that the caller has.
    void reportAdvertisement(const Call &call)
    {
        if (call.kind == ResponseKind::EndpointReplaced) {
            // The advertisement is that of another endpoint.
            return;
        }
        const Request::EndpointAdvertisement advertisement = m_protocol.advertisement(call.run, call.head);
        const bool reportsRate = call.run.reportRate || advertisement.rate.header != Rate::RateHeader::None;
        const bool reportsAvailability = advertisement.availability.leaves
            || advertisement.availability.cooldown > Base::Duration::zero() || advertisement.availability.unreadable;
        if (reportsRate || reportsAvailability) {
            m_handler(EndpointAdvertised {call.run.id, call.run.endpointNumber, advertisement});
        }
    }

    void bytesReceived(Call &call, std::string_view bytes)
    {
        if (call.kind != ResponseKind::Events) {
            appendToBody(call, bytes);
            return;
        }
        for (const ServerSentEvent &event : call.splitter.feed(bytes)) {
            forwardEvent(call, event);
        }
        measure(call, call.body.size() + call.splitter.pendingBytes());
        if (!call.callerLeft && !call.paused && m_slowCallers->shouldPause(call.id)) {
            pauseStream(call);
        }
        if (call.splitter.pendingBytes() > maxEventBytes) {
            endRunOverLimit(call, Request::ResponseLimit::Event, call.splitter.pendingBytes());
        } else if (call.bytesWithoutData > maxBytesWithoutData) {
            endRunOverLimit(call, Request::ResponseLimit::Comments, call.bytesWithoutData);
        }
    }

    /// Appends @p bytes to the body of a response that is not a stream, or ends the run if the body is too large.
    void appendToBody(Call &call, std::string_view bytes)
    {
        const std::size_t size = call.body.size() + bytes.size();
        if (size > maxBodyBytes(call)) {
            endRunOverLimit(call, Request::ResponseLimit::Body, size);
            return;
        }
        call.body.append(bytes);
        measure(call, call.body.size());
    }

    /// Returns the limit for the body of a response that is not a stream: the larger of the limits for reported responses and for
    /// requests' bodies. The body of a response whose head says that the request was not run is not used.
    std::size_t maxBodyBytes(const Call &call) const
    {
        const bool unused = call.kind == ResponseKind::Rejected || call.kind == ResponseKind::EndpointReplaced;
        return unused ? maxUnusedBodyBytes : std::max(m_options.maxReportedResponseBytes, m_options.limits.bodyBytes);
    }

    void forwardEvent(Call &call, const ServerSentEvent &event)
    {
        if (call.lastEventReceived) {
            return;
        }
        if (event.hasData && !event.isDone && !event.isError) {
            recordToken(call);
            reportRunStart(call, call.firstTokenAt);
        }
        call.bytesWithoutData = event.hasData ? 0 : call.bytesWithoutData + event.bytes.size();
        if (!event.id.empty()) {
            call.lastEventId = event.id;
        }
        call.lastEventReceived = P::marksLastEvent && event.isDone;
        ++m_counters.events;
        if (!call.responseStarted) {
            startResponseStream(call);
        }
        call.exchange->write(event.bytes);
        if (call.run.reportResponse && call.body.size() <= m_options.maxReportedResponseBytes) {
            call.body.append(event.bytes);
        }
    }

    /// Stops reading from the endpoint until the caller has read enough.
    void pauseStream(Call &call)
    {
        call.paused = true;
        m_slowCallers->setPaused(call.id, true, [this, id = call.id] { continueStream(id); });
        m_transfers->pause(call.transfer, true);
    }

    void continueStream(std::uint64_t id)
    {
        Call *call = find(id);
        if (call != nullptr && call->paused && call->transfer != 0) {
            call->paused = false;
            m_slowCallers->setPaused(id, false);
            m_transfers->pause(call->transfer, false);
        }
    }

    /// Sends RunStarted, at most once per run.
    void reportRunStart(Call &call, Base::Instant at)
    {
        if (m_options.reportRunStarts && !call.startReported) {
            call.startReported = true;
            m_handler(RunStarted {call.run.organisation, at});
        }
    }

    /// Updates the token count and the longest gap between tokens; every event with data counts as one token.
    void recordToken(Call &call)
    {
        const Base::Instant now = Base::now();
        if (call.tokens++ == 0) {
            call.firstTokenAt = now;
            if (call.run.reportFirstToken) {
                m_handler(FirstTokenReceived {call.run.id});
            }
        } else {
            call.longestGap = std::max(call.longestGap, now - call.lastTokenAt);
        }
        call.lastTokenAt = now;
    }

    /// Sends the head of the stream to the caller.
    void startResponseStream(Call &call)
    {
        call.responseStarted = true;
        call.exchange->beginStream(call.head.status, m_protocol.streamHeaders(call.run, call.head));
    }

    /// Returns whether an engine's response holds nothing so far. A response whose end is not marked cannot end there: the engine
    /// crashed after it had sent the head.
    static bool endedBeforeItsContent(const Call &call)
    {
        return call.kind == ResponseKind::Events ? call.tokens == 0 : call.run.engine && call.body.empty();
    }

    /// Ends the run, or requests the remaining events of its stream, depending on how far the transfer got and on the kind of
    /// response. RunStage::Sent is reported for every failure after which the endpoint may have run the request.
    void transferEnded(Call &call, const Http::TransferResult &result)
    {
        if (result.failure == Http::TransferFailure::HeadTooLarge && !call.lastEventReceived) {
            endRunOverLimit(call, Request::ResponseLimit::Head, result.headBytes);
            return;
        }
        if (result.failure == Http::TransferFailure::Malformed) {
            noteMalformedResponse(call, result);
        }
        const bool closedComplete
            = P::closeEndsBody && result.stage == Http::TransferStage::Closed && !endedBeforeItsContent(call);
        call.endsWithConnection = result.stage == Http::TransferStage::Closed && !call.lastEventReceived;
        const bool complete = result.stage == Http::TransferStage::Complete || closedComplete;
        const bool streamComplete
            = complete && !P::marksLastEvent && call.kind == ResponseKind::Events && call.splitter.pendingBytes() == 0;
        if (call.lastEventReceived || streamComplete) {
            completeStream(call);
        } else if (call.kind == ResponseKind::Events || call.resumeCount > 0) {
            resumeOrFail(call);
        } else if (result.stage == Http::TransferStage::NotSent) {
            reportRunEnd(call, Request::RunStage::NotSent);
        } else if (complete && call.kind == ResponseKind::Rejected) {
            reportRunEnd(call, Request::RunStage::Rejected);
        } else if (complete && call.kind == ResponseKind::EndpointReplaced) {
            reportRunEnd(call, Request::RunStage::EndpointReplaced);
        } else if (complete && call.kind == ResponseKind::Body && !call.responseStarted) {
            completeBody(call);
        } else {
            storeErrorResponse(call, complete);
            if (!call.run.engine || call.head.status != 0) {
                // A service may have run the request even if it sent no response. Any endpoint may have run it if it sent an
                // error.
                reportRunStart(call, call.startedAt);
            }
            reportRunEnd(call, Request::RunStage::Sent);
        }
    }

    /// The run ends as one whose connection broke: the endpoint may have run the request.
    void noteMalformedResponse(Call &call, const Http::TransferResult &result)
    {
        call.malformed = true;
        ++m_counters.malformed.at(static_cast<std::size_t>(result.fault));
        Base::log(Base::LogLevel::Warning, Base::LogEvent::ResponseMalformed,
                  {{"request", call.run.requestName},
                   {"endpoint", call.run.endpoint},
                   {"address", call.run.address},
                   {"reason", Base::nameOf(Http::responseFaultNames, result.fault)},
                   {"status", result.status}});
    }

    /// Ends the run of a call whose endpoint sent @p bytes, more than the limit allows. What the head of the response said of the
    /// run holds, and otherwise the endpoint may have run the request.
    void endRunOverLimit(Call &call, Request::ResponseLimit limit, std::size_t bytes)
    {
        m_transfers->cancel(std::exchange(call.transfer, 0));
        call.splitter.reset();
        call.overLimit = limit;
        ++m_counters.overLimit.at(static_cast<std::size_t>(limit));
        Base::log(Base::LogLevel::Warning, Base::LogEvent::ResponseOverLimit,
                  {{"request", call.run.requestName},
                   {"address", call.run.address},
                   {"limit", Base::nameOf(Request::responseLimitNames, limit)},
                   {"bytes", bytes},
                   {"status", call.head.status}});
        if (call.kind == ResponseKind::Rejected) {
            reportRunEnd(call, Request::RunStage::Rejected);
        } else if (call.kind == ResponseKind::EndpointReplaced) {
            reportRunEnd(call, Request::RunStage::EndpointReplaced);
        } else {
            reportRunStart(call, call.startedAt);
            reportRunEnd(call, Request::RunStage::Sent);
        }
    }

    /// Resumes an interrupted stream at the same endpoint if the protocol supports it; otherwise reports the end of the run.
    void resumeOrFail(Call &call)
    {
        const bool midStream = call.responseStarted && !call.lastEventId.empty();
        if (midStream && call.resumeCount < maxResumes) {
            if (auto transfer = m_protocol.buildResumeTransfer(call.run, call.lastEventId)) {
                ++call.resumeCount;
                ++m_counters.resumes;
                // An event that was cut off is sent again completely.
                call.splitter.reset();
                call.paused = false;
                m_slowCallers->setPaused(call.id, false);
                startTransfer(call, [transfer = std::move(*transfer)] { return transfer; });
                return;
            }
        }
        reportRunEnd(call, Request::RunStage::Sent);
    }

    /// Keeps a complete error response, for Respond::preferEndpointResponse.
    void storeErrorResponse(Call &call, bool complete)
    {
        if (complete && !call.responseStarted && call.head.status >= 400) {
            call.errorResponse
                = Http::Response {call.head.status, m_protocol.bodyHeaders(call.run, call.head), std::move(call.body)};
        }
    }

    void completeStream(Call &call)
    {
        if (!call.responseStarted) {
            startResponseStream(call);
        }
        RunEnded runEnded {makeReport(call, Request::RunStage::ResponseComplete), std::nullopt};
        if (call.run.reportResponse && call.body.size() <= m_options.maxReportedResponseBytes) {
            runEnded.response
                = Http::Response {call.head.status, {{"content-type", std::string(Http::eventStreamType)}}, std::move(call.body)};
        }
        if constexpr (P::streamCarriesOutcome) {
            call.exchange->setTrailer(
                {"yokepond-outcome", std::string(Base::nameOf(Request::outcomeNames, Request::Outcome::Completed))});
        }
        call.exchange->finish();
        finishCall(call, std::move(runEnded));
    }

    void completeBody(Call &call)
    {
        reportRunStart(call, call.startedAt);
        // A response that is not a stream is reported as one token.
        if (call.tokens == 0) {
            call.tokens = 1;
            call.firstTokenAt = Base::now();
            call.lastTokenAt = call.firstTokenAt;
        }
        RunEnded runEnded {makeReport(call, Request::RunStage::ResponseComplete), std::nullopt};
        Http::Response response {call.head.status, m_protocol.bodyHeaders(call.run, call.head), std::move(call.body)};
        if (call.run.reportResponse && response.body.size() <= m_options.maxReportedResponseBytes) {
            runEnded.response = response;
        }
        call.exchange->respond(std::move(response));
        finishCall(call, std::move(runEnded));
    }

    /// Removes the call and reports the end of its run.
    void finishCall(Call &call, RunEnded runEnded)
    {
        eraseCall(call.id, true);
        m_handler(std::move(runEnded));
    }

    /// Reports the end of a run whose call continues, so another run may follow.
    void reportRunEnd(Call &call, Request::RunStage stage)
    {
        m_handler(RunEnded {makeReport(call, stage), std::nullopt});
    }

    Request::RunReport makeReport(const Call &call, Request::RunStage stage) const
    {
        Request::RunReport report;
        report.id = call.run.id;
        report.stage = stage;
        report.callerSawBytes = call.responseStarted;
        report.tokens = call.tokens;
        report.status = call.head.status;
        report.longestGap = call.longestGap;
        report.pathInDoubt = call.pathInDoubt;
        report.endsWithConnection = call.endsWithConnection;
        report.overLimit = call.overLimit;
        report.malformed = call.malformed;
        report.brittle
            = stage == Request::RunStage::Rejected && m_protocol.advertisement(call.run, call.head).availability.brittle;
        if (call.tokens > 0) {
            report.firstToken = call.firstTokenAt - call.startedAt;
        }
        if (call.tokens > 1) {
            report.gap = (call.lastTokenAt - call.firstTokenAt) / (call.tokens - 1);
        }
        return report;
    }

    RelayOptions m_options;
    P m_protocol;
    Handler m_handler;
    ErrorBodyFormatter m_formatErrorBody;
    std::thread m_thread;
    Base::Loop *m_loop = nullptr;
    Base::Mailbox<std::function<void()>> *m_mailbox = nullptr;
    EndpointTransfers *m_transfers = nullptr;
    std::unique_ptr<Http::TunnelServer> m_tunnelServer; ///< null unless this host accepts tunnels
    Http::Server *m_server = nullptr;
    SlowCallers *m_slowCallers = nullptr;
    std::unique_ptr<Base::Loop::Registration> m_overBoundCheck;
    std::atomic<std::uint16_t> m_port = 0;
    RelayCounters m_counters;
    Peer::ProcessNumbers m_callNumbers;
    std::size_t m_peakCalls = 0; ///< largest number of open calls since free memory was last returned to the system
    std::unordered_map<std::uint64_t, std::unique_ptr<Call>> m_calls;
};

} // namespace Yokepond::Relay
