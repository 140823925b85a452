// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Fuzzes the rows of the store: as a whole answer, and as the value of a row between good ones, which must stay usable.

#include "Base/error.h"
#include "Base/text.h"
#include "platform/rowspage.h"
#include "platform/siteform.h"

#include <fmt/format.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace Yokepond;
using Configuration::RecordKind;

namespace {

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

/// Merges @p page after a good configuration, and requires @p endpoints in the catalogue at least.
void decode(const Platform::RowsPage &page, std::size_t endpoints)
{
    Configuration::SiteRecords records;
    records.merge({RecordKind::Configuration, "config", 1, false, R"({"services":[],"routes":[]})"});
    for (const Configuration::Record &record : page.page.records) {
        records.merge(record);
    }
    const auto parts = Platform::decodeSite(records);
    require(parts.ok() && parts->endpoints.size() >= endpoints);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    for (const RecordKind kind : {RecordKind::Endpoint, RecordKind::Configuration}) {
        const auto page = Platform::parseRowsPage(kind, text, Base::now());
        require(page.ok() || Base::errorKind(page.status()) == Base::ErrorKind::InvalidValue);
        if (page.ok()) {
            decode(*page, 0);
        }
    }
    const std::string good = Base::encodeBase64(R"({"service":"s","address":"10.0.0.1:80","slots":1,"state":"ready"})");
    const auto row = [](char key, const std::string &value) {
        return fmt::format(R"({{"key_file":"{}","value":"{}","schema_version":5}})", key, value);
    };
    const auto between = Platform::parseRowsPage(RecordKind::Endpoint,
                                                 fmt::format(R"({{"rows":[{},{},{}],"schema_version":9}})", row('a', good),
                                                             row('b', Base::encodeBase64(text)), row('c', good)),
                                                 Base::now());
    require(between.ok());
    decode(*between, 2);
    return 0;
}
