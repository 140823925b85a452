// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What the relay's report of a run's end means.

#pragma once

#include "Peer/message.h"
#include "Request/types.h"

namespace Yokepond::Request {

/// Returns whether the intended endpoint may have received any part of the request.
bool mayHaveReachedEndpoint(RunStage stage);

/// Returns whether the connection broke or fell silent during the run. An endpoint that responds with an error, or with more than
/// the limits allow, has not crashed.
bool connectionBroke(const RunReport &report);

/// Returns the result of the run for its dispatcher.
Peer::RunResult runResultFor(const RunReport &report);

} // namespace Yokepond::Request
