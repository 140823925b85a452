// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Structured logging: each line is a JSON object, written to standard error or by a LogWriter.

#pragma once

#include "Base/names.h"

#include <nlohmann/json.hpp>

#include <string>

namespace Yokepond::Base {

enum class LogLevel { Debug, Info, Warning, Error };

inline constexpr NameTable<LogLevel, 4> logLevelNames = {{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

/// Kinds of log lines. The name of the event is in the line's `event` field and is stable across releases.
enum class LogEvent {
    Started,
    Listening,
    StopRequested,
    Stopped,
    SettingsRejected,
    SettingsReloaded,
    EdgeFailed,
    RequestEnded,
    AskRefused,
    PermitExpired,
    LinesDropped,
    RequestAbandoned,
    SlowCallerCut,
    ResponseOverLimit,
    ResponseMalformed,
    ConnectionsOverLimit,
    BodiesOverBound,
    PathLost,
    PathRecovered,
    TunnelRefused,
    EndpointEjected,
    EndpointReplaced,
    EndpointReturned,
    EndpointCold,
    EndpointRate,
    RateUnreadable,
    EndpointLeaving,
    EndpointCooldown,
    AvailabilityUnreadable,
    PrefillSpeedLearned,
    LongestPauseLearned,
    StreamEnginesChanged,
    MemberChanged,
    PeerConnected,
    PeerLost,
    PeerMessagesDropped,
    ProcessReplaced,
    ConfigurationApplied,
    ConfigurationIgnored,
    RecordRejected,
    NamesCollide,
    RecordsDiffer,
    RecordsAgree,
    RunOutsidePool,
    ChangesSent,
    ChangesReceived,
    StoreLost,
    StoreRecovered,
    FollowsStore,
    FollowDelegated,
    ReadinessChanged,
    WorkQuarantined,
    WorkCleared,
    PartsSuspected,
    LeaseTaken,
    LeaseLost,
    UsageReported,
    UsageReportFailed,
    DutyRowUnreadable,
    ClockCorrected,
    EndpointsOrdered,
    StatementAccepted,
    StatementRejected,
    InvariantViolated,
    Dump,
    Run,
    FaultSet,
};

/// Returns the stable name of @p event.
std::string_view eventName(LogEvent event);

/// Sets the lowest level that is written and the host name of all lines. Must be called before threads start.
void configureLog(LogLevel minLevel, std::string host);

/// Sends lines to standard output until endLogWriter() is called. A separate thread writes them, so that log() never blocks. Must
/// be called once, before other threads start.
void startLogWriter();

/// Writes the queued lines; later lines go to standard error again. Must be called after the other threads have ended.
void endLogWriter();

/// Writes one line with time, level, host, event and @p fields, a JSON object. Callable from any thread.
void log(LogLevel level, LogEvent event, nlohmann::json fields = nlohmann::json::object());

} // namespace Yokepond::Base
