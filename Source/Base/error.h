// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Typed errors. An absl::Status carries the kind as a payload, so that callers need not parse the message.

#pragma once

#include "Base/names.h"

#include <absl/status/status.h>

#include <string>

namespace Yokepond::Base {

/// The kinds of failures that the programs report to people and to other programs.
enum class ErrorKind {
    Internal,
    InvalidSettings,
    InvalidRequest,
    RequestTooLarge,
    RequestHeadTooLarge,
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
    StreamVersionGone,
    StreamOriginUnknown,
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

/// Returns the kind's name as used in error bodies (`error.type`) and logs.
std::string_view errorName(ErrorKind kind);

/// Returns the HTTP status code of a response that reports an error of this kind.
int httpStatus(ErrorKind kind);

/// Returns a failed status that carries @p kind. @p message should say what went wrong, where, and what to do.
absl::Status makeError(ErrorKind kind, std::string_view message);

/// Returns the kind that @p status carries, or ErrorKind::Internal if it carries none.
ErrorKind errorKind(const absl::Status &status);

} // namespace Yokepond::Base
