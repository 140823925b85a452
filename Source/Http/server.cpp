// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Http/server.h"

#include "Base/text.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fmt/format.h>
#include <microhttpd.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <map>
#include <optional>
#include <utility>

namespace Yokepond::Http {

namespace {

constexpr std::size_t streamBlockBytes = 4U << 10U; ///< held for each stream
constexpr Base::Duration sweepPeriod = std::chrono::seconds(1);
constexpr int watchedEventsPerCall = 64;
constexpr int mostRunsPerTurn = 4;

class LibraryServer;

/// What libmicrohttpd's connection pointer holds.
class LibraryExchange : public Exchange, public std::enable_shared_from_this<LibraryExchange>
{
public:
    enum class State { Receiving, Waiting, Answered, Streaming, Ended };

    LibraryExchange(LibraryServer &server, MHD_Connection *connection)
        : m_server(server)
        , m_connection(connection)
        , m_began(Base::now())
    {
        const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        m_descriptor = info->connect_fd;
    }

    const Request &request() const override
    {
        return m_request;
    }

    void respond(Response response) override;
    void beginStream(int status, Headers headers) override;
    void write(std::string_view bytes) override;
    void setTrailer(Header header) override;
    void finish() override;
    void abort() override;

    std::size_t buffered() const override
    {
        return m_buffer.size() - m_taken;
    }

    void onDrained(std::size_t lowMark, Task task) override
    {
        m_lowMark = lowMark;
        m_drained = std::move(task);
    }

    void onClosed(Task task) override
    {
        m_closed = std::move(task);
    }

    // For the server only.
    MHD_Result queueAnswer();
    ssize_t takeBytes(char *target, std::size_t room);
    void callerGone();
    void libraryDone();
    void suspend();
    void resume();

    LibraryServer &m_server;
    MHD_Connection *m_connection;
    int m_descriptor = -1;
    Base::Instant m_began;
    State m_state = State::Receiving;
    Request m_request;

private:
    Response m_response;
    MHD_Response *m_queued = nullptr;
    std::optional<Header> m_trailer;
    std::string m_buffer;
    std::size_t m_taken = 0;
    std::size_t m_lowMark = 0;
    bool m_overLowMark = false;
    bool m_finished = false;
    bool m_aborted = false;
    bool m_suspended = false;
    Task m_drained;
    Task m_closed;
};

class LibraryServer : public Server
{
public:
    LibraryServer(Base::Loop &loop, const ServerLimits &limits, Handler handler, ErrorBody errorBody)
        : m_loop(loop)
        , m_limits(limits)
        , m_handler(std::move(handler))
        , m_errorBody(std::move(errorBody))
    {
    }

    LibraryServer(const LibraryServer &) = delete;
    LibraryServer &operator=(const LibraryServer &) = delete;
    ~LibraryServer() override;

    absl::Status start(const Base::Address &address);

    const Base::Address &address() const override
    {
        return m_address;
    }

    std::size_t connections() const override
    {
        const auto *info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
        return info->num_connections;
    }

    void closeListener() override
    {
        const MHD_socket socket = MHD_quiesce_daemon(m_daemon);
        if (socket != MHD_INVALID_SOCKET) {
            ::close(socket);
        }
    }

    void closeAfterResponses() override
    {
        m_closing = true;
    }

    std::size_t openRequests() const override
    {
        return m_open.size();
    }

    bool isClosing() const
    {
        return m_closing;
    }

    /// Runs the library at the next turn of the loop: without a thread of its own it is not woken by a resumed connection.
    void runSoon();
    void watch(const std::shared_ptr<LibraryExchange> &exchange);
    void unwatch(LibraryExchange &exchange);

private:
    static MHD_Result access(void *self, MHD_Connection *connection, const char *url, const char *method, const char *version,
                             const char *data, std::size_t *size, void **state);
    static void completed(void *self, MHD_Connection *connection, void **state, MHD_RequestTerminationCode code);
    static void *keepTarget(void *self, const char *target, MHD_Connection *connection);
    static MHD_Result storeHeader(void *exchange, MHD_ValueKind kind, const char *name, const char *value);
    static MHD_Result storeArgument(void *exchange, MHD_ValueKind kind, const char *name, const char *value);

    MHD_Result begin(MHD_Connection *connection, const char *method, const char *url, void **state);
    MHD_Result receive(const std::shared_ptr<LibraryExchange> &exchange, const char *data, std::size_t *size);
    MHD_Result refuse(LibraryExchange &exchange, const absl::Status &error);
    void refuseRaw(LibraryExchange &exchange, const absl::Status &error);
    void run();
    void readWatched();
    void sweep();

    Base::Loop &m_loop;
    ServerLimits m_limits;
    Handler m_handler;
    ErrorBody m_errorBody;
    Base::Address m_address;
    MHD_Daemon *m_daemon = nullptr;
    bool m_closing = false;
    std::map<MHD_Connection *, std::string> m_targets; ///< of requests whose head has not come whole
    int m_watchDescriptor = -1;
    std::map<LibraryExchange *, std::shared_ptr<LibraryExchange>> m_open;
    std::map<int, std::weak_ptr<LibraryExchange>> m_watched;
    std::unique_ptr<Base::Loop::Registration> m_readable;
    std::unique_ptr<Base::Loop::Registration> m_watchReadable;
    std::unique_ptr<Base::Loop::Registration> m_soon;
    std::unique_ptr<Base::Loop::Registration> m_timer;
};

std::string rawResponse(const absl::Status &error, std::string_view body)
{
    return fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nYokepond-Outcome: not-run\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}",
        httpStatus(Base::errorKind(error)), errorName(Base::errorKind(error)), jsonType, body.size(), body);
}

/// @p text with every character that is not unreserved in a URL percent-encoded.
std::string escaped(const char *text)
{
    char *encoded = curl_easy_escape(nullptr, text, 0);
    std::string result(encoded);
    curl_free(encoded);
    return result;
}

void addHeaders(MHD_Response *response, const Headers &headers)
{
    for (const Header &header : headers) {
        MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
    }
}

ssize_t readStream(void *exchange, std::uint64_t, char *target, std::size_t room)
{
    return static_cast<LibraryExchange *>(exchange)->takeBytes(target, room);
}

// --- LibraryExchange

void LibraryExchange::suspend()
{
    if (!m_suspended && m_connection != nullptr) {
        MHD_suspend_connection(m_connection);
        m_suspended = true;
    }
}

void LibraryExchange::resume()
{
    if (m_suspended && m_connection != nullptr) {
        m_suspended = false;
        MHD_resume_connection(m_connection);
        m_server.runSoon();
    }
}

void LibraryExchange::respond(Response response)
{
    if (m_state != State::Waiting) {
        return;
    }
    m_response = std::move(response);
    m_finished = true;
    m_state = State::Answered;
    resume();
}

void LibraryExchange::beginStream(int status, Headers headers)
{
    if (m_state != State::Waiting) {
        return;
    }
    m_response = {status, std::move(headers), {}};
    m_state = State::Streaming;
    resume();
}

void LibraryExchange::write(std::string_view bytes)
{
    if (m_state != State::Streaming) {
        return;
    }
    m_buffer.append(bytes);
    m_overLowMark = m_overLowMark || buffered() > m_lowMark;
    resume();
}

void LibraryExchange::setTrailer(Header header)
{
    m_trailer = std::move(header);
}

void LibraryExchange::finish()
{
    m_finished = true;
    resume();
}

void LibraryExchange::abort()
{
    m_aborted = true;
    if (m_state == State::Waiting) {
        m_state = State::Ended;
    }
    resume();
}

MHD_Result LibraryExchange::queueAnswer()
{
    MHD_Response *response = nullptr;
    if (m_state == State::Answered) {
        response = MHD_create_response_from_buffer(m_response.body.size(), m_response.body.data(), MHD_RESPMEM_MUST_COPY);
    } else if (m_state == State::Streaming) {
        response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlockBytes, readStream, this, nullptr);
    } else {
        return MHD_NO;
    }
    // Valid as long as the library calls back for it.
    m_queued = response;
    addHeaders(response, m_response.headers);
    if (m_server.isClosing()) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const MHD_Result result = MHD_queue_response(m_connection, static_cast<unsigned int>(m_response.status), response);
    MHD_destroy_response(response);
    return result;
}

ssize_t LibraryExchange::takeBytes(char *target, std::size_t room)
{
    if (m_aborted) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const std::size_t size = std::min(room, buffered());
    if (size == 0) {
        if (m_finished) {
            if (m_trailer) {
                MHD_add_response_footer(m_queued, m_trailer->name.c_str(), m_trailer->value.c_str());
            }
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        suspend();
        return 0;
    }
    std::copy_n(m_buffer.data() + m_taken, size, target);
    m_taken += size;
    if (m_taken == m_buffer.size()) {
        m_buffer.clear();
        m_taken = 0;
    }
    if (m_overLowMark && buffered() <= m_lowMark) {
        m_overLowMark = false;
        if (m_drained) {
            m_drained();
        }
    }
    return static_cast<ssize_t>(size);
}

void LibraryExchange::callerGone()
{
    if (const Task closed = std::exchange(m_closed, nullptr)) {
        closed();
    }
    abort();
}

void LibraryExchange::libraryDone()
{
    m_state = State::Ended;
    m_connection = nullptr;
    m_drained = nullptr;
    const Task closed = std::exchange(m_closed, nullptr);
    if (closed && !m_finished) {
        closed();
    }
}

// --- LibraryServer

LibraryServer::~LibraryServer()
{
    m_timer.reset();
    m_soon.reset();
    m_readable.reset();
    m_watchReadable.reset();
    if (m_daemon != nullptr) {
        for (const auto &[pointer, exchange] : m_open) {
            exchange->onClosed(nullptr);
            exchange->abort();
        }
        MHD_run(m_daemon);
        MHD_stop_daemon(m_daemon);
    }
    if (m_watchDescriptor >= 0) {
        ::close(m_watchDescriptor);
    }
}

absl::Status LibraryServer::start(const Base::Address &address)
{
    sockaddr_in socketAddress {};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &socketAddress.sin_addr);
    const auto idleSeconds = static_cast<unsigned int>(std::chrono::duration_cast<std::chrono::seconds>(m_limits.idle).count());
    m_daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, address.port, nullptr, nullptr, &LibraryServer::access, this,
        MHD_OPTION_SOCK_ADDR, &socketAddress, MHD_OPTION_NOTIFY_COMPLETED, &LibraryServer::completed, this,
        MHD_OPTION_CONNECTION_LIMIT, static_cast<unsigned int>(m_limits.connections), MHD_OPTION_CONNECTION_TIMEOUT, idleSeconds,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<std::size_t>(m_limits.headerBytes + streamBlockBytes),
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_URI_LOG_CALLBACK, &LibraryServer::keepTarget, this, MHD_OPTION_END);
    if (m_daemon == nullptr) {
        return makeError(Base::ErrorKind::InvalidSettings,
                         fmt::format("cannot listen on {}; is the address this host's and free?", address.text()));
    }
    m_address = address;
    m_address.port = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    m_watchDescriptor = epoll_create1(EPOLL_CLOEXEC);
    const int libraryDescriptor = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    m_readable = m_loop.whenReadable(libraryDescriptor, [this] { run(); });
    m_watchReadable = m_loop.whenReadable(m_watchDescriptor, [this] { readWatched(); });
    m_timer = m_loop.every(sweepPeriod, [this] { sweep(); });
    return absl::OkStatus();
}

void LibraryServer::run()
{
    // A connection whose input is buffered in the library makes no descriptor readable; a timeout of zero tells of it.
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    for (int runs = 0; runs < mostRunsPerTurn; ++runs) {
        MHD_run(m_daemon);
        if (MHD_get_timeout(m_daemon, &timeout) != MHD_YES || timeout > 0) {
            return;
        }
    }
    runSoon();
}

void LibraryServer::runSoon()
{
    if (m_soon == nullptr) {
        m_soon = m_loop.after(Base::Duration::zero(), [this] {
            m_soon.reset();
            run();
        });
    }
}

void LibraryServer::watch(const std::shared_ptr<LibraryExchange> &exchange)
{
    epoll_event event {};
    event.events = EPOLLRDHUP | EPOLLET;
    event.data.fd = exchange->m_descriptor;
    if (epoll_ctl(m_watchDescriptor, EPOLL_CTL_ADD, exchange->m_descriptor, &event) == 0) {
        m_watched[exchange->m_descriptor] = exchange;
    }
}

void LibraryServer::unwatch(LibraryExchange &exchange)
{
    if (m_watched.erase(exchange.m_descriptor) > 0) {
        epoll_ctl(m_watchDescriptor, EPOLL_CTL_DEL, exchange.m_descriptor, nullptr);
    }
}

void LibraryServer::readWatched()
{
    std::array<epoll_event, watchedEventsPerCall> events {};
    const int count = epoll_wait(m_watchDescriptor, events.data(), watchedEventsPerCall, 0);
    for (int index = 0; index < count; ++index) {
        const auto watched = m_watched.find(events.at(static_cast<std::size_t>(index)).data.fd);
        if (watched == m_watched.end()) {
            continue;
        }
        if (const auto exchange = watched->second.lock()) {
            unwatch(*exchange);
            exchange->callerGone();
        }
    }
}

void LibraryServer::sweep()
{
    const Base::Instant now = Base::now();
    for (const auto &[pointer, exchange] : m_open) {
        if (exchange->m_state == LibraryExchange::State::Receiving && now - exchange->m_began > m_limits.receive) {
            refuseRaw(
                *exchange,
                makeError(Base::ErrorKind::RequestTimeout,
                          fmt::format("the request did not arrive whole within {:.0f} s", Base::seconds(m_limits.receive))));
        }
    }
    // Idle connections time out only when the library runs.
    run();
}

/// The library calls this when it has read the request line; what is returned becomes the request's state.
void *LibraryServer::keepTarget(void *self, const char *target, MHD_Connection *connection)
{
    static_cast<LibraryServer *>(self)->m_targets[connection] = target;
    return nullptr;
}

MHD_Result LibraryServer::storeHeader(void *exchange, MHD_ValueKind, const char *name, const char *value)
{
    auto &request = static_cast<LibraryExchange *>(exchange)->m_request;
    request.headers.push_back({Base::lowerCase(name), value == nullptr ? "" : value});
    return MHD_YES;
}

MHD_Result LibraryServer::storeArgument(void *exchange, MHD_ValueKind, const char *name, const char *value)
{
    auto &query = static_cast<LibraryExchange *>(exchange)->m_request.query;
    query += query.empty() ? "" : "&";
    query += escaped(name);
    query += value == nullptr ? "" : "=" + escaped(value);
    return MHD_YES;
}

MHD_Result LibraryServer::begin(MHD_Connection *connection, const char *method, const char *url, void **state)
{
    auto exchange = std::make_shared<LibraryExchange>(*this, connection);
    exchange->m_request.method = method;
    exchange->m_request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &LibraryServer::storeHeader, exchange.get());
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &LibraryServer::storeArgument, exchange.get());
    *state = exchange.get();
    m_open.emplace(exchange.get(), exchange);
    exchange->m_request.target = std::exchange(m_targets[connection], {});
    m_targets.erase(connection);
    const auto length = headerValue(exchange->m_request.headers, "content-length");
    if (length && std::strtoull(std::string(*length).c_str(), nullptr, 10) > m_limits.bodyBytes) {
        return refuse(*exchange,
                      makeError(Base::ErrorKind::RequestTooLarge,
                                fmt::format("the body is over the limit of {} bytes", m_limits.bodyBytes)));
    }
    return MHD_YES;
}

MHD_Result LibraryServer::refuse(LibraryExchange &exchange, const absl::Status &error)
{
    exchange.m_state = LibraryExchange::State::Waiting;
    exchange.respond({httpStatus(Base::errorKind(error)),
                      {{"content-type", std::string(jsonType)}, {"yokepond-outcome", "not-run"}, {"connection", "close"}},
                      m_errorBody(error)});
    return exchange.queueAnswer();
}

void LibraryServer::refuseRaw(LibraryExchange &exchange, const absl::Status &error)
{
    // The library takes no answer while a body is being received, so that it is written beside it.
    exchange.m_state = LibraryExchange::State::Ended;
    const std::string answer = rawResponse(error, m_errorBody(error));
    ::send(exchange.m_descriptor, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(exchange.m_descriptor, SHUT_RDWR);
}

MHD_Result LibraryServer::receive(const std::shared_ptr<LibraryExchange> &exchange, const char *data, std::size_t *size)
{
    if (exchange->m_state == LibraryExchange::State::Ended) {
        return MHD_NO;
    }
    if (exchange->m_state != LibraryExchange::State::Receiving) {
        *size = 0;
        return exchange->m_state == LibraryExchange::State::Waiting ? MHD_YES : exchange->queueAnswer();
    }
    if (*size > 0) {
        if (exchange->m_request.body.size() + *size > m_limits.bodyBytes) {
            refuseRaw(*exchange,
                      makeError(Base::ErrorKind::RequestTooLarge,
                                fmt::format("the body is over the limit of {} bytes", m_limits.bodyBytes)));
            return MHD_NO;
        }
        exchange->m_request.body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    exchange->m_state = LibraryExchange::State::Waiting;
    m_handler(exchange);
    if (exchange->m_state == LibraryExchange::State::Waiting) {
        watch(exchange);
        exchange->suspend();
        return MHD_YES;
    }
    if (exchange->m_state == LibraryExchange::State::Streaming) {
        watch(exchange);
    }
    return exchange->queueAnswer();
}

MHD_Result LibraryServer::access(void *self, MHD_Connection *connection, const char *url, const char *method, const char *,
                                 const char *data, std::size_t *size, void **state)
{
    auto &server = *static_cast<LibraryServer *>(self);
    if (*state == nullptr) {
        return server.begin(connection, method, url, state);
    }
    const auto exchange = server.m_open.at(static_cast<LibraryExchange *>(*state));
    return server.receive(exchange, data, size);
}

void LibraryServer::completed(void *self, MHD_Connection *connection, void **state, MHD_RequestTerminationCode)
{
    auto &server = *static_cast<LibraryServer *>(self);
    server.m_targets.erase(connection);
    const auto entry = server.m_open.find(static_cast<LibraryExchange *>(*state));
    if (entry == server.m_open.end()) {
        return;
    }
    const auto exchange = entry->second;
    server.m_open.erase(entry);
    server.unwatch(*exchange);
    exchange->libraryDone();
    *state = nullptr;
}

} // namespace

absl::StatusOr<std::unique_ptr<Server>> Server::listen(Base::Loop &loop, const Base::Address &address, const ServerLimits &limits,
                                                       Handler handler, ErrorBody errorBody)
{
    auto server = std::make_unique<LibraryServer>(loop, limits, std::move(handler), std::move(errorBody));
    if (absl::Status status = server->start(address); !status.ok()) {
        return status;
    }
    return server;
}

} // namespace Yokepond::Http
