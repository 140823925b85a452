// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/poolparameters.h"

#include <algorithm>
#include <utility>

namespace Yokepond::Dispatch {

using Base::Duration;
using Configuration::RequestClass;

PoolParameters::PoolParameters(std::shared_ptr<const Configuration::Catalogue> catalogue, std::uint32_t pool)
    : m_catalogue(std::move(catalogue))
    , m_pool(pool)
{
}

std::vector<const RequestClass *> PoolParameters::classes() const
{
    std::vector<const RequestClass *> found;
    for (const RequestClass &requestClass : m_catalogue->classes()) {
        if (requestClass.pool == m_pool) {
            found.push_back(&requestClass);
        }
    }
    return found;
}

Duration PoolParameters::tightestAbove(const Configuration::Urgency &urgency) const
{
    const Configuration::UrgencyScale &scale = m_catalogue->urgencyScale(m_pool);
    Duration tightest = Duration::max();
    for (const RequestClass *requestClass : classes()) {
        const bool isAbove = scale.mayBeMoreUrgent(*requestClass, urgency);
        tightest = isAbove ? std::min(tightest, requestClass->firstToken) : tightest;
    }
    return tightest == Duration::max() ? Duration::zero() : tightest;
}

ClassParameters PoolParameters::forClass(const RequestClass &requestClass, int organisationRank) const
{
    const Configuration::Urgency urgency = urgencyOf(requestClass, organisationRank);
    return {requestClass.number,          urgency,
            requestClass.firstToken,      requestClass.tokenGap,
            requestClass.starvationBound, tightestAbove(urgency),
            requestClass.deadlineEndsRun, hasTightestGap(requestClass)};
}

bool PoolParameters::hasTightestGap(const RequestClass &requestClass) const
{
    Duration tightest = Duration::max();
    Duration widest {};
    for (const RequestClass *other : classes()) {
        if (other->tokenGap > Duration::zero()) {
            tightest = std::min(tightest, other->tokenGap);
            widest = std::max(widest, other->tokenGap);
        }
    }
    // Classes whose targets differ by less than a fifth are treated alike.
    const auto isTight = [&](Duration gap) { return gap > Duration::zero() && gap / 6 * 5 <= tightest; };
    return isTight(requestClass.tokenGap) && !isTight(widest);
}

Configuration::Urgency PoolParameters::leastUrgent() const
{
    return m_catalogue->urgencyScale(m_pool).leastUrgent();
}

Duration PoolParameters::tightestFirstToken() const
{
    Duration tightest = Duration::max();
    for (const RequestClass *requestClass : classes()) {
        tightest = std::min(tightest, requestClass->firstToken);
    }
    return tightest;
}

} // namespace Yokepond::Dispatch
