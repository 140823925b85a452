// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The exchange of a request that another host forwarded.

#pragma once

#include "Http/server.h"

#include <functional>
#include <string>
#include <string_view>

namespace Yokepond::Relay {

/// Takes the place of a caller's connection for a request that another host forwarded.
///
/// It collects the response in memory and passes it to a handler. The other host sends it to the caller.
class AdoptedExchange : public Http::Exchange
{
public:
    using ResponseHandler = std::function<void(Http::Response)>;

    AdoptedExchange(Http::Request request, ResponseHandler handler)
        : m_request(std::move(request))
        , m_handler(std::move(handler))
    {
    }

    const Http::Request &request() const override
    {
        return m_request;
    }

    void respond(Http::Response response) override
    {
        m_handler(std::move(response));
    }

    void beginStream(int status, Http::Headers headers) override
    {
        m_response = {status, std::move(headers), {}};
    }

    void write(std::string_view bytes) override
    {
        m_response.body.append(bytes);
    }

    void setTrailer(Http::Header header) override
    {
        m_response.headers.push_back(std::move(header));
    }

    void finish() override
    {
        m_handler(std::move(m_response));
    }

    void releaseBody() override
    {
        std::string().swap(m_request.body);
    }

    void abort() override
    {
    }

    void reset() override
    {
    }

    std::size_t buffered() const override
    {
        return 0;
    }

    std::int64_t delivered() const override
    {
        return 0;
    }

    void onDrained(std::size_t, Task) override
    {
    }

    void onClosed(Task) override
    {
    }

private:
    Http::Request m_request;
    Http::Response m_response;
    ResponseHandler m_handler;
};

} // namespace Yokepond::Relay
