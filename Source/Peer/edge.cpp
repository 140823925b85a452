// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Peer/edge.h"

#include "Base/crashreport.h"
#include "Base/log.h"
#include "Peer/codec.h"

#include <capnp/rpc-twoparty.h>
#include <fmt/format.h>
#include <kj/async-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <ctime>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace Yokepond::Peer {

namespace {

constexpr std::size_t maxQueuedMessages = 20'000; ///< limit for one peer
constexpr std::size_t maxMessagesPerCall = 256;
constexpr unsigned int maxCallsInFlight = 2;
constexpr auto connectTimeout = 1 * kj::SECONDS;
constexpr auto callTimeout = 4 * kj::SECONDS;
constexpr auto destroyDelay = 100 * kj::MILLISECONDS;
/// Time until a connection is accepted again after it failed, which happens when there are no file descriptors left.
constexpr auto acceptRetryDelay = 100 * kj::MILLISECONDS;

struct Outgoing
{
    Recipient to;
    Message message;
};

/// Returns the incoming call that has this token.
struct ReturnCall
{
    std::uint64_t token = 0;
};

using Command = std::variant<Outgoing, ReturnCall>;

/// Encodes @p messages into a list and adds their sizes to @p sentBytes.
template<typename ListBuilder>
void encodeAll(const std::vector<Message> &messages, ListBuilder list, TrafficCounts &sentBytes)
{
    unsigned int index = 0;
    for (const Message &message : messages) {
        auto entry = list[index++];
        encode(message, entry);
        sentBytes.at(static_cast<std::size_t>(trafficOf(message)))
            += entry.asReader().totalSize().wordCount * sizeof(capnp::word);
    }
}

std::vector<Message> decodeAll(capnp::List<Wire::Message>::Reader list)
{
    std::vector<Message> messages;
    for (const auto entry : list) {
        if (auto message = decode(entry)) {
            messages.push_back(std::move(*message));
        }
    }
    return messages;
}

/// The process that was last seen at each address of a peer. Used on the edge's thread only.
class LatestProcesses
{
public:
    void update(const std::string &address, std::uint64_t incarnation)
    {
        m_incarnations[address] = incarnation;
    }

    bool isLatest(const Recipient &recipient) const
    {
        const auto latest = m_incarnations.find(recipient.address);
        return latest != m_incarnations.end() && latest->second == recipient.incarnation;
    }

private:
    std::map<std::string, std::uint64_t> m_incarnations;
};

/// Returns whether the process @p incarnation may receive what is for @p wanted, 0 for any process.
bool mayReceive(std::uint64_t incarnation, std::uint64_t wanted)
{
    return wanted == 0 || wanted == incarnation;
}

/// Incoming calls that have not returned yet. A call returns when its messages have been handled, and its result carries what was
/// sent to that peer in the meantime. Used on the edge's thread only.
class OpenCalls
{
public:
    using PostContext = capnp::CallContext<Wire::Session::PostParams, Wire::Session::PostResults>;

    explicit OpenCalls(TrafficCounts &sentBytes)
        : m_sentBytes(sentBytes)
    {
    }

    /// Adds a call from the process @p caller. Returns its token and a promise that is fulfilled by returnCall().
    std::pair<std::uint64_t, kj::Promise<void>> open(const Recipient &caller, PostContext context)
    {
        auto pair = kj::newPromiseAndFulfiller<void>();
        const std::uint64_t token = m_nextToken++;
        m_calls.emplace(token, Call {caller, context, kj::mv(pair.fulfiller), {}});
        m_byAddress[caller.address] = token;
        return {token, kj::mv(pair.promise)};
    }

    /// Adds @p message to the result of the latest open call from the recipient's address, if the calling process may receive it.
    /// Returns false if there is no such call.
    bool add(const Recipient &to, Message &message)
    {
        const auto token = m_byAddress.find(to.address);
        if (token == m_byAddress.end()) {
            return false;
        }
        Call &call = m_calls.at(token->second);
        if (!mayReceive(call.caller.incarnation, to.incarnation)) {
            return false;
        }
        call.messages.push_back(std::move(message));
        return true;
    }

    /// Writes the call's result and returns the call to the peer.
    void returnCall(std::uint64_t token)
    {
        const auto entry = m_calls.find(token);
        if (entry == m_calls.end()) {
            return;
        }
        Call &call = entry->second;
        const std::size_t count = call.messages.size();
        if (count > 0) {
            encodeAll(call.messages, call.context.getResults().initMessages(static_cast<unsigned int>(count)), m_sentBytes);
        }
        call.fulfiller->fulfill();
        const auto latest = m_byAddress.find(call.caller.address);
        if (latest != m_byAddress.end() && latest->second == token) {
            m_byAddress.erase(latest);
        }
        m_calls.erase(entry);
    }

private:
    struct Call
    {
        Recipient caller;
        PostContext context;
        kj::Own<kj::PromiseFulfiller<void>> fulfiller;
        std::vector<Message> messages;
    };

    TrafficCounts &m_sentBytes;
    std::uint64_t m_nextToken = 1;
    std::map<std::uint64_t, Call> m_calls;
    std::map<std::string, std::uint64_t> m_byAddress; ///< latest call of each peer
};

/// Passes the messages of one connection to the handler.
class SessionServer final : public Wire::Session::Server
{
public:
    SessionServer(const Edge::Handler &handler, OpenCalls &calls, Process from, std::string address)
        : m_handler(handler)
        , m_calls(calls)
        , m_from(std::move(from))
        , m_address(std::move(address))
    {
    }

    kj::Promise<void> post(PostContext context) override
    {
        const Base::Activity activity("messages of a peer");
        auto messages = decodeAll(context.getParams().getMessages());
        context.releaseParams();
        auto [token, returned] = m_calls.open({m_address, m_from.incarnation}, context);
        m_handler(MessagesReceived {m_from, std::move(messages), token});
        return kj::mv(returned);
    }

private:
    const Edge::Handler &m_handler;
    OpenCalls &m_calls;
    Process m_from;
    std::string m_address;
};

/// Opens a session for each peer that connects.
class HostServer final : public Wire::Host::Server
{
public:
    HostServer(const EdgeOptions &options, const Edge::Handler &handler, OpenCalls &calls, LatestProcesses &latest)
        : m_options(options)
        , m_handler(handler)
        , m_calls(calls)
        , m_latest(latest)
    {
    }

    kj::Promise<void> connect(ConnectContext context) override
    {
        const auto params = context.getParams();
        auto results = context.getResults();
        const std::string from(params.getName().begin(), params.getName().size());
        const std::string address(params.getAddress().begin(), params.getAddress().size());
        m_latest.update(address, params.getIncarnation());
        results.setSession(kj::heap<SessionServer>(m_handler, m_calls, Process(from, params.getIncarnation()), address));
        results.setName(m_options.name);
        results.setIncarnation(m_options.incarnation);
        return kj::READY_NOW;
    }

private:
    const EdgeOptions &m_options;
    const Edge::Handler &m_handler;
    OpenCalls &m_calls;
    LatestProcesses &m_latest;
};

/// A connection that a peer opened. It exists until the peer closes it.
struct AcceptedConnection
{
    kj::Own<kj::AsyncIoStream> stream;
    PackedStream packed;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;

    AcceptedConnection(kj::Own<kj::AsyncIoStream> accepted, LinkCounters &counters, capnp::Capability::Client bootstrap)
        : stream(kj::mv(accepted))
        , packed(*stream, counters)
        , network(packed, capnp::rpc::twoparty::Side::SERVER)
        , system(capnp::makeRpcServer(network, kj::mv(bootstrap)))
    {
    }
};

/// A connection that this host opened to a peer.
struct OpenedConnection
{
    kj::Own<kj::AsyncIoStream> stream;
    PackedStream packed;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;

    OpenedConnection(kj::Own<kj::AsyncIoStream> made, LinkCounters &counters)
        : stream(kj::mv(made))
        , packed(*stream, counters)
        , network(packed, capnp::rpc::twoparty::Side::CLIENT)
        , system(capnp::makeRpcClient(network))
    {
    }

    Wire::Host::Client host()
    {
        capnp::MallocMessageBuilder message;
        auto id = message.initRoot<capnp::rpc::twoparty::VatId>();
        id.setSide(capnp::rpc::twoparty::Side::SERVER);
        return system.bootstrap(id).castAs<Wire::Host>();
    }
};

/// Sends messages to one peer, over a connection that is opened when needed. Used on the edge's thread only.
class PeerLink final : public kj::TaskSet::ErrorHandler
{
public:
    PeerLink(const EdgeOptions &options, const Edge::Handler &handler, LinkCounters &counters, TrafficCounts &sentBytes,
             LatestProcesses &latest, kj::AsyncIoContext &io, std::string address)
        : m_options(options)
        , m_handler(handler)
        , m_counters(counters)
        , m_sentBytes(sentBytes)
        , m_latest(latest)
        , m_io(io)
        , m_address(std::move(address))
        , m_tasks(*this)
    {
    }

    /// Queues @p message for the process @p incarnation of the peer, 0 for any.
    void send(Message message, std::uint64_t incarnation)
    {
        if (m_state == State::Ready && !mayReceive(m_peer.incarnation, incarnation)) {
            if (!m_latest.isLatest({m_address, incarnation})) {
                reportReplaced(incarnation, 1);
                return;
            }
            fail("the peer has another process now");
        }
        if (m_queue.size() >= maxQueuedMessages) {
            fail("too many messages are queued for the peer");
        }
        m_queue.push_back({std::move(message), incarnation});
        sendQueued();
    }

private:
    enum class State { Idle, Connecting, Ready };

    struct Queued
    {
        Message message;
        std::uint64_t incarnation = 0;
    };

    void taskFailed(kj::Exception &&exception) override
    {
        fail(exception.getDescription().cStr());
    }

    /// Runs @p task. If it fails, it closes the current connection only if the task belongs to it. Calls of a connection that was
    /// closed before fail later, one by one, and must not close the current one.
    void watch(kj::Promise<void> task)
    {
        const auto generation = m_generation;
        m_tasks.add(task.catch_([this, generation](kj::Exception &&exception) {
            if (generation == m_generation) {
                fail(exception.getDescription().cStr());
            }
        }));
    }

    void sendQueued()
    {
        if (m_queue.empty()) {
            return;
        }
        if (m_state == State::Idle) {
            connect();
        }
        while (m_state == State::Ready && !m_queue.empty() && m_inFlight < maxCallsInFlight) {
            post();
        }
    }

    void connect()
    {
        m_state = State::Connecting;
        auto &timer = m_io.provider->getTimer();
        const auto generation = m_generation;
        auto connected = m_io.provider->getNetwork()
                             .parseAddress(m_address)
                             .then([](kj::Own<kj::NetworkAddress> address) { return address->connect().attach(kj::mv(address)); })
                             .then([this, generation](kj::Own<kj::AsyncIoStream> stream) -> kj::Promise<void> {
                                 if (generation != m_generation) {
                                     return kj::READY_NOW;
                                 }
                                 return open(kj::mv(stream), generation);
                             });
        watch(timer.timeoutAfter(connectTimeout, kj::mv(connected)));
    }

    kj::Promise<void> open(kj::Own<kj::AsyncIoStream> stream, std::uint64_t generation)
    {
        int on = 1;
        stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        m_connection = kj::heap<OpenedConnection>(kj::mv(stream), m_counters);
        auto request = m_connection->host().connectRequest();
        request.setName(m_options.name);
        request.setIncarnation(m_options.incarnation);
        request.setAddress(m_options.advertised);
        return request.send().then([this, generation](capnp::Response<Wire::Host::ConnectResults> results) {
            if (generation != m_generation) {
                return;
            }
            m_peer.name.assign(results.getName().begin(), results.getName().size());
            m_peer.incarnation = results.getIncarnation();
            m_latest.update(m_address, m_peer.incarnation);
            m_session = results.getSession();
            m_state = State::Ready;
            dropMessagesForEndedProcesses();
            Base::log(Base::LogLevel::Debug, Base::LogEvent::PeerConnected, {{"address", m_address}});
            sendQueued();
        });
    }

    /// Removes the queued messages that the process of the new connection may not receive.
    void dropMessagesForEndedProcesses()
    {
        std::map<std::uint64_t, std::size_t> dropped; // messages by incarnation
        std::erase_if(m_queue, [&](const Queued &queued) {
            const bool drop = !mayReceive(m_peer.incarnation, queued.incarnation);
            if (drop) {
                ++dropped[queued.incarnation];
            }
            return drop;
        });
        for (const auto &[incarnation, messages] : dropped) {
            reportReplaced(incarnation, messages);
        }
    }

    void reportReplaced(std::uint64_t ended, std::size_t messages)
    {
        m_handler(ProcessReplaced {{m_peer.name, ended}, m_peer.incarnation, messages});
    }

    void post()
    {
        auto request = KJ_ASSERT_NONNULL(m_session).postRequest();
        const std::size_t count = std::min(m_queue.size(), maxMessagesPerCall);
        const auto end = m_queue.begin() + static_cast<std::ptrdiff_t>(count);
        std::vector<Message> messages;
        messages.reserve(count);
        std::transform(m_queue.begin(), end, std::back_inserter(messages),
                       [](Queued &queued) { return std::move(queued.message); });
        m_queue.erase(m_queue.begin(), end);
        encodeAll(messages, request.initMessages(static_cast<unsigned int>(count)), m_sentBytes);
        ++m_inFlight;
        const auto generation = m_generation;
        auto sent = request.send().then([this, generation](capnp::Response<Wire::Session::PostResults> results) {
            if (generation != m_generation) {
                return;
            }
            if (results.hasMessages()) {
                m_handler(MessagesReceived {m_peer, decodeAll(results.getMessages()), 0});
            }
            --m_inFlight;
            sendQueued();
        });
        watch(m_io.provider->getTimer().timeoutAfter(callTimeout, kj::mv(sent)));
    }

    void fail(const char *why)
    {
        if (m_state != State::Idle || !m_queue.empty()) {
            Base::log(Base::LogLevel::Debug, Base::LogEvent::PeerLost, {{"address", m_address}, {"reason", why}});
            m_handler(MessagesLost {m_address});
        }
        m_queue.clear();
        disconnect();
    }

    void disconnect()
    {
        ++m_generation;
        m_state = State::Idle;
        m_inFlight = 0;
        m_session = nullptr;
        if (m_connection.get() != nullptr) {
            // This function may have been called from the connection's own code, so the connection is destroyed later.
            m_tasks.add(m_io.provider->getTimer().afterDelay(destroyDelay).attach(kj::mv(m_connection)));
        }
    }

    const EdgeOptions &m_options;
    const Edge::Handler &m_handler;
    LinkCounters &m_counters;
    TrafficCounts &m_sentBytes;
    LatestProcesses &m_latest;
    kj::AsyncIoContext &m_io;
    std::string m_address;
    Process m_peer; ///< the process that the connection leads to
    State m_state = State::Idle;
    std::uint64_t m_generation = 0; ///< number of the current connection; grows when it is closed
    unsigned int m_inFlight = 0;
    std::vector<Queued> m_queue;
    kj::Own<OpenedConnection> m_connection;
    kj::Maybe<Wire::Session::Client> m_session;
    kj::TaskSet m_tasks;
};

} // namespace

class Edge::Implementation final : public kj::TaskSet::ErrorHandler
{
public:
    Implementation(EdgeOptions options, Handler handler)
        : m_options(std::move(options))
        , m_handler(std::move(handler))
        , m_wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    ~Implementation()
    {
        if (m_thread.joinable()) {
            m_stopping = true;
            eventfd_write(m_wake, 1);
            m_thread.join();
        }
        ::close(m_wake);
    }

    absl::Status start()
    {
        std::promise<absl::Status> started;
        auto result = started.get_future();
        m_thread = std::thread([this, &started] { run(started); });
        return result.get();
    }

    void enqueue(Command command)
    {
        if (const auto *outgoing = std::get_if<Outgoing>(&command)) {
            ++m_sent.at(static_cast<std::size_t>(trafficOf(outgoing->message)));
        }
        bool wake = false;
        {
            const std::lock_guard lock(m_mutex);
            wake = m_commands.empty();
            m_commands.push_back(std::move(command));
        }
        if (wake) {
            eventfd_write(m_wake, 1);
        }
    }

    EdgeOptions m_options;
    Handler m_handler;
    LinkCounters m_counters;
    TrafficCounts m_sent {};
    TrafficCounts m_sentBytes {};
    std::atomic<std::uint16_t> m_port = 0;
    std::atomic<std::int64_t> m_processorMicroseconds = 0;

private:
    void taskFailed(kj::Exception &&) override
    {
        // An incoming connection broke. The peer opens a new one.
    }

    void run(std::promise<absl::Status> &started)
    {
        const Base::CrashReportThread thread("peers");
        auto io = kj::setupAsyncIo();
        kj::TaskSet tasks(*this);
        kj::Own<kj::ConnectionReceiver> receiver;
        try {
            receiver = io.provider->getNetwork().parseAddress(m_options.listen.text()).wait(io.waitScope)->listen();
        } catch (const kj::Exception &exception) {
            started.set_value(makeError(
                Base::ErrorKind::InvalidSettings,
                fmt::format("cannot listen for peers on {}: {}", m_options.listen.text(), exception.getDescription().cStr())));
            return;
        }
        m_port = static_cast<std::uint16_t>(receiver->getPort());
        OpenCalls calls(m_sentBytes);
        LatestProcesses latest;
        Wire::Host::Client bootstrap = kj::heap<HostServer>(m_options, m_handler, calls, latest);
        tasks.add(acceptNext(*receiver, io.provider->getTimer(), bootstrap, tasks));
        started.set_value(absl::OkStatus());
        std::map<std::string, std::unique_ptr<PeerLink>> links;
        kj::UnixEventPort::FdObserver observer(io.unixEventPort, m_wake, kj::UnixEventPort::FdObserver::OBSERVE_READ);
        while (!m_stopping) {
            processCommands(io, links, calls, latest);
            timespec used {};
            clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
            m_processorMicroseconds = used.tv_sec * 1'000'000 + used.tv_nsec / 1'000;
            observer.whenBecomesReadable().wait(io.waitScope);
            eventfd_t count = 0;
            eventfd_read(m_wake, &count);
        }
    }

    kj::Promise<void> acceptNext(kj::ConnectionReceiver &receiver, kj::Timer &timer, Wire::Host::Client bootstrap,
                                 kj::TaskSet &tasks)
    {
        // accept() may throw as well as return a promise that fails.
        return kj::evalNow([&receiver] { return receiver.accept(); })
            .then(
                [this, bootstrap, &tasks](kj::Own<kj::AsyncIoStream> stream) mutable { serve(kj::mv(stream), bootstrap, tasks); })
            .catch_([&timer](kj::Exception &&) { return timer.afterDelay(acceptRetryDelay); })
            .then([this, &receiver, &timer, bootstrap, &tasks]() mutable {
                return acceptNext(receiver, timer, kj::mv(bootstrap), tasks);
            });
    }

    /// Serves a connection that a peer has opened until the peer closes it.
    void serve(kj::Own<kj::AsyncIoStream> stream, Wire::Host::Client bootstrap, kj::TaskSet &tasks)
    {
        int on = 1;
        stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto incoming = kj::heap<AcceptedConnection>(kj::mv(stream), m_counters, kj::mv(bootstrap));
        auto &network = incoming->network;
        tasks.add(network.onDisconnect().attach(kj::mv(incoming)));
    }

    void processCommands(kj::AsyncIoContext &io, std::map<std::string, std::unique_ptr<PeerLink>> &links, OpenCalls &calls,
                         LatestProcesses &latest)
    {
        std::vector<Command> commands;
        {
            const std::lock_guard lock(m_mutex);
            commands.swap(m_commands);
        }
        for (Command &command : commands) {
            if (const auto *returnCall = std::get_if<ReturnCall>(&command)) {
                calls.returnCall(returnCall->token);
                continue;
            }
            auto &outgoing = std::get<Outgoing>(command);
            if (calls.add(outgoing.to, outgoing.message)) {
                continue;
            }
            auto &link = links[outgoing.to.address];
            if (!link) {
                link = std::make_unique<PeerLink>(m_options, m_handler, m_counters, m_sentBytes, latest, io, outgoing.to.address);
            }
            link->send(std::move(outgoing.message), outgoing.to.incarnation);
        }
    }

    int m_wake;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::vector<Command> m_commands;
    std::thread m_thread;
};

Edge::Edge(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

Edge::~Edge() = default;

absl::StatusOr<std::unique_ptr<Edge>> Edge::start(EdgeOptions options, Handler handler)
{
    auto implementation = std::make_unique<Implementation>(std::move(options), std::move(handler));
    if (absl::Status status = implementation->start(); !status.ok()) {
        return status;
    }
    return std::unique_ptr<Edge>(new Edge(std::move(implementation)));
}

void Edge::send(Recipient to, Message message)
{
    m_implementation->enqueue(Outgoing {std::move(to), std::move(message)});
}

void Edge::markHandled(std::uint64_t token)
{
    m_implementation->enqueue(ReturnCall {token});
}

std::uint16_t Edge::port() const
{
    return m_implementation->m_port;
}

const LinkCounters &Edge::counters() const
{
    return m_implementation->m_counters;
}

const TrafficCounts &Edge::sentMessages() const
{
    return m_implementation->m_sent;
}

const TrafficCounts &Edge::sentBytes() const
{
    return m_implementation->m_sentBytes;
}

Base::Duration Edge::processorTime() const
{
    return Base::Duration(m_implementation->m_processorMicroseconds.load());
}

} // namespace Yokepond::Peer
