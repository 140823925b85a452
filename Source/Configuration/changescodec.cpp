// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/changescodec.h"

#include "Base/compression.h"
#include "Base/error.h"
#include "Base/hash.h"
#include "Configuration/changestext.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Yokepond::Configuration {

namespace {

/// Twenty times the size of configuration that this is designed for, and an eighth of the memory that a host may use.
constexpr std::size_t maxUnpackedBytes = std::size_t {16} << 20U;
/// Maximum number of cached changes: one for each version that receivers still have.
constexpr std::size_t maxCached = 8;
/// Changes of endpoints tell how long these are still cold, so that they must not be sent much later.
constexpr Base::Duration maxCacheAge = std::chrono::milliseconds(500);

/// Returns the value of @p configuration as it appears in the text of changes, so that the compressor finds equal parts; empty if
/// there is no configuration.
std::string dictionaryOf(const Record *configuration)
{
    return configuration == nullptr
        ? std::string()
        : nlohmann::json(configuration->value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Returns a hash of what the changes of @p kind in @p records depend on.
std::uint64_t stateOf(const SiteRecords &records, RecordKind kind)
{
    const RecordHashes hashes = records.hashes();
    const std::uint64_t hash = kind == RecordKind::Endpoint ? hashes.endpoints : hashes.configuration;
    const std::uint64_t revision = records.revisions().forKind(kind);
    return Base::combineHashes(Base::combineHashes(revision, hash), records.knowsRemovals(kind) ? 1 : 0);
}

absl::StatusOr<PackedChanges> packAgainst(const RecordChanges &changes, Base::Instant now, const Record *configuration,
                                          std::uint64_t base)
{
    auto bytes = Base::compress(changesToText(changes, now), dictionaryOf(configuration));
    if (!bytes.ok()) {
        return bytes.status();
    }
    return PackedChanges {std::move(*bytes), base};
}

} // namespace

ChangesCodec::ChangesCodec(std::function<Base::Instant()> clock)
    : m_clock(std::move(clock))
{
}

void ChangesCodec::Cache::prune(std::uint64_t current, Base::Instant now)
{
    if (state != current || bySince.size() >= maxCached || now - begun >= maxCacheAge) {
        bySince.clear();
        state = current;
        begun = now;
    }
}

absl::StatusOr<PackedChanges> ChangesCodec::pack(const SiteRecords &records, const RecordRevisions &since, RecordKind kind)
{
    Cache &cache = kind == RecordKind::Endpoint ? m_endpoints : m_configurations;
    cache.prune(stateOf(records, kind), m_clock());
    if (const auto cached = cache.bySince.find(since.forKind(kind)); cached != cache.bySince.end()) {
        return cached->second;
    }
    auto packed = kind == RecordKind::Endpoint ? packAgainst(records.changesSince(since, kind), m_clock(), nullptr, 0)
                                               : packConfiguration(records, since);
    if (packed.ok()) {
        cache.bySince[since.forKind(kind)] = *packed;
    }
    return packed;
}

absl::StatusOr<PackedChanges> ChangesCodec::packConfiguration(const SiteRecords &records, const RecordRevisions &since) const
{
    const std::uint64_t base = records.configurationVersionAt(since.configuration);
    return packAgainst(records.changesSince(since, RecordKind::Configuration), m_clock(),
                       base == 0 ? nullptr : records.configurationAt(base), base);
}

absl::StatusOr<RecordChanges> ChangesCodec::unpack(const SiteRecords &records, const PackedChanges &packed)
{
    const Record *base = packed.base == 0 ? nullptr : records.configurationAt(packed.base);
    if (packed.base != 0 && base == nullptr) {
        return makeError(Base::ErrorKind::InvalidValue,
                         fmt::format("the changes are compressed against configuration version {}, which this host no longer has",
                                     packed.base));
    }
    const auto text = Base::decompress(packed.bytes, dictionaryOf(base), maxUnpackedBytes);
    if (!text.ok()) {
        return text.status();
    }
    return changesFromText(*text, Base::now());
}

} // namespace Yokepond::Configuration
