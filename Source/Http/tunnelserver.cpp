// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Http/tunnelserver.h"

#include "Base/error.h"
#include "Base/text.h"
#include "Http/socketoptions.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Yokepond::Http {

namespace {

constexpr int eventsPerCall = 64;
constexpr int acceptsPerTurn = 16;
constexpr int readsPerTurn = 8; ///< reads from one connection before other connections get their turn
constexpr int backlog = 128;
constexpr std::size_t blockBytes = 16U << 10U; ///< bytes read at a time
constexpr std::size_t maxHeadBytes = 2048;
constexpr Base::Duration headTimeout = std::chrono::seconds(2); ///< time to receive the request for a tunnel
/// Time after the last byte from the endpoint for which a tunnel counts as busy. The next piece of a stream may follow.
constexpr Base::Duration busyAfterBytes = std::chrono::seconds(1);
/// Time for which the host may take to read the last bytes after the endpoint has closed its connection.
constexpr Base::Duration lingerTime = std::chrono::seconds(10);
constexpr Base::Duration sweepPeriod = std::chrono::milliseconds(50);
/// Time until connections are accepted again after there were no file descriptors left.
constexpr Base::Duration acceptRetryDelay = std::chrono::milliseconds(100);

constexpr std::string_view connected = "HTTP/1.1 200 Connection established\r\n\r\n";
constexpr std::string_view forbidden = "HTTP/1.1 403 Forbidden\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view unreachable = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view unable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view malformed = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";

/// One of the two connections of a tunnel.
struct Side
{
    int descriptor = -1;
    bool connecting = false;
    bool ended = false; ///< the other system has closed its sending direction
    std::string unsent; ///< bytes from the other side that the kernel has not taken yet
    std::uint32_t watched = 0; ///< events that epoll reports
};

enum class Stage { ReadingHead, AwaitingDecision, Connecting, Open, Closing };

struct Tunnel
{
    std::uint64_t id = 0;
    Stage stage = Stage::ReadingHead;
    Side host; ///< connection of the host that asked for the tunnel
    Side endpoint;
    std::string head; ///< request for the tunnel; bytes after its end belong to the endpoint
    std::string target;
    Base::Instant stageBegan {};
    Base::Instant lastFromEndpoint {};
    bool awaitsResponse = true; ///< the last bytes came from the host
};

sockaddr_in socketAddress(const Base::Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// Returns the target of a request for a tunnel, or nothing if it is none.
std::optional<std::string> targetOf(std::string_view head)
{
    constexpr std::string_view method = "CONNECT ";
    const std::string_view line = head.substr(0, head.find("\r\n"));
    const std::size_t end = line.rfind(" HTTP/1.");
    if (!line.starts_with(method) || end == std::string_view::npos || end <= method.size()) {
        return std::nullopt;
    }
    const std::string_view target = line.substr(method.size(), end - method.size());
    return Base::parseAddress(target).ok() ? std::optional(std::string(target)) : std::nullopt;
}

} // namespace

class TunnelServer::Implementation
{
public:
    Implementation(Base::Loop &loop, TunnelServerOptions options, TunnelServerCallbacks callbacks, int listener)
        : m_loop(loop)
        , m_options(std::move(options))
        , m_callbacks(std::move(callbacks))
        , m_listener(listener)
        , m_poll(epoll_create1(EPOLL_CLOEXEC))
    {
        watchListener(EPOLL_CTL_ADD, EPOLLIN);
        m_readable = m_loop.whenReadable(m_poll, [this] { handleEvents(); });
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    ~Implementation()
    {
        m_sweep.reset();
        m_readable.reset();
        for (const auto &[id, tunnel] : m_tunnels) {
            closeSide(tunnel->host);
            closeSide(tunnel->endpoint);
        }
        closeListener();
        ::close(m_poll);
    }

    void closeListener()
    {
        m_acceptRetry.reset();
        if (m_listener >= 0) {
            ::close(std::exchange(m_listener, -1));
        }
    }

    void decide(std::uint64_t id, bool allowed)
    {
        Tunnel *tunnel = find(id);
        if (tunnel == nullptr || tunnel->stage != Stage::AwaitingDecision) {
            return;
        }
        if (allowed) {
            connect(*tunnel);
        } else {
            refuse(*tunnel, forbidden);
        }
    }

    std::size_t busy() const
    {
        const Base::Instant now = Base::now();
        return static_cast<std::size_t>(std::ranges::count_if(m_tunnels, [now](const auto &entry) {
            const Tunnel &tunnel = *entry.second;
            const bool carries = tunnel.awaitsResponse || now - tunnel.lastFromEndpoint < busyAfterBytes;
            return (tunnel.stage == Stage::Open && carries) || !tunnel.host.unsent.empty();
        }));
    }

    std::uint64_t opened() const
    {
        return m_opened;
    }

private:
    static constexpr std::uint64_t listenerTag = 0;
    static constexpr std::uint64_t endpointBit = 1; ///< lowest bit of an event's tag: whether it is of the endpoint's side

    Tunnel *find(std::uint64_t id)
    {
        const auto entry = m_tunnels.find(id);
        return entry == m_tunnels.end() ? nullptr : entry->second.get();
    }

    static std::uint64_t tagOf(const Tunnel &tunnel, const Side &side)
    {
        return (tunnel.id << 1U) | (&side == &tunnel.endpoint ? endpointBit : 0);
    }

    void watch(Tunnel &tunnel, Side &side, std::uint32_t events)
    {
        if (side.descriptor < 0 || side.watched == events) {
            return;
        }
        epoll_event event {};
        event.events = events;
        event.data.u64 = tagOf(tunnel, side);
        epoll_ctl(m_poll, EPOLL_CTL_MOD, side.descriptor, &event);
        side.watched = events;
    }

    void addToPoll(Tunnel &tunnel, Side &side, std::uint32_t events)
    {
        epoll_event event {};
        event.events = events;
        event.data.u64 = tagOf(tunnel, side);
        epoll_ctl(m_poll, EPOLL_CTL_ADD, side.descriptor, &event);
        side.watched = events;
    }

    /// Watches both sides for what they can do next: a side is read only while all earlier bytes have been passed on.
    void updateWatched(Tunnel &tunnel)
    {
        const auto eventsOf = [](const Side &side, const Side &other, bool reads) {
            const std::uint32_t input = reads && !side.ended && other.unsent.empty() ? EPOLLIN : 0U;
            return input | (side.connecting || !side.unsent.empty() ? EPOLLOUT : 0U);
        };
        const bool open = tunnel.stage == Stage::Open;
        const bool hostReads = tunnel.stage != Stage::AwaitingDecision && tunnel.stage != Stage::Connecting;
        watch(tunnel, tunnel.host, eventsOf(tunnel.host, tunnel.endpoint, hostReads));
        watch(tunnel, tunnel.endpoint, eventsOf(tunnel.endpoint, tunnel.host, open));
    }

    void watchListener(int operation, std::uint32_t events)
    {
        epoll_event event {};
        event.events = events;
        event.data.u64 = listenerTag;
        epoll_ctl(m_poll, operation, m_listener, &event);
    }

    /// Leaves new connections waiting for a while. Without a free descriptor none can be accepted, and epoll would report them
    /// all the time.
    void pauseListener()
    {
        watchListener(EPOLL_CTL_MOD, 0);
        m_acceptRetry = m_loop.after(acceptRetryDelay, [this] {
            m_acceptRetry.reset();
            watchListener(EPOLL_CTL_MOD, EPOLLIN);
        });
    }

    void handleEvents()
    {
        std::array<epoll_event, eventsPerCall> events {};
        const int count = epoll_wait(m_poll, events.data(), eventsPerCall, 0);
        for (int index = 0; index < count; ++index) {
            const epoll_event &event = events.at(static_cast<std::size_t>(index));
            if (event.data.u64 == listenerTag) {
                acceptHosts();
            } else {
                handleEvent(event.data.u64, event.events);
            }
        }
    }

    void handleEvent(std::uint64_t tag, std::uint32_t events)
    {
        Tunnel *tunnel = find(tag >> 1U);
        if (tunnel == nullptr) {
            return;
        }
        const bool ofEndpoint = (tag & endpointBit) != 0;
        Side &side = ofEndpoint ? tunnel->endpoint : tunnel->host;
        if (side.connecting) {
            connectionEnded(*tunnel);
            return;
        }
        if ((events & EPOLLERR) != 0) {
            drop(*tunnel);
            return;
        }
        if ((events & EPOLLOUT) != 0 && !flush(side)) {
            drop(*tunnel);
            return;
        }
        if ((events & (EPOLLIN | EPOLLHUP)) != 0 && !read(*tunnel, side)) {
            return;
        }
        finishIfDone(*tunnel);
    }

    void acceptHosts()
    {
        for (int count = 0; count < acceptsPerTurn; ++count) {
            const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0) {
                if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
                    pauseListener();
                }
                return;
            }
            constexpr int enabled = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
            detectSilence(descriptor);
            // If this process ends, the other host must not take the end of the connection for the end of a response.
            resetWhenClosed(descriptor, true);
            auto tunnel = std::make_unique<Tunnel>();
            tunnel->id = ++m_lastId;
            tunnel->host.descriptor = descriptor;
            tunnel->stageBegan = Base::now();
            Tunnel &added = *m_tunnels.emplace(tunnel->id, std::move(tunnel)).first->second;
            addToPoll(added, added.host, EPOLLIN);
            if (m_sweep == nullptr) {
                m_sweep = m_loop.every(sweepPeriod, [this] { sweep(); });
            }
            if (m_tunnels.size() > m_options.maxTunnels) {
                refuse(added, unable);
            }
        }
    }

    /// Reads what has arrived and passes it on. Returns false if the tunnel was removed.
    bool read(Tunnel &tunnel, Side &side)
    {
        std::array<char, blockBytes> block; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recv
        for (int count = 0; count < readsPerTurn; ++count) {
            const ssize_t size = recv(side.descriptor, block.data(), block.size(), 0);
            if (size < 0) {
                if (errno == EAGAIN || errno == EINTR) {
                    return true;
                }
                drop(tunnel);
                return false;
            }
            if (size == 0) {
                return sideEnded(tunnel, side);
            }
            if (!bytesReceived(tunnel, side, {block.data(), static_cast<std::size_t>(size)})) {
                return false;
            }
            const Side &other = &side == &tunnel.host ? tunnel.endpoint : tunnel.host;
            if (tunnel.stage != Stage::Open || !other.unsent.empty()) {
                break;
            }
        }
        updateWatched(tunnel);
        return true;
    }

    bool bytesReceived(Tunnel &tunnel, Side &side, std::string_view bytes)
    {
        if (tunnel.stage == Stage::ReadingHead) {
            return headReceived(tunnel, bytes);
        }
        if (tunnel.stage != Stage::Open) {
            return true; // The tunnel is being closed; nobody reads these bytes any more.
        }
        const bool fromHost = &side == &tunnel.host;
        tunnel.awaitsResponse = fromHost;
        if (!fromHost) {
            tunnel.lastFromEndpoint = Base::now();
        }
        return send(tunnel, fromHost ? tunnel.endpoint : tunnel.host, bytes);
    }

    /// Returns false if the tunnel was removed.
    bool headReceived(Tunnel &tunnel, std::string_view bytes)
    {
        constexpr std::string_view headEnd = "\r\n\r\n";
        const std::uint64_t id = tunnel.id;
        tunnel.head.append(bytes);
        const std::size_t end = tunnel.head.find(headEnd);
        const auto target = end == std::string::npos ? std::nullopt : targetOf(tunnel.head);
        if (target) {
            tunnel.target = *target;
            tunnel.head.erase(0, end + headEnd.size());
            setStage(tunnel, Stage::AwaitingDecision);
            m_callbacks.requested(id, *target);
        } else if (end != std::string::npos || tunnel.head.size() > maxHeadBytes) {
            refuse(tunnel, malformed);
        }
        return find(id) != nullptr;
    }

    void connect(Tunnel &tunnel)
    {
        setStage(tunnel, Stage::Connecting);
        Side &side = tunnel.endpoint;
        side.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (side.descriptor < 0) {
            refuse(tunnel, unable);
            return;
        }
        constexpr int enabled = 1;
        setsockopt(side.descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        detectSilence(side.descriptor);
        limitUnacknowledged(side.descriptor);
        resetWhenClosed(side.descriptor, true);
        bool bound = true;
        if (!m_options.sourceAddress.empty()) {
            const sockaddr_in source = socketAddress({m_options.sourceAddress, 0});
            bound = bind(side.descriptor, reinterpret_cast<const sockaddr *>(&source), sizeof source) == 0; // NOLINT
        }
        const auto address = Base::parseAddress(tunnel.target);
        const sockaddr_in target = socketAddress(address.value_or(Base::Address {}));
        const int result
            = bound ? ::connect(side.descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) : -1; // NOLINT
        side.connecting = true;
        addToPoll(tunnel, side, EPOLLOUT);
        if (result != 0 && errno != EINPROGRESS) {
            connectionFailed(tunnel);
        }
    }

    void connectionEnded(Tunnel &tunnel)
    {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(tunnel.endpoint.descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            connectionFailed(tunnel);
            return;
        }
        tunnel.endpoint.connecting = false;
        m_callbacks.connected(tunnel.target, true);
        ++m_opened;
        setStage(tunnel, Stage::Open);
        const std::string early = std::exchange(tunnel.head, {});
        if (send(tunnel, tunnel.host, connected) && (early.empty() || send(tunnel, tunnel.endpoint, early))) {
            updateWatched(tunnel);
        }
    }

    void connectionFailed(Tunnel &tunnel)
    {
        const bool ownPathsWork = m_callbacks.connected(tunnel.target, false);
        refuse(tunnel, ownPathsWork ? unreachable : unable);
    }

    /// Passes @p bytes to the kernel, and keeps those that it does not take. Returns false if the tunnel was removed.
    bool send(Tunnel &tunnel, Side &side, std::string_view bytes)
    {
        side.unsent.append(bytes);
        if (!flush(side)) {
            drop(tunnel);
            return false;
        }
        updateWatched(tunnel);
        return true;
    }

    /// Returns false if the connection is broken.
    static bool flush(Side &side)
    {
        std::size_t offset = 0;
        while (offset < side.unsent.size()) {
            const ssize_t size = ::send(side.descriptor, side.unsent.data() + offset, side.unsent.size() - offset, MSG_NOSIGNAL);
            if (size < 0) {
                if (errno != EAGAIN && errno != EINTR) {
                    return false;
                }
                break;
            }
            offset += static_cast<std::size_t>(size);
        }
        side.unsent.erase(0, offset);
        return true;
    }

    /// Handles the clean end of one side's bytes. Returns false if the tunnel was removed.
    bool sideEnded(Tunnel &tunnel, Side &side)
    {
        side.ended = true;
        if (&side == &tunnel.host) {
            // The host needs no more of the response, so the endpoint is told to stop.
            drop(tunnel);
            return false;
        }
        updateWatched(tunnel);
        return true;
    }

    /// Ends the host's connection cleanly after the last bytes, if the endpoint has ended its own cleanly.
    void finishIfDone(Tunnel &tunnel)
    {
        const bool responseEnds = tunnel.stage == Stage::Open && tunnel.endpoint.ended;
        if ((responseEnds || tunnel.stage == Stage::Closing) && tunnel.host.unsent.empty()) {
            finish(tunnel);
        } else {
            updateWatched(tunnel);
        }
    }

    void finish(Tunnel &tunnel)
    {
        closeSide(tunnel.endpoint);
        tunnel.endpoint.unsent.clear();
        resetWhenClosed(tunnel.host.descriptor, false);
        shutdown(tunnel.host.descriptor, SHUT_WR);
        if (tunnel.stage != Stage::Closing) {
            setStage(tunnel, Stage::Closing);
        }
        // Bytes that still arrive are read and dropped until the host closes: closing with unread bytes would reset the
        // connection.
        watch(tunnel, tunnel.host, EPOLLIN);
    }

    /// Responds without a tunnel and closes the connection.
    void refuse(Tunnel &tunnel, std::string_view response)
    {
        closeSide(tunnel.endpoint);
        setStage(tunnel, Stage::Closing);
        if (send(tunnel, tunnel.host, response)) {
            finishIfDone(tunnel);
        }
    }

    /// Resets both connections, so that neither takes the end for a clean one.
    void drop(Tunnel &tunnel)
    {
        closeSide(tunnel.host);
        closeSide(tunnel.endpoint);
        m_tunnels.erase(tunnel.id);
    }

    static void closeSide(Side &side)
    {
        if (side.descriptor >= 0) {
            ::close(std::exchange(side.descriptor, -1));
        }
        side.connecting = false;
        side.watched = 0;
    }

    static void setStage(Tunnel &tunnel, Stage stage)
    {
        tunnel.stage = stage;
        tunnel.stageBegan = Base::now();
    }

    /// Ends tunnels whose stage has lasted too long.
    void sweep()
    {
        const Base::Instant now = Base::now();
        std::vector<std::uint64_t> late;
        for (const auto &[id, tunnel] : m_tunnels) {
            if (now - tunnel->stageBegan > limitOf(tunnel->stage)) {
                late.push_back(id);
            }
        }
        for (const std::uint64_t id : late) {
            Tunnel &tunnel = *m_tunnels.at(id);
            if (tunnel.stage == Stage::Connecting) {
                connectionFailed(tunnel);
            } else {
                drop(tunnel);
            }
        }
        if (m_tunnels.empty()) {
            m_sweep.reset();
        }
    }

    Base::Duration limitOf(Stage stage) const
    {
        switch (stage) {
        case Stage::ReadingHead:
        case Stage::AwaitingDecision:
            return headTimeout;
        case Stage::Connecting:
            return m_options.connectTimeout;
        case Stage::Closing:
            return lingerTime;
        case Stage::Open:
            break;
        }
        return Base::Duration::max();
    }

    Base::Loop &m_loop;
    TunnelServerOptions m_options;
    TunnelServerCallbacks m_callbacks;
    int m_listener;
    int m_poll;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_opened = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<Tunnel>> m_tunnels;
    std::unique_ptr<Base::Loop::Registration> m_readable;
    std::unique_ptr<Base::Loop::Registration> m_sweep;
    std::unique_ptr<Base::Loop::Registration> m_acceptRetry; ///< while new connections are left waiting
};

absl::StatusOr<std::unique_ptr<TunnelServer>> TunnelServer::listen(Base::Loop &loop, TunnelServerOptions options,
                                                                   TunnelServerCallbacks callbacks)
{
    const auto failed = [&options](int descriptor) {
        const std::string reason = std::strerror(errno);
        ::close(descriptor);
        return Base::makeError(Base::ErrorKind::InvalidSettings,
                               fmt::format("cannot listen for tunnels on {}: {}; set [peers] tunnel-port to a free port",
                                           options.listen.text(), reason));
    };
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    constexpr int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const sockaddr_in address = socketAddress(options.listen);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 // NOLINT
        || ::listen(listener, backlog) != 0) {
        return failed(listener);
    }
    return std::make_unique<TunnelServer>(loop, std::move(options), std::move(callbacks), listener);
}

TunnelServer::TunnelServer(Base::Loop &loop, TunnelServerOptions options, TunnelServerCallbacks callbacks, int listener)
    : m_implementation(std::make_unique<Implementation>(loop, std::move(options), std::move(callbacks), listener))
{
}

TunnelServer::~TunnelServer() = default;

void TunnelServer::decide(std::uint64_t tunnel, bool allowed)
{
    m_implementation->decide(tunnel, allowed);
}

void TunnelServer::closeListener()
{
    m_implementation->closeListener();
}

std::size_t TunnelServer::busy() const
{
    return m_implementation->busy();
}

std::uint64_t TunnelServer::opened() const
{
    return m_implementation->opened();
}

} // namespace Yokepond::Http
