// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/siterecords.h"

#include "Base/hash.h"

#include <algorithm>
#include <ranges>
#include <set>
#include <string_view>

namespace Yokepond::Configuration {

namespace {

/// Previous configurations are kept because changes for hosts that still have one of them are compressed against it. The limits
/// suffice for several changes in quick succession; the latest previous configuration is always kept.
constexpr std::size_t maxPrevious = 8;
constexpr std::size_t maxPreviousBytes = std::size_t {1} << 20U; ///< a small part of the 128 MB of memory that a host may use

/// Number of removed records that are kept for hosts that lack the removals; the others get a list of all that is present.
constexpr std::size_t maxRemovals = 1000;

/// A record whose cold period ends later than that of the previous record by more than this tells of a new one. Each host learns
/// a remaining time with a delay, so that the end of the same period seems to move.
constexpr Base::Duration coldPeriodTolerance = std::chrono::seconds(1);

/// Returns a hash of the state of @p record; 0 if it is not present.
std::uint64_t hashOfState(const Record &record)
{
    if (record.removed || record.version == 0) {
        return 0;
    }
    const std::uint64_t name = Base::hash64(record.key, static_cast<std::uint64_t>(record.kind));
    return Base::combineHashes(name, Base::hash64(record.value, static_cast<std::uint64_t>(record.fault)));
}

} // namespace

const ChangesOfKind &changesOfKind(const RecordChanges &changes, RecordKind kind)
{
    return kind == RecordKind::Endpoint ? changes.endpoints : changes.configuration;
}

std::string faultReason(const Record &record)
{
    std::string reason(Base::nameOf(recordFaultNames, record.fault));
    return record.detail.empty() ? reason : reason + ": " + record.detail;
}

bool RecordRevisions::covers(const RecordRevisions &other) const
{
    return configuration >= other.configuration && endpoints >= other.endpoints;
}

std::uint64_t &RecordRevisions::forKind(RecordKind kind)
{
    return kind == RecordKind::Endpoint ? endpoints : configuration;
}

std::uint64_t RecordRevisions::forKind(RecordKind kind) const
{
    return kind == RecordKind::Endpoint ? endpoints : configuration;
}

bool SiteRecords::merge(const Record &record)
{
    const bool changed = apply(record);
    if (changed) {
        Knowledge &known = knowledge(record.kind);
        known.revision = std::max(known.revision, record.version);
    }
    return changed;
}

void SiteRecords::markUnconfirmed(const Record &record)
{
    const auto stored = m_records.find({record.kind, record.key});
    if (stored == m_records.end() || stored->second.record.version < record.version) {
        m_unconfirmed[{record.kind, record.key}] = record.version;
    }
}

bool SiteRecords::apply(const Record &record)
{
    if (record.kind == RecordKind::Configuration && record.fault != RecordFault::None) {
        return false;
    }
    const auto unconfirmed = m_unconfirmed.find({record.kind, record.key});
    if (unconfirmed != m_unconfirmed.end() && record.version >= unconfirmed->second) {
        m_unconfirmed.erase(unconfirmed);
    }
    Entry &stored = m_records[{record.kind, record.key}];
    if (record.version <= stored.record.version) {
        return false;
    }
    const bool isNew = stored.record.version == 0;
    Entry before = record.kind == RecordKind::Configuration ? stored : Entry {};
    const bool coldAgain = record.coldUntil > stored.record.coldUntil + coldPeriodTolerance;
    // The removal of a record that this copy never had is a change, too: a copy that has the record may ask this one. Only
    // present endpoints write their state again and again. Any other row that is written again was something else before, which
    // this copy may have missed and another may hold.
    const bool isRepeated = record.kind == RecordKind::Endpoint && !record.removed;
    const bool changed = isNew || !isRepeated || stored.record.removed || stored.record.value != record.value
        || stored.record.fault != record.fault || coldAgain;
    const Base::Instant coldUntil = coldAgain ? record.coldUntil : std::min(record.coldUntil, stored.record.coldUntil);
    if (changed) {
        updateHashes(stored.record, record);
    }
    std::string detail = std::move(stored.record.detail);
    if (changed) {
        detail = record.detail;
    }
    stored.record = record;
    stored.record.detail = std::move(detail);
    stored.record.coldUntil = isNew ? record.coldUntil : coldUntil;
    if (changed) {
        stored.changedAt = record.version;
    }
    if (changed && !isNew && record.kind == RecordKind::Configuration) {
        keepPrevious(std::move(before));
    }
    if (changed && record.removed) {
        keepRemoval({record.kind, record.key}, record.version);
    }
    return changed;
}

void SiteRecords::keepRemoval(const Key &key, std::uint64_t version)
{
    m_removals.emplace_back(key, version);
    if (m_removals.size() <= maxRemovals) {
        return;
    }
    const auto [oldest, removedAt] = m_removals.front();
    m_removals.pop_front();
    const auto stored = m_records.find(oldest);
    if (stored == m_records.end() || !stored->second.record.removed || stored->second.changedAt != removedAt) {
        return; // the record was written or removed again
    }
    m_records.erase(stored);
    Knowledge &known = knowledge(oldest.first);
    if (known.removalsFrom) {
        known.removalsFrom = std::max(*known.removalsFrom, removedAt);
    }
}

void SiteRecords::updateHashes(const Record &before, const Record &after)
{
    knowledge(after.kind).hash ^= hashOfState(before) ^ hashOfState(after);
}

bool SiteRecords::merge(const RecordChanges &changes)
{
    if (!revisions().covers({changes.configuration.since, changes.endpoints.since})) {
        return false;
    }
    bool changed = false;
    for (const Record &record : changes.records) {
        // A record may be newer than the revision of the other copy, if that copy lacks other records. It is stored all the same;
        // the revision rises only to that of the other copy.
        changed = (!wasRemovedBefore(record) && apply(record)) || changed;
    }
    changed = mergeKind(changes, RecordKind::Configuration) || changed;
    return mergeKind(changes, RecordKind::Endpoint) || changed;
}

bool SiteRecords::mergeKind(const RecordChanges &changes, RecordKind kind)
{
    const ChangesOfKind &merged = changesOfKind(changes, kind);
    Knowledge &known = knowledge(kind);
    const bool isFirst = known.revision == 0;
    switch (merged.scope) {
    case ChangesScope::None:
        return false;
    case ChangesScope::News:
        known.removalsFrom = isFirst ? std::nullopt : known.removalsFrom;
        return false;
    case ChangesScope::Changes:
        known.revision = std::max(known.revision, merged.revision);
        return false;
    case ChangesScope::List:
        break;
    }
    const bool changed = removeUnlisted(changes, kind);
    known.revision = std::max(known.revision, merged.revision);
    if (isFirst || !known.removalsFrom) {
        known.removalsFrom = merged.removalsFrom;
    }
    return changed;
}

bool SiteRecords::removeUnlisted(const RecordChanges &changes, RecordKind kind)
{
    const std::uint64_t revision = changesOfKind(changes, kind).revision;
    const RecordKind removable = kind == RecordKind::Endpoint ? RecordKind::Endpoint : RecordKind::Evacuation;
    std::set<std::string_view> listed;
    for (const Record &record :
         changes.records | std::views::filter([&](const Record &entry) { return entry.kind == removable; })) {
        listed.insert(record.key);
    }
    std::vector<Record> removals;
    for (const Record *record : present(removable)) {
        if (record->version <= revision && !listed.contains(record->key)) {
            removals.push_back({removable, record->key, std::max(record->version + 1, revision), true, {}});
        }
    }
    std::ranges::for_each(removals, [this](const Record &removal) { apply(removal); });
    return !removals.empty();
}

bool SiteRecords::wasRemovedBefore(const Record &record) const
{
    const Knowledge &known = knowledge(record.kind);
    return record.kind != RecordKind::Configuration && !record.removed && known.removalsFrom
        && record.version <= *known.removalsFrom && !m_records.contains({record.kind, record.key});
}

void SiteRecords::beginList(RecordKind kind)
{
    Knowledge &known = knowledge(kind);
    if (known.revision == 0) {
        known.removalsFrom.reset();
    }
}

void SiteRecords::endList(RecordKind kind, std::uint64_t version)
{
    Knowledge &known = knowledge(kind);
    known.removalsFrom = known.removalsFrom.value_or(version);
}

CopyState SiteRecords::state() const
{
    const RecordRevisions complete = revisions();
    return {{knowsRemovals(RecordKind::Configuration) ? complete.configuration : 0,
             knowsRemovals(RecordKind::Endpoint) ? complete.endpoints : 0},
            hashes()};
}

bool SiteRecords::knowsRemovals(RecordKind kind) const
{
    return knowledge(kind).removalsFrom.has_value();
}

SiteRecords::Knowledge &SiteRecords::knowledge(RecordKind kind)
{
    return kind == RecordKind::Endpoint ? m_endpoints : m_configuration;
}

const SiteRecords::Knowledge &SiteRecords::knowledge(RecordKind kind) const
{
    return kind == RecordKind::Endpoint ? m_endpoints : m_configuration;
}

RecordRevisions SiteRecords::revisions() const
{
    RecordRevisions complete {m_configuration.revision, m_endpoints.revision};
    for (const auto &[key, version] : m_unconfirmed) {
        std::uint64_t &revision = complete.forKind(key.first);
        revision = std::min(revision, version - 1);
    }
    return complete;
}

std::uint64_t SiteRecords::revision() const
{
    const RecordRevisions complete = revisions();
    return complete.configuration + complete.endpoints;
}

std::uint64_t SiteRecords::digest() const
{
    const RecordRevisions complete = revisions();
    const std::uint64_t held = Base::combineHashes(m_configuration.hash, m_endpoints.hash);
    return static_cast<std::uint32_t>(Base::combineHashes(Base::combineHashes(complete.configuration, complete.endpoints), held));
}

RecordHashes SiteRecords::hashes() const
{
    return {m_configuration.hash, m_endpoints.hash};
}

std::vector<const Record *> SiteRecords::present(RecordKind kind) const
{
    std::vector<const Record *> found;
    std::ranges::transform(presentWithVersions(kind), std::back_inserter(found), &PresentRecord::record);
    return found;
}

std::vector<PresentRecord> SiteRecords::presentWithVersions(RecordKind kind) const
{
    std::vector<PresentRecord> found;
    const auto ofKind = std::ranges::subrange(m_records.lower_bound({kind, {}}), m_records.end())
        | std::views::take_while([kind](const auto &entry) { return entry.first.first == kind; });
    for (const Entry &stored : ofKind | std::views::values) {
        if (!stored.record.removed && stored.record.version > 0) {
            found.push_back({&stored.record, stored.changedAt});
        }
    }
    return found;
}

std::vector<Record> SiteRecords::all() const
{
    std::vector<Record> records;
    std::ranges::transform(m_records | std::views::values, std::back_inserter(records), &Entry::record);
    return records;
}

RecordChanges SiteRecords::changesSince(const RecordRevisions &since) const
{
    RecordChanges changes = changesSince(since, RecordKind::Configuration);
    RecordChanges endpointChanges = changesSince(since, RecordKind::Endpoint);
    changes.endpoints = endpointChanges.endpoints;
    std::ranges::move(endpointChanges.records, std::back_inserter(changes.records));
    return changes;
}

RecordChanges SiteRecords::changesSince(const RecordRevisions &since, RecordKind kind) const
{
    RecordChanges changes;
    ChangesOfKind &told = kind == RecordKind::Endpoint ? changes.endpoints : changes.configuration;
    told = describeChanges(since.forKind(kind), kind);
    changes.sender = state();
    for (const Entry &stored : m_records | std::views::values) {
        const bool counts = (stored.record.kind == RecordKind::Endpoint) == (kind == RecordKind::Endpoint);
        const bool isListed
            = told.scope == ChangesScope::List && !stored.record.removed && stored.record.kind != RecordKind::Configuration;
        if (counts && (isListed || stored.changedAt > since.forKind(kind))) {
            changes.records.push_back(stored.record);
        }
    }
    return changes;
}

ChangesOfKind SiteRecords::describeChanges(std::uint64_t since, RecordKind kind) const
{
    const Knowledge &known = knowledge(kind);
    const std::uint64_t revision = revisions().forKind(kind);
    if (!known.removalsFrom) {
        // Hosts of earlier versions take the revision for reached whatever the scope. 0 would say nothing of this kind.
        return {ChangesScope::News, since, std::max<std::uint64_t>(since, 1), 0};
    }
    const bool knowsAllSince = since >= *known.removalsFrom;
    return {knowsAllSince ? ChangesScope::Changes : ChangesScope::List, knowsAllSince ? since : 0, revision, *known.removalsFrom};
}

const SiteRecords::Entry *SiteRecords::currentConfiguration() const
{
    // The records are sorted by kind, and the configuration is the first.
    const auto first = m_records.begin();
    const bool found = first != m_records.end() && first->second.record.kind == RecordKind::Configuration;
    return found ? &first->second : nullptr;
}

std::uint64_t SiteRecords::configurationChangedAt() const
{
    const Entry *current = currentConfiguration();
    return current == nullptr ? 0 : current->changedAt;
}

std::uint64_t SiteRecords::configurationVersionAt(std::uint64_t revision) const
{
    const Entry *current = currentConfiguration();
    if (current != nullptr && current->changedAt <= revision) {
        return current->changedAt;
    }
    const auto previous
        = std::ranges::find_if(m_previous, [revision](const Entry &entry) { return entry.changedAt <= revision; });
    return previous == m_previous.end() ? 0 : previous->changedAt;
}

const Record *SiteRecords::configurationAt(std::uint64_t changedAt) const
{
    const Entry *current = currentConfiguration();
    if (current != nullptr && current->changedAt == changedAt) {
        return &current->record;
    }
    const auto previous = std::ranges::find(m_previous, changedAt, &Entry::changedAt);
    return previous == m_previous.end() ? nullptr : &previous->record;
}

void SiteRecords::keepPrevious(Entry stored)
{
    m_previous.push_front(std::move(stored));
    std::size_t bytes = 0;
    std::size_t kept = 0;
    for (const Entry &previous : m_previous) {
        bytes += previous.record.value.size();
        kept += kept == 0 || bytes <= maxPreviousBytes ? 1 : 0;
    }
    m_previous.resize(std::min(kept, maxPrevious));
}

} // namespace Yokepond::Configuration
