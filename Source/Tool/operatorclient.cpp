// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Tool/operatorclient.h"

#include "Base/loop.h"

#include <fmt/format.h>

namespace Yokepond::Tool {

namespace {

constexpr Base::Duration responseTimeout = std::chrono::seconds(30);

} // namespace

OperatorResponse sendOperatorRequest(const OperatorAccess &access, const std::string &method, const std::string &path,
                                     const Http::Headers &headers, const std::string &body)
{
    Base::Loop loop;
    Http::Client client(loop);
    Http::Transfer transfer {.method = method,
                             .url = fmt::format("http://{}{}", access.host, path),
                             .headers = headers,
                             .body = body,
                             .totalTimeout = responseTimeout};
    transfer.headers.push_back({"Authorization", fmt::format("Bearer {}", access.key)});
    OperatorResponse response;
    fetch(client, std::move(transfer), [&](const Http::TransferResult &result, std::string text) {
        response = {result.stage == Http::TransferStage::Complete, result.status, std::move(text), result.detail};
        loop.stop();
    });
    loop.run();
    return response;
}

} // namespace Yokepond::Tool
