// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The daemon: one loop that owns all decisions, and the edges around it.

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
#include "Relay/relay.h"
#include "Request/home.h"
#include "platform/dutyclient.h"
#include "platform/rowsclient.h"

#include <memory>
#include <variant>

namespace Yokepond::Node {

class Daemon
{
public:
    /// @p file is read again when it changes.
    Daemon(Settings settings, SettingsFile file);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Opens the listeners. Fails with ErrorKind::InvalidSettings.
    absl::Status start();

    /// Runs until a planned stop has ended; returns the process's exit code.
    int run();

private:
    using EdgeEvent = std::variant<Peer::Event, Relay::Event>;

    /// Stages of a planned stop, in order.
    enum class StopStage { None, AwaitingBalancer, Draining, Over };

    absl::StatusOr<std::unique_ptr<Relay::Relay>> startRelay();
    void startFollowing();
    void startDuties();
    void reloadSettings();
    void handle(EdgeEvent event);
    void handlePeer(const Peer::MessagesReceived &received);
    void handlePeer(const Peer::MessagesLost &lost);
    void handleRelay(Relay::Event event);
    void replyToGather(const std::string &from, const Peer::Gather &gather);
    void sendToMember(const std::string &member, Peer::Message message);
    void execute(Request::Action action);
    void executePendingActions();
    void fleetChanged();
    void updateDuties();
    void tick();
    void requestStop();
    void advanceStop(Base::Instant now);
    void finishStop(bool drained);
    absl::Status readiness() const;
    std::string metricsText();
    nlohmann::json dump() const;
    Base::Duration ownProcessorTime() const;

    Settings m_settings;
    SettingsFile m_settingsFile;
    Base::Instant m_nextSettingsCheck {};
    std::uint64_t m_incarnation;
    Base::Loop m_loop;
    Http::Client m_client;
    std::unique_ptr<Base::Mailbox<EdgeEvent>> m_mailbox;
    std::unique_ptr<Peer::Edge> m_peers;
    std::unique_ptr<Relay::Relay> m_relay;
    Metrics m_metrics;
    Dispatch::Dispatcher m_dispatcher;
    Request::Home m_home;
    std::unique_ptr<Fleet> m_fleet;
    std::unique_ptr<Platform::RowsClient> m_rows;
    std::unique_ptr<StoreFollower<Platform::RowsClient>> m_follower; ///< only where the platform keeps records
    std::unique_ptr<Platform::DutyClient> m_dutyClient;
    std::unique_ptr<UsageDuty<Platform::DutyClient>> m_usage; ///< only where the platform wants usage reported
    std::unique_ptr<ScalingDuty<Platform::DutyClient>> m_scaling; ///< only where endpoints are ordered
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
