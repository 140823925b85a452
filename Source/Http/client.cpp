// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Http/client.h"

#include "Base/text.h"
#include "Http/receivedbytes.h"
#include "Http/responsehead.h"
#include "Http/socketoptions.h"

#include <curl/curl.h>
#include <fmt/format.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <unordered_map>
#include <utility>

namespace Yokepond::Http {

namespace {

constexpr int eventsPerCall = 256;
constexpr long tunnelOpened = 200; ///< status of a successful response to CONNECT
constexpr long receiveBufferBytes = 4096; ///< size of the receive buffer that libcurl allocates for each transfer

struct HeaderListDeleter
{
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};

struct EasyDeleter
{
    void operator()(CURL *handle) const
    {
        curl_easy_cleanup(handle);
    }
};

/// A transfer in progress. The libcurl handle has the address of this object as its private pointer.
struct ActiveTransfer
{
    Client::Id id = 0;
    Transfer transfer;
    TransferEvents events;
    Headers responseHeaders;
    int status = 0;
    std::size_t headBytes = 0; ///< of all heads and trailers received
    ResponseHeadCheck headCheck;
    FramingCheck framing;
    bool headersReported = false;
    bool cancelled = false;
    std::unique_ptr<curl_slist, HeaderListDeleter> headerList;
    std::unique_ptr<CURL, EasyDeleter> handle;
};

void reportHeaders(ActiveTransfer &running)
{
    if (running.headersReported || running.status == 0) {
        return;
    }
    running.headersReported = true;
    if (running.events.onHeaders) {
        running.events.onHeaders(running.status, running.responseHeaders);
    }
}

bool headTooLarge(const ActiveTransfer &running)
{
    return running.headBytes > running.transfer.maxHeadBytes;
}

/// Returns what was malformed in the response of a transfer that ended with @p code.
ResponseFault faultOf(const ActiveTransfer &running, CURLcode code)
{
    if (running.framing.isExceeded()) {
        return ResponseFault::Framing;
    }
    const bool refusedByLibrary = code == CURLE_WEIRD_SERVER_REPLY || code == CURLE_UNSUPPORTED_PROTOCOL;
    const ResponseFault fault = running.headCheck.fault();
    return fault == ResponseFault::None && refusedByLibrary ? ResponseFault::Other : fault;
}

/// libcurl passes the lines of trailers as well.
std::size_t onHeaderLine(char *data, std::size_t, std::size_t size, void *user)
{
    auto &running = *static_cast<ActiveTransfer *>(user);
    running.headBytes += size;
    running.framing.addUseful(size);
    std::string_view line(data, size);
    Base::consumeSuffix(line, "\n");
    Base::consumeSuffix(line, "\r");
    if (headTooLarge(running) || running.headCheck.line(line) != ResponseFault::None) {
        return 0; // makes libcurl close the connection
    }
    if (running.status != running.headCheck.status()) {
        // An interim response (100) is followed by the final one.
        running.responseHeaders.clear();
        running.status = running.headCheck.status();
    } else if (const std::size_t colon = line.find(':'); colon != std::string_view::npos) {
        running.responseHeaders.push_back(
            {Base::lowerCase(line.substr(0, colon)), std::string(Base::trimmed(line.substr(colon + 1)))});
    } else if (line.empty() && running.status >= 200 && !running.cancelled) {
        reportHeaders(running);
    }
    return size;
}

std::size_t onBody(char *data, std::size_t, std::size_t size, void *user)
{
    auto &running = *static_cast<ActiveTransfer *>(user);
    running.framing.addUseful(size);
    if (!running.cancelled && running.events.onBytes) {
        running.events.onBytes({data, size});
    }
    return size;
}

/// Prepares a socket before libcurl connects it.
int prepareSocket(void *user, curl_socket_t socket, curlsocktype)
{
    auto &running = *static_cast<ActiveTransfer *>(user);
    running.framing.begin(socket);
    if (running.transfer.detectSilence) {
        detectSilence(socket);
        limitUnacknowledged(socket);
    }
    return !running.transfer.resetOnClose || resetWhenClosed(socket, true) ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}

int onConnected(void *user, char *, char *, int, int)
{
    const auto &running = *static_cast<const ActiveTransfer *>(user);
    if (!running.cancelled) {
        running.events.onConnected();
    }
    return CURL_PREREQFUNC_OK;
}

/// libcurl calls this after each read.
int onProgress(void *user, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
    constexpr int goOn = 0;
    constexpr int closeConnection = 1;
    auto &running = *static_cast<ActiveTransfer *>(user);
    running.framing.update();
    return running.framing.isExceeded() ? closeConnection : goOn;
}

TransferFailure failureOf(CURLcode code)
{
    switch (code) {
    case CURLE_OK:
        return TransferFailure::None;
    case CURLE_COULDNT_CONNECT:
        return TransferFailure::Connect;
    case CURLE_OPERATION_TIMEDOUT:
        return TransferFailure::Timeout;
    default:
        return TransferFailure::Broken;
    }
}

/// Returns the stage of a transfer that libcurl reports as successful. libcurl reports success also if the connection is closed
/// before the end of the head, or after a head without a declared body length. In both cases the response may be incomplete.
TransferStage successStage(const ActiveTransfer &running)
{
    constexpr int noContent = 204;
    const bool lengthKnown
        = headerValue(running.responseHeaders, "content-length") || headerValue(running.responseHeaders, "transfer-encoding");
    if (!running.headersReported) {
        return TransferStage::ResponseStarted;
    }
    return lengthKnown || running.status == noContent ? TransferStage::Complete : TransferStage::Closed;
}

void describeFailure(const ActiveTransfer &running, CURLcode code, TransferResult &result)
{
    result.fault = faultOf(running, code);
    if (headTooLarge(running)) {
        result.failure = TransferFailure::HeadTooLarge;
        result.detail = fmt::format("the head of the response is over the limit of {} bytes", running.transfer.maxHeadBytes);
    } else if (result.fault != ResponseFault::None) {
        result.failure = TransferFailure::Malformed;
        result.detail = fmt::format("the response is malformed: {}", Base::nameOf(responseFaultNames, result.fault));
    } else {
        result.failure = failureOf(code);
        result.detail = curl_easy_strerror(code);
    }
}

TransferResult resultOf(const ActiveTransfer &running, CURLcode code)
{
    long requestBytes = 0;
    curl_easy_getinfo(running.handle.get(), CURLINFO_REQUEST_SIZE, &requestBytes);
    long tunnelStatus = 0;
    curl_easy_getinfo(running.handle.get(), CURLINFO_HTTP_CONNECTCODE, &tunnelStatus);
    // libcurl counts the request for the tunnel too, which reaches no server.
    const bool tunnelMissing = !running.transfer.tunnelHost.empty() && tunnelStatus != tunnelOpened;
    TransferResult result;
    result.tunnelStatus = static_cast<int>(tunnelStatus);
    describeFailure(running, code, result);
    result.status = running.status;
    result.headBytes = running.headBytes;
    if (code == CURLE_OK && running.status != 0) {
        result.stage = successStage(running);
    } else if (running.status != 0) {
        result.stage = TransferStage::ResponseStarted;
    } else {
        const bool sent = requestBytes > 0 && !tunnelMissing && !running.transfer.connectOnly;
        result.stage = sent ? TransferStage::Sent : TransferStage::NotSent;
    }
    return result;
}

} // namespace

class Client::Implementation
{
public:
    Implementation(Base::Loop &loop, std::size_t maxIdleConnections)
        : m_loop(loop)
        , m_multi(curl_multi_init())
        , m_poll(epoll_create1(EPOLL_CLOEXEC))
    {
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Implementation::onSocket);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Implementation::onTimer);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(maxIdleConnections));
        curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
        m_readable = m_loop.whenReadable(m_poll, [this] { readSockets(); });
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    ~Implementation()
    {
        m_timer.reset();
        m_readable.reset();
        for (const auto &[id, running] : m_running) {
            running->cancelled = true;
            curl_multi_remove_handle(m_multi, running->handle.get());
        }
        m_running.clear();
        curl_multi_cleanup(m_multi);
        ::close(m_poll);
    }

    Id start(Transfer transfer, TransferEvents events)
    {
        auto running = std::make_unique<ActiveTransfer>();
        running->id = m_nextId++;
        running->transfer = std::move(transfer);
        running->events = std::move(events);
        running->handle.reset(curl_easy_init());
        configure(*running);
        const Id id = running->id;
        CURL *handle = running->handle.get();
        m_running.emplace(id, std::move(running));
        curl_multi_add_handle(m_multi, handle);
        return id;
    }

    void cancel(Id id)
    {
        const auto entry = m_running.find(id);
        if (entry == m_running.end()) {
            return;
        }
        entry->second->cancelled = true;
        if (m_inLibrary) {
            // libcurl may be in a callback of this transfer, so the transfer is removed after the call has returned.
            m_cancelled.push_back(id);
            return;
        }
        remove(id);
    }

    void pause(Id id, bool paused)
    {
        const auto entry = m_running.find(id);
        if (entry == m_running.end()) {
            return;
        }
        // When a transfer continues, curl_easy_pause may call onBody for bytes that libcurl has buffered.
        callLibrary([&] { curl_easy_pause(entry->second->handle.get(), paused ? CURLPAUSE_RECV : CURLPAUSE_CONT); });
    }

    std::size_t active() const
    {
        return m_running.size();
    }

private:
    void configure(ActiveTransfer &running)
    {
        CURL *handle = running.handle.get();
        const Transfer &transfer = running.transfer;
        // A name without a value keeps libcurl from adding its own header of this name.
        curl_slist *list = curl_slist_append(nullptr, "Expect:");
        for (const std::string_view name : {"accept", "content-type"}) {
            const auto hasName = [&](const Header &header) { return Base::lowerCase(header.name) == name; };
            if (std::ranges::none_of(transfer.headers, hasName)) {
                list = curl_slist_append(list, fmt::format("{}:", name).c_str());
            }
        }
        for (const Header &header : transfer.headers) {
            const bool empty = header.value.empty();
            const std::string line = empty ? header.name + ";" : fmt::format("{}: {}", header.name, header.value);
            list = curl_slist_append(list, line.c_str());
        }
        running.headerList.reset(list);
        curl_easy_setopt(handle, CURLOPT_URL, transfer.url.c_str());
        if (!transfer.target.empty()) {
            curl_easy_setopt(handle, CURLOPT_REQUEST_TARGET, transfer.target.c_str());
        }
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, transfer.method.c_str());
        const std::string &body = transfer.sharedBody == nullptr ? transfer.body : *transfer.sharedBody;
        if (transfer.method != "GET" || !body.empty()) {
            curl_easy_setopt(handle, CURLOPT_POST, 1L);
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.data());
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
        }
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, list);
        curl_easy_setopt(handle, CURLOPT_PRIVATE, &running);
        curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, receiveBufferBytes);
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        // An empty text keeps libcurl from reading the proxy settings of the environment.
        curl_easy_setopt(handle, CURLOPT_PROXY, transfer.tunnelHost.c_str());
        if (!transfer.tunnelHost.empty()) {
            curl_easy_setopt(handle, CURLOPT_HTTPPROXYTUNNEL, 1L);
            curl_easy_setopt(handle, CURLOPT_SUPPRESS_CONNECT_HEADERS, 1L);
        }
        curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(transfer.connectTimeout / std::chrono::milliseconds(1)));
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(transfer.totalTimeout / std::chrono::milliseconds(1)));
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, transfer.freshConnection ? 1L : 0L);
        curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, transfer.freshConnection ? 1L : 0L);
        if (!transfer.sourceAddress.empty()) {
            curl_easy_setopt(handle, CURLOPT_INTERFACE, fmt::format("host!{}", transfer.sourceAddress).c_str());
        }
        curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, &prepareSocket);
        curl_easy_setopt(handle, CURLOPT_SOCKOPTDATA, &running);
        if (transfer.connectOnly) {
            curl_easy_setopt(handle, CURLOPT_CONNECT_ONLY, 1L);
        }
        if (running.events.onConnected) {
            curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &onConnected);
            curl_easy_setopt(handle, CURLOPT_PREREQDATA, &running);
        }
        curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
        curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, &onProgress);
        curl_easy_setopt(handle, CURLOPT_XFERINFODATA, &running);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &onHeaderLine);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &running);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &onBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &running);
    }

    static int onSocket(CURL *, curl_socket_t socket, int what, void *self, void *socketData)
    {
        auto &client = *static_cast<Implementation *>(self);
        if (what == CURL_POLL_REMOVE) {
            epoll_ctl(client.m_poll, EPOLL_CTL_DEL, socket, nullptr);
            return 0;
        }
        epoll_event event {};
        event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) | ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
        event.data.fd = socket;
        epoll_ctl(client.m_poll, socketData == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event);
        curl_multi_assign(client.m_multi, socket, &client);
        return 0;
    }

    static int onTimer(CURLM *, long delayMs, void *self)
    {
        auto &client = *static_cast<Implementation *>(self);
        client.m_timer.reset();
        if (delayMs >= 0) {
            client.m_timer = client.m_loop.after(std::chrono::milliseconds(delayMs),
                                                 [&client] { client.processSocket(CURL_SOCKET_TIMEOUT, 0); });
        }
        return 0;
    }

    void readSockets()
    {
        std::array<epoll_event, eventsPerCall> events {};
        const int count = epoll_wait(m_poll, events.data(), eventsPerCall, 0);
        for (int index = 0; index < count; ++index) {
            const epoll_event &event = events.at(static_cast<std::size_t>(index));
            const int mask = ((event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0)
                | ((event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0)
                | ((event.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
            processSocket(event.data.fd, mask);
        }
    }

    void processSocket(curl_socket_t socket, int mask)
    {
        int stillRunning = 0;
        callLibrary([&] { curl_multi_socket_action(m_multi, socket, mask, &stillRunning); });
        reportFinished();
    }

    /// Makes a call to libcurl that may call the callbacks of transfers. Transfers that the callbacks cancel are removed
    /// afterwards.
    template<typename Call>
    void callLibrary(Call call)
    {
        const bool nested = std::exchange(m_inLibrary, true);
        call();
        m_inLibrary = nested;
        if (nested) {
            return;
        }
        for (const Id id : std::exchange(m_cancelled, {})) {
            remove(id);
        }
    }

    void reportFinished()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const CURLcode code = message->data.result;
            ActiveTransfer *running = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &running);
            const auto finished = remove(running->id);
            if (finished != nullptr && !finished->cancelled && finished->events.onEnd) {
                finished->events.onEnd(resultOf(*finished, code));
            }
        }
    }

    std::unique_ptr<ActiveTransfer> remove(Id id)
    {
        const auto entry = m_running.find(id);
        if (entry == m_running.end()) {
            return nullptr;
        }
        auto running = std::move(entry->second);
        m_running.erase(entry);
        curl_multi_remove_handle(m_multi, running->handle.get());
        return running;
    }

    Base::Loop &m_loop;
    CURLM *m_multi;
    int m_poll;
    bool m_inLibrary = false;
    Id m_nextId = 1;
    std::unordered_map<Id, std::unique_ptr<ActiveTransfer>> m_running;
    std::vector<Id> m_cancelled;
    std::unique_ptr<Base::Loop::Registration> m_timer;
    std::unique_ptr<Base::Loop::Registration> m_readable;
};

Client::Client(Base::Loop &loop, std::size_t maxIdleConnections)
    : m_implementation(std::make_unique<Implementation>(loop, maxIdleConnections))
{
}

Client::~Client() = default;

Client::Id Client::start(Transfer transfer, TransferEvents events)
{
    return m_implementation->start(std::move(transfer), std::move(events));
}

void Client::cancel(Id id)
{
    m_implementation->cancel(id);
}

void Client::pause(Id id, bool paused)
{
    m_implementation->pause(id, paused);
}

std::size_t Client::active() const
{
    return m_implementation->active();
}

Client::Id fetch(Client &client, Transfer transfer, std::function<void(const TransferResult &result, std::string body)> done)
{
    auto body = std::make_shared<std::string>();
    return client.start(
        std::move(transfer),
        {.onHeaders = nullptr,
         .onBytes = [body](std::string_view bytes) { body->append(bytes); },
         .onEnd = [body, done = std::move(done)](const TransferResult &result) { done(result, std::move(*body)); }});
}

} // namespace Yokepond::Http
