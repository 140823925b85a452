// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Typed errors. An absl::Status carries the kind as a payload, so that no caller has to read the text.

#pragma once

#include "Base/names.h"

#include <absl/status/status.h>

#include <string>

namespace Yokepond::Base {

/// Every kind of failure the programs report to a person or to another program.
enum class ErrorKind {
    Internal,
    InvalidSettings,
    InvalidRequest,
    RequestTooLarge,
    RequestTimeout,
    Unauthenticated,
    Forbidden,
    NotFound,
    UnknownName,
    UnknownClass,
    InvalidValue,
    Syntax,
    InUse,
    AlreadyExists,
    Conflict,
    StoreUnavailable,
    Undetermined,
    HistoryCompacted,
    Overloaded,
    DeadlineExceeded,
    NoEndpoint,
    NotReady,
    Stopping,
    EndpointUnreachable,
    EndpointFailed,
    CrashesEndpoints,
    KeyRequired,
    KeyInvalid,
    KeyReused,
    InProgress,
    OutcomeUnknown,
    ResponseNotStored,
    CallerDisconnected,
    Cancelled,
};

/// The kind's name as it stands in error bodies (`error.type`) and logs.
std::string_view errorName(ErrorKind kind);

/// The HTTP status code an error of this kind is answered with.
int httpStatus(ErrorKind kind);

/// A failed status that carries @p kind; @p message says what was wrong, where, and what to do.
absl::Status makeError(ErrorKind kind, std::string_view message);

/// The kind carried by @p status; ErrorKind::Internal if it carries none.
ErrorKind errorKind(const absl::Status &status);

} // namespace Yokepond::Base
