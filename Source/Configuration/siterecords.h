// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A host's copy of a configuration and a list of endpoints that the platform keeps, as records with versions. Copies of
/// different hosts merge: of two states of a record, the one with the higher version counts.

#pragma once

#include "Base/names.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Yokepond::Configuration {

enum class RecordKind { Configuration, Endpoint };

inline constexpr Base::NameTable<RecordKind, 2> recordKindNames = {{
    {RecordKind::Configuration, "configuration"},
    {RecordKind::Endpoint, "endpoint"},
}};

/// One state of a record. The versions of all records come from one counter of the platform's.
struct Record
{
    RecordKind kind = RecordKind::Configuration;
    std::string key;
    std::uint64_t version = 0;
    bool removed = false;
    std::string value; ///< in the platform's form, without what changes at every heartbeat; empty if removed

    bool operator==(const Record &) const = default;
};

class SiteRecords
{
public:
    /// Takes @p record if its version is higher than that of the state held; returns whether its state differs from it.
    bool merge(const Record &record);

    /// Takes over the records of another host's copy; returns whether any state held here changed.
    bool merge(const SiteRecords &other);

    /// The highest version at which a record's state changed, here or in a copy merged into this one. Versions that
    /// heartbeats raise do not count, so that equal copies come to have equal revisions.
    std::uint64_t revision() const;

    /// Records of @p kind that are there, by key.
    std::vector<const Record *> present(RecordKind kind) const;

    /// All records, the removed ones among them.
    std::vector<Record> all() const;

    /// For a copy that came as text.
    void raiseRevision(std::uint64_t revision);

private:
    std::map<std::pair<RecordKind, std::string>, Record> m_records;
    std::uint64_t m_revision = 0;
};

/// @p records as text, for peers.
std::string recordsToText(const SiteRecords &records);

/// Fails with ErrorKind::InvalidValue.
absl::StatusOr<SiteRecords> recordsFromText(std::string_view text);

} // namespace Yokepond::Configuration
