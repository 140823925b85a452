// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/retrybudget.h"

#include <algorithm>

namespace Yokepond::Request {

RetryBudget::RetryBudget(double reserve, double most)
    : m_left(reserve)
    , m_most(most)
{
}

void RetryBudget::earn(double share)
{
    m_left = std::min(m_most, m_left + share);
}

bool RetryBudget::spend()
{
    if (m_left < 1.0) {
        return false;
    }
    m_left -= 1.0;
    return true;
}

double RetryBudget::left() const
{
    return m_left;
}

} // namespace Yokepond::Request
