// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The prompts that an engine has been given and has not prefilled yet.

#pragma once

#include "Base/time.h"
#include "Configuration/urgency.h"
#include "EngineModel/prefillspeed.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Yokepond::EngineModel {

/// A prompt sent to an engine.
struct QueuedPrefill
{
    std::uint64_t number = 0; ///< unique for the engine
    Configuration::Urgency urgency; ///< the engine prefills the most urgent prompt first
    double tokens = 0; ///< prompt tokens that are not cached
    Base::Instant begins {}; ///< when the prompt and the parts of it that are transferred have arrived at the engine
    bool reported = true; ///< whether the end of the prefill will be reported
    Base::Duration done {}; ///< time that the engine spent on it before more urgent prompts came
};

/// Tracks the prefill queue of one engine. The end of a prefill is known from the first token of its run, which the run's home
/// reports. The prefills behind one whose end has not been reported stay in the backlog, so an engine that is slower than its
/// estimate, or that stopped, gets few further prompts. If the home does not report, the prefill counts as ended when its
/// estimated time has passed.
class PrefillQueue
{
public:
    void add(const QueuedPrefill &prefill, Base::Instant now);

    /// Records that the first token of the run came. Returns the prefill with the time that the engine spent on it, or nothing if
    /// it is not in the queue.
    std::optional<CompletedPrefill> complete(std::uint64_t number, Base::Instant now);

    /// Removes a prefill whose run has ended.
    void remove(std::uint64_t number, Base::Instant now);

    /// Returns the prefill time before a new prompt of @p urgency, at @p tokensPerMs.
    Base::Duration backlog(const Configuration::Urgency &urgency, double tokensPerMs, Base::Instant now) const;

    /// Returns the time until the queue is empty.
    Base::Duration backlog(double tokensPerMs, Base::Instant now) const;

    /// Removes the prefills without a report whose estimated time has passed.
    void removeOverdue(double tokensPerMs, Base::Instant now);

    /// Returns whether a prefill is in the queue.
    bool contains(std::uint64_t number) const;

    bool empty() const;

private:
    std::vector<QueuedPrefill>::iterator find(std::uint64_t number);
    void erase(std::vector<QueuedPrefill>::iterator entry, Base::Instant now);
    /// Returns the time that the engine has spent on the queue since its latest end of a prefill.
    Base::Duration spent(Base::Instant now) const;

    std::vector<QueuedPrefill> m_queue; ///< in the order in which the engine works on them
    Base::Instant m_busySince {}; ///< when the engine ended its latest prefill, or began the first one after it had been idle
};

} // namespace Yokepond::EngineModel
