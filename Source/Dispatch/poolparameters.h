// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Scheduling parameters of the classes of one pool.

#pragma once

#include "Base/time.h"
#include "Configuration/catalogue.h"
#include "Dispatch/queuedask.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace Yokepond::Dispatch {

/// Computes the parameters of each class, some of which depend on the other classes of the pool.
class PoolParameters
{
public:
    PoolParameters(std::shared_ptr<const Configuration::Catalogue> catalogue, std::uint32_t pool);

    /// Returns the parameters for an ask of the class from an organisation of rank @p organisationRank; 0 stands for no rank.
    ClassParameters forClass(const Configuration::RequestClass &requestClass, int organisationRank = 0) const;

    /// Returns the urgency of the pool's least urgent requests.
    Configuration::Urgency leastUrgent() const;

    /// Returns the shortest first-token target of the pool's classes.
    Base::Duration tightestFirstToken() const;

private:
    std::vector<const Configuration::RequestClass *> classes() const;
    /// Returns the shortest first-token target of the requests that are more urgent than @p urgency; zero if there are none.
    Base::Duration tightestAbove(const Configuration::Urgency &urgency) const;
    bool hasTightestGap(const Configuration::RequestClass &requestClass) const;

    std::shared_ptr<const Configuration::Catalogue> m_catalogue;
    std::uint32_t m_pool;
};

} // namespace Yokepond::Dispatch
