// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Reports the results of a load run by class: the share of requests that met their latency targets, the goodput, and the
/// wasted tokens.

#pragma once

#include "Base/names.h"
#include "Load/scenario.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Yokepond::Load {

/// How one request of a load run ended.
enum class Result { Completed, Refused, Unknown, Failed, WrongResponse, NoResponse };

inline constexpr Base::NameTable<Result, 6> resultNames = {{
    {Result::Completed, "completed"},
    {Result::Refused, "refused"}, ///< the response says that the request was not run
    {Result::Unknown, "unknown"}, ///< the response says that the request may have run
    {Result::Failed, "failed"}, ///< the connection failed, the response was incomplete, or another error occurred
    {Result::WrongResponse,
     "wrong"}, ///< the stream ended with its end marker, but a token was wrong or it contained an error event
    {Result::NoResponse, "unanswered"}, ///< the response had not begun or not ended when the run ended
}};

/// Measurements of one request. Times count from the scheduled send time, so that delays of the load generator itself are
/// included and not hidden.
struct Sample
{
    std::size_t classIndex = 0;
    Base::Duration due {}; ///< scheduled send time, since the start of the run
    Result result = Result::NoResponse;
    Base::Duration firstToken {}; ///< time to the first token, or to the end of a response without tokens
    Base::Duration total {}; ///< time to the end of the response
    Base::Duration meanGap {}; ///< mean inter-token latency
    std::uint32_t tokens = 0; ///< tokens received
    int status = 0; ///< HTTP status, 0 if no status line was received
};

/// Returns whether the request completed and met all three targets of its class: first token, mean inter-token latency and
/// total time.
bool metAllTargets(const ClassLoad &load, const Sample &sample);

/// Properties of a load run that the samples do not contain.
struct RunMetadata
{
    std::string label;
    std::uint64_t seed = 0;
    double factor = 1; ///< multiplier of the request rates of all classes
    std::uint64_t engineTokens = 0; ///< tokens that all engines generated during the run
};

/// Returns the results of the whole run and of each class. The results of classes and the goodput leave out requests scheduled
/// during the warm-up; the wasted share covers the whole run.
nlohmann::json summarise(const Scenario &scenario, const std::vector<Sample> &samples, const RunMetadata &metadata);

/// Returns the summary as a plain-text table.
std::string renderReport(const nlohmann::json &summary);

/// Returns an SVG plot of the share of requests of each class that met their targets, by scheduled second.
std::string renderPlot(const Scenario &scenario, const std::vector<Sample> &samples, const RunMetadata &metadata);

} // namespace Yokepond::Load
