// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What the stand-ins share: their command lines, answers and run logs.

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

/// Options every stand-in has.
struct CommonOptions
{
    std::string name;
    Base::Address listen;
    std::uint64_t seed = 1;
    double speed = 1; ///< how much faster than real time its clock runs
    std::string runLog; ///< file that gets a JSON line for each run, empty: none
};

/// Adds the common options to @p described.
void addCommonOptions(Base::OptionDescriptions &descriptions);

/// Reads them. Fails with ErrorKind::InvalidValue.
absl::StatusOr<CommonOptions> commonOptions(const Base::OptionMap &values);

/// Answers with @p body as JSON.
void respondJson(const std::shared_ptr<Http::Exchange> &exchange, int status, const nlohmann::json &body,
                 Http::Headers extraHeaders = {});

/// Answers `{"error":{"message"}}`.
void respondError(const std::shared_ptr<Http::Exchange> &exchange, int status, const std::string &message,
                  Http::Headers extraHeaders = {});

/// A run as GET /runs shows it.
struct RunRecord
{
    std::string key;
    std::string requestId;
    std::string path;
    std::string state;
};

/// All runs since the start, in order; each start is also a line in the log file.
class RunLog
{
public:
    explicit RunLog(const std::string &file);

    /// Records a start and returns the run's index.
    std::size_t recordStart(RunRecord record);
    void setState(std::size_t index, const std::string &state);
    nlohmann::json toJson() const;

private:
    std::ofstream m_file;
    std::vector<RunRecord> m_runs;
};

/// The faults of a POST /faults, or nothing after an error answer. `"crash": true` ends the process at once.
std::optional<nlohmann::json> readFaultsOrCrash(const std::shared_ptr<Http::Exchange> &exchange);

/// Runs the loop until SIGTERM.
int runUntilStopped(Base::Loop &loop);

/// Tells @p error on standard error and returns the exit code for it.
int reportError(const std::string &program, const absl::Status &error);

/// Reads the command line, serves a Behaviour made with @p makeOptions(values, common options) and runs until SIGTERM. Returns
/// the process's exit code. A Behaviour is made from a loop and its options, and has handle(exchange).
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
        [](const absl::Status &error) { return Base::messageOf(error); });
    if (!server.ok()) {
        return reportError(info.name, server.status());
    }
    return runUntilStopped(loop);
}

} // namespace Yokepond::Standin
