// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Platform/hostlist.h"

#include "Base/error.h"
#include "Base/json.h"
#include "Base/text.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Yokepond::Platform {

namespace {

constexpr int httpOk = 200;

absl::Status malformed(std::string_view reason)
{
    return Base::makeError(Base::ErrorKind::InvalidValue, fmt::format("the platform's host list cannot be parsed: {}", reason));
}

} // namespace

absl::StatusOr<std::vector<ListedHost>> parseHostList(std::string_view json)
{
    const auto list = Base::decodeJson(json);
    if (!list.ok()) {
        return malformed(Base::messageOf(list.status()));
    }
    try {
        std::vector<ListedHost> hosts;
        for (const nlohmann::json &entry : *list) {
            hosts.push_back({entry.at("name").get<std::string>(), entry.at("address").get<std::string>(),
                             entry.value("role", "router"),
                             entry.value("state", "live") == "leaving" ? ListedState::Leaving : ListedState::Live});
        }
        return hosts;
    } catch (const nlohmann::json::exception &exception) {
        return malformed(exception.what());
    }
}

void fetchHostList(Http::Client &client, const Base::Address &platform, Base::Duration timeout, HostListHandler handler)
{
    Http::Transfer transfer {.url = fmt::format("http://{}/hosts", platform.text()), .totalTimeout = timeout};
    fetch(client, std::move(transfer),
          [handler = std::move(handler)](const Http::TransferResult &result, const std::string &body) {
              if (result.stage != Http::TransferStage::Complete || result.status != httpOk) {
                  handler(Base::makeError(Base::ErrorKind::StoreUnavailable,
                                          fmt::format("the platform's host list could not be fetched: {}", result.detail)));
                  return;
              }
              handler(parseHostList(body));
          });
}

} // namespace Yokepond::Platform
