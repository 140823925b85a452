// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Structured logging: one JSON object a line, on standard error or through a writer of its own.

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

/// What happened; the name stands in the line's `event` field and is stable across releases.
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
    EndpointEjected,
    EndpointReplaced,
    EndpointReturned,
    EndpointRate,
    RateUnreadable,
    EndpointLeaving,
    EndpointCooldown,
    AvailabilityUnreadable,
    PrefillSpeedLearned,
    LongestPauseLearned,
    MemberChanged,
    PeerConnected,
    PeerLost,
    ConfigurationApplied,
    ConfigurationIgnored,
    RecordRejected,
    ChangesSent,
    ChangesReceived,
    StoreLost,
    StoreRecovered,
    FollowsStore,
    FollowDelegated,
    ReadinessChanged,
    WorkQuarantined,
    WorkCleared,
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

/// The stable name of @p event.
std::string_view eventName(LogEvent event);

/// Sets the least level that is written and the host name put on every line. Call before threads start.
void configureLog(LogLevel least, std::string host);

/// From now on lines go to standard output, through a thread of their own that holds up nobody, until endLogWriter(). Call
/// once, before other threads start.
void startLogWriter();

/// Writes what waits; later lines go to standard error again. Call when the other threads have ended.
void endLogWriter();

/// Writes one line with @p fields (a JSON object) added to time, level, host and event. Callable from any thread.
void log(LogLevel level, LogEvent event, nlohmann::json fields = nlohmann::json::object());

} // namespace Yokepond::Base
