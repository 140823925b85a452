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
#include <deque>
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

/// How far a copy has come: of each kind, the highest version at which a record's state changed.
struct RecordRevisions
{
    std::uint64_t configuration = 0;
    std::uint64_t endpoints = 0;

    std::uint64_t &forKind(RecordKind kind);
    std::uint64_t forKind(RecordKind kind) const;

    bool operator==(const RecordRevisions &) const = default;

    /// Whether nothing is missing here that a copy at @p other has.
    bool covers(const RecordRevisions &other) const;
};

/// What changed between two revisions of a copy, for another host.
struct RecordChanges
{
    RecordRevisions since;
    RecordRevisions revisions;
    std::vector<Record> records;
};

class SiteRecords
{
public:
    /// Takes @p record if its version is higher than that of the state held; returns whether its state differs from it.
    bool merge(const Record &record);

    /// Takes over what changed in another host's copy; returns whether any state held here changed. Changes since a revision
    /// that this copy has not reached would leave a gap: they are passed over.
    bool merge(const RecordChanges &changes);

    /// Notes that @p record is known of and not believed yet: this copy lacks it, and says so to others, until it or a later
    /// state of it is merged.
    void markUnconfirmed(const Record &record);

    /// Up to where this copy lacks nothing. Versions that heartbeats raise do not count, so that equal copies come to have
    /// equal revisions.
    RecordRevisions revisions() const;

    /// One number that grows with every change of either kind, and is equal for equal copies.
    std::uint64_t revision() const;

    /// For other hosts to tell whether their copy differs. Unlike the revision it differs also where one copy has the newer
    /// configuration and the other the newer endpoints, and their versions add up to the same. Of 32 bits, since every probe
    /// carries it.
    std::uint64_t digest() const;

    /// Records of @p kind that are there, by key.
    std::vector<const Record *> present(RecordKind kind) const;

    /// All records, the removed ones among them.
    std::vector<Record> all() const;

    /// Records whose state changed after @p since, the removed ones among them.
    RecordChanges changesSince(const RecordRevisions &since) const;

    /// The same of one kind only; of the other they say nothing.
    RecordChanges changesSince(const RecordRevisions &since, RecordKind kind) const;

    /// The configuration as it came to be at version @p changedAt, if that is the present one or not long ago; else null.
    const Record *configurationAt(std::uint64_t changedAt) const;

private:
    struct Held
    {
        Record record;
        std::uint64_t changedAt = 0; ///< the version at which its state came to be what it is
    };

    using Key = std::pair<RecordKind, std::string>;

    bool take(const Record &record);
    void keepEarlier(Held held);

    std::map<Key, Held> m_records;
    std::deque<Held> m_earlier; ///< configurations that were replaced, the latest first
    std::map<Key, std::uint64_t> m_expected; ///< versions of records that are not believed yet
    RecordRevisions m_revisions; ///< those expected left aside
};

/// @p changes as text, for peers.
std::string changesToText(const RecordChanges &changes);

/// Fails with ErrorKind::InvalidValue.
absl::StatusOr<RecordChanges> changesFromText(std::string_view text);

} // namespace Yokepond::Configuration
