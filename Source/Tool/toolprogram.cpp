// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Tool/toolprogram.h"

#include "Base/address.h"
#include "Base/error.h"
#include "Base/ini.h"
#include "Base/json.h"
#include "Base/program.h"
#include "Base/text.h"
#include "Tool/completion.h"
#include "Tool/operatorclient.h"
#include "Tool/table.h"

#include <absl/strings/str_join.h>
#include <fmt/format.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace Yokepond::Tool {

namespace {

using Base::ErrorKind;
using Base::makeError;

constexpr int exitUnreachable = 3;
constexpr int exitNotAllowed = 4;
constexpr int exitUndetermined = 5;
constexpr int httpOk = 200;

constexpr std::string_view examples
    = "  yokepond query 'show requests where class = bulletin and state = waiting'\n"
      "  yokepond query 'why request lisbon-1.5f2c.42'\n"
      "  yokepond watch 'show endpoints order by running desc' --interval 2\n"
      "  yokepond command 'drain endpoint e3' --reason 'replacing its host' --wait\n"
      "  yokepond command 'create class gauge tier routine pool main first-token 5s' --if-revision 12\n"
      "  yokepond apply changes.txt --dry-run\n"
      "  yokepond apply - < changes.txt\n"
      "  source <(yokepond completion)\n"
      "\nExit codes: 0 done, 1 failed or rejected, 2 wrong usage, 3 host not reached, 4 not allowed, 5 undetermined.\n";

std::string environmentVariable(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

/// Returns the host and key to use. Command-line options override the settings file, which overrides the environment.
/// Returns ErrorKind::InvalidValue without a valid host address, or the error of the settings file.
absl::StatusOr<OperatorAccess> resolveAccess(const Base::OptionMap &values)
{
    OperatorAccess access {environmentVariable("YOKEPOND_HOST"), environmentVariable("YOKEPOND_KEY")};
    if (values.contains("settings")) {
        auto ini = Base::IniFile::load(values["settings"].as<std::string>());
        if (!ini.ok()) {
            return ini.status();
        }
        access.host = ini->text("operator", "host", access.host);
        access.key = ini->text("operator", "key", access.key);
        if (absl::Status status = ini->finish(); !status.ok()) {
            return status;
        }
    }
    if (values.contains("host")) {
        access.host = values["host"].as<std::string>();
    }
    if (values.contains("key")) {
        access.key = values["key"].as<std::string>();
    }
    if (!Base::parseAddress(access.host).ok()) {
        return makeError(
            ErrorKind::InvalidValue,
            "no valid host address; give --host IP:PORT of an operator interface, a --settings file or YOKEPOND_HOST");
    }
    return access;
}

int exitCodeOf(const OperatorResponse &response)
{
    if (!response.reached) {
        return exitUnreachable;
    }
    if (response.status == httpOk) {
        return Base::exitOk;
    }
    if (response.status == Base::httpStatus(ErrorKind::Unauthenticated)
        || response.status == Base::httpStatus(ErrorKind::Forbidden)) {
        return exitNotAllowed;
    }
    return response.status == Base::httpStatus(ErrorKind::Undetermined) ? exitUndetermined : Base::exitFailed;
}

class Program
{
public:
    Program(const Base::OptionMap &values, OperatorAccess access)
        : m_values(values)
        , m_access(std::move(access))
        , m_json(values["output"].as<std::string>() == "json")
    {
    }

    int query(const std::string &statement) const
    {
        return printResponse(sendOperatorRequest(m_access, "POST", "/query", {}, statement));
    }

    int watch(const std::string &statement) const
    {
        const std::chrono::duration<double> interval(m_values["interval"].as<double>());
        for (;;) {
            if (isatty(STDOUT_FILENO) != 0) {
                fmt::print("\033[H\033[2J");
            }
            const int code = query(statement);
            if (code != Base::exitOk) {
                return code;
            }
            std::fflush(stdout);
            std::this_thread::sleep_for(interval);
        }
    }

    int command(const std::string &statements) const
    {
        Http::Headers headers;
        if (m_values.contains("if-revision")) {
            headers.push_back({"Yokepond-If-Revision", fmt::format("{}", m_values["if-revision"].as<std::uint64_t>())});
        }
        if (m_values.contains("reason")) {
            headers.push_back({"Yokepond-Reason", m_values["reason"].as<std::string>()});
        }
        if (m_values.contains("dry-run")) {
            headers.push_back({"Yokepond-Dry-Run", "yes"});
        }
        if (m_values.contains("wait")) {
            headers.push_back({"Yokepond-Wait", "yes"});
        }
        return printResponse(sendOperatorRequest(m_access, "POST", "/command", headers, statements));
    }

    int apply(const std::string &file) const
    {
        std::ostringstream text;
        if (file == "-") {
            text << std::cin.rdbuf();
        } else {
            std::ifstream stream(file);
            if (!stream) {
                fmt::print(stderr, "yokepond: file {} cannot be read\n", file);
                return Base::exitFailed;
            }
            text << stream.rdbuf();
        }
        return command(text.str());
    }

    int dump() const
    {
        return printResponse(sendOperatorRequest(m_access, "GET", "/dump", {}, {}));
    }

private:
    int printResponse(const OperatorResponse &response) const
    {
        if (!response.reached) {
            fmt::print(stderr, "yokepond: host {} could not be reached: {}\n", m_access.host, response.detail);
            return exitUnreachable;
        }
        const nlohmann::json body = Base::decodeJsonOrDiscard(response.body);
        if (response.status != httpOk) {
            printError(response, body);
        } else if (m_json || !body.is_object()) {
            fmt::print("{}", response.body);
        } else if (body.contains("columns")) {
            fmt::print("{}", renderTable(body, isatty(STDOUT_FILENO) != 0));
        } else if (body.contains("outcome")) {
            printOutcome(body);
        } else {
            fmt::print("{}\n", body.dump(2));
        }
        return exitCodeOf(response);
    }

    static void printError(const OperatorResponse &response, const nlohmann::json &body)
    {
        const bool typed = body.is_object() && body.contains("error");
        const std::string type = typed ? body["error"].value("type", "error") : fmt::format("status {}", response.status);
        const std::string message = typed ? body["error"].value("message", "") : response.body;
        fmt::print(stderr, "yokepond: {}: {}\n", type, message);
    }

    static void printOutcome(const nlohmann::json &body)
    {
        fmt::print("{}{}\n", body.value("outcome", ""),
                   body.contains("revision") ? fmt::format(", revision {}", body["revision"].dump()) : "");
        const auto laggingHosts = body.value("behind", std::vector<std::string>());
        if (!laggingHosts.empty()) {
            fmt::print("not yet in force on: {}\n", absl::StrJoin(laggingHosts, ", "));
        }
    }

    const Base::OptionMap &m_values;
    OperatorAccess m_access;
    bool m_json;
};

int reportUsageError(std::string_view message)
{
    fmt::print(stderr, "yokepond: {}; see yokepond --help\n", message);
    return Base::exitUsage;
}

int execute(const Program &program, const std::string &verb, const std::vector<std::string> &words)
{
    const std::string argument = absl::StrJoin(words, " ");
    if (verb == "dump") {
        return program.dump();
    }
    if (argument.empty()) {
        return reportUsageError(fmt::format("{} needs a statement or a file", verb));
    }
    if (verb == "query") {
        return program.query(argument);
    }
    if (verb == "watch") {
        return program.watch(argument);
    }
    if (verb == "command") {
        return program.command(argument);
    }
    if (verb == "apply") {
        return program.apply(words.front());
    }
    return reportUsageError(fmt::format("unknown verb '{}'; expected query, watch, command, apply, dump or completion", verb));
}

} // namespace

int runToolProgram(int argc, const char *const *argv)
{
    namespace options = boost::program_options;
    Base::OptionDescriptions descriptions("Options");
    descriptions.add_options()("verb", options::value<std::string>(), "query, watch, command, apply, dump or completion")(
        "words", options::value<std::vector<std::string>>(), "the statement, or the file for apply (- for standard input)")(
        "host", options::value<std::string>(), "operator interface of any host, ip:port (else YOKEPOND_HOST)")(
        "key", options::value<std::string>(), "operator's key (else YOKEPOND_KEY)")(
        "settings", options::value<std::string>(), "INI file with host and key in section [operator]")(
        "output", options::value<std::string>()->default_value("table"),
        "table or json")("if-revision", options::value<std::uint64_t>(), "reject unless the configuration is at this revision")(
        "dry-run", "check only")("reason", options::value<std::string>(), "kept with the change")(
        "wait", "return when all live hosts have the change in force")("interval", options::value<double>()->default_value(2.0),
                                                                       "seconds between queries of watch");
    Base::PositionalDescriptions positional;
    positional.add("verb", 1).add("words", -1);
    Base::OptionMap values;
    const Base::ProgramInfo info {"yokepond", "asks a fleet what is running and why, and changes it",
                                  "VERB [STATEMENT | FILE] [options]", std::string(examples)};
    if (const auto code = Base::parseCommandLine(info, argc, argv, descriptions, positional, values)) {
        return *code;
    }
    if (!values.contains("verb")) {
        return reportUsageError("a verb is missing; expected query, watch, command, apply, dump or completion");
    }
    const std::string output = values["output"].as<std::string>();
    if (output != "table" && output != "json") {
        return reportUsageError("--output: expected table or json");
    }
    const std::string verb = values["verb"].as<std::string>();
    if (verb == "completion") {
        fmt::print("{}", bashCompletion());
        return Base::exitOk;
    }
    auto access = resolveAccess(values);
    if (!access.ok()) {
        fmt::print(stderr, "yokepond: {}\n", Base::messageOf(access.status()));
        return Base::exitUsage;
    }
    const std::vector<std::string> words
        = values.contains("words") ? values["words"].as<std::vector<std::string>>() : std::vector<std::string>();
    return execute(Program(values, std::move(*access)), verb, words);
}

} // namespace Yokepond::Tool
