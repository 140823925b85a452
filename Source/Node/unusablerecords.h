// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Counts and logs the rows and records of the platform's store that cannot be used.

#pragma once

#include "Base/time.h"
#include "Configuration/siterecords.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace Yokepond::Node {

/// Logs a line when it becomes known that a record cannot be used, or for another reason than before; its heartbeats are only
/// counted.
class UnusableRecords
{
public:
    using Fault = std::pair<Configuration::RecordKind, Configuration::RecordFault>;
    using Reasons = std::map<std::string, std::string>; ///< reason by the key of the record

    /// Counts a row that this host read.
    void countRow(Configuration::RecordKind kind, Configuration::RecordFault fault);

    /// Counts a row that this host read and no record can be made of, in the table of @p kind. Logs it unless there was one with
    /// the same fault shortly before @p now.
    void skipRow(Base::Instant now, Configuration::RecordKind kind, Configuration::RecordFault fault);

    /// Sets which records of @p kind cannot be used, and logs those that were not known. @p revision is that of the records.
    void update(Configuration::RecordKind kind, const Reasons &reasons, std::uint64_t revision);

    /// Returns how many records of @p kind cannot be used.
    std::size_t count(Configuration::RecordKind kind) const;

    /// Returns how many rows with each fault this host read.
    const std::map<Fault, std::uint64_t> &rows() const;

private:
    std::map<Fault, std::uint64_t> m_rows;
    std::map<Fault, Base::Instant> m_lastSkipped; ///< when a row was last skipped, by its fault
    std::map<Configuration::RecordKind, Reasons> m_reasons; ///< the records that cannot be used, with bounded texts
};

} // namespace Yokepond::Node
