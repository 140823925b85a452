// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What the classes of one pool ask for, each by itself and beside the others.

#pragma once

#include "Base/time.h"
#include "Configuration/catalogue.h"
#include "Dispatch/queuedask.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace Yokepond::Dispatch {

class PoolParameters
{
public:
    PoolParameters(std::shared_ptr<const Configuration::Catalogue> catalogue, std::uint32_t pool);

    ClassParameters forClass(const Configuration::RequestClass &requestClass) const;

    /// The same for an ask whose rank is @p rank; 0: that of its class.
    ClassParameters forClass(const Configuration::RequestClass &requestClass, int rank) const;

    /// The rank of the pool's least urgent class; 0 if it has none.
    int lowestRank() const;

    /// The shortest first-token target of the pool's classes.
    Base::Duration tightestFirstToken() const;

private:
    std::vector<const Configuration::RequestClass *> classes() const;
    /// The shortest first-token target of the classes more urgent than @p rank; zero if there are none.
    Base::Duration tightestAbove(int rank) const;

    std::shared_ptr<const Configuration::Catalogue> m_catalogue;
    std::uint32_t m_pool;
};

} // namespace Yokepond::Dispatch
