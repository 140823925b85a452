// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/changescodec.h"

#include "Base/compression.h"
#include "Base/error.h"

#include <fmt/format.h>

namespace Yokepond::Configuration {

namespace {

/// Twenty times the configuration of the size this is built for, and an eighth of the memory that a host may use.
constexpr std::size_t mostUnpacked = std::size_t {16} << 20U;
/// Packed configurations that are kept: one for each that hosts still hold.
constexpr std::size_t mostKept = 8;

/// @p configuration as its value stands in the text of changes, so that equal parts are found there; empty if there is none.
std::string knownText(const Record *configuration)
{
    return configuration == nullptr
        ? std::string()
        : nlohmann::json(configuration->value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<PackedChanges> packAgainst(const RecordChanges &changes, const Record *configuration, std::uint64_t base)
{
    auto bytes = Base::compress(changesToText(changes), knownText(configuration));
    if (!bytes.ok()) {
        return bytes.status();
    }
    return PackedChanges {std::move(*bytes), base};
}

} // namespace

absl::StatusOr<PackedChanges> ChangesCodec::pack(const SiteRecords &records, const RecordRevisions &since, RecordKind kind)
{
    if (kind == RecordKind::Configuration) {
        return packConfiguration(records, since);
    }
    return packAgainst(records.changesSince(since, kind), nullptr, 0);
}

absl::StatusOr<PackedChanges> ChangesCodec::packConfiguration(const SiteRecords &records, const RecordRevisions &since)
{
    const std::uint64_t revision = records.revisions().configuration;
    if (revision != m_packedRevision || m_configurations.size() >= mostKept) {
        m_configurations.clear();
        m_packedRevision = revision;
    }
    const auto kept = m_configurations.find(since.configuration);
    if (kept != m_configurations.end()) {
        return kept->second;
    }
    const Record *held = records.configurationAt(since.configuration);
    auto packed
        = packAgainst(records.changesSince(since, RecordKind::Configuration), held, held == nullptr ? 0 : since.configuration);
    if (packed.ok()) {
        m_configurations[since.configuration] = *packed;
    }
    return packed;
}

absl::StatusOr<RecordChanges> ChangesCodec::unpack(const SiteRecords &records, const PackedChanges &packed)
{
    const Record *base = packed.base == 0 ? nullptr : records.configurationAt(packed.base);
    if (packed.base != 0 && base == nullptr) {
        return makeError(Base::ErrorKind::InvalidValue,
                         fmt::format("changes are against the configuration of version {}, which is not held here", packed.base));
    }
    const auto text = Base::decompress(packed.bytes, knownText(base), mostUnpacked);
    if (!text.ok()) {
        return text.status();
    }
    return changesFromText(*text);
}

} // namespace Yokepond::Configuration
