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

    /// Returns the parameters of the class with its own rank.
    ClassParameters forClass(const Configuration::RequestClass &requestClass) const;

    /// Returns the parameters for an ask of rank @p rank; 0 stands for the rank of the class.
    ClassParameters forClass(const Configuration::RequestClass &requestClass, int rank) const;

    /// Returns the rank of the pool's least urgent class; 0 if the pool has no classes.
    int lowestRank() const;

    /// Returns the shortest first-token target of the pool's classes.
    Base::Duration tightestFirstToken() const;

private:
    std::vector<const Configuration::RequestClass *> classes() const;
    /// Returns the shortest first-token target of the classes more urgent than @p rank; zero if there are none.
    Base::Duration tightestAbove(int rank) const;
    bool hasTightestGap(const Configuration::RequestClass &requestClass) const;

    std::shared_ptr<const Configuration::Catalogue> m_catalogue;
    std::uint32_t m_pool;
};

} // namespace Yokepond::Dispatch
