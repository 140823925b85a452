// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/log.h"

#include "Base/logwriter.h"
#include "Base/time.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <unistd.h>

#include <cstdio>
#include <memory>

namespace Yokepond::Base {

namespace {

constexpr NameTable<LogEvent, 67> eventNames = {{
    {LogEvent::Started, "started"},
    {LogEvent::Listening, "listening"},
    {LogEvent::StopRequested, "stop-requested"},
    {LogEvent::Stopped, "stopped"},
    {LogEvent::SettingsRejected, "settings-rejected"},
    {LogEvent::SettingsReloaded, "settings-reloaded"},
    {LogEvent::EdgeFailed, "edge-failed"},
    {LogEvent::RequestEnded, "request-ended"},
    {LogEvent::AskRefused, "ask-refused"},
    {LogEvent::PermitExpired, "permit-expired"},
    {LogEvent::LinesDropped, "lines-left-out"},
    {LogEvent::RequestAbandoned, "request-abandoned"},
    {LogEvent::SlowCallerCut, "slow-caller-cut"},
    {LogEvent::ResponseOverLimit, "response-over-limit"},
    {LogEvent::ResponseMalformed, "response-malformed"},
    {LogEvent::ConnectionsOverLimit, "connections-over-limit"},
    {LogEvent::BodiesOverBound, "bodies-over-bound"},
    {LogEvent::PathLost, "path-lost"},
    {LogEvent::PathRecovered, "path-back"},
    {LogEvent::TunnelRefused, "tunnel-refused"},
    {LogEvent::EndpointEjected, "endpoint-ejected"},
    {LogEvent::EndpointReplaced, "endpoint-gone"},
    {LogEvent::EndpointReturned, "endpoint-returned"},
    {LogEvent::EndpointCold, "endpoint-cold"},
    {LogEvent::EndpointRate, "endpoint-rate"},
    {LogEvent::RateUnreadable, "rate-unreadable"},
    {LogEvent::EndpointLeaving, "endpoint-leaves"},
    {LogEvent::EndpointCooldown, "endpoint-rests"},
    {LogEvent::AvailabilityUnreadable, "availability-unreadable"},
    {LogEvent::PrefillSpeedLearned, "reading-speed-learned"},
    {LogEvent::LongestPauseLearned, "longest-pause-learned"},
    {LogEvent::StreamEnginesChanged, "stream-engines-changed"},
    {LogEvent::MemberChanged, "member-changed"},
    {LogEvent::PeerConnected, "peer-connected"},
    {LogEvent::PeerLost, "peer-lost"},
    {LogEvent::PeerMessagesDropped, "peer-messages-dropped"},
    {LogEvent::ProcessReplaced, "process-replaced"},
    {LogEvent::ConfigurationApplied, "configuration-applied"},
    {LogEvent::ConfigurationIgnored, "configuration-ignored"},
    {LogEvent::RecordRejected, "record-rejected"},
    {LogEvent::NamesCollide, "names-collide"},
    {LogEvent::RecordsDiffer, "records-differ"},
    {LogEvent::RecordsAgree, "records-agree"},
    {LogEvent::RunOutsidePool, "run-outside-pool"},
    {LogEvent::ChangesSent, "changes-sent"},
    {LogEvent::ChangesReceived, "changes-received"},
    {LogEvent::StoreLost, "store-lost"},
    {LogEvent::StoreRecovered, "store-back"},
    {LogEvent::FollowsStore, "follows-store"},
    {LogEvent::FollowDelegated, "follow-delegated"},
    {LogEvent::ReadinessChanged, "readiness-changed"},
    {LogEvent::WorkQuarantined, "work-held"},
    {LogEvent::WorkCleared, "work-cleared"},
    {LogEvent::PartsSuspected, "parts-suspected"},
    {LogEvent::LeaseTaken, "lease-taken"},
    {LogEvent::LeaseLost, "lease-lost"},
    {LogEvent::UsageReported, "usage-reported"},
    {LogEvent::UsageReportFailed, "usage-report-failed"},
    {LogEvent::DutyRowUnreadable, "duty-row-unreadable"},
    {LogEvent::ClockCorrected, "clock-corrected"},
    {LogEvent::EndpointsOrdered, "endpoints-ordered"},
    {LogEvent::StatementAccepted, "statement-accepted"},
    {LogEvent::StatementRejected, "statement-rejected"},
    {LogEvent::InvariantViolated, "invariant-violated"},
    {LogEvent::Dump, "dump"},
    {LogEvent::Run, "run"},
    {LogEvent::FaultSet, "fault-set"},
}};

struct LogSettings
{
    LogLevel minLevel = LogLevel::Info;
    std::string host;
};

LogSettings &logSettings()
{
    static LogSettings settings;
    return settings;
}

std::unique_ptr<LogWriter> &logWriter()
{
    static std::unique_ptr<LogWriter> writer;
    return writer;
}

std::string utcTime()
{
    const std::int64_t micros = wallMicroseconds();
    const std::time_t whole = micros / 1'000'000;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z", fmt::gmtime(whole), micros % 1'000'000);
}

} // namespace

std::string_view eventName(LogEvent event)
{
    return nameOf(eventNames, event);
}

void configureLog(LogLevel minLevel, std::string host)
{
    logSettings() = {minLevel, std::move(host)};
}

void log(LogLevel level, LogEvent event, nlohmann::json fields)
{
    if (level < logSettings().minLevel) {
        return;
    }
    fields["time"] = utcTime();
    fields["level"] = nameOf(logLevelNames, level);
    fields["event"] = eventName(event);
    if (!logSettings().host.empty()) {
        fields["host"] = logSettings().host;
    }
    const std::string line = fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
    if (logWriter() == nullptr) {
        // Each line is one write, so that the lines of different threads are not mixed.
        std::fwrite(line.data(), 1, line.size(), stderr);
        return;
    }
    if (const std::uint64_t dropped = logWriter()->append(line); dropped > 0) {
        log(LogLevel::Warning, LogEvent::LinesDropped, {{"lines", dropped}});
    }
}

void startLogWriter()
{
    logWriter() = std::make_unique<LogWriter>(STDOUT_FILENO);
}

void endLogWriter()
{
    logWriter().reset();
}

} // namespace Yokepond::Base
