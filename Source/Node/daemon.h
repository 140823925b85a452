// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The daemon: one event loop that makes all decisions, and the threads that exchange data with callers, endpoints and other
/// hosts.

#pragma once

#include "Base/loop.h"
#include "Base/mailbox.h"
#include "Dispatch/dispatcher.h"
#include "Http/client.h"
#include "Node/fleet.h"
#include "Node/frontend.h"
#include "Node/metrics.h"
#include "Node/operatorserver.h"
#include "Node/queries.h"
#include "Node/scalingduty.h"
#include "Node/settings.h"
#include "Node/settingsfile.h"
#include "Node/storefollower.h"
#include "Node/usageduty.h"
#include "Peer/edge.h"
#include "Peer/endedprocesses.h"
#include "Relay/relay.h"
#include "Request/home.h"
#include "platform/dutyclient.h"
#include "platform/rowsclient.h"

#include <memory>
#include <variant>

namespace Yokepond::Node {

/// Creates and connects the components of one host, dispatches events to them, and runs the planned stop.
class Daemon
{
public:
    /// @p file is the file that @p settings come from; it is reloaded when it changes.
    Daemon(Settings settings, SettingsFile file);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Opens the listening sockets and starts all threads and timers. Fails with ErrorKind::InvalidSettings.
    absl::Status start();

    /// Runs the event loop until a planned stop has ended. Returns the exit code of the process.
    int run();

private:
    /// An event that another thread posts to the event loop.
    using ThreadEvent = std::variant<Peer::Event, Relay::Event>;

    /// Stages of a planned stop, in order. AwaitingBalancer: load balancers may still send new connections.
    enum class StopStage { None, AwaitingBalancer, Draining, Over };

    absl::StatusOr<std::unique_ptr<Relay::Relay>> startRelay();
    void startFollowing();
    void startDuties();
    void reloadSettings();
    void handle(ThreadEvent event);
    void handlePeer(const Peer::MessagesReceived &received);
    void handlePeer(const Peer::MessagesLost &lost);
    void handlePeer(const Peer::ProcessReplaced &replaced);
    /// Drops what a process that has ended left behind here.
    void recordReplaced(const Peer::ProcessReplaced &replaced);
    void handleRelay(Relay::Event event);
    void replyToGather(const Peer::Process &from, const Peer::Gather &gather);
    void sendToMember(const Peer::Process &to, Peer::Message message);
    void execute(Request::Action action);
    /// Executes the actions of the home and sends the replies of the dispatcher until neither has any left.
    void executePendingActions();
    /// Passes changed members, configuration and shards to the other components.
    void fleetChanged();
    /// Passes the hosts that accept tunnels to the relay if they have changed.
    void updateTunnelHelpers();
    /// Allows a tunnel for another host if its target is an endpoint of the configuration.
    void decideTunnel(const Relay::TunnelRequested &request);
    /// Passes the members and the scaled pools to the duties of usage and scaling.
    void updateDuties();
    void tick();
    /// Begins a planned stop; a second call ends it at once.
    void requestStop();
    /// Moves a planned stop to its next stage when that is due.
    void advanceStop(Base::Instant now);
    /// Ends the event loop. @p drained: no request was interrupted.
    void finishStop(bool drained);
    absl::Status readiness() const;
    void updateRecordMetrics();
    void updateDispatcherMetrics();
    std::string metricsText();
    nlohmann::json dump() const;
    /// Returns the processor time of the calling thread.
    Base::Duration ownProcessorTime() const;

    Settings m_settings;
    SettingsFile m_settingsFile;
    Base::Instant m_nextSettingsCheck {};
    std::uint64_t m_incarnation;
    Base::Loop m_loop;
    Http::Client m_client;
    std::unique_ptr<Base::Mailbox<ThreadEvent>> m_mailbox;
    std::unique_ptr<Peer::Edge> m_peers;
    Peer::EndedProcesses m_endedProcesses;
    std::uint64_t m_messagesForEnded = 0; ///< messages that were not sent, since their recipient had ended
    std::uint64_t m_messagesOfEnded = 0; ///< messages that were ignored, since their sender had ended
    std::unique_ptr<Relay::Relay> m_relay;
    std::vector<Relay::TunnelHelper> m_tunnelHelpers;
    Metrics m_metrics;
    Dispatch::Dispatcher m_dispatcher;
    Request::Home m_home;
    std::unique_ptr<Fleet> m_fleet;
    std::unique_ptr<Platform::RowsClient> m_rows;
    std::unique_ptr<StoreFollower<Platform::RowsClient>> m_follower; ///< null unless the platform keeps records
    std::unique_ptr<Platform::DutyClient> m_dutyClient;
    std::unique_ptr<UsageDuty<Platform::DutyClient>> m_usage; ///< null unless usage is reported to the platform
    std::unique_ptr<ScalingDuty<Platform::DutyClient>> m_scaling; ///< null unless endpoints are scaled
    std::unique_ptr<Frontend> m_frontend;
    std::unique_ptr<Queries> m_queries;
    std::unique_ptr<Gatherer> m_gatherer;
    std::unique_ptr<OperatorServer> m_operatorServer;
    std::unique_ptr<Base::Loop::Registration> m_timer;
    bool m_executingActions = false;
    bool m_wasReady = false;
    StopStage m_stopStage = StopStage::None;
    Base::Instant m_stopBegan {};
    Base::Instant m_idleSince {};
    Base::Instant m_started {};
    int m_exitCode = 0;
};

} // namespace Yokepond::Node
