// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Window policies, which set the concurrency limit of an endpoint.

#pragma once

#include "Base/time.h"

#include <concepts>
#include <cstdint>

namespace Yokepond::Dispatch {

/// Observations that the home made of a run, with the targets to compare them to.
struct Observation
{
    Base::Duration firstToken {}; ///< time to the first token
    Base::Duration gap {}; ///< mean time between tokens
    Base::Duration firstTokenTarget {}; ///< shortest target of the pool's classes
    Base::Duration gapTarget {}; ///< target of the run's class
    bool failed = false;
    bool windowWasFull = false; ///< the window was full after the run was granted
    bool errorResponse = false; ///< the endpoint responded with an error, so it works and other runs may succeed
};

template<typename T>
concept WindowPolicy = requires(T window, const T &constant, const Observation &observation, Base::Instant now) {
    window.observe(observation, now);
    {
        constant.size()
    } -> std::same_as<std::uint32_t>;
};

/// Baseline policy with the number of slots from the configuration.
class FixedWindow
{
public:
    explicit FixedWindow(std::uint32_t slots);

    void observe(const Observation &observation, Base::Instant now);
    std::uint32_t size() const;

private:
    std::uint32_t m_slots;
};

/// Additive increase, multiplicative decrease (Chiu and Jain, 1989). The window grows while it is full and runs meet their
/// targets. It shrinks when they miss them, at most once in a fixed period. It stays between one and a multiple of the configured
/// slots.
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
