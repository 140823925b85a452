// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "FaultProxy/proxyprogram.h"

#include "Base/error.h"
#include "Base/json.h"
#include "Base/program.h"
#include "Base/text.h"
#include "FaultProxy/route.h"
#include "Http/server.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <ranges>
#include <vector>

namespace Yokepond::FaultProxy {

namespace {

constexpr std::string_view programName = "yokepond-faultproxy";
constexpr Base::Duration tickPeriod = std::chrono::milliseconds(2);
constexpr int httpOk = 200;
constexpr int httpBadRequest = 400;
constexpr int httpNotFound = 404;

using Routes = std::vector<std::unique_ptr<Route>>;

nlohmann::json faultsToJson(const Faults &faults)
{
    return {{"delay-ms", faults.delay / std::chrono::milliseconds(1)},
            {"blackhole-forward", faults.blackholeForward},
            {"blackhole-backward", faults.blackholeBackward},
            {"refuse", faults.refuse},
            {"bytes-per-second", faults.bytesPerSecond},
            {"cut-after-forward", faults.cutAfterForward},
            {"cut-after-backward", faults.cutAfterBackward},
            {"half-open", faults.halfOpen}};
}

/// Returns the faults in a JSON object. A missing field disables its fault, so that `{}` removes all faults of the route.
Faults faultsFromJson(const nlohmann::json &json)
{
    Faults faults;
    faults.delay = std::chrono::milliseconds(json.value("delay-ms", 0));
    faults.blackholeForward = json.value("blackhole-forward", false);
    faults.blackholeBackward = json.value("blackhole-backward", false);
    faults.refuse = json.value("refuse", false);
    faults.bytesPerSecond = json.value("bytes-per-second", std::uint64_t {0});
    faults.cutAfterForward = json.value("cut-after-forward", std::int64_t {-1});
    faults.cutAfterBackward = json.value("cut-after-backward", std::int64_t {-1});
    faults.halfOpen = json.value("half-open", false);
    return faults;
}

void respond(Http::Exchange &exchange, int status, const nlohmann::json &body)
{
    exchange.respond({status, {{"content-type", std::string(Http::jsonType)}}, body.dump() + "\n"});
}

/// Handles one request of the HTTP interface. GET / lists the routes. POST /ROUTE replaces the faults of that route.
/// With `"cut": true` in the body it also closes the connections of the route.
void handleRequest(const Routes &routes, Http::Exchange &exchange)
{
    const Http::Request &request = exchange.request();
    if (request.path == "/") {
        nlohmann::json list = nlohmann::json::array();
        for (const auto &route : routes) {
            list.push_back({{"name", route->name()},
                            {"address", route->address().text()},
                            {"connections", route->connectionCount()},
                            {"faults", faultsToJson(route->faults())}});
        }
        respond(exchange, httpOk, list);
        return;
    }
    const auto route = std::ranges::find_if(routes, [&](const auto &entry) { return "/" + entry->name() == request.path; });
    if (route == routes.end()) {
        respond(exchange, httpNotFound, {{"error", "no route with this name"}});
        return;
    }
    const nlohmann::json body = Base::decodeJsonOrDiscard(request.body);
    if (!body.is_object()) {
        respond(exchange, httpBadRequest, {{"error", "the request body must be a JSON object"}});
        return;
    }
    (*route)->setFaults(faultsFromJson(body));
    if (body.value("cut", false)) {
        (*route)->closeConnections();
    }
    respond(exchange, httpOk, faultsToJson((*route)->faults()));
}

/// Creates a listening route from NAME=LISTEN=TARGET. Fails with ErrorKind::InvalidValue if the text is malformed, and with
/// ErrorKind::InvalidSettings if it cannot listen on the address.
absl::StatusOr<std::unique_ptr<Route>> makeRoute(Base::Loop &loop, const std::string &text)
{
    const std::vector<std::string_view> parts = Base::split(text, '=');
    if (parts.size() != 3) {
        return makeError(Base::ErrorKind::InvalidValue, fmt::format("--route {}: expected NAME=LISTEN=TARGET", text));
    }
    const auto listen = Base::parseAddress(parts[1]);
    const auto target = Base::parseAddress(parts[2]);
    if (!listen.ok() || !target.ok()) {
        return listen.ok() ? target.status() : listen.status();
    }
    auto route = std::make_unique<Route>(loop, std::string(parts[0]), *target);
    if (absl::Status status = route->listen(*listen); !status.ok()) {
        return status;
    }
    return route;
}

int reportError(const absl::Status &error)
{
    fmt::print(stderr, "{}: {}\n", programName, Base::messageOf(error));
    return Base::exitFailed;
}

} // namespace

int runProxyProgram(int argc, const char *const *argv)
{
    namespace options = boost::program_options;
    Base::OptionDescriptions descriptions("Options");
    descriptions.add_options()("control", options::value<std::string>()->default_value("127.0.0.1:0"),
                               "address of the HTTP interface")("route", options::value<std::vector<std::string>>()->required(),
                                                                "NAME=LISTEN=TARGET; may be repeated");
    Base::OptionMap values;
    const Base::ProgramInfo info {std::string(programName), "forwards TCP connections and injects faults into them",
                                  "--control IP:PORT --route NAME=LISTEN=TARGET...",
                                  "  yokepond-faultproxy --control 127.0.0.1:9000 --route h1=127.0.0.1:9001=127.0.0.1:8001\n"
                                  "  curl 127.0.0.1:9000/h1 -d '{\"delay-ms\": 50, \"blackhole-backward\": true}'\n"};
    if (const auto code = Base::parseCommandLine(info, argc, argv, descriptions, {}, values)) {
        return *code;
    }
    const auto control = Base::parseAddress(values["control"].as<std::string>());
    if (!control.ok()) {
        return reportError(control.status());
    }
    Base::Loop loop;
    Routes routes;
    for (const std::string &text : values["route"].as<std::vector<std::string>>()) {
        auto route = makeRoute(loop, text);
        if (!route.ok()) {
            return reportError(route.status());
        }
        routes.push_back(std::move(*route));
    }
    const auto server = Http::Server::listen(
        loop, *control, {}, [&routes](const std::shared_ptr<Http::Exchange> &exchange) { handleRequest(routes, *exchange); },
        [](const absl::Status &error) { return Base::messageOf(error); });
    if (!server.ok()) {
        return reportError(server.status());
    }
    const auto timer = loop.every(tickPeriod, [&routes] {
        const Base::Instant now = Base::now();
        std::ranges::for_each(routes, [now](const auto &route) { route->tick(now); });
    });
    loop.onSignals({.stop = [&loop] { loop.stop(); }});
    loop.run();
    return Base::exitOk;
}

} // namespace Yokepond::FaultProxy
