// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// How many runs an endpoint is given at once.

#pragma once

#include "Base/time.h"

#include <concepts>
#include <cstdint>

namespace Yokepond::Dispatch {

/// What a run's home saw, against the targets of its class.
struct Observation
{
    Base::Duration firstToken {};
    Base::Duration gap {};
    Base::Duration firstTokenTarget {}; ///< the tightest of the pool's classes
    Base::Duration gapTarget {};
    bool failed = false;
    bool windowWasFull = false; ///< when the run was granted or ended
    bool errorResponse = false; ///< it answered, but with an error: it lives, and other runs may do well
};

template<typename T>
concept WindowPolicy = requires(T window, const T &constant, const Observation &observation, Base::Instant now) {
    window.observe(observation, now);
    {
        constant.size()
    } -> std::same_as<std::uint32_t>;
};

/// Baseline: as many as the configuration says.
class FixedWindow
{
public:
    explicit FixedWindow(std::uint32_t slots);

    void observe(const Observation &observation, Base::Instant now);
    std::uint32_t size() const;

private:
    std::uint32_t m_slots;
};

/// Additive increase while targets are met with the window full, multiplicative decrease once when they are not
/// (Chiu and Jain, 1989). Stays between one and a multiple of the configured slots.
class AdaptiveWindow
{
public:
    explicit AdaptiveWindow(std::uint32_t slots);

    void observe(const Observation &observation, Base::Instant now);
    std::uint32_t size() const;

private:
    double m_size;
    double m_maxSize;
    Base::Instant m_lastDecrease {};
};

static_assert(WindowPolicy<FixedWindow>);
static_assert(WindowPolicy<AdaptiveWindow>);

} // namespace Yokepond::Dispatch
