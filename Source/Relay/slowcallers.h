// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Connects the callers' exchanges to the decisions of ResponseBuffers: it measures what is held for each caller, and cuts
/// callers.

#pragma once

#include "Http/server.h"
#include "Relay/relay.h"
#include "Relay/responsebuffers.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace Yokepond::Relay {

/// Keeps track of the exchanges of callers, from the arrival of a request until its response has been passed to the kernel.
/// All functions must be called on the relay's thread.
class SlowCallers
{
public:
    /// Ends the run of a call whose caller has been cut. It is called only for calls that have not been finished.
    using EndCall = std::function<void(std::uint64_t call)>;

    SlowCallers(const ResponseBufferLimits &limits, RelayCounters &counters, EndCall endCall);

    void add(std::uint64_t call, std::shared_ptr<Http::Exchange> exchange);

    /// Records the name of the call's request, for the log.
    void setName(std::uint64_t call, std::string requestName);

    /// Measures what is held for a call of which @p collectedBytes are not written to its exchange yet.
    void measure(std::uint64_t call, std::size_t collectedBytes);

    /// Returns whether reading from the endpoint of the call's stream is to be paused now.
    bool shouldPause(std::uint64_t call) const;

    /// Records whether the call's stream is paused. When a paused stream is to continue, @p drained is called.
    void setPaused(std::uint64_t call, bool paused, Http::Exchange::Task drained = nullptr);

    /// Records that the caller is gone while its run continues. Nothing that it does not read is held any more.
    void callerLeft(std::uint64_t call);

    /// Records that the call has ended. What its caller has not read of the response is still counted.
    void finish(std::uint64_t call);

    /// Forgets a call and what was held for it.
    void remove(std::uint64_t call);

    /// Returns whether more is held than the bound, so that check() should be called soon.
    bool overBound() const;

    /// Measures all calls and cuts callers.
    void check();

private:
    struct Caller
    {
        std::shared_ptr<Http::Exchange> exchange;
        std::string requestName;
        std::size_t requestBytes = 0;
        std::size_t collectedBytes = 0;
        bool finished = false;
    };

    HeldBytes heldFor(const Caller &caller) const;
    void measureAll(Base::Instant now);
    void cut(const CallerCut &cut);
    void updateCounters();

    ResponseBuffers m_buffers;
    RelayCounters &m_counters;
    EndCall m_endCall;
    std::unordered_map<std::uint64_t, Caller> m_callers;
};

} // namespace Yokepond::Relay
