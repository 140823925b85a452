// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/error.h"

#include "Base/text.h"

#include <absl/strings/cord.h>

namespace Yokepond::Base {

namespace {

constexpr std::string_view kindPayload = "yokepond/error-kind";

struct KindInfo
{
    ErrorKind kind;
    std::string_view name;
    int httpStatus;
    absl::StatusCode code;
};

constexpr std::array kinds = {
    KindInfo {ErrorKind::Internal, "internal", 500, absl::StatusCode::kInternal},
    KindInfo {ErrorKind::InvalidSettings, "invalid-settings", 500, absl::StatusCode::kInvalidArgument},
    KindInfo {ErrorKind::InvalidRequest, "invalid-request", 400, absl::StatusCode::kInvalidArgument},
    KindInfo {ErrorKind::RequestTooLarge, "request-too-large", 413, absl::StatusCode::kOutOfRange},
    KindInfo {ErrorKind::RequestHeadTooLarge, "request-head-too-large", 431, absl::StatusCode::kOutOfRange},
    KindInfo {ErrorKind::RequestTimeout, "request-timeout", 408, absl::StatusCode::kDeadlineExceeded},
    KindInfo {ErrorKind::Unauthenticated, "unauthenticated", 401, absl::StatusCode::kUnauthenticated},
    KindInfo {ErrorKind::Forbidden, "forbidden", 403, absl::StatusCode::kPermissionDenied},
    KindInfo {ErrorKind::NotFound, "not-found", 404, absl::StatusCode::kNotFound},
    KindInfo {ErrorKind::UnknownName, "unknown-name", 404, absl::StatusCode::kNotFound},
    KindInfo {ErrorKind::UnknownClass, "unknown-class", 400, absl::StatusCode::kInvalidArgument},
    KindInfo {ErrorKind::InvalidValue, "invalid-value", 400, absl::StatusCode::kInvalidArgument},
    KindInfo {ErrorKind::Syntax, "syntax", 400, absl::StatusCode::kInvalidArgument},
    KindInfo {ErrorKind::InUse, "in-use", 409, absl::StatusCode::kFailedPrecondition},
    KindInfo {ErrorKind::AlreadyExists, "already-exists", 409, absl::StatusCode::kAlreadyExists},
    KindInfo {ErrorKind::Conflict, "conflict", 409, absl::StatusCode::kAborted},
    KindInfo {ErrorKind::StoreUnavailable, "store-unavailable", 503, absl::StatusCode::kUnavailable},
    KindInfo {ErrorKind::Undetermined, "undetermined", 504, absl::StatusCode::kUnknown},
    KindInfo {ErrorKind::HistoryCompacted, "history-gone", 410, absl::StatusCode::kOutOfRange},
    KindInfo {ErrorKind::Overloaded, "overloaded", 429, absl::StatusCode::kResourceExhausted},
    KindInfo {ErrorKind::DeadlineExceeded, "deadline-exceeded", 504, absl::StatusCode::kDeadlineExceeded},
    KindInfo {ErrorKind::NoEndpoint, "no-endpoint", 503, absl::StatusCode::kUnavailable},
    KindInfo {ErrorKind::StreamVersionGone, "stream-version-gone", 503, absl::StatusCode::kUnavailable},
    KindInfo {ErrorKind::StreamOriginUnknown, "stream-origin-unknown", 503, absl::StatusCode::kUnavailable},
    KindInfo {ErrorKind::NotReady, "not-ready", 503, absl::StatusCode::kUnavailable},
    KindInfo {ErrorKind::Stopping, "stopping", 503, absl::StatusCode::kUnavailable},
    KindInfo {ErrorKind::EndpointUnreachable, "endpoint-unreachable", 502, absl::StatusCode::kUnavailable},
    KindInfo {ErrorKind::EndpointFailed, "endpoint-failed", 502, absl::StatusCode::kUnavailable},
    KindInfo {ErrorKind::CrashesEndpoints, "ends-endpoints", 422, absl::StatusCode::kFailedPrecondition},
    KindInfo {ErrorKind::KeyRequired, "idempotency-key-required", 400, absl::StatusCode::kInvalidArgument},
    KindInfo {ErrorKind::KeyInvalid, "idempotency-key-invalid", 400, absl::StatusCode::kInvalidArgument},
    KindInfo {ErrorKind::KeyReused, "idempotency-key-reused", 422, absl::StatusCode::kInvalidArgument},
    KindInfo {ErrorKind::InProgress, "in-progress", 409, absl::StatusCode::kAborted},
    KindInfo {ErrorKind::OutcomeUnknown, "outcome-unknown", 502, absl::StatusCode::kUnknown},
    KindInfo {ErrorKind::ResponseNotStored, "answer-not-held", 410, absl::StatusCode::kNotFound},
    KindInfo {ErrorKind::CallerDisconnected, "caller-gone", 499, absl::StatusCode::kCancelled},
    KindInfo {ErrorKind::Cancelled, "cancelled", 503, absl::StatusCode::kCancelled},
};

const KindInfo &infoOf(ErrorKind kind)
{
    return *std::ranges::find(kinds, kind, &KindInfo::kind);
}

} // namespace

std::string_view errorName(ErrorKind kind)
{
    return infoOf(kind).name;
}

int httpStatus(ErrorKind kind)
{
    return infoOf(kind).httpStatus;
}

absl::Status makeError(ErrorKind kind, std::string_view message)
{
    const KindInfo &info = infoOf(kind);
    absl::Status status(info.code, toAbsl(message));
    status.SetPayload(toAbsl(kindPayload), absl::Cord(toAbsl(info.name)));
    return status;
}

ErrorKind errorKind(const absl::Status &status)
{
    const auto payload = status.GetPayload(toAbsl(kindPayload));
    if (!payload) {
        return ErrorKind::Internal;
    }
    const std::string name(*payload);
    const auto entry = std::ranges::find(kinds, std::string_view(name), &KindInfo::name);
    return entry == kinds.end() ? ErrorKind::Internal : entry->kind;
}

} // namespace Yokepond::Base
