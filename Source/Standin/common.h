// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Helpers that the stand-ins share: common command-line options, JSON responses, run logs and the main program.
/// A stand-in is a small HTTP server for tests. It replaces an endpoint (a model engine or a plain service), or the platform that
/// provides the table service and the list of hosts. A run is one execution of a request at an endpoint.

#pragma once

#include "Base/loop.h"
#include "Base/program.h"
#include "Base/text.h"
#include "Http/server.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Yokepond::Standin {

/// Options that all stand-ins accept.
struct CommonOptions
{
    std::string name;
    Base::Address listen;
    std::uint64_t seed = 1; ///< seed of the random generator
    double speed = 1; ///< divisor of the durations of engine steps and of the service latency
    std::string runLogFile; ///< file to which a JSON line is appended for each started run; empty disables it
};

/// Adds the options of CommonOptions to @p descriptions.
void addCommonOptions(Base::OptionDescriptions &descriptions);

/// Returns the common options in @p values. Fails with ErrorKind::InvalidValue if the address is malformed or the speed is not
/// positive.
absl::StatusOr<CommonOptions> commonOptions(const Base::OptionMap &values);

/// Responds with @p body as JSON and with @p extraHeaders.
void respondJson(const std::shared_ptr<Http::Exchange> &exchange, int status, const nlohmann::json &body,
                 Http::Headers extraHeaders = {});

/// Responds with the JSON object `{"error":{"message":MESSAGE}}`.
void respondError(const std::shared_ptr<Http::Exchange> &exchange, int status, const std::string &message,
                  Http::Headers extraHeaders = {});

/// One run, as listed by GET /runs.
struct RunRecord
{
    std::string key; ///< value of the idempotency-key header
    std::string requestId; ///< value of the yokepond-request header
    std::string path;
    std::string state; ///< running (also while queued); cancelled after a disconnect, even if resumed later; completed
};

/// Records all runs since the start of the process, in order. If a log file is set, each start is also appended to it as a JSON
/// line.
class RunLog
{
public:
    explicit RunLog(const std::string &file);

    /// Adds a started run and returns its index for setState().
    std::size_t recordStart(RunRecord record);
    void setState(std::size_t index, const std::string &state);
    nlohmann::json toJson() const;

private:
    std::ofstream m_file;
    std::vector<RunRecord> m_runs;
};

/// Returns the JSON object in the body of a POST /faults. If the body is no object, responds with status 400 and returns nothing.
/// If the object contains `"crash": true`, ends the process at once without cleanup.
std::optional<nlohmann::json> readFaultsOrCrash(const std::shared_ptr<Http::Exchange> &exchange);

/// Runs the loop until SIGTERM and returns the exit code.
int runUntilStopped(Base::Loop &loop);

/// Prints @p error to standard error and returns the exit code of a failure.
int reportError(const std::string &program, const absl::Status &error);

/// Runs a stand-in until SIGTERM and returns the exit code of the process. Parses the command line, constructs
/// Behaviour(loop, makeOptions(values, common options)) and passes each HTTP request to its handle(exchange).
template<typename Behaviour, typename MakeOptions>
int runStandin(const Base::ProgramInfo &info, const Base::OptionDescriptions &descriptions, int argc, const char *const *argv,
               MakeOptions makeOptions)
{
    constexpr Http::ServerLimits limits {.connections = 20'000, .bodyBytes = 64U << 20U};
    Base::OptionMap values;
    if (const auto code = Base::parseCommandLine(info, argc, argv, descriptions, {}, values)) {
        return *code;
    }
    const auto common = commonOptions(values);
    if (!common.ok()) {
        return reportError(info.name, common.status());
    }
    Base::Loop loop;
    Behaviour behaviour(loop, makeOptions(values, *common));
    const auto server = Http::Server::listen(
        loop, common->listen, limits,
        [&behaviour](const std::shared_ptr<Http::Exchange> &exchange) { behaviour.handle(exchange); },
        [](const absl::Status &error) { return Base::messageOf(error); }); // response body for malformed requests
    if (!server.ok()) {
        return reportError(info.name, server.status());
    }
    return runUntilStopped(loop);
}

} // namespace Yokepond::Standin
