// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/changescodec.h"

#include "Base/compression.h"
#include "Base/error.h"

#include <fmt/format.h>

namespace Yokepond::Configuration {

namespace {

/// Twenty times the size of configuration that this is designed for, and an eighth of the memory that a host may use.
constexpr std::size_t maxUnpackedBytes = std::size_t {16} << 20U;
/// Maximum number of cached configuration changes: one for each version that receivers still have.
constexpr std::size_t maxCached = 8;

/// Returns the value of @p configuration as it appears in the text of changes, so that the compressor finds equal parts; empty if
/// there is no configuration.
std::string dictionaryOf(const Record *configuration)
{
    return configuration == nullptr
        ? std::string()
        : nlohmann::json(configuration->value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<PackedChanges> packAgainst(const RecordChanges &changes, const Record *configuration, std::uint64_t base)
{
    auto bytes = Base::compress(changesToText(changes, Base::now()), dictionaryOf(configuration));
    if (!bytes.ok()) {
        return bytes.status();
    }
    return PackedChanges {std::move(*bytes), base};
}

} // namespace

absl::StatusOr<PackedChanges> ChangesCodec::pack(const SiteRecords &records, const RecordRevisions &since, RecordKind kind)
{
    if (kind != RecordKind::Endpoint) {
        return packConfiguration(records, since);
    }
    return packAgainst(records.changesSince(since, kind), nullptr, 0);
}

absl::StatusOr<PackedChanges> ChangesCodec::packConfiguration(const SiteRecords &records, const RecordRevisions &since)
{
    const std::uint64_t revision = records.revisions().configuration;
    if (revision != m_cachedRevision || m_cache.size() >= maxCached) {
        m_cache.clear();
        m_cachedRevision = revision;
    }
    const auto cached = m_cache.find(since.configuration);
    if (cached != m_cache.end()) {
        return cached->second;
    }
    const std::uint64_t base = records.configurationVersionAt(since.configuration);
    auto packed = packAgainst(records.changesSince(since, RecordKind::Configuration),
                              base == 0 ? nullptr : records.configurationAt(base), base);
    if (packed.ok()) {
        m_cache[since.configuration] = *packed;
    }
    return packed;
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
