// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Relay/endpointtransfers.h"

#include "Base/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace Yokepond::Relay {

namespace {

using Http::TransferFailure;
using Http::TransferResult;
using Http::TransferStage;

/// Time for one way if there are others: a round trip between regions, and a pause of a host whose share of a processor is used
/// up.
constexpr Base::Duration connectTimeoutPerWay = std::chrono::milliseconds(250);
/// A way is not tried with less time than this.
constexpr Base::Duration leastConnectTime = std::chrono::milliseconds(50);
/// Time between two probes of lost paths while none of them works.
constexpr Base::Duration probePeriod = std::chrono::seconds(1);
constexpr int badGateway = 502;

bool noConnection(const TransferResult &result)
{
    return result.stage == TransferStage::NotSent && result.failure != TransferFailure::None;
}

bool connectionBroke(const TransferResult &result)
{
    const bool closedHere = result.failure == TransferFailure::HeadTooLarge || result.failure == TransferFailure::Malformed;
    return !closedHere && (result.stage == TransferStage::Sent || result.stage == TransferStage::ResponseStarted);
}

} // namespace

EndpointTransfers::EndpointTransfers(Base::Loop &loop, Http::Client &client, EndpointTransferOptions options,
                                     PathCounters &counters)
    : m_loop(loop)
    , m_client(client)
    , m_options(std::move(options))
    , m_counters(counters)
{
}

void EndpointTransfers::setHelpers(std::vector<TunnelHelper> helpers)
{
    m_paths.setHelpers(std::move(helpers));
}

EndpointTransfers::Id EndpointTransfers::start(TransferTarget target, Builder build, EndpointTransferEvents events)
{
    const Id id = m_nextId++;
    auto active = std::make_shared<Active>();
    const Base::Instant now = Base::now();
    active->ways = m_paths.ways(now, target.address, target.region);
    active->hasHelpers = active->ways.size() > 1;
    active->target = std::move(target);
    active->build = std::move(build);
    active->events = std::move(events);
    active->connectBy = now + m_options.connectTimeout;
    Active &added = *m_active.emplace(id, std::move(active)).first->second;
    tryNextWay(id, added);
    return id;
}

void EndpointTransfers::cancel(Id id)
{
    if (const auto active = find(id)) {
        m_client.cancel(active->transfer);
        m_active.erase(id);
    }
}

void EndpointTransfers::pause(Id id, bool paused)
{
    if (const auto active = find(id)) {
        m_client.pause(active->transfer, paused);
    }
}

bool EndpointTransfers::recordDirect(const std::string &endpoint, bool connected)
{
    if (!connected) {
        if (m_paths.recordFailure(Base::now(), endpoint, {}, WayFailure::NoConnection)) {
            logPath(endpoint, true, "no connection for another host");
        }
    } else if (m_paths.recordConnection(endpoint, {})) {
        logPath(endpoint, false, "connected for another host");
    }
    updateLost();
    return !m_paths.inDoubt();
}

std::shared_ptr<EndpointTransfers::Active> EndpointTransfers::find(Id id) const
{
    const auto entry = m_active.find(id);
    return entry == m_active.end() ? nullptr : entry->second;
}

void EndpointTransfers::tryNextWay(Id id, Active &active)
{
    active.way = active.ways.front();
    active.ways.erase(active.ways.begin());
    Http::Transfer transfer = active.build();
    const Base::Duration left = std::max(active.connectBy - Base::now(), leastConnectTime);
    // The only way gets all the time.
    const bool only = active.ways.empty() && active.way.isDirect();
    transfer.connectTimeout = only ? left : std::min(left, connectTimeoutPerWay);
    startHttp(id, active, std::move(transfer), true);
}

void EndpointTransfers::startHttp(Id id, Active &active, Http::Transfer transfer, bool reportsBytes)
{
    transfer.sourceAddress = m_options.sourceAddress;
    transfer.maxHeadBytes = m_options.maxHeadBytes;
    transfer.detectSilence = true;
    transfer.tunnelHost = active.way.helper;
    Http::TransferEvents events;
    if (reportsBytes) {
        events.onConnected = [this, id] {
            if (const auto found = find(id)) {
                connectionOpened(*found);
            }
        };
        events.onHeaders = [this, id](int status, const Http::Headers &headers) {
            if (const auto found = find(id)) {
                found->events.onHeaders(status, headers);
            }
        };
        events.onBytes = [this, id](std::string_view bytes) {
            if (const auto found = find(id)) {
                found->events.onBytes(bytes);
            }
        };
    }
    events.onEnd = [this, id](const TransferResult &result) { ended(id, result); };
    active.transfer = m_client.start(std::move(transfer), std::move(events));
}

void EndpointTransfers::connectionOpened(const Active &active)
{
    if (m_paths.recordConnection(active.target.address, active.way)) {
        logPath(active.target.address, false, "connected");
    }
    updateLost();
}

void EndpointTransfers::connectionFailed(Active &active, const TransferResult &result)
{
    WayFailure failure = WayFailure::NoConnection;
    if (!active.way.isDirect() && result.tunnelStatus != 0) {
        failure = result.tunnelStatus == badGateway ? WayFailure::EndpointUnreachable : WayFailure::HelperUnable;
    }
    active.witnessed = active.witnessed || failure == WayFailure::EndpointUnreachable;
    if (m_paths.recordFailure(Base::now(), active.target.address, active.way, failure)) {
        logPath(active.target.address, true, result.detail);
    }
    updateLost();
}

void EndpointTransfers::ended(Id id, const TransferResult &result)
{
    const auto active = find(id);
    if (active == nullptr) {
        return;
    }
    if (active->broken != nullptr) {
        checkEnded(id, *active, result);
        return;
    }
    if (noConnection(result)) {
        connectionFailed(*active, result);
        const bool timeLeft = Base::now() + leastConnectTime <= active->connectBy;
        if (!active->ways.empty() && timeLeft) {
            tryNextWay(id, *active);
            return;
        }
        report(id, result, active->hasHelpers && !active->witnessed);
        return;
    }
    if (!active->way.isDirect()) {
        ++m_counters.tunnelled;
    }
    if (connectionBroke(result) && active->hasHelpers) {
        if (!active->way.isDirect() || m_paths.inDoubt() || m_paths.isLost(active->target.address)) {
            report(id, result, true);
            return;
        }
        // Does the path still work? If it does, the endpoint broke the connection.
        active->broken = std::make_unique<TransferResult>(result);
        active->ways = m_paths.ways(Base::now(), active->target.address, active->target.region);
        active->transfer = 0;
        checkEnded(id, *active, {});
        return;
    }
    report(id, result, false);
}

void EndpointTransfers::checkEnded(Id id, Active &active, const TransferResult &result)
{
    const bool checked = active.transfer != 0;
    if (checked && result.failure == TransferFailure::None) {
        connectionOpened(active);
        report(id, *active.broken, !active.way.isDirect());
        return;
    }
    if (checked) {
        connectionFailed(active, result);
    }
    if (active.ways.empty() || active.witnessed) {
        report(id, *active.broken, !active.witnessed);
        return;
    }
    ++m_counters.probes;
    active.way = active.ways.front();
    active.ways.erase(active.ways.begin());
    Http::Transfer transfer;
    transfer.url = fmt::format("http://{}/", active.target.address);
    transfer.connectOnly = true;
    transfer.freshConnection = true;
    transfer.connectTimeout = connectTimeoutPerWay;
    startHttp(id, active, std::move(transfer), false);
}

void EndpointTransfers::report(Id id, const TransferResult &result, bool pathInDoubt)
{
    const auto active = std::move(m_active.at(id));
    m_active.erase(id);
    active->events.onEnd({result, pathInDoubt});
}

void EndpointTransfers::scheduleProbe(Base::Duration delay)
{
    m_probeTimer = m_loop.after(delay, [this] {
        m_probeTimer.reset();
        probe();
    });
}

void EndpointTransfers::probe()
{
    const auto endpoint = m_paths.nextProbe(Base::now());
    updateLost();
    if (!endpoint) {
        return;
    }
    Http::Transfer transfer;
    transfer.url = fmt::format("http://{}/", *endpoint);
    transfer.connectOnly = true;
    transfer.freshConnection = true;
    transfer.connectTimeout = connectTimeoutPerWay;
    transfer.sourceAddress = m_options.sourceAddress;
    ++m_counters.probes;
    m_probing = true;
    m_client.start(
        std::move(transfer),
        {.onHeaders = nullptr, .onBytes = nullptr, .onEnd = [this, endpoint = *endpoint](const TransferResult &result) {
             m_probing = false;
             const bool works = result.failure == TransferFailure::None;
             if (works && m_paths.recordConnection(endpoint, {})) {
                 logPath(endpoint, false, "probe connected");
             }
             // One path that works again suggests that others do too.
             scheduleProbe(works ? Base::Duration::zero() : probePeriod);
         }});
}

void EndpointTransfers::logPath(const std::string &endpoint, bool lost, const std::string &reason) const
{
    Base::log(lost ? Base::LogLevel::Warning : Base::LogLevel::Info,
              lost ? Base::LogEvent::PathLost : Base::LogEvent::PathRecovered,
              {{"address", endpoint},
               {"reason", reason},
               {"lost", m_paths.lostCount()},
               {"in-doubt", m_paths.inDoubt()},
               {"helpers", m_paths.hasHelpers()}});
}

void EndpointTransfers::updateLost()
{
    m_counters.lostPaths = m_paths.lostCount();
    if (m_paths.lostCount() > 0 && m_paths.hasHelpers() && m_probeTimer == nullptr && !m_probing) {
        scheduleProbe(probePeriod);
    }
}

} // namespace Yokepond::Relay
