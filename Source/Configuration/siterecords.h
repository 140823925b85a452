// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A host's copy of the configuration and the endpoint list that the platform stores, as versioned records. Hosts merge changes
/// of each other's copies: of two states of a record, the one with the higher version wins.

#pragma once

#include "Base/names.h"
#include "Base/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Yokepond::Configuration {

/// An Evacuation record exists while no endpoint of a data centre, which is its key, may get new requests. Records of this kind
/// are read together with the configuration and count towards its revision.
enum class RecordKind { Configuration, Endpoint, Evacuation };

inline constexpr Base::NameTable<RecordKind, 3> recordKindNames = {{
    {RecordKind::Configuration, "configuration"},
    {RecordKind::Endpoint, "endpoint"},
    {RecordKind::Evacuation, "evacuation"},
}};

/// What is wrong with a row of the platform's store that another writer left.
enum class RecordFault {
    None,
    Row, ///< the row is no list of fields
    Key, ///< the row has no key that could be read
    Version, ///< the version of the row is missing, or none that the store assigns
    Removal, ///< whether the row is removed cannot be read
    Value, ///< the value is missing, or not in the platform's format
};

inline constexpr Base::NameTable<RecordFault, 6> recordFaultNames = {{
    {RecordFault::None, "none"},
    {RecordFault::Row, "row-unreadable"},
    {RecordFault::Key, "key-unreadable"},
    {RecordFault::Version, "version-unreadable"},
    {RecordFault::Removal, "removal-unreadable"},
    {RecordFault::Value, "value-unreadable"},
}};

/// One state of a record. The platform assigns the versions of all records from one counter.
struct Record
{
    RecordKind kind = RecordKind::Configuration;
    std::string key;
    std::uint64_t version = 0;
    bool removed = false;
    std::string value; ///< in the platform's format, without fields that change with every heartbeat; empty if removed
    /// End of the period in which the endpoint is cold, as this host knows it; in the past if it is not cold.
    Base::Instant coldUntil {};
    /// What makes the record unusable; its value is empty then. It is one state whatever the platform's store has, so that copies
    /// are equal, and heartbeats of an unusable record are no changes.
    RecordFault fault = RecordFault::None;
    std::string detail {}; ///< tells more of the fault in logs, as it was seen first; not a part of the state

    bool operator==(const Record &) const = default;
};

/// Returns why @p record cannot be used, as a text for logs.
std::string faultReason(const Record &record);

/// The revisions of a copy: the highest version at which the state of a record changed. The endpoints have one, and the
/// configuration and the evacuations have one together.
struct RecordRevisions
{
    std::uint64_t configuration = 0;
    std::uint64_t endpoints = 0;

    /// Returns the revision to which the records of @p kind count.
    std::uint64_t &forKind(RecordKind kind);
    std::uint64_t forKind(RecordKind kind) const;

    bool operator==(const RecordRevisions &) const = default;

    /// Returns whether a copy at these revisions has everything that a copy at @p other has.
    bool covers(const RecordRevisions &other) const;
};

/// Hashes of the records of a copy, by the revision that the records count towards.
struct RecordHashes
{
    std::uint64_t configuration = 0;
    std::uint64_t endpoints = 0;

    bool operator==(const RecordHashes &) const = default;
};

/// What the records of a message are, of those that count towards one revision.
enum class ChangesScope {
    None, ///< the message says nothing of them
    News, ///< some that changed; the sender does not know everything that was removed before
    Changes, ///< all that changed since the revision that the receiver has
    List, ///< all that are present: what the receiver has beside them was removed
};

inline constexpr Base::NameTable<ChangesScope, 4> changesScopeNames = {{
    {ChangesScope::None, "none"},
    {ChangesScope::News, "news"},
    {ChangesScope::Changes, "changes"},
    {ChangesScope::List, "list"},
}};

/// The changes that count towards one revision of a copy.
struct ChangesOfKind
{
    ChangesScope scope = ChangesScope::None;
    std::uint64_t since = 0; ///< the receiver must have reached this revision
    std::uint64_t revision = 0; ///< the receiver reaches this revision
    std::uint64_t removalsFrom = 0; ///< the sender knows everything that was removed after this version
};

/// What a copy holds. Two copies at equal revisions that hold different records are not complete, one of them or both.
struct CopyState
{
    RecordRevisions revisions; ///< 0 where the copy does not know what was removed
    RecordHashes hashes;
};

/// The changes between two revisions of a copy, to be sent to another host.
struct RecordChanges
{
    ChangesOfKind configuration; ///< with the evacuations
    ChangesOfKind endpoints;
    std::vector<Record> records;
    CopyState sender; ///< all 0 if the sender, of an earlier version, does not tell it
};

/// Returns what @p changes say of the records that count towards the revision of @p kind.
const ChangesOfKind &changesOfKind(const RecordChanges &changes, RecordKind kind);

/// A record that is not removed, and the version at which its state changed last.
struct PresentRecord
{
    const Record *record = nullptr;
    std::uint64_t changedAt = 0;
};

/// The latest known state of each record of the platform. Removed records are kept as tombstones, the latest ones only.
class SiteRecords
{
public:
    /// Stores @p record if its version is higher than the stored one. Returns whether the state of the record changed. A
    /// configuration that cannot be used is not stored, so that the last usable one stays in force, at hosts that start later,
    /// too.
    bool merge(const Record &record);

    /// Merges changes of another host's copy. Returns whether the state of any record changed. Ignores changes since a revision
    /// that this copy has not reached, because they would leave a gap.
    bool merge(const RecordChanges &changes);

    /// Notes that the records that are merged next are those that the platform's store has. A copy without any records does not
    /// know what was removed before, so that it cannot tell others what changed until then.
    void beginList(RecordKind kind);

    /// Notes that all records that the platform's store had at @p version were merged, and what it did not have was removed. The
    /// list must not lack endpoints that the store lost while it was down.
    void endList(RecordKind kind, std::uint64_t version);

    /// Returns whether this copy can tell other hosts what was removed, if not since their revision then by a list.
    bool knowsRemovals(RecordKind kind) const;

    /// Returns what this copy holds, for comparison with others.
    CopyState state() const;

    /// Notes that the platform reported @p record and that it is not confirmed yet, such as a removal after an outage of the
    /// platform. Until this or a later state of the record is merged, revisions() stays below its version, so that other hosts
    /// do not take this copy for complete.
    void markUnconfirmed(const Record &record);

    /// Returns the revisions up to which this copy is complete. A version that an endpoint's heartbeat raised without any other
    /// change does not count, so that equal copies reach equal revisions.
    RecordRevisions revisions() const;

    /// Returns the sum of both revisions, which increases with every change of either kind and is equal for equal copies.
    std::uint64_t revision() const;

    /// Returns a hash of revisions() and hashes() by which other hosts notice that their copy differs; 0 for a copy without
    /// records. The sum, revision(), may be equal for different copies if one has the newer configuration and the other the newer
    /// endpoints. The hash has only 32 bits because every probe carries it.
    std::uint64_t digest() const;

    /// Returns hashes of the states of the present records. They are equal for copies that hold the same records, whatever these
    /// were told before; heartbeats and cold periods do not count.
    RecordHashes hashes() const;

    /// Returns the records of @p kind that are not removed, sorted by key.
    std::vector<const Record *> present(RecordKind kind) const;

    /// Returns the same records with the versions of their last changes.
    std::vector<PresentRecord> presentWithVersions(RecordKind kind) const;

    /// Returns all records, including removed ones.
    std::vector<Record> all() const;

    /// Returns the records whose state changed after @p since, including removed ones, or all records if this copy does not know
    /// everything that was removed since then.
    RecordChanges changesSince(const RecordRevisions &since) const;

    /// Returns the changes of the records that count towards the revision of @p kind. The result contains no information about
    /// the others.
    RecordChanges changesSince(const RecordRevisions &since, RecordKind kind) const;

    /// Returns the state that the configuration record reached at version @p changedAt, or null if that is neither its current
    /// state nor one of the previous states that are kept.
    const Record *configurationAt(std::uint64_t changedAt) const;

    /// Returns the version at which the configuration record reached its state; 0 if there is none.
    std::uint64_t configurationChangedAt() const;

    /// Returns the version at which the configuration record reached the state that it has in a copy at @p revision, as far as
    /// this copy knows; 0 if that state is not kept. A copy that missed a version of the record may be wrong about it.
    std::uint64_t configurationVersionAt(std::uint64_t revision) const;

private:
    struct Entry
    {
        Record record;
        std::uint64_t changedAt = 0; ///< version at which its state changed last
    };

    using Key = std::pair<RecordKind, std::string>;

    /// What this copy knows of the records that count towards one revision.
    struct Knowledge
    {
        std::uint64_t revision = 0; ///< does not take unconfirmed records into account
        std::uint64_t hash = 0; ///< of the states of the present records
        /// Everything that was removed after this version is known. Nothing if that is so from no version on.
        std::optional<std::uint64_t> removalsFrom = 0;
    };

    bool apply(const Record &record);
    /// Notes that the record of @p key was removed at @p version, and drops the one that was removed first if there are too many.
    void keepRemoval(const Key &key, std::uint64_t version);
    bool mergeKind(const RecordChanges &changes, RecordKind kind);
    /// Removes what @p changes, a list, does not have and that is not newer than the list. Returns whether there was anything.
    bool removeUnlisted(const RecordChanges &changes, RecordKind kind);
    /// Returns whether @p record, which another host has and this copy never had, was removed before this copy began.
    bool wasRemovedBefore(const Record &record) const;
    /// Returns what changes after @p since are to be sent, without the records.
    ChangesOfKind describeChanges(std::uint64_t since, RecordKind kind) const;
    Knowledge &knowledge(RecordKind kind);
    const Knowledge &knowledge(RecordKind kind) const;
    void updateHashes(const Record &before, const Record &after);
    /// Returns the present state of the configuration record, or null if there is none.
    const Entry *currentConfiguration() const;
    void keepPrevious(Entry stored);

    std::map<Key, Entry> m_records;
    std::deque<Entry> m_previous; ///< configurations that were replaced, latest first
    std::deque<std::pair<Key, std::uint64_t>> m_removals; ///< records that were removed, oldest first, with the version
    std::map<Key, std::uint64_t> m_unconfirmed; ///< versions of records that are not confirmed yet
    Knowledge m_configuration; ///< of the configuration and the evacuations
    Knowledge m_endpoints;
};

} // namespace Yokepond::Configuration
