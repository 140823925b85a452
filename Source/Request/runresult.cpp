// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/runresult.h"

namespace Yokepond::Request {

namespace {

using Peer::RunResult;

constexpr int minErrorStatus = 400; ///< lowest HTTP status that is an error

} // namespace

bool mayHaveReachedEndpoint(RunStage stage)
{
    return stage != RunStage::Stale && stage != RunStage::NotSent && stage != RunStage::EndpointReplaced;
}

bool connectionBroke(const RunReport &report)
{
    const bool broke = report.stage == RunStage::Sent && report.status < minErrorStatus;
    const bool closedHere = report.overLimit != ResponseLimit::None || report.malformed;
    return broke && !report.callerDisconnected && !closedHere;
}

RunResult runResultFor(const RunReport &report)
{
    if (report.callerDisconnected) {
        return RunResult::Cancelled;
    }
    switch (report.stage) {
    case RunStage::Stale:
        return RunResult::NotStarted;
    case RunStage::NotSent:
        return report.pathInDoubt ? RunResult::PathLost : RunResult::Unreachable;
    case RunStage::Rejected:
        return RunResult::Rejected;
    case RunStage::EndpointReplaced:
        return RunResult::EndpointReplaced;
    case RunStage::Sent:
        if (report.status >= minErrorStatus) {
            return RunResult::ErrorResponse;
        }
        return report.pathInDoubt ? RunResult::PathLost : RunResult::Failed;
    case RunStage::ResponseComplete:
        return RunResult::Completed;
    }
    return RunResult::Failed;
}

} // namespace Yokepond::Request
