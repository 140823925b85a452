// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/settings.h"

#include "Base/error.h"
#include "Base/text.h"
#include "Configuration/schema.h"

namespace Yokepond::Node {

namespace {

using Base::Address;
using Base::IniFile;

constexpr std::string_view operatorPrefix = "operator ";
constexpr std::size_t digestDigits = 64;
constexpr std::size_t minSecretBytes = 16;
/// Time before the process would be killed at which a planned stop ends.
constexpr Base::Duration killMargin = std::chrono::milliseconds(250);
constexpr std::int64_t hourMs = 3'600'000;

Address requiredAddress(IniFile &ini, std::string_view section, std::string_view key)
{
    const std::string text = ini.requiredText(section, key);
    const auto address = Base::parseAddress(text);
    if (!address.ok()) {
        ini.reject(section, key, "an IPv4 address and a port such as 127.0.0.1:8080");
        return {};
    }
    return *address;
}

Base::Duration milliseconds(IniFile &ini, std::string_view section, std::string_view key, std::int64_t fallback,
                            std::int64_t minimum = 1)
{
    return std::chrono::milliseconds(ini.number(section, key, fallback, minimum, 24 * hourMs));
}

std::string requiredName(IniFile &ini, std::string_view section, std::string_view key)
{
    std::string name = ini.requiredText(section, key);
    if (!Configuration::validName(name)) {
        ini.reject(section, key, "letters, digits, '-', '_' and '.', at most 64 of them");
    }
    return name;
}

std::string parseSourceAddress(IniFile &ini)
{
    std::string source = ini.text("endpoints", "source-address", "");
    if (!source.empty() && !Base::parseAddress(source + ":0").ok()) {
        ini.reject("endpoints", "source-address", "an IPv4 address of this host, without a port");
        return {};
    }
    return source;
}

std::vector<std::string> parseSeeds(IniFile &ini)
{
    std::vector<std::string> seeds;
    const std::string text = ini.text("peers", "seeds", "");
    for (const std::string_view part : Base::split(text, ',')) {
        if (Base::trimmed(part).empty()) {
            continue;
        }
        const auto address = Base::parseAddress(Base::trimmed(part));
        if (!address.ok()) {
            ini.reject("peers", "seeds", "addresses such as 10.0.0.1:7000, separated by commas");
            return {};
        }
        seeds.push_back(address->text());
    }
    return seeds;
}

Http::ServerLimits parseLimits(IniFile &ini)
{
    Http::ServerLimits limits;
    limits.connections = static_cast<std::size_t>(ini.number("limits", "connections", 4096, 1, 1'000'000));
    limits.bodyBytes = static_cast<std::size_t>(ini.number("limits", "body-bytes", 4 << 20, 1024, 1 << 30));
    limits.headerBytes = static_cast<std::size_t>(ini.number("limits", "header-bytes", 16 << 10, 1024, 1 << 20));
    limits.responseHeaderBytes = static_cast<std::size_t>(ini.number("limits", "response-header-bytes", 16 << 10, 1024, 1 << 20));
    limits.idle = milliseconds(ini, "limits", "idle-ms", 60'000, 1000);
    limits.receive = milliseconds(ini, "limits", "receive-ms", 30'000, 100);
    return limits;
}

constexpr std::uint64_t mebibyte = 1U << 20U;
constexpr std::int64_t maxMebibytes = 1'000'000;
/// Without a bound of its own, a host uses one part in this many of its memory for the bodies of requests.
constexpr std::uint64_t memoryPerBodies = 4;

/// Returns the bound for the bodies of all requests. A body gets at most half of what is free, so it is at least twice as large
/// as the largest body.
std::size_t parseBodyMemory(IniFile &ini, std::uint64_t memoryBytes, std::size_t bodyBytes)
{
    const std::uint64_t least = 2 * bodyBytes;
    const auto boundBytes = static_cast<std::uint64_t>(ini.number("limits", "body-memory-mb", 0, 1, maxMebibytes)) * mebibyte;
    if (boundBytes > 0 && boundBytes < least) {
        ini.reject("limits", "body-memory-mb", "at least twice body-bytes");
    }
    if (memoryBytes > 0 && boundBytes >= memoryBytes) {
        ini.reject("limits", "body-memory-mb", "less than [host] memory-mb");
    }
    if (boundBytes > 0 || memoryBytes == 0) {
        return boundBytes;
    }
    return std::max(memoryBytes / memoryPerBodies, least);
}

/// Returns the limits on what is held for callers. Without a bound they apply to each stream only.
Relay::ResponseBufferLimits parseResponseBuffers(IniFile &ini, std::uint64_t memoryBytes)
{
    Relay::ResponseBufferLimits limits;
    const auto boundBytes
        = static_cast<std::uint64_t>(ini.number("limits", "response-buffers-mb", 0, 1, maxMebibytes)) * mebibyte;
    if (memoryBytes > 0 && boundBytes >= memoryBytes) {
        ini.reject("limits", "response-buffers-mb", "less than [host] memory-mb");
    }
    limits.totalBytes = boundBytes > 0 ? boundBytes : memoryBytes / Relay::memoryPerResponseBuffers;
    limits.unreadLimit = milliseconds(ini, "limits", "unread-ms", 5000, 500);
    return limits;
}

Membership::SwimOptions parseMembership(IniFile &ini)
{
    Membership::SwimOptions options;
    options.period = milliseconds(ini, "membership", "period-ms", 400, 10);
    options.probeTimeout = milliseconds(ini, "membership", "probe-timeout-ms", 150, 1);
    options.minSuspicionPeriods = static_cast<unsigned int>(ini.number("membership", "suspicion-periods", 3, 1, 100));
    if (options.probeTimeout >= options.period) {
        ini.reject("membership", "probe-timeout-ms", "less than period-ms");
    }
    return options;
}

OperatorAccount parseOperator(IniFile &ini, const std::string &section)
{
    OperatorAccount account;
    account.name = section.substr(operatorPrefix.size());
    account.keyDigest = Base::lowerCase(ini.requiredText(section, "key-sha256"));
    const bool digest = account.keyDigest.size() == digestDigits && std::ranges::all_of(account.keyDigest, [](char character) {
                            return absl::ascii_isxdigit(static_cast<unsigned char>(character));
                        });
    if (!digest) {
        ini.reject(section, "key-sha256", "the SHA-256 of the key in 64 hexadecimal digits");
    }
    const auto right = Base::valueOf(operatorRightNames, ini.text(section, "right", "query"));
    if (!right) {
        ini.reject(section, "right", "query or command");
    }
    account.right = right.value_or(OperatorRight::Query);
    return account;
}

/// Fraction of the allowed retries (`slack`) that hosts use. Two successive windows may each contain a host's whole budget, and a
/// restart refills the budget.
constexpr double usableSlackShare = 0.4;

Configuration::Policies parsePolicies(IniFile &ini)
{
    Configuration::Policies policies;
    constexpr double percent = 100.0;
    const double share = ini.decimal("retries", "share", 0.1, 0.0, 1.0);
    policies.retryPercent = static_cast<std::uint32_t>(share * percent);
    const double slack = ini.decimal("retries", "slack", 0.0, 0.0, 100'000.0);
    if (slack > 0) {
        policies.initialRetryBudget = slack * usableSlackShare;
        policies.maxRetryBudget = slack * usableSlackShare;
        policies.retryBudgetIsShared = true;
    }
    policies.maxCrashes = static_cast<std::uint32_t>(ini.number("retries", "most-endings", policies.maxCrashes, 0, 100));
    policies.quarantineParts = ini.flag("quarantine", "prompt-parts", false);
    // A restarted endpoint has another name on a platform with records, so a long time does no harm.
    constexpr std::int64_t leavingTimeout = 600;
    policies.leavingTimeout = std::chrono::seconds(ini.number("dispatch", "leaving-kept", leavingTimeout, 1, 86'400));
    const auto placement = Base::valueOf(Configuration::placementNames, ini.text("dispatch", "placement", "affinity"));
    if (!placement) {
        ini.reject("dispatch", "placement", "affinity, least-loaded, round-robin or soonest-first-token");
    }
    policies.placement = placement.value_or(policies.placement);
    const auto window = Base::valueOf(Configuration::windowNames, ini.text("dispatch", "window", "adaptive"));
    if (!window) {
        ini.reject("dispatch", "window", "adaptive or fixed");
    }
    policies.window = window.value_or(policies.window);
    policies.ejectSlow = ini.flag("dispatch", "eject-slow", true);
    policies.refuseLate = ini.flag("dispatch", "refuse-late", false);
    policies.sharePrefills = ini.flag("dispatch", "share-prefills", true);
    policies.streamEngines = ini.flag("dispatch", "stream-engines", true);
    policies.sameVersionStreams = ini.flag("streams", "same-version", false);
    constexpr std::int64_t longestTakenUpStream = 60;
    policies.longestTakenUpStream
        = std::chrono::seconds(ini.number("streams", "taken-up-within-s", longestTakenUpStream, 1, 3600));
    policies.wholePoolShards = ini.flag("dispatch", "whole-pool-shards", false);
    return policies;
}

/// Minimum of `quiet-ms`. A holder may act for one second less than that, and a call takes up to half a second.
constexpr std::int64_t minDutyTakeoverDelayMs = 2000;

void rejectAddressClashes(IniFile &ini, const Settings &settings)
{
    const auto clash = [](const Address &left, const Address &right) { return left.port != 0 && left == right; };
    if (clash(settings.operatorListen, settings.callerListen)) {
        ini.reject("listen", "operator", "an address other than that of [listen] caller");
    }
    if (clash(settings.peerListen, settings.callerListen) || clash(settings.peerListen, settings.operatorListen)) {
        ini.reject("listen", "peer", "an address other than those of [listen] caller and operator");
    }
    const Address tunnels {settings.peerListen.ip, settings.tunnelPort};
    if (clash(tunnels, settings.peerListen) || clash(tunnels, settings.callerListen) || clash(tunnels, settings.operatorListen)) {
        ini.reject("peers", "tunnel-port", "a port that no address of [listen] has");
    }
}

} // namespace

absl::StatusOr<Settings> parseSettings(IniFile ini)
{
    Settings settings;
    settings.name = requiredName(ini, "host", "name");
    settings.dataCentre = requiredName(ini, "host", "data-centre");
    constexpr double perCore = 1000.0;
    settings.milliCores = static_cast<std::uint32_t>(ini.decimal("host", "cores", 0.0, 0.0, 1024.0) * perCore);
    constexpr double maxMemoryMb = 1e6;
    settings.memoryBytes
        = static_cast<std::uint64_t>(ini.decimal("host", "memory-mb", 0.0, 0.0, maxMemoryMb) * static_cast<double>(mebibyte));
    settings.callerListen = requiredAddress(ini, "listen", "caller");
    settings.operatorListen = requiredAddress(ini, "listen", "operator");
    settings.peerListen = requiredAddress(ini, "listen", "peer");
    settings.advertisedPeer = ini.text("peers", "advertised", settings.peerListen.text());
    if (!Base::parseAddress(settings.advertisedPeer).ok()) {
        ini.reject("peers", "advertised", "an IPv4 address and a port");
    }
    settings.endpointSource = parseSourceAddress(ini);
    constexpr std::int64_t highestPort = 65535;
    settings.tunnelPort = static_cast<std::uint16_t>(ini.number("peers", "tunnel-port", 0, 0, highestPort));
    settings.seeds = parseSeeds(ini);
    const auto form = Base::valueOf(platformFormNames, ini.text("platform", "form", "table"));
    if (!form) {
        ini.reject("platform", "form", "table or records");
    }
    settings.platformForm = form.value_or(PlatformForm::Table);
    settings.policies = parsePolicies(ini);
    settings.platform = requiredAddress(ini, "platform", "address");
    settings.platformTimeout = milliseconds(ini, "platform", "timeout-ms", 2000);
    settings.platformSettledAfter = milliseconds(ini, "platform", "settled-after-ms", 3000);
    settings.configurationPoll = milliseconds(ini, "platform", "poll-ms", 500, 10);
    settings.storeFollowers = static_cast<std::size_t>(ini.number("platform", "followers", 8, 1, 10'000));
    if (const std::string dutyAddress = ini.text("usage", "address", ""); !dutyAddress.empty()) {
        const auto address = Base::parseAddress(dutyAddress);
        if (!address.ok()) {
            ini.reject("usage", "address", "an IPv4 address and a port");
        }
        settings.dutyAddress = address.value_or(Base::Address {});
    }
    const auto scaling = Base::valueOf(scalingModeNames, ini.text("scaling", "mode", "off"));
    if (!scaling) {
        ini.reject("scaling", "mode", "off, dry or on");
    }
    settings.scaling = scaling.value_or(ScalingMode::Off);
    settings.usageWindow = std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double>(ini.decimal("usage", "window-s", 5.0, 1.0, 24.0 * 3600.0)));
    settings.dutyTakeoverDelay = milliseconds(ini, "usage", "quiet-ms", 3000, minDutyTakeoverDelayMs);
    settings.notReadyAfter = milliseconds(ini, "platform", "not-ready-after-ms", 30'000);
    settings.callerLimits = parseLimits(ini);
    settings.callerLimits.bodyMemoryBytes = parseBodyMemory(ini, settings.memoryBytes, settings.callerLimits.bodyBytes);
    settings.responseBuffers = parseResponseBuffers(ini, settings.memoryBytes);
    settings.membership = parseMembership(ini);
    settings.operations.retention = milliseconds(ini, "operations", "kept-ms", hourMs);
    settings.operations.responseBytes = static_cast<std::size_t>(ini.number("operations", "held-bytes", 16 << 20, 0, 1 << 30));
    // No tickets are issued with PlatformForm::Records, since its requests carry no idempotency keys.
    const bool ticketsUsed = settings.platformForm == PlatformForm::Table;
    settings.ticketSecret = ticketsUsed ? ini.requiredText("tickets", "secret") : ini.text("tickets", "secret", "");
    if (ticketsUsed && settings.ticketSecret.size() < minSecretBytes) {
        ini.reject("tickets", "secret", "at least 16 characters, the same on all hosts");
    }
    settings.balancerLag = milliseconds(ini, "stop", "balancer-lag-ms", 3000, 0);
    settings.stopLimit = milliseconds(ini, "stop", "limit-ms", 0, 0);
    const double killDelaySeconds = ini.decimal("stop", "killed-after-s", 0, 0, 24 * 3600);
    if (killDelaySeconds > 0) {
        settings.stopLimit
            = std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(killDelaySeconds)) - killMargin;
    }
    settings.fatalInvariants = ini.flag("test", "fatal-invariants", false);
    const auto level = Base::valueOf(Base::logLevelNames, ini.text("log", "level", "info"));
    if (!level) {
        ini.reject("log", "level", "debug, info, warning or error");
    }
    settings.logLevel = level.value_or(Base::LogLevel::Info);
    for (const Base::IniEntry &entry : ini.entries("regions")) {
        settings.regions[entry.key] = ini.requiredText("regions", entry.key);
    }
    for (const std::string &section : ini.sections()) {
        if (section.starts_with(operatorPrefix)) {
            settings.operators.push_back(parseOperator(ini, section));
        }
    }
    rejectAddressClashes(ini, settings);
    if (absl::Status status = ini.finish(); !status.ok()) {
        return status;
    }
    return settings;
}

} // namespace Yokepond::Node
