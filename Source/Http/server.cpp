// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Http/server.h"

#include "Base/log.h"
#include "Base/text.h"
#include "Http/callerconnections.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fmt/format.h>
#include <linux/sockios.h>
#include <microhttpd.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <map>
#include <optional>
#include <utility>

namespace Yokepond::Http {

namespace {

/// Maximum number of header fields of a request.
constexpr std::size_t maxHeaderFields = 288;
/// What libmicrohttpd 0.9.75 takes of a connection's memory for each header field besides its text.
constexpr std::size_t bytesPerHeaderField = 64;
/// Room for the header fields that this host adds to those of an endpoint's response.
constexpr std::size_t ownHeaderBytes = 2U << 10U;
constexpr std::size_t streamBlockBytes = 4U << 10U; ///< size of the buffer that libmicrohttpd allocates for each stream
constexpr std::size_t bodyBlockBytes = 16U << 10U; ///< the same for a complete response that is read block by block
constexpr Base::Duration sweepPeriod = std::chrono::seconds(1);
constexpr int watchedEventsPerCall = 64;
/// A request whose body is dropped gets its response when the body has ended, so that the caller has read it before the
/// connection closes, but after this time at the latest.
constexpr Base::Duration droppedBodyPatience = std::chrono::seconds(1);
/// First size of the buffer of a body whose length is not known. It counts as taken, so small bodies must not begin large.
constexpr std::size_t minGrowingBodyBytes = 4U << 10U;
/// A complete response's body above this size is read block by block, so that buffered() tells how much of it is left. A smaller
/// body is passed to the kernel in one piece.
constexpr std::size_t maxWholeBodyBytes = 16U << 10U;
/// The buffer of a stream gives its memory back when it is empty and was larger than this.
constexpr std::size_t maxIdleBufferBytes = 16U << 10U;
/// Connections that libmicrohttpd may have beyond our limit: those that are being closed. At its own limit it would leave new
/// ones in the kernel's queue, where their callers wait unread.
constexpr std::size_t closingConnections = 256;
/// Limit on the calls of MHD_run in one turn of the loop. If libmicrohttpd still has buffered input, it runs again in the next
/// turn.
constexpr int maxLibraryRunsPerTurn = 4;

class MhdServer;

/// An exchange on a libmicrohttpd connection. libmicrohttpd stores the exchange's address in the state pointer of the request.
class MhdExchange : public Exchange, public std::enable_shared_from_this<MhdExchange>
{
public:
    /// Refused: the body is dropped, and the response follows it. Answered: the same, but the response has been sent.
    enum class State { Receiving, Refused, Answered, Waiting, ResponseSet, Streaming, Ended };

    MhdExchange(MhdServer &server, MHD_Connection *connection, std::uint64_t number, std::shared_ptr<BodyMemory> bodies)
        : m_server(server)
        , m_connection(connection)
        , m_startedAt(Base::now())
        , m_number(number)
        , m_bodies(std::move(bodies))
    {
        const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        m_descriptor = info->connect_fd;
    }

    MhdExchange(const MhdExchange &) = delete;
    MhdExchange &operator=(const MhdExchange &) = delete;

    ~MhdExchange() override
    {
        m_bodies->release(m_number, Base::now());
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
    void releaseBody() override;
    void abort() override;
    void reset() override;

    std::size_t buffered() const override
    {
        return m_buffer.size() - m_readOffset;
    }

    std::int64_t delivered() const override;

    void onDrained(std::size_t lowMark, Task task) override
    {
        m_lowMark = lowMark;
        m_overLowMark = buffered() > lowMark;
        m_onDrained = std::move(task);
    }

    void onClosed(Task task) override
    {
        m_onClosed = std::move(task);
    }

    // The members below are for MhdServer only.
    MHD_Result queueResponse();
    ssize_t readBytes(char *target, std::size_t room);
    void callerDisconnected();
    /// Called when libmicrohttpd has finished with the request, whether or not the response was sent completely.
    void requestFinished();
    void suspend();
    void resume();

    MhdServer &m_server;
    MHD_Connection *m_connection;
    int m_descriptor = -1;
    Base::Instant m_startedAt;
    State m_state = State::Receiving;
    Request m_request;
    std::uint64_t m_number; ///< of the exchange at its server; identifies its body
    std::size_t m_declaredBytes = 0; ///< length of the body as the head tells it; 0 if it does not
    absl::Status m_refusal; ///< why the body is dropped
    Base::Duration m_retryAfter {}; ///< see m_refusal

private:
    /// Removes the first @p size bytes of the buffer, and gives memory back that is not needed any more.
    void consume(std::size_t size);
    void dropBuffer();

    Response m_response;
    MHD_Response *m_queuedResponse = nullptr;
    std::int64_t m_passedBytes = 0; ///< bytes of the body that have been passed to libmicrohttpd by readBytes()
    std::optional<Header> m_trailer;
    std::string m_buffer;
    std::size_t m_readOffset = 0;
    std::size_t m_lowMark = 0;
    bool m_overLowMark = false;
    bool m_finished = false;
    bool m_aborted = false;
    bool m_suspended = false;
    Task m_onDrained;
    Task m_onClosed;
    std::shared_ptr<BodyMemory> m_bodies; ///< may outlive the server, as the exchange may
};

/// Implements the server with libmicrohttpd.
class MhdServer : public Server
{
public:
    MhdServer(Base::Loop &loop, const ServerLimits &limits, Handler handler, ErrorBodyFormatter formatErrorBody)
        : m_loop(loop)
        , m_limits(limits)
        , m_handler(std::move(handler))
        , m_formatErrorBody(std::move(formatErrorBody))
        , m_bodies(std::make_shared<BodyMemory>(BodyMemoryLimits {limits.bodyMemoryBytes, limits.receive}))
    {
    }

    MhdServer(const MhdServer &) = delete;
    MhdServer &operator=(const MhdServer &) = delete;
    ~MhdServer() override;

    absl::Status start(const Base::Address &address);

    const Base::Address &address() const override
    {
        return m_address;
    }

    const ConnectionCounters &connectionCounters() const override
    {
        return m_connectionCounters;
    }

    std::size_t bodyBytes() const override
    {
        return m_bodies->heldBytes();
    }

    const BodyMemoryCounters &bodyCounters() const override
    {
        return m_bodyCounters;
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
        m_closeAfterResponses = true;
    }

    std::size_t openRequests() const override
    {
        return m_openExchanges.size();
    }

    bool shouldCloseConnections() const
    {
        return m_closeAfterResponses;
    }

    /// Schedules a run of libmicrohttpd for the next turn of the loop. libmicrohttpd has no thread of its own, so nothing else
    /// makes it handle a resumed connection.
    void scheduleRun();
    /// Starts watching whether the caller closes its connection.
    void watch(const std::shared_ptr<MhdExchange> &exchange);
    void unwatch(MhdExchange &exchange);

private:
    static MHD_Result access(void *self, MHD_Connection *connection, const char *url, const char *method, const char *version,
                             const char *data, std::size_t *size, void **state);
    static void onRequestFinished(void *self, MHD_Connection *connection, void **state, MHD_RequestTerminationCode code);
    static void *storeTarget(void *self, const char *target, MHD_Connection *connection);
    static MHD_Result storeHeader(void *exchange, MHD_ValueKind kind, const char *name, const char *value);
    static MHD_Result storeArgument(void *exchange, MHD_ValueKind kind, const char *name, const char *value);

    /// Returns whether a new connection may stay.
    static MHD_Result acceptConnection(void *self, const sockaddr *address, socklen_t length);
    static void onConnection(void *self, MHD_Connection *connection, void **state, MHD_ConnectionNotificationCode code);

    /// Closes the connection that has been idle for longest. Returns false if none is idle.
    bool closeLongestIdle();
    MHD_Result beginRequest(MHD_Connection *connection, const char *method, const char *url, void **state);
    MHD_Result receive(const std::shared_ptr<MhdExchange> &exchange, const char *data, std::size_t *size);
    MHD_Result reject(MhdExchange &exchange, const absl::Status &error, Base::Duration retryAfter = {});
    void logTurnedAway();
    void logBodies();
    /// Writes the error response to the socket and closes the connection.
    void rejectOnSocket(MhdExchange &exchange, const absl::Status &error);
    void sendOnSocket(const MhdExchange &exchange, const absl::Status &error, Base::Duration retryAfter = {});
    void limitSocketBuffers();
    void run();
    void readWatched();
    /// Rejects the requests that exceed the receive timeout, and runs libmicrohttpd for its idle timeouts.
    void sweep();
    void sweepArriving(MhdExchange &exchange, Base::Duration elapsed);

    /// Lets the body take @p bytes, for which slow bodies may be cut. Returns false if there is no room.
    bool makeRoom(const MhdExchange &exchange, std::size_t bytes);
    /// Makes the body's buffer large enough for @p bytes. Returns false if there is no room.
    bool reserve(MhdExchange &exchange, std::size_t bytes);
    void cutSlowBody(std::uint64_t number);
    /// Refuses the request for want of @p bytes. What comes of its body is dropped from now on.
    void refuseBody(MhdExchange &exchange, std::size_t bytes);
    MHD_Result dropBody(MhdExchange &exchange, std::size_t *size);

    Base::Loop &m_loop;
    ServerLimits m_limits;
    Handler m_handler;
    ErrorBodyFormatter m_formatErrorBody;
    Base::Address m_address;
    MHD_Daemon *m_daemon = nullptr;
    bool m_closeAfterResponses = false;
    bool m_stopped = false; ///< whether requests that arrive are not read any more
    CallerConnections<MHD_Connection *> m_connections; ///< but those that are being closed to make room
    ConnectionCounters m_connectionCounters;
    ConnectionCounters m_loggedCounters; ///< as of the last line in the log
    std::shared_ptr<BodyMemory> m_bodies;
    BodyMemoryCounters m_bodyCounters;
    BodyMemoryCounters m_loggedBodyCounters; ///< as of the last line in the log
    std::uint64_t m_exchanges = 0; ///< since the start
    std::map<MHD_Connection *, std::string> m_targets; ///< request targets of requests whose head is incomplete
    int m_watchDescriptor = -1;
    std::map<MhdExchange *, std::shared_ptr<MhdExchange>> m_openExchanges;
    std::map<int, std::weak_ptr<MhdExchange>> m_watched;
    std::unique_ptr<Base::Loop::Registration> m_readable;
    std::unique_ptr<Base::Loop::Registration> m_watchReadable;
    std::unique_ptr<Base::Loop::Registration> m_scheduledRun;
    std::unique_ptr<Base::Loop::Registration> m_timer;
};

/// Returns the memory that libmicrohttpd needs for a connection, which the heads of a request and of its response share. It
/// closes the connection without a response if the head of the response finds no room. The memory is touched only as far as it is
/// used.
std::size_t connectionMemory(const ServerLimits &limits)
{
    const std::size_t request = limits.headerBytes + maxHeaderFields * bytesPerHeaderField;
    return request + limits.responseHeaderBytes + ownHeaderBytes + streamBlockBytes;
}

/// Returns the size of the request's head as it was sent, but for optional white space.
std::size_t headBytes(const Request &request)
{
    constexpr std::size_t requestLineRest = std::string_view("  HTTP/1.1\r\n").size();
    constexpr std::size_t fieldRest = std::string_view(": \r\n").size();
    std::size_t size = request.method.size() + request.target.size() + requestLineRest;
    for (const Header &header : request.headers) {
        size += header.name.size() + header.value.size() + fieldRest;
    }
    return size;
}

/// Empties @p text. An assignment would keep its memory.
void freeMemory(std::string &text)
{
    std::string().swap(text);
}

/// Returns the length of the body that the head declares; 0 if it declares none.
std::size_t declaredBodyBytes(const Request &request)
{
    const auto length = headerValue(request.headers, "content-length");
    return length ? std::strtoull(std::string(*length).c_str(), nullptr, 10) : 0;
}

/// Returns the headers of a response that says that a request was not run.
Headers rejectionHeaders(Base::Duration retryAfter)
{
    Headers headers = {{"content-type", std::string(jsonType)}, {"yokepond-outcome", "not-run"}, {"connection", "close"}};
    if (retryAfter > Base::Duration::zero()) {
        headers.push_back({"retry-after", fmt::format("{}", std::chrono::ceil<std::chrono::seconds>(retryAfter).count())});
    }
    return headers;
}

std::string rawResponse(const absl::Status &error, std::string_view body, Base::Duration retryAfter)
{
    std::string head = fmt::format("HTTP/1.1 {} {}\r\ncontent-length: {}\r\n", httpStatus(Base::errorKind(error)),
                                   errorName(Base::errorKind(error)), body.size());
    for (const Header &header : rejectionHeaders(retryAfter)) {
        head += fmt::format("{}: {}\r\n", header.name, header.value);
    }
    return fmt::format("{}\r\n{}", head, body);
}

/// Returns @p text with all characters percent-encoded except the unreserved characters of a URL.
std::string percentEncoded(const char *text)
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
    return static_cast<MhdExchange *>(exchange)->readBytes(target, room);
}

// --- MhdExchange

void MhdExchange::suspend()
{
    if (!m_suspended && m_connection != nullptr) {
        MHD_suspend_connection(m_connection);
        m_suspended = true;
    }
}

void MhdExchange::resume()
{
    if (m_suspended && m_connection != nullptr) {
        m_suspended = false;
        MHD_resume_connection(m_connection);
        m_server.scheduleRun();
    }
}

void MhdExchange::respond(Response response)
{
    if (m_state != State::Waiting) {
        return;
    }
    m_response = std::move(response);
    if (m_response.body.size() > maxWholeBodyBytes) {
        m_buffer = std::move(m_response.body);
        m_response.body.clear();
    }
    m_finished = true;
    m_state = State::ResponseSet;
    resume();
}

void MhdExchange::beginStream(int status, Headers headers)
{
    if (m_state != State::Waiting) {
        return;
    }
    m_response = {status, std::move(headers), {}};
    m_state = State::Streaming;
    resume();
}

void MhdExchange::write(std::string_view bytes)
{
    if (m_state != State::Streaming || m_aborted) {
        return;
    }
    m_buffer.append(bytes);
    m_overLowMark = m_overLowMark || buffered() > m_lowMark;
    resume();
}

void MhdExchange::setTrailer(Header header)
{
    m_trailer = std::move(header);
}

void MhdExchange::finish()
{
    m_finished = true;
    resume();
}

void MhdExchange::releaseBody()
{
    freeMemory(m_request.body);
    m_bodies->release(m_number, Base::now());
}

void MhdExchange::abort()
{
    m_aborted = true;
    dropBuffer();
    if (m_state == State::Waiting) {
        m_state = State::Ended;
    }
    resume();
}

void MhdExchange::reset()
{
    if (m_connection == nullptr) {
        return;
    }
    const linger noLinger {1, 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
    abort();
    // libmicrohttpd waits until the caller reads. Only the shutdown makes it close the connection at once.
    ::shutdown(m_descriptor, SHUT_RDWR);
}

std::int64_t MhdExchange::delivered() const
{
    int unacknowledged = 0;
    if (m_connection != nullptr) {
        ioctl(m_descriptor, SIOCOUTQ, &unacknowledged);
    }
    return m_passedBytes - unacknowledged;
}

void MhdExchange::consume(std::size_t size)
{
    m_readOffset += size;
    m_passedBytes += static_cast<std::int64_t>(size);
    if (m_readOffset < m_buffer.size() / 2) {
        return;
    }
    // The caller may always be a little behind, so the part that has been read is removed before the buffer is empty.
    m_buffer.erase(0, m_readOffset);
    m_readOffset = 0;
    if (m_buffer.empty() && m_buffer.capacity() > maxIdleBufferBytes) {
        m_buffer.shrink_to_fit();
    }
}

void MhdExchange::dropBuffer()
{
    freeMemory(m_buffer);
    m_readOffset = 0;
    freeMemory(m_response.body);
}

MHD_Result MhdExchange::queueResponse()
{
    if (m_aborted) {
        return MHD_NO;
    }
    MHD_Response *response = nullptr;
    if (m_state == State::ResponseSet && !m_buffer.empty()) {
        response = MHD_create_response_from_callback(m_buffer.size(), bodyBlockBytes, readStream, this, nullptr);
    } else if (m_state == State::ResponseSet) {
        response = MHD_create_response_from_buffer(m_response.body.size(), m_response.body.data(), MHD_RESPMEM_MUST_COPY);
    } else if (m_state == State::Streaming) {
        response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlockBytes, readStream, this, nullptr);
    } else {
        return MHD_NO;
    }
    // The pointer stays valid as long as libmicrohttpd calls readStream for the response.
    m_queuedResponse = response;
    addHeaders(response, m_response.headers);
    if (m_server.shouldCloseConnections()) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const MHD_Result result = MHD_queue_response(m_connection, static_cast<unsigned int>(m_response.status), response);
    MHD_destroy_response(response);
    return result;
}

ssize_t MhdExchange::readBytes(char *target, std::size_t room)
{
    if (m_aborted) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const std::size_t size = std::min(room, buffered());
    if (size == 0) {
        if (m_finished) {
            if (m_trailer) {
                MHD_add_response_footer(m_queuedResponse, m_trailer->name.c_str(), m_trailer->value.c_str());
            }
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        suspend();
        return 0;
    }
    std::copy_n(m_buffer.data() + m_readOffset, size, target);
    consume(size);
    if (m_overLowMark && buffered() <= m_lowMark) {
        m_overLowMark = false;
        if (m_onDrained) {
            m_onDrained();
        }
    }
    return static_cast<ssize_t>(size);
}

void MhdExchange::callerDisconnected()
{
    if (const Task closed = std::exchange(m_onClosed, nullptr)) {
        closed();
    }
    // A caller may shut down its sending side and still read a complete response.
    if (m_state != State::ResponseSet) {
        abort();
    }
}

void MhdExchange::requestFinished()
{
    m_state = State::Ended;
    m_connection = nullptr;
    m_onDrained = nullptr;
    dropBuffer();
    const Task closed = std::exchange(m_onClosed, nullptr);
    if (closed && !m_finished) {
        closed();
    }
}

// --- MhdServer

MhdServer::~MhdServer()
{
    m_timer.reset();
    m_scheduledRun.reset();
    m_readable.reset();
    m_watchReadable.reset();
    if (m_daemon != nullptr) {
        m_stopped = true;
        for (const auto &[pointer, exchange] : m_openExchanges) {
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

absl::Status MhdServer::start(const Base::Address &address)
{
    sockaddr_in socketAddress {};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &socketAddress.sin_addr);
    const auto idleSeconds = static_cast<unsigned int>(std::chrono::duration_cast<std::chrono::seconds>(m_limits.idle).count());
    m_daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, address.port, &MhdServer::acceptConnection, this, &MhdServer::access, this,
        MHD_OPTION_NOTIFY_CONNECTION, &MhdServer::onConnection, this, MHD_OPTION_SOCK_ADDR, &socketAddress,
        MHD_OPTION_NOTIFY_COMPLETED, &MhdServer::onRequestFinished, this, MHD_OPTION_CONNECTION_LIMIT,
        static_cast<unsigned int>(m_limits.connections + closingConnections), MHD_OPTION_CONNECTION_TIMEOUT, idleSeconds,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemory(m_limits), MHD_OPTION_URI_LOG_CALLBACK, &MhdServer::storeTarget,
        this, MHD_OPTION_END);
    if (m_daemon == nullptr) {
        return makeError(
            Base::ErrorKind::InvalidSettings,
            fmt::format("cannot listen on {}; check that this host has the address and that the port is free", address.text()));
    }
    m_address = address;
    m_address.port = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    limitSocketBuffers();
    m_watchDescriptor = epoll_create1(EPOLL_CLOEXEC);
    const int libraryDescriptor = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    m_readable = m_loop.whenReadable(libraryDescriptor, [this] { run(); });
    m_watchReadable = m_loop.whenReadable(m_watchDescriptor, [this] { readWatched(); });
    m_timer = m_loop.every(sweepPeriod, [this] { sweep(); });
    return absl::OkStatus();
}

MHD_Result MhdServer::acceptConnection(void *self, const sockaddr *, socklen_t)
{
    auto &server = *static_cast<MhdServer *>(self);
    if (server.m_connections.open() < server.m_limits.connections) {
        return MHD_YES;
    }
    // Those that are being closed have to leave room too.
    if (server.connections() < server.m_limits.connections + closingConnections && server.closeLongestIdle()) {
        return MHD_YES;
    }
    ++server.m_connectionCounters.turnedAway;
    return MHD_NO;
}

void MhdServer::onConnection(void *self, MHD_Connection *connection, void **, MHD_ConnectionNotificationCode code)
{
    auto &server = *static_cast<MhdServer *>(self);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        server.m_connections.opened(connection);
    } else {
        server.m_connections.closed(connection);
    }
}

bool MhdServer::closeLongestIdle()
{
    const auto idle = m_connections.takeLongestIdle();
    if (!idle) {
        return false;
    }
    ++m_connectionCounters.idleClosed;
    // libmicrohttpd notices the end of the connection when it runs next.
    ::shutdown(MHD_get_connection_info(*idle, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd, SHUT_RDWR);
    return true;
}

void MhdServer::logTurnedAway()
{
    const std::uint64_t idleClosed = m_connectionCounters.idleClosed - m_loggedCounters.idleClosed;
    const std::uint64_t turnedAway = m_connectionCounters.turnedAway - m_loggedCounters.turnedAway;
    if (idleClosed == 0 && turnedAway == 0) {
        return;
    }
    m_loggedCounters = m_connectionCounters;
    Base::log(Base::LogLevel::Warning, Base::LogEvent::ConnectionsOverLimit,
              {{"idle-closed", idleClosed},
               {"turned-away", turnedAway},
               {"open", m_connections.open()},
               {"idle", m_connections.idle()},
               {"limit", m_limits.connections}});
}

void MhdServer::logBodies()
{
    const std::uint64_t refused = m_bodyCounters.refused - m_loggedBodyCounters.refused;
    const std::uint64_t cut = m_bodyCounters.cut - m_loggedBodyCounters.cut;
    if (refused == 0 && cut == 0) {
        return;
    }
    m_loggedBodyCounters = m_bodyCounters;
    Base::log(Base::LogLevel::Warning, Base::LogEvent::BodiesOverBound,
              {{"refused", refused}, {"cut", cut}, {"held-bytes", m_bodies->heldBytes()}, {"bound", m_limits.bodyMemoryBytes}});
}

/// Applies the sizes of the kernel's buffers to the listener, from which each connection inherits them.
void MhdServer::limitSocketBuffers()
{
    const int listener = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
    for (const auto &[option, size] :
         {std::pair {SO_SNDBUF, m_limits.sendBufferBytes}, {SO_RCVBUF, m_limits.receiveBufferBytes}}) {
        if (size > 0) {
            const int bytes = static_cast<int>(size);
            setsockopt(listener, SOL_SOCKET, option, &bytes, sizeof bytes);
        }
    }
}

void MhdServer::run()
{
    // If libmicrohttpd has buffered input of a connection, no descriptor becomes readable. A timeout of zero indicates this.
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    for (int runs = 0; runs < maxLibraryRunsPerTurn; ++runs) {
        MHD_run(m_daemon);
        if (MHD_get_timeout(m_daemon, &timeout) != MHD_YES || timeout > 0) {
            return;
        }
    }
    scheduleRun();
}

void MhdServer::scheduleRun()
{
    if (m_scheduledRun == nullptr) {
        m_scheduledRun = m_loop.after(Base::Duration::zero(), [this] {
            m_scheduledRun.reset();
            run();
        });
    }
}

void MhdServer::watch(const std::shared_ptr<MhdExchange> &exchange)
{
    epoll_event event {};
    event.events = EPOLLRDHUP | EPOLLET;
    event.data.fd = exchange->m_descriptor;
    if (epoll_ctl(m_watchDescriptor, EPOLL_CTL_ADD, exchange->m_descriptor, &event) == 0) {
        m_watched[exchange->m_descriptor] = exchange;
    }
}

void MhdServer::unwatch(MhdExchange &exchange)
{
    if (m_watched.erase(exchange.m_descriptor) > 0) {
        epoll_ctl(m_watchDescriptor, EPOLL_CTL_DEL, exchange.m_descriptor, nullptr);
    }
}

void MhdServer::readWatched()
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
            exchange->callerDisconnected();
        }
    }
}

void MhdServer::sweep()
{
    const Base::Instant now = Base::now();
    for (const auto &[pointer, exchange] : m_openExchanges) {
        sweepArriving(*exchange, now - exchange->m_startedAt);
    }
    // libmicrohttpd checks the timeouts of idle connections only when it runs.
    run();
    logTurnedAway();
    logBodies();
}

void MhdServer::sweepArriving(MhdExchange &exchange, Base::Duration elapsed)
{
    using State = MhdExchange::State;
    if (exchange.m_state == State::Refused && elapsed > droppedBodyPatience) {
        sendOnSocket(exchange, exchange.m_refusal, exchange.m_retryAfter);
        exchange.m_state = State::Answered;
    }
    if (elapsed <= m_limits.receive) {
        return;
    }
    if (exchange.m_state == State::Answered) {
        exchange.m_state = State::Ended;
        ::shutdown(exchange.m_descriptor, SHUT_RDWR);
    } else if (exchange.m_state == State::Receiving) {
        rejectOnSocket(
            exchange,
            makeError(Base::ErrorKind::RequestTimeout,
                      fmt::format("the request was not received completely within {:.0f} s", Base::seconds(m_limits.receive))));
    }
}

/// Stores the request target. libmicrohttpd calls this when it has read the request line, and the return value becomes the
/// initial state of the request.
void *MhdServer::storeTarget(void *self, const char *target, MHD_Connection *connection)
{
    auto &server = *static_cast<MhdServer *>(self);
    server.m_targets[connection] = target;
    server.m_connections.becameBusy(connection);
    return nullptr;
}

MHD_Result MhdServer::storeHeader(void *exchange, MHD_ValueKind, const char *name, const char *value)
{
    auto &request = static_cast<MhdExchange *>(exchange)->m_request;
    request.headers.push_back({Base::lowerCase(name), value == nullptr ? "" : value});
    return MHD_YES;
}

MHD_Result MhdServer::storeArgument(void *exchange, MHD_ValueKind, const char *name, const char *value)
{
    auto &query = static_cast<MhdExchange *>(exchange)->m_request.query;
    query += query.empty() ? "" : "&";
    query += percentEncoded(name);
    query += value == nullptr ? "" : "=" + percentEncoded(value);
    return MHD_YES;
}

MHD_Result MhdServer::beginRequest(MHD_Connection *connection, const char *method, const char *url, void **state)
{
    auto exchange = std::make_shared<MhdExchange>(*this, connection, ++m_exchanges, m_bodies);
    exchange->m_request.method = method;
    exchange->m_request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &MhdServer::storeHeader, exchange.get());
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &MhdServer::storeArgument, exchange.get());
    *state = exchange.get();
    m_openExchanges.emplace(exchange.get(), exchange);
    exchange->m_request.target = std::exchange(m_targets[connection], {});
    m_targets.erase(connection);
    const Request &request = exchange->m_request;
    if (headBytes(request) > m_limits.headerBytes || request.headers.size() > maxHeaderFields) {
        return reject(
            *exchange,
            makeError(Base::ErrorKind::RequestHeadTooLarge,
                      fmt::format("the head is over the limit of {} bytes or {} fields", m_limits.headerBytes, maxHeaderFields)));
    }
    exchange->m_declaredBytes = declaredBodyBytes(request);
    if (exchange->m_declaredBytes > m_limits.bodyBytes) {
        return reject(*exchange,
                      makeError(Base::ErrorKind::RequestTooLarge,
                                fmt::format("the body is over the limit of {} bytes", m_limits.bodyBytes)));
    }
    if (!makeRoom(*exchange, exchange->m_declaredBytes)) {
        refuseBody(*exchange, exchange->m_declaredBytes);
        if (headerValue(request.headers, "expect")) {
            // The caller waits for a word before it sends the body.
            return reject(*exchange, exchange->m_refusal, exchange->m_retryAfter);
        }
    }
    return MHD_YES;
}

bool MhdServer::makeRoom(const MhdExchange &exchange, std::size_t bytes)
{
    const Base::Instant now = Base::now();
    while (!m_bodies->grow(exchange.m_number, bytes, now)) {
        const auto slow = m_bodies->slowBody(now);
        if (!slow || *slow == exchange.m_number) {
            return false;
        }
        cutSlowBody(*slow);
    }
    return true;
}

bool MhdServer::reserve(MhdExchange &exchange, std::size_t bytes)
{
    std::string &body = exchange.m_request.body;
    if (bytes <= body.capacity()) {
        return true;
    }
    // A body of which the length is not known doubles its buffer as it grows.
    const std::size_t grown = std::min(std::max(2 * body.capacity(), minGrowingBodyBytes), m_limits.bodyBytes);
    const std::size_t size = std::max(bytes, exchange.m_declaredBytes > 0 ? exchange.m_declaredBytes : grown);
    if (!makeRoom(exchange, size)) {
        return false;
    }
    body.reserve(size);
    return true;
}

void MhdServer::cutSlowBody(std::uint64_t number)
{
    ++m_bodyCounters.cut;
    m_bodies->release(number, Base::now());
    const auto hasNumber = [&](const auto &entry) { return entry.second->m_number == number; };
    if (const auto entry = std::ranges::find_if(m_openExchanges, hasNumber); entry != m_openExchanges.end()) {
        rejectOnSocket(*entry->second,
                       makeError(Base::ErrorKind::RequestTimeout, "the body came too slowly while others needed its room"));
    }
}

void MhdServer::refuseBody(MhdExchange &exchange, std::size_t bytes)
{
    ++m_bodyCounters.refused;
    exchange.m_state = MhdExchange::State::Refused;
    exchange.m_refusal
        = makeError(Base::ErrorKind::Overloaded, "the bodies of other requests take the memory for them; retry later");
    exchange.m_retryAfter = std::max<Base::Duration>(std::chrono::seconds(1), m_bodies->timeUntilFree(bytes));
    exchange.releaseBody();
}

MHD_Result MhdServer::dropBody(MhdExchange &exchange, std::size_t *size)
{
    if (*size > 0) {
        *size = 0;
        return MHD_YES;
    }
    return exchange.m_state == MhdExchange::State::Answered ? MHD_NO
                                                            : reject(exchange, exchange.m_refusal, exchange.m_retryAfter);
}

MHD_Result MhdServer::reject(MhdExchange &exchange, const absl::Status &error, Base::Duration retryAfter)
{
    exchange.m_state = MhdExchange::State::Waiting;
    exchange.respond({httpStatus(Base::errorKind(error)), rejectionHeaders(retryAfter), m_formatErrorBody(error)});
    return exchange.queueResponse();
}

void MhdServer::rejectOnSocket(MhdExchange &exchange, const absl::Status &error)
{
    sendOnSocket(exchange, error);
    exchange.m_state = MhdExchange::State::Ended;
    exchange.releaseBody();
    ::shutdown(exchange.m_descriptor, SHUT_RDWR);
}

void MhdServer::sendOnSocket(const MhdExchange &exchange, const absl::Status &error, Base::Duration retryAfter)
{
    // libmicrohttpd accepts no response while a body is being received, so the response is written directly to the socket.
    const std::string response = rawResponse(error, m_formatErrorBody(error), retryAfter);
    ::send(exchange.m_descriptor, response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

MHD_Result MhdServer::receive(const std::shared_ptr<MhdExchange> &exchange, const char *data, std::size_t *size)
{
    if (exchange->m_state == MhdExchange::State::Ended) {
        return MHD_NO;
    }
    if (exchange->m_state == MhdExchange::State::Refused || exchange->m_state == MhdExchange::State::Answered) {
        return dropBody(*exchange, size);
    }
    if (exchange->m_state != MhdExchange::State::Receiving) {
        *size = 0;
        return exchange->m_state == MhdExchange::State::Waiting ? MHD_YES : exchange->queueResponse();
    }
    if (*size > 0) {
        const std::size_t received = exchange->m_request.body.size() + *size;
        if (received > m_limits.bodyBytes) {
            rejectOnSocket(*exchange,
                           makeError(Base::ErrorKind::RequestTooLarge,
                                     fmt::format("the body is over the limit of {} bytes", m_limits.bodyBytes)));
            return MHD_NO;
        }
        if (!reserve(*exchange, received)) {
            refuseBody(*exchange, received);
            return dropBody(*exchange, size);
        }
        exchange->m_request.body.append(data, *size);
        m_bodies->received(exchange->m_number, received, Base::now());
        *size = 0;
        return MHD_YES;
    }
    m_bodies->completed(exchange->m_number);
    exchange->m_state = MhdExchange::State::Waiting;
    m_handler(exchange);
    if (exchange->m_state == MhdExchange::State::Waiting) {
        watch(exchange);
        exchange->suspend();
        return MHD_YES;
    }
    if (exchange->m_state == MhdExchange::State::Streaming) {
        watch(exchange);
    }
    return exchange->queueResponse();
}

MHD_Result MhdServer::access(void *self, MHD_Connection *connection, const char *url, const char *method, const char *,
                             const char *data, std::size_t *size, void **state)
{
    auto &server = *static_cast<MhdServer *>(self);
    if (server.m_stopped) {
        // libmicrohttpd aborts the process if it is stopped while a request waits for its answer.
        return MHD_NO;
    }
    if (*state == nullptr) {
        return server.beginRequest(connection, method, url, state);
    }
    const auto exchange = server.m_openExchanges.at(static_cast<MhdExchange *>(*state));
    return server.receive(exchange, data, size);
}

void MhdServer::onRequestFinished(void *self, MHD_Connection *connection, void **state, MHD_RequestTerminationCode)
{
    auto &server = *static_cast<MhdServer *>(self);
    server.m_targets.erase(connection);
    server.m_connections.becameIdle(connection);
    const auto entry = server.m_openExchanges.find(static_cast<MhdExchange *>(*state));
    if (entry == server.m_openExchanges.end()) {
        return;
    }
    const auto exchange = entry->second;
    server.m_openExchanges.erase(entry);
    server.unwatch(*exchange);
    exchange->requestFinished();
    *state = nullptr;
}

} // namespace

absl::StatusOr<std::unique_ptr<Server>> Server::listen(Base::Loop &loop, const Base::Address &address, const ServerLimits &limits,
                                                       Handler handler, ErrorBodyFormatter formatErrorBody)
{
    auto server = std::make_unique<MhdServer>(loop, limits, std::move(handler), std::move(formatErrorBody));
    if (absl::Status status = server->start(address); !status.ok()) {
        return status;
    }
    return server;
}

} // namespace Yokepond::Http
