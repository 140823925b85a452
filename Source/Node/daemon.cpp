// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/daemon.h"

#include "Base/crashreport.h"
#include "Base/error.h"
#include "Base/hash.h"
#include "Base/invariant.h"
#include "Base/log.h"
#include "Base/text.h"
#include "Node/errorresponse.h"
#include "Node/tunnelhelpers.h"
#include "Relay/openaiprotocol.h"
#include "Relay/relaythread.h"
#include "platform/requestprotocol.h"
#include "platform/siteform.h"

#include <fmt/format.h>

#include <ctime>

namespace Yokepond::Node {

namespace {

constexpr Base::Duration tickPeriod
    = std::chrono::milliseconds(50); ///< most processor time of an idle host's control thread goes into ticks
/// Safety margin for the lease of a duty. It is added once to the time after which another host may take the lease, and
/// subtracted twice from the time for which the holder may act. It covers calls in transit and a holder that notices late that
/// its lease has expired.
constexpr Base::Duration dutyMargin = std::chrono::milliseconds(500);
/// Send buffer of a caller's connection if there is a bound on what is held for callers: several seconds of a stream's events,
/// and enough to send a large body at megabytes a second over a round trip of 50 ms.
constexpr std::size_t callerSendBufferBytes = 64U << 10U;
/// Receive buffer of a caller's connection if there is a bound for the bodies of requests; as large, for the same reason.
constexpr std::size_t callerReceiveBufferBytes = 64U << 10U;
constexpr std::size_t maxDumpedRows = 200;
constexpr unsigned int incarnationRandomBits = 12;
constexpr int exitNotDrained = 3;
/// Period at which the settings file is checked for changes, since it may change without a signal.
constexpr Base::Duration settingsCheckPeriod = std::chrono::seconds(2);
/// Time between the end of the last request and the end of the process, in which its response may still be in transit to the
/// caller.
constexpr Base::Duration responseFlushTime = std::chrono::milliseconds(300);

/// Returns an incarnation number that grows with each start of a host and differs, with high probability, between hosts that
/// start in the same microsecond: microseconds of wall-clock time followed by 12 random bits.
std::uint64_t newIncarnation()
{
    const auto micros = static_cast<std::uint64_t>(Base::wallMicroseconds());
    return (micros << incarnationRandomBits) | (Base::randomValue() & ((1U << incarnationRandomBits) - 1));
}

} // namespace

Daemon::Daemon(Settings settings, SettingsFile file)
    : m_settings(std::move(settings))
    , m_settingsFile(std::move(file))
    , m_incarnation(newIncarnation())
    , m_client(m_loop)
    , m_dispatcher(m_settings.name)
    , m_home(m_settings.name, m_incarnation)
    , m_started(Base::now())
{
    if (m_settings.fatalInvariants) {
        Base::makeViolationsFatal();
    }
}

Daemon::~Daemon()
{
    // The other threads post to the mailbox, so they must end before it is destroyed.
    m_relay.reset();
    m_peers.reset();
}

absl::Status Daemon::start()
{
    m_loop.onSignals({.stop = [this] { requestStop(); },
                      .dump = [this] { Base::log(Base::LogLevel::Info, Base::LogEvent::Dump, dump()); },
                      .reload = [this] { reloadSettings(); }});
    m_mailbox = std::make_unique<Base::Mailbox<ThreadEvent>>(m_loop.reactor(),
                                                             [this](ThreadEvent &&event) { handle(std::move(event)); });
    auto peers = Peer::Edge::start({m_settings.peerListen, m_settings.advertisedPeer, m_settings.name, m_incarnation},
                                   [this](Peer::Event event) { m_mailbox->post(std::move(event)); });
    if (!peers.ok()) {
        return peers.status();
    }
    m_peers = std::move(*peers);
    const Peer::Member self {m_settings.name,
                             m_incarnation,
                             1,
                             Peer::MemberState::Alive,
                             m_settings.advertisedPeer,
                             m_settings.dataCentre,
                             m_settings.operatorListen.text(),
                             m_settings.callerListen.text(),
                             m_settings.milliCores};
    m_fleet = std::make_unique<Fleet>(m_settings, m_client, m_incarnation, self,
                                      FleetCallbacks {.send =
                                                          [this](const Peer::Recipient &to, Peer::Message message) {
                                                              if (!to.address.empty()) {
                                                                  m_peers->send(to, std::move(message));
                                                              }
                                                          },
                                                      .changed = [this] { fleetChanged(); },
                                                      .incarnationEnded =
                                                          [this](const std::string &member, std::uint64_t kept) {
                                                              m_dispatcher.removeHome(Base::now(), member, kept);
                                                              executePendingActions();
                                                          },
                                                      .processReplaced =
                                                          [this](const Peer::Process &ended, std::uint64_t current) {
                                                              recordReplaced({ended, current, 0});
                                                          },
                                                      .endpointsLeaving =
                                                          [this](std::vector<std::uint32_t> endpoints) {
                                                              m_dispatcher.setLeaving(Base::now(), std::move(endpoints));
                                                              executePendingActions();
                                                          }},
                                      Platform::decodeSite);
    m_frontend = std::make_unique<Frontend>(
        m_settings, m_incarnation, *m_fleet, m_home, m_metrics,
        FrontendCallbacks {.relay = [this](Relay::Command command) { m_relay->command(std::move(command)); },
                           .send
                           = [this](const Peer::Process &to, Peer::Message message) { sendToMember(to, std::move(message)); }});
    m_queries = std::make_unique<Queries>(m_settings, *m_fleet, m_dispatcher, m_home, *m_frontend, [this](Base::Instant now) {
        return Queries::Duties {m_usage == nullptr ? std::nullopt : std::optional(m_usage->view(now)),
                                m_scaling == nullptr ? std::nullopt : std::optional(m_scaling->view(now))};
    });
    m_gatherer = std::make_unique<Gatherer>(
        m_incarnation, [this](const Peer::Process &to, Peer::Message message) { sendToMember(to, std::move(message)); });
    m_operatorServer = std::make_unique<OperatorServer>(
        m_settings, *m_fleet, *m_queries, *m_gatherer,
        OperatorServerCallbacks {.readiness = [this] { return readiness(); },
                                 .metrics = [this] { return metricsText(); },
                                 .dump = [this] { return dump(); },
                                 .cancelRequest =
                                     [this](const std::string &name) {
                                         const auto number = m_frontend->requestNumber(name);
                                         const bool cancelled = number && m_home.cancel(Base::now(), *number);
                                         executePendingActions();
                                         return cancelled;
                                     },
                                 .releaseWork =
                                     [this](std::uint64_t work) {
                                         const bool released = m_home.releaseWork(Base::now(), work);
                                         executePendingActions();
                                         return released;
                                     }});
    if (absl::Status status = m_operatorServer->start(m_loop); !status.ok()) {
        return status;
    }
    // Last, so that a start which fails has taken no caller's connection.
    auto relay = startRelay();
    if (!relay.ok()) {
        return relay.status();
    }
    m_relay = std::move(*relay);
    if (m_settings.platformForm == PlatformForm::Records) {
        startFollowing();
    }
    if (m_settings.dutyAddress.port != 0) {
        startDuties();
    }
    m_timer = m_loop.every(tickPeriod, [this] { tick(); });
    Base::log(Base::LogLevel::Info, Base::LogEvent::Started,
              {{"incarnation", fmt::format("{:x}", m_incarnation)},
               {"caller", fmt::format("{}:{}", m_settings.callerListen.ip, m_relay->port())},
               {"operator", m_operatorServer->address().text()},
               {"peer", fmt::format("{}:{}", m_settings.peerListen.ip, m_peers->port())}});
    return absl::OkStatus();
}

absl::StatusOr<std::unique_ptr<Relay::Relay>> Daemon::startRelay()
{
    Http::ServerLimits limits = m_settings.callerLimits;
    if (m_settings.responseBuffers.totalBytes > 0) {
        // Otherwise the kernel would hold megabytes for a caller that does not read, which no bound counts.
        limits.sendBufferBytes = callerSendBufferBytes;
    }
    if (limits.bodyMemoryBytes > 0) {
        limits.receiveBufferBytes = callerReceiveBufferBytes;
    }
    const Relay::RelayOptions options {.listen = m_settings.callerListen,
                                       .limits = limits,
                                       .sourceAddress = m_settings.endpointSource,
                                       .tunnelListen = {m_settings.peerListen.ip, m_settings.tunnelPort},
                                       .buffers = m_settings.responseBuffers,
                                       .incarnation = m_incarnation,
                                       .reportRunStarts = m_settings.dutyAddress.port != 0};
    const auto handler = [this](Relay::Event event) { m_mailbox->post(std::move(event)); };
    const auto body = [](const absl::Status &error) { return errorBody(error, Request::Outcome::NotRun); };
    if (m_settings.platformForm == PlatformForm::Records) {
        return Relay::RelayThread<Platform::RequestProtocol>::start(options, {}, handler, body);
    }
    return Relay::RelayThread<Relay::OpenAiProtocol>::start(options, {}, handler, body);
}

void Daemon::startFollowing()
{
    m_rows = std::make_unique<Platform::RowsClient>(m_client, m_settings.platform, m_settings.platformTimeout);
    m_follower = std::make_unique<StoreFollower<Platform::RowsClient>>(
        *m_rows, *m_fleet,
        StoreFollowerOptions {
            .platform = m_settings.platform.text(),
            .watcher = {.holdTime = maxHoldTime(m_settings.platformSettledAfter, m_settings.platformTimeout)},
            .seed = m_incarnation,
            .send = [this](const Peer::Process &to, Peer::Message message) { sendToMember(to, std::move(message)); },
        });
}

void Daemon::startDuties()
{
    m_dutyClient = std::make_unique<Platform::DutyClient>(m_client, m_settings.platform, m_settings.dutyAddress,
                                                          m_settings.platformTimeout);
    UsageDutyOptions options {.host = m_settings.name, .incarnation = m_incarnation};
    options.reporter.window = m_settings.usageWindow;
    options.reporter.lease.takeoverDelay = m_settings.dutyTakeoverDelay + dutyMargin;
    options.reporter.lease.validity = m_settings.dutyTakeoverDelay - dutyMargin * 2;
    m_usage = std::make_unique<UsageDuty<Platform::DutyClient>>(
        *m_dutyClient, options, Base::now(), Base::wallMicroseconds(),
        [this](const Peer::Process &to, Peer::Message message) { sendToMember(to, std::move(message)); });
    if (m_settings.scaling != ScalingMode::Off) {
        ScalingDutyOptions scaling {.host = m_settings.name, .incarnation = m_incarnation};
        scaling.scaler.lease = options.reporter.lease;
        scaling.scaler.dryRun = m_settings.scaling == ScalingMode::Dry;
        m_scaling = std::make_unique<ScalingDuty<Platform::DutyClient>>(*m_dutyClient, scaling, Base::now());
    }
    updateDuties();
}

void Daemon::reloadSettings()
{
    const Base::Activity activity("the settings");
    const auto loaded = m_settingsFile.load();
    if (!loaded.ok()) {
        // The current settings stay in effect.
        Base::log(Base::LogLevel::Error, Base::LogEvent::SettingsRejected, {{"reason", Base::messageOf(loaded.status())}});
        return;
    }
    // Only these settings can change at run time. The others, such as those of listeners and connections, need a restart.
    m_settings.seeds = loaded->seeds;
    m_settings.policies = loaded->policies;
    m_settings.notReadyAfter = loaded->notReadyAfter;
    m_fleet->addSeeds();
    Base::log(Base::LogLevel::Info, Base::LogEvent::SettingsReloaded, {{"seeds", m_settings.seeds}});
}

int Daemon::run()
{
    m_loop.run();
    return m_exitCode;
}

// --- Events

void Daemon::handle(ThreadEvent event)
{
    auto *peer = std::get_if<Peer::Event>(&event);
    if (peer == nullptr) {
        handleRelay(std::move(std::get<Relay::Event>(event)));
        executePendingActions();
        return;
    }
    std::visit([this](const auto &entry) { handlePeer(entry); }, *peer);
    executePendingActions();
    const auto *received = std::get_if<Peer::MessagesReceived>(peer);
    if (received != nullptr && received->token != 0) {
        m_peers->markHandled(received->token);
    }
}

void Daemon::handlePeer(const Peer::MessagesReceived &received)
{
    const Base::Instant now = Base::now();
    const Peer::Process &from = received.from;
    if (m_endedProcesses.contains(from)) {
        m_messagesOfEnded += received.messages.size();
        Base::log(Base::LogLevel::Info, Base::LogEvent::PeerMessagesDropped,
                  {{"direction", "received"},
                   {"peer", from.name},
                   {"incarnation", fmt::format("{:x}", from.incarnation)},
                   {"messages", received.messages.size()}});
        return;
    }
    const Base::Activity activity("messages of a peer");
    for (const Peer::Message &message : received.messages) {
        std::visit(
            [&](const auto &entry) {
                if constexpr (requires { m_dispatcher.receive(now, from, entry); }) {
                    m_dispatcher.receive(now, from, entry);
                } else if constexpr (requires { m_home.receive(now, from, entry); }) {
                    m_home.receive(now, from, entry);
                } else if constexpr (requires { m_frontend->forwarder().receive(from, entry); }) {
                    m_frontend->forwarder().receive(from, entry);
                } else if constexpr (requires { m_follower->receive(now, from, entry); }) {
                    if (m_follower != nullptr) {
                        m_follower->receive(now, from, entry);
                    }
                } else if constexpr (requires { m_usage->receive(now, from, entry); }) {
                    if (m_usage != nullptr) {
                        m_usage->receive(now, from, entry);
                    }
                } else if constexpr (std::is_same_v<std::decay_t<decltype(entry)>, Peer::Gathered>) {
                    m_gatherer->receive(from, entry);
                } else if constexpr (std::is_same_v<std::decay_t<decltype(entry)>, Peer::Gather>) {
                    replyToGather(from, entry);
                } else {
                    m_fleet->receive(now, from, message);
                }
            },
            message);
    }
}

void Daemon::replyToGather(const Peer::Process &from, const Peer::Gather &gather)
{
    nlohmann::json rows = nlohmann::json::array();
    if (gather.statement == "revision") {
        rows.push_back({{"host", m_settings.name}, {"revision", m_fleet->revision()}});
    } else if (const auto query = Language::parseQuery(gather.statement); query.ok()) {
        rows = m_queries->local(*query, Base::now()).rows;
    }
    sendToMember(from, Peer::Gathered {gather.id, rows.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)});
}

void Daemon::handlePeer(const Peer::MessagesLost &lost)
{
    const std::string member = m_fleet->memberByAddress(lost.address);
    if (!member.empty()) {
        m_home.connectionLost(Base::now(), member);
        m_frontend->forwarder().connectionLost(member);
    }
}

void Daemon::handlePeer(const Peer::ProcessReplaced &replaced)
{
    m_messagesForEnded += replaced.messages;
    Base::log(Base::LogLevel::Info, Base::LogEvent::PeerMessagesDropped,
              {{"direction", "sent"},
               {"peer", replaced.ended.name},
               {"incarnation", fmt::format("{:x}", replaced.ended.incarnation)},
               {"current", fmt::format("{:x}", replaced.currentIncarnation)},
               {"messages", replaced.messages}});
    recordReplaced(replaced);
}

void Daemon::recordReplaced(const Peer::ProcessReplaced &replaced)
{
    if (m_endedProcesses.add(replaced.ended)) {
        Base::log(Base::LogLevel::Info, Base::LogEvent::ProcessReplaced,
                  {{"peer", replaced.ended.name},
                   {"incarnation", fmt::format("{:x}", replaced.ended.incarnation)},
                   {"current", fmt::format("{:x}", replaced.currentIncarnation)},
                   {"source", replaced.messages > 0 ? "connection" : "membership"}});
    }
    m_dispatcher.removeProcess(Base::now(), replaced.ended);
    executePendingActions();
}

void Daemon::handleRelay(Relay::Event event)
{
    struct Handler
    {
        Daemon &daemon;
        Frontend &frontend;
        Request::Home &home;
        UsageDuty<Platform::DutyClient> *usage;

        void operator()(const Relay::RunStarted &began) const
        {
            if (usage != nullptr) {
                usage->countStartedRequest(began.at, began.organisation);
            }
        }
        void operator()(const Relay::CallArrived &call) const
        {
            frontend.callArrived(call);
        }
        void operator()(const Relay::CallerDisconnected &left) const
        {
            frontend.callerDisconnected(left.id);
        }
        void operator()(const Relay::FirstTokenReceived &received) const
        {
            home.firstTokenReceived(Base::now(), received.id);
        }
        void operator()(const Relay::EndpointAdvertised &advertised) const
        {
            frontend.endpointAdvertised(advertised);
        }
        void operator()(Relay::RunEnded &over) const
        {
            frontend.runReported(std::move(over));
        }
        void operator()(const Relay::AdoptedResponse &answer) const
        {
            frontend.forwarder().sendAdoptedResponse(answer);
        }
        void operator()(const Relay::TunnelRequested &request) const
        {
            daemon.decideTunnel(request);
        }
    };
    std::visit(Handler {*this, *m_frontend, m_home, m_usage.get()}, event);
}

void Daemon::sendToMember(const Peer::Process &to, Peer::Message message)
{
    if (to.name == m_settings.name) {
        const Base::Instant now = Base::now();
        const Peer::Process self {m_settings.name, m_incarnation};
        std::visit(
            [&](const auto &entry) {
                if constexpr (requires { m_dispatcher.receive(now, self, entry); }) {
                    m_dispatcher.receive(now, self, entry);
                } else if constexpr (requires { m_home.receive(now, self, entry); }) {
                    m_home.receive(now, self, entry);
                }
            },
            message);
        return;
    }
    const std::string address = m_fleet->addressOf(to.name);
    if (!address.empty()) {
        m_peers->send({address, to.incarnation}, std::move(message));
    }
}

void Daemon::execute(Request::Action action)
{
    struct Handler
    {
        Daemon &daemon;

        void operator()(Request::SendToMember &send) const
        {
            daemon.sendToMember(send.member, std::move(send.message));
        }
        void operator()(const Request::StartRun &run) const
        {
            daemon.m_frontend->startRun(run);
        }
        void operator()(const Request::CancelRun &cancel) const
        {
            daemon.m_frontend->cancelRun(cancel);
        }
        void operator()(const Request::Fail &fail) const
        {
            daemon.m_frontend->fail(fail);
        }
        void operator()(const Request::Finished &finished) const
        {
            daemon.m_frontend->finished(finished);
        }
    };
    std::visit(Handler {*this}, action);
}

void Daemon::executePendingActions()
{
    if (std::exchange(m_executingActions, true)) {
        return;
    }
    for (bool more = true; more;) {
        std::vector<Request::Action> actions = m_home.takeActions();
        std::vector<Dispatch::Reply> replies = m_dispatcher.takeReplies();
        more = !actions.empty() || !replies.empty();
        for (Request::Action &action : actions) {
            execute(std::move(action));
        }
        for (Dispatch::Reply &reply : replies) {
            sendToMember(reply.home, std::move(reply.message));
        }
    }
    m_executingActions = false;
}

void Daemon::fleetChanged()
{
    const Base::Instant now = Base::now();
    const auto shards = m_fleet->shards();
    m_dispatcher.update(now, *shards, m_fleet->catalogue());
    m_home.updateView(now, m_fleet->catalogue(), shards, m_fleet->present());
    m_frontend->forwarder().membersChanged();
    updateTunnelHelpers();
    updateDuties();
    executePendingActions();
}

void Daemon::updateTunnelHelpers()
{
    if (m_settings.tunnelPort == 0) {
        return;
    }
    std::vector<Relay::TunnelHelper> helpers = chooseTunnelHelpers(m_fleet->present(), m_fleet->catalogue()->parts().regions,
                                                                   {m_settings.name, m_settings.tunnelPort});
    if (helpers != m_tunnelHelpers) {
        m_tunnelHelpers = helpers;
        m_relay->command(Relay::SetHelpers {std::move(helpers)});
    }
}

void Daemon::decideTunnel(const Relay::TunnelRequested &request)
{
    const auto target = Base::parseAddress(request.target);
    const auto &endpoints = m_fleet->catalogue()->endpoints();
    const bool allowed
        = target.ok() && std::ranges::find(endpoints, *target, &Configuration::Endpoint::address) != endpoints.end();
    if (!allowed) {
        Base::log(Base::LogLevel::Warning, Base::LogEvent::TunnelRefused, {{"target", request.target}});
    }
    m_relay->command(Relay::AllowTunnel {request.tunnel, allowed});
}

void Daemon::updateDuties()
{
    if (m_usage != nullptr) {
        m_usage->setMembers(m_fleet->present());
    }
    if (m_scaling != nullptr) {
        m_scaling->setMembers(m_fleet->present());
        m_scaling->setPools(Scaling::scaledPools(*m_fleet->catalogue()));
    }
}

void Daemon::tick()
{
    const Base::Instant now = Base::now();
    m_fleet->tick(now);
    if (now >= m_nextSettingsCheck) {
        m_nextSettingsCheck = now + settingsCheckPeriod;
        if (m_settingsFile.hasChanged()) {
            reloadSettings();
        }
    }
    if (m_follower != nullptr) {
        m_follower->tick(now);
    }
    if (m_usage != nullptr) {
        m_usage->tick(now);
    }
    if (m_scaling != nullptr) {
        m_scaling->tick(now, [this, now] { return m_usage->isIdle(now); });
    }
    m_dispatcher.tick(now);
    const bool followsStore = m_follower == nullptr || m_follower->reason().has_value();
    m_home.setListInDoubt(followsStore && !m_fleet->storeResponds());
    m_home.tick(now);
    m_frontend->tick(now);
    m_gatherer->tick(now);
    m_operatorServer->tick(now);
    executePendingActions();
    const bool ready = readiness().ok();
    if (ready != m_wasReady) {
        m_wasReady = ready;
        Base::log(Base::LogLevel::Info, Base::LogEvent::ReadinessChanged,
                  {{"ready", ready}, {"reason", Base::messageOf(readiness())}});
    }
    if (m_stopStage != StopStage::None) {
        advanceStop(now);
    }
}

// --- Planned stop

void Daemon::requestStop()
{
    if (m_stopStage != StopStage::None) {
        finishStop(false);
        return;
    }
    m_stopStage = StopStage::AwaitingBalancer;
    m_stopBegan = Base::now();
    m_relay->closeAfterResponses();
    if (m_settings.stopLimit > Base::Duration::zero()) {
        const Base::Instant end = m_stopBegan + m_settings.stopLimit - responseFlushTime;
        m_frontend->limitAdmission(m_stopBegan + m_settings.balancerLag, end);
        m_home.limitRuns(m_stopBegan, end, stoppingError());
    }
    Base::log(Base::LogLevel::Info, Base::LogEvent::StopRequested, {{"open", m_frontend->open()}});
    m_fleet->leave();
    executePendingActions();
}

void Daemon::advanceStop(Base::Instant now)
{
    if (m_stopStage == StopStage::AwaitingBalancer && now - m_stopBegan >= m_settings.balancerLag) {
        m_stopStage = StopStage::Draining;
        m_relay->closeListener();
    }
    // After a run has ended, a part of its response may still be unsent because of a slow caller, a slow link or a busy host.
    const bool sent = m_relay->counters().open == 0 && m_relay->counters().unsent == 0;
    const bool idle = m_frontend->open() == 0 && m_home.active() == 0 && sent && m_relay->counters().tunnels == 0;
    const bool recorded = m_frontend->unrecorded() == 0 || !m_fleet->storeResponds();
    if (!idle) {
        m_idleSince = now;
    }
    if (m_stopStage == StopStage::Draining && recorded && now - m_idleSince >= responseFlushTime) {
        finishStop(true);
        return;
    }
    const bool limited = m_settings.stopLimit > Base::Duration::zero();
    if (limited && now - m_stopBegan >= m_settings.stopLimit - responseFlushTime) {
        m_home.failWaiting(now, stoppingError());
        executePendingActions();
    }
    if (limited && now - m_stopBegan >= m_settings.stopLimit) {
        finishStop(false);
    }
}

void Daemon::finishStop(bool drained)
{
    if (m_stopStage == StopStage::Over) {
        return;
    }
    m_stopStage = StopStage::Over;
    m_exitCode = drained ? 0 : exitNotDrained;
    if (!drained) {
        for (const Request::RequestView &view : m_home.requests(Base::now())) {
            Base::log(Base::LogLevel::Warning, Base::LogEvent::RequestAbandoned,
                      {{"request", m_frontend->requestName(view.id)}, {"state", view.state}});
        }
    }
    Base::log(Base::LogLevel::Info, Base::LogEvent::Stopped,
              {{"drained", drained}, {"seconds", Base::seconds(Base::now() - m_stopBegan)}});
    m_loop.stop();
}

absl::Status Daemon::readiness() const
{
    if (m_stopStage != StopStage::None) {
        return makeError(Base::ErrorKind::Stopping, "a planned stop is in progress");
    }
    return m_fleet->readiness(Base::now());
}

// --- Information for operators

Base::Duration Daemon::ownProcessorTime() const
{
    timespec used {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return Base::Duration(used.tv_sec * 1'000'000 + used.tv_nsec / 1'000);
}

void Daemon::updateRecordMetrics()
{
    m_metrics.set("yokepond_name_collisions", "", static_cast<double>(m_fleet->nameCollisions()));
    m_metrics.set("yokepond_records_differ_seconds", "", Base::seconds(m_fleet->recordsDifferFor(Base::now())));
    m_metrics.set("yokepond_runs_outside_pool_total", "", static_cast<double>(m_frontend->runsOutsidePool()));
    const UnusableRecords &unusable = m_fleet->unusableRecords();
    for (const auto &[kind, name] : Configuration::recordKindNames) {
        m_metrics.set("yokepond_unusable_records", fmt::format("kind=\"{}\"", name), static_cast<double>(unusable.count(kind)));
    }
    for (const auto &[fault, rows] : unusable.rows()) {
        const std::string labels
            = fmt::format("kind=\"{}\",reason=\"{}\"", Base::nameOf(Configuration::recordKindNames, fault.first),
                          Base::nameOf(Configuration::recordFaultNames, fault.second));
        m_metrics.set("yokepond_odd_rows_total", labels, static_cast<double>(rows));
    }
}

void Daemon::updateDispatcherMetrics()
{
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t held = 0;
    std::size_t onHold = 0;
    std::size_t streamEngines = 0;
    for (const auto &[id, shard] : m_dispatcher.shards()) {
        granted += shard.counters().granted;
        refused += shard.counters().refused;
        held += shard.counters().held;
        onHold += shard.held();
        streamEngines += shard.streamEngines();
    }
    m_metrics.set("yokepond_asks_granted", "", static_cast<double>(granted));
    m_metrics.set("yokepond_asks_refused", "", static_cast<double>(refused));
    m_metrics.set("yokepond_asks_held", "", static_cast<double>(held));
    m_metrics.set("yokepond_asks_on_hold", "", static_cast<double>(onHold));
    m_metrics.set("yokepond_stream_engines", "", static_cast<double>(streamEngines));
}

std::string Daemon::metricsText()
{
    const auto label = [](std::string_view name, std::string_view value) { return fmt::format("{}=\"{}\"", name, value); };
    m_metrics.set("yokepond_processor_seconds_total", label("role", "decisions"), Base::seconds(ownProcessorTime()));
    m_metrics.set("yokepond_processor_seconds_total", label("role", "peers"), Base::seconds(m_peers->processorTime()));
    m_metrics.set("yokepond_processor_seconds_total", label("role", "data"),
                  static_cast<double>(m_relay->counters().processorMicroseconds) / 1e6);
    m_metrics.set("yokepond_peer_bytes_total", label("direction", "sent"), static_cast<double>(m_peers->counters().bytesSent));
    m_metrics.set("yokepond_peer_bytes_total", label("direction", "received"),
                  static_cast<double>(m_peers->counters().bytesReceived));
    m_metrics.set("yokepond_peer_messages_dropped_total", label("direction", "sent"), static_cast<double>(m_messagesForEnded));
    m_metrics.set("yokepond_peer_messages_dropped_total", label("direction", "received"), static_cast<double>(m_messagesOfEnded));
    m_metrics.set("yokepond_peer_frames_total", label("direction", "sent"), static_cast<double>(m_peers->counters().framesSent));
    for (const auto &[kind, name] : Peer::trafficNames) {
        m_metrics.set("yokepond_peer_messages_sent_total", label("kind", name),
                      static_cast<double>(m_peers->sentMessages().at(static_cast<std::size_t>(kind))));
        m_metrics.set("yokepond_peer_payload_bytes_sent_total", label("kind", name),
                      static_cast<double>(m_peers->sentBytes().at(static_cast<std::size_t>(kind))));
    }
    const Platform::TableCounters &table = m_fleet->table().counters();
    m_metrics.set("yokepond_store_requests_total", label("kind", "read"), static_cast<double>(table.reads));
    m_metrics.set("yokepond_store_requests_total", label("kind", "write"), static_cast<double>(table.writes));
    m_metrics.set("yokepond_store_requests_total", label("kind", "failed"), static_cast<double>(table.failures));
    m_metrics.set("yokepond_events_relayed_total", "", static_cast<double>(m_relay->counters().events));
    m_metrics.set("yokepond_runs_total", "", static_cast<double>(m_relay->counters().runs));
    m_metrics.set("yokepond_streams_resumed_total", "", static_cast<double>(m_relay->counters().resumes));
    m_metrics.set("yokepond_open_calls", "", static_cast<double>(m_relay->counters().open));
    m_metrics.set("yokepond_idle_connections_closed_total", "", static_cast<double>(m_relay->counters().idleClosed));
    m_metrics.set("yokepond_connections_turned_away_total", "", static_cast<double>(m_relay->counters().turnedAway));
    m_metrics.set("yokepond_body_bytes", "", static_cast<double>(m_relay->counters().bodyBytes));
    m_metrics.set("yokepond_bodies_refused_total", "", static_cast<double>(m_relay->counters().bodiesRefused));
    m_metrics.set("yokepond_bodies_cut_total", "", static_cast<double>(m_relay->counters().bodiesCut));
    m_metrics.set("yokepond_held_bytes", "", static_cast<double>(m_relay->counters().heldBytes));
    m_metrics.set("yokepond_tunnels", "", static_cast<double>(m_relay->counters().tunnels));
    m_metrics.set("yokepond_tunnels_opened_total", "", static_cast<double>(m_relay->counters().tunnelsOpened));
    m_metrics.set("yokepond_tunnelled_runs_total", "", static_cast<double>(m_relay->counters().paths.tunnelled));
    m_metrics.set("yokepond_lost_paths", "", static_cast<double>(m_relay->counters().paths.lostPaths));
    m_metrics.set("yokepond_path_probes_total", "", static_cast<double>(m_relay->counters().paths.probes));
    m_metrics.set("yokepond_streams_paused", "", static_cast<double>(m_relay->counters().pausedStreams));
    m_metrics.set("yokepond_callers_cut_total", label("reason", Base::nameOf(Relay::cutReasonNames, Relay::CutReason::Unread)),
                  static_cast<double>(m_relay->counters().cutUnread));
    m_metrics.set("yokepond_callers_cut_total", label("reason", Base::nameOf(Relay::cutReasonNames, Relay::CutReason::Memory)),
                  static_cast<double>(m_relay->counters().cutForMemory));
    for (const auto &[limit, name] : Request::responseLimitNames) {
        if (limit != Request::ResponseLimit::None) {
            m_metrics.set("yokepond_responses_over_limit_total", label("limit", name),
                          static_cast<double>(m_relay->counters().overLimit.at(static_cast<std::size_t>(limit))));
        }
    }
    for (const auto &[fault, name] : Http::responseFaultNames) {
        if (fault != Http::ResponseFault::None) {
            m_metrics.set("yokepond_responses_malformed_total", label("reason", name),
                          static_cast<double>(m_relay->counters().malformed.at(static_cast<std::size_t>(fault))));
        }
    }
    m_metrics.set("yokepond_retries_total", "", static_cast<double>(m_home.counters().retried));
    updateDispatcherMetrics();
    m_metrics.set("yokepond_local_runs_total", "", static_cast<double>(m_home.counters().localRuns));
    m_metrics.set("yokepond_stale_grants_total", "", static_cast<double>(m_home.counters().staleGrants));
    m_metrics.set("yokepond_returned_grants_total", "", static_cast<double>(m_home.counters().returnedGrants));
    m_metrics.set("yokepond_runs_turned_away_total", "", static_cast<double>(m_home.counters().rejectedRuns));
    m_metrics.set("yokepond_runs_at_closed_endpoints_total", "", static_cast<double>(m_home.counters().sentToUnavailable));
    const Request::QuarantineCounters &quarantine = m_home.crashProtection().quarantine().counters();
    m_metrics.set("yokepond_runs_suspected_total", "", static_cast<double>(quarantine.suspected));
    m_metrics.set("yokepond_work_held_total", "", static_cast<double>(quarantine.quarantined));
    m_metrics.set("yokepond_work_cleared_total", "", static_cast<double>(quarantine.cleared));
    const Request::PartSuspicionCounters &parts = m_home.crashProtection().partCounters();
    m_metrics.set("yokepond_part_runs_suspected_total", "", static_cast<double>(parts.reported));
    m_metrics.set("yokepond_part_inquiries_total", "", static_cast<double>(parts.inquiries));
    m_metrics.set("yokepond_parts_blamed_total", "", static_cast<double>(parts.blamed));
    const Request::StreamOriginCounters &streams = m_home.streamOrigins().counters();
    m_metrics.set("yokepond_stream_origins_recorded_total", "", static_cast<double>(streams.recorded));
    m_metrics.set("yokepond_stream_origins_kept", "", static_cast<double>(m_home.streamOrigins().kept()));
    m_metrics.set("yokepond_stream_origins_dropped_total", "", static_cast<double>(streams.dropped));
    m_metrics.set("yokepond_stream_lookups_total", label("result", "found"),
                  static_cast<double>(streams.lookedUp - streams.unknown));
    m_metrics.set("yokepond_stream_lookups_total", label("result", "unknown"), static_cast<double>(streams.unknown));
    if (m_usage != nullptr) {
        const UsageView usage = m_usage->view(Base::now());
        m_metrics.set("yokepond_usage_reports_total", label("result", "accepted"), static_cast<double>(usage.reports));
        m_metrics.set("yokepond_usage_reports_total", label("result", "failed"), static_cast<double>(usage.failures));
        m_metrics.set("yokepond_duty_held", label("duty", "usage"), usage.reporter.holder ? 1.0 : 0.0);
    }
    if (m_scaling != nullptr) {
        const ScalingView scaling = m_scaling->view(Base::now());
        m_metrics.set("yokepond_orders_total", label("result", "accepted"), static_cast<double>(scaling.accepted));
        m_metrics.set("yokepond_orders_total", label("result", "failed"), static_cast<double>(scaling.failures));
        m_metrics.set("yokepond_duty_held", label("duty", "scaling"), scaling.scaler.holder ? 1.0 : 0.0);
    }
    updateRecordMetrics();
    m_metrics.set("yokepond_configuration_revision", "", static_cast<double>(m_fleet->revision()));
    m_metrics.set("yokepond_invariant_violations_total", "", static_cast<double>(Base::invariantViolations()));
    return m_metrics.text();
}

nlohmann::json Daemon::dump() const
{
    const Base::Instant now = Base::now();
    const auto rows = [&](Language::Subject subject) {
        nlohmann::json list = m_queries->local(Language::Show {.subject = subject}, now).rows;
        if (list.size() > maxDumpedRows) {
            list.erase(list.begin() + maxDumpedRows, list.end());
        }
        return list;
    };
    const Request::HomeCounters &home = m_home.counters();
    nlohmann::json helperAddresses = nlohmann::json::array();
    for (const Relay::TunnelHelper &helper : m_tunnelHelpers) {
        helperAddresses.push_back(helper.address);
    }
    const std::optional<FollowReason> followReason = m_follower == nullptr ? std::nullopt : m_follower->reason();
    return {{"host", m_settings.name},
            {"incarnation", fmt::format("{:x}", m_incarnation)},
            {"data-centre", m_settings.dataCentre},
            {"up-seconds", Base::seconds(now - m_started)},
            {"ready", readiness().ok()},
            {"stopping", m_stopStage != StopStage::None},
            {"revision", m_fleet->revision()},
            {"store-answers", m_fleet->storeResponds()},
            {"follows-store", followReason ? Base::nameOf(followReasonNames, *followReason) : "no"},
            {"configuration-version", m_fleet->activeConfiguration().version},
            {"configuration-from", m_fleet->activeConfiguration().from},
            {"endpoints-version", m_fleet->recordRevisions().endpoints},
            {"configuration-hash", Base::hexadecimal(m_fleet->recordHashes().configuration)},
            {"endpoints-hash", Base::hexadecimal(m_fleet->recordHashes().endpoints)},
            {"members", rows(Language::Subject::Hosts)},
            {"shards", rows(Language::Subject::Dispatchers)},
            {"duties", rows(Language::Subject::Duties)},
            {"quarantine", rows(Language::Subject::Quarantine)},
            {"endpoints", rows(Language::Subject::Endpoints)},
            {"requests", rows(Language::Subject::Requests)},
            {"settings",
             {{"caller", m_settings.callerListen.text()},
              {"operator", m_settings.operatorListen.text()},
              {"peer", m_settings.peerListen.text()},
              {"platform", m_settings.platform.text()},
              {"body-bytes", m_settings.callerLimits.bodyBytes},
              {"body-memory-bytes", m_settings.callerLimits.bodyMemoryBytes},
              {"connections", m_settings.callerLimits.connections}}},
            {"home",
             {{"active", m_home.active()},
              {"arrived", home.arrived},
              {"completed", home.completed},
              {"failed", home.failed},
              {"retried", home.retried},
              {"local-runs", home.localRuns},
              {"stale-grants", home.staleGrants}}},
            {"operations",
             {{"known", m_frontend->operations().count()},
              {"held-bytes", m_frontend->operations().responseBytes()},
              {"unrecorded", m_frontend->unrecorded()}}},
            {"open-calls", m_relay->counters().open.load()},
            {"held-body-bytes", m_relay->counters().bodyBytes.load()},
            {"lost-paths", m_relay->counters().paths.lostPaths.load()},
            {"tunnels", m_relay->counters().tunnels.load()},
            {"tunnel-helpers", helperAddresses},
            {"invariant-violations", Base::invariantViolations()}};
}

} // namespace Yokepond::Node
