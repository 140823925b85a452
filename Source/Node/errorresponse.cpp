// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/errorresponse.h"

#include "Base/text.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Yokepond::Node {

absl::Status stoppingError()
{
    return makeError(Base::ErrorKind::Stopping, "this host is stopping; retry at another host");
}

std::string errorBody(const absl::Status &error, Request::Outcome outcome)
{
    const Base::ErrorKind kind = Base::errorKind(error);
    const nlohmann::json body = {{"error",
                                  {{"type", Base::errorName(kind)},
                                   {"code", Base::httpStatus(kind)},
                                   {"message", Base::messageOf(error)},
                                   {"outcome", Base::nameOf(Request::outcomeNames, outcome)}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

int statusByOutcome(const absl::Status &error, Request::Outcome outcome)
{
    constexpr int httpBadRequest = 400;
    constexpr int httpTooManyRequests = 429;
    constexpr int httpServerError = 500;
    constexpr int httpBadGateway = 502;
    constexpr int httpUnavailable = 503;
    constexpr int httpGatewayTimeout = 504;
    const int status = Base::httpStatus(Base::errorKind(error));
    // That a request crashes endpoints is an assumption of this fleet and may be wrong, so it is not reported as an error of the
    // client.
    const bool workQuarantined = Base::errorKind(error) == Base::ErrorKind::CrashesEndpoints;
    const bool clientError
        = !workQuarantined && status >= httpBadRequest && status < httpServerError && status != httpTooManyRequests;
    if (outcome == Request::Outcome::NotRun) {
        return clientError ? status : httpUnavailable;
    }
    return Base::errorKind(error) == Base::ErrorKind::DeadlineExceeded ? httpGatewayTimeout : httpBadGateway;
}

Http::Response errorResponse(const absl::Status &error, Request::Outcome outcome, const std::string &requestName,
                             Base::Duration retryAfter)
{
    Http::Response response;
    response.status = Base::httpStatus(Base::errorKind(error));
    response.body = errorBody(error, outcome);
    response.headers = {{"content-type", std::string(Http::jsonType)},
                        {"yokepond-outcome", std::string(Base::nameOf(Request::outcomeNames, outcome))}};
    if (!requestName.empty()) {
        response.headers.push_back({"yokepond-request", requestName});
    }
    if (retryAfter > Base::Duration::zero()) {
        const auto wholeSeconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
        response.headers.push_back({"retry-after", fmt::format("{}", wholeSeconds.count())});
    }
    return response;
}

} // namespace Yokepond::Node
