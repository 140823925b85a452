// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Standin/common.h"

#include "Base/json.h"
#include "Base/text.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>

namespace Yokepond::Standin {

namespace options = boost::program_options;

namespace {

nlohmann::json runToJson(const RunRecord &record)
{
    return {{"key", record.key}, {"request", record.requestId}, {"path", record.path}, {"state", record.state}};
}

} // namespace

void addCommonOptions(Base::OptionDescriptions &descriptions)
{
    descriptions.add_options()("name", options::value<std::string>()->default_value("standin"), "name of the stand-in")(
        "listen", options::value<std::string>()->default_value("127.0.0.1:0"),
        "address to listen on, as ip:port; port 0 selects a free port")("seed", options::value<std::uint64_t>()->default_value(1),
                                                                        "seed of the random generator")(
        "speed", options::value<double>()->default_value(1),
        "factor by which simulated work is faster than real time")("run-log", options::value<std::string>()->default_value(""),
                                                                   "file to which a JSON line is appended for each started run");
}

absl::StatusOr<CommonOptions> commonOptions(const Base::OptionMap &values)
{
    const auto listen = Base::parseAddress(values["listen"].as<std::string>());
    if (!listen.ok()) {
        return listen.status();
    }
    const double speed = values["speed"].as<double>();
    if (!(speed > 0)) {
        return makeError(Base::ErrorKind::InvalidValue, "--speed: expected a number greater than 0");
    }
    return CommonOptions {values["name"].as<std::string>(), *listen, values["seed"].as<std::uint64_t>(), speed,
                          values["run-log"].as<std::string>()};
}

void respondJson(const std::shared_ptr<Http::Exchange> &exchange, int status, const nlohmann::json &body,
                 Http::Headers extraHeaders)
{
    extraHeaders.push_back({"content-type", std::string(Http::jsonType)});
    exchange->respond(
        {status, std::move(extraHeaders), body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"});
}

void respondError(const std::shared_ptr<Http::Exchange> &exchange, int status, const std::string &message,
                  Http::Headers extraHeaders)
{
    respondJson(exchange, status, {{"error", {{"message", message}}}}, std::move(extraHeaders));
}

RunLog::RunLog(const std::string &file)
{
    if (!file.empty()) {
        m_file.open(file, std::ios::app);
    }
}

std::size_t RunLog::recordStart(RunRecord record)
{
    if (m_file.is_open()) {
        m_file << runToJson(record).dump() << std::endl;
    }
    m_runs.push_back(std::move(record));
    return m_runs.size() - 1;
}

void RunLog::setState(std::size_t index, const std::string &state)
{
    m_runs.at(index).state = state;
}

nlohmann::json RunLog::toJson() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const RunRecord &record : m_runs) {
        list.push_back(runToJson(record));
    }
    return list;
}

std::optional<nlohmann::json> readFaultsOrCrash(const std::shared_ptr<Http::Exchange> &exchange)
{
    constexpr int httpBadRequest = 400;
    nlohmann::json body = Base::decodeJsonOrDiscard(exchange->request().body);
    if (!body.is_object()) {
        respondError(exchange, httpBadRequest, "the request body must be a JSON object");
        return std::nullopt;
    }
    if (body.value("crash", false)) {
        std::_Exit(EXIT_FAILURE);
    }
    return body;
}

int runUntilStopped(Base::Loop &loop)
{
    loop.onSignals({.stop = [&loop] { loop.stop(); }});
    loop.run();
    return Base::exitOk;
}

int reportError(const std::string &program, const absl::Status &error)
{
    fmt::print(stderr, "{}: {}\n", program, Base::messageOf(error));
    return Base::exitFailed;
}

} // namespace Yokepond::Standin
