// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The operations of this home that may run at most once: those in progress, and the responses of completed ones.

#pragma once

#include "Base/time.h"
#include "Http/message.h"
#include "Request/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Yokepond::Request {

/// Limits on the operations that a home remembers.
struct OperationLimits
{
    std::size_t responseBytes = 16U << 20U; ///< limit for the bodies of all stored responses
    Base::Duration retention = std::chrono::hours(1); ///< time for which an ended operation is remembered
    std::size_t maxOperations = 100'000;
};

/// State of the operation that a request names by its idempotency key.
enum class OperationState {
    New, ///< the key has not been used; the request may run
    Running, ///< another request is running the operation
    ResponseStored, ///< it completed, and its response is stored
    ResponseDropped, ///< it completed, and its response is not stored, or not any more
    Unknown, ///< whether it completed is unknown
    OtherBody, ///< the key was used with another body
    Full, ///< no further operation can be remembered; the request must not run
};

/// Remembers operations and their responses; does no input or output. An operation that ended as `not-run` is forgotten, so that
/// it may be requested again.
class Operations
{
public:
    explicit Operations(OperationLimits limits);

    /// Looks up the operation and, if it is new, records @p request as the one that runs it.
    OperationState begin(Base::Instant now, std::uint32_t organisation, const std::string &key, const std::string &bodyDigest,
                         std::uint64_t request);

    /// Returns whether the operation is remembered, in any state.
    bool contains(std::uint32_t organisation, const std::string &key) const;

    /// Returns the response of an operation in state ResponseStored.
    const Http::Response &storedResponse(std::uint32_t organisation, const std::string &key) const;

    /// Registers @p request as waiting for the end of a running operation.
    void wait(std::uint32_t organisation, const std::string &key, std::uint64_t request);

    /// Removes a waiting request whose caller has disconnected.
    void stopWaiting(std::uint64_t request);

    /// Records the end of the operation that @p request runs, and returns the requests that wait for it. Returns none if @p
    /// request runs no operation.
    std::vector<std::uint64_t> end(Base::Instant now, std::uint64_t request, Outcome outcome,
                                   std::optional<Http::Response> response);

    /// Removes operations whose retention time is over.
    void tick(Base::Instant now);

    /// Returns the number of remembered operations.
    std::size_t count() const;
    /// Returns the size of the bodies of all stored responses.
    std::size_t responseBytes() const;

private:
    using Key = std::pair<std::uint32_t, std::string>;

    struct Operation
    {
        std::string bodyDigest; ///< digest of the body of the first request
        std::uint64_t request = 0; ///< request that runs the operation
        OperationState state = OperationState::Running;
        std::optional<Http::Response> response;
        std::vector<std::uint64_t> waiting; ///< requests that wait for the end
        Base::Instant ended {};
    };

    /// Drops the oldest responses until the remaining ones are within the limit; the newest one always stays.
    void dropOldResponses();

    OperationLimits m_limits;
    std::map<Key, Operation> m_operations;
    std::map<std::uint64_t, Key> m_byRequest;
    std::deque<Key> m_ended; ///< in the order in which they ended
    std::deque<Key> m_withResponse; ///< operations with a stored response, oldest first
    std::size_t m_responseBytes = 0;
};

} // namespace Yokepond::Request
