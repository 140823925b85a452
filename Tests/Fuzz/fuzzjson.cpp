// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Fuzzes the parsers of JSON input: prompts, snapshots, changes, operation records, usage rows, host lists, and platform
/// records. An invalid prompt must give InvalidRequest, a valid one can be written, and one invalid endpoint record must not
/// invalidate the whole site.

#include "Base/error.h"
#include "Configuration/changescodec.h"
#include "Configuration/changestext.h"
#include "Configuration/store.h"
#include "Platform/hostlist.h"
#include "Relay/prompt.h"
#include "Request/journal.h"
#include "Usage/usagerow.h"
#include "platform/siteform.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace Yokepond;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto prompt = Relay::parsePrompt(text, true);
    if (!prompt.ok() && Base::errorKind(prompt.status()) != Base::ErrorKind::InvalidRequest) {
        std::abort();
    }
    if (prompt.ok() && prompt->body.dump().empty()) {
        std::abort();
    }
    (void)Configuration::Objects::fromJson(Configuration::parseJson(text));
    (void)Configuration::changeFromJson(Configuration::parseJson(text));
    (void)Configuration::headFromText(text);
    (void)Request::recordFromText(text);
    (void)Usage::parseRow(text);
    (void)Platform::parseHostList(text);
    (void)Configuration::changesFromText(text, Base::now());
    Configuration::SiteRecords records;
    (void)Configuration::ChangesCodec::unpack(records, {text, 0});
    records.merge({Configuration::RecordKind::Configuration, "config", 1, false, text});
    (void)Platform::decodeSite(records);
    records.merge({Configuration::RecordKind::Configuration, "config", 2, false, R"({"services":[],"routes":[]})"});
    records.merge({Configuration::RecordKind::Endpoint, "e1", 3, false, text});
    if (!Platform::decodeSite(records).ok()) {
        std::abort();
    }
    return 0;
}
