// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Peer/codec.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <type_traits>

namespace Yokepond::Peer {

namespace {

std::uint32_t toMilliseconds(Base::Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t toMicroseconds(Base::Duration duration)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

std::uint64_t toMicroseconds(Base::Instant instant)
{
    return static_cast<std::uint64_t>(instant.time_since_epoch().count());
}

Base::Duration fromMilliseconds(std::uint32_t count)
{
    return std::chrono::milliseconds(count);
}

Base::Instant fromMicroseconds(std::uint64_t count)
{
    return Base::Instant(Base::Duration(static_cast<std::int64_t>(count)));
}

std::string toString(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

/// Returns the enumerator with number @p value if the table of names has it.
template<typename Enum, std::size_t Size>
std::optional<Enum> checkedEnum(const Base::NameTable<Enum, Size> &table, std::uint8_t value)
{
    const auto entry = std::ranges::find(table, static_cast<Enum>(value), &std::pair<Enum, std::string_view>::first);
    return entry == table.end() ? std::nullopt : std::optional<Enum>(entry->first);
}

template<typename Builder>
void encodeId(const AttemptId &id, Builder &builder)
{
    builder.setRequest(id.request);
    builder.setAttempt(id.attempt);
}

template<typename Reader>
AttemptId decodeId(const Reader &reader)
{
    return {reader.getRequest(), reader.getAttempt()};
}

void encodeMember(const Member &member, Wire::Member::Builder builder)
{
    builder.setName(member.name);
    builder.setIncarnation(member.incarnation);
    builder.setVersion(member.version);
    builder.setState(static_cast<std::uint8_t>(member.state));
    builder.setAddress(member.address);
    builder.setDataCentre(member.dataCentre);
    builder.setOperatorAddress(member.operatorAddress);
    builder.setCallerAddress(member.callerAddress);
    builder.setMilliCores(member.milliCores);
}

template<typename Builder>
void encodeMembers(const std::vector<Member> &members, Builder &builder)
{
    auto list = builder.initMembers(static_cast<unsigned int>(members.size()));
    for (unsigned int index = 0; index < list.size(); ++index) {
        encodeMember(members[index], list[index]);
    }
}

std::vector<Member> decodeMembers(capnp::List<Wire::Member>::Reader list)
{
    std::vector<Member> members;
    for (const auto entry : list) {
        const auto state = checkedEnum(memberStateNames, entry.getState());
        if (!state) {
            continue;
        }
        members.push_back({toString(entry.getName()), entry.getIncarnation(), entry.getVersion(), *state,
                           toString(entry.getAddress()), toString(entry.getDataCentre()), toString(entry.getOperatorAddress()),
                           toString(entry.getCallerAddress()), entry.getMilliCores()});
    }
    return members;
}

void encodeRate(const Rate::RateInfo &rate, Wire::RateWord::Builder builder)
{
    builder.setKnowledge(static_cast<std::uint8_t>(rate.kind));
    builder.setPerSecond(rate.perSecond);
    builder.setAgeMs(toMilliseconds(rate.age));
}

/// Returns an unknown rate for a value that is negative, infinite or not a number, and limits others to the largest rate.
Rate::RateInfo decodeRate(Wire::RateWord::Reader reader)
{
    const auto kind = checkedEnum(Rate::rateKindNames, reader.getKnowledge());
    const double perSecond = reader.getPerSecond();
    if (!kind || !std::isfinite(perSecond) || perSecond < 0) {
        return {};
    }
    return {*kind, std::min(perSecond, Rate::largestRate), fromMilliseconds(reader.getAgeMs())};
}

void encodeHeaders(const std::vector<ForwardedHeader> &headers, capnp::List<Wire::ForwardedHeader>::Builder list)
{
    for (unsigned int index = 0; index < list.size(); ++index) {
        list[index].setName(headers[index].name);
        list[index].setValue(headers[index].value);
    }
}

std::vector<ForwardedHeader> decodeHeaders(capnp::List<Wire::ForwardedHeader>::Reader list)
{
    std::vector<ForwardedHeader> headers;
    for (const auto entry : list) {
        headers.push_back({toString(entry.getName()), toString(entry.getValue())});
    }
    return headers;
}

std::vector<std::uint64_t> decodeNumbers(capnp::List<std::uint64_t>::Reader list)
{
    std::vector<std::uint64_t> numbers;
    for (const std::uint64_t number : list) {
        numbers.push_back(number);
    }
    return numbers;
}

capnp::Data::Reader toData(const std::string &bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

std::string fromData(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

/// Writes a message into the wire form, with one overload for each type. The schema keeps names that the plain types do not have
/// any more: News for updates, Knowledge for RateKind, Held for quarantined, FirstEnding for the first crash, Left for the
/// remaining time, and RestsFor for the cooldown.
struct Encoder
{
    Wire::Message::Builder message;

    void operator()(const Ask &ask)
    {
        auto builder = message.initAsk();
        encodeId(ask.id, builder);
        builder.setShard(ask.shard);
        builder.setRequestClass(ask.requestClass);
        builder.setOrganisation(ask.organisation);
        builder.setAgeMs(toMilliseconds(ask.age));
        builder.setRemainingMs(toMilliseconds(ask.remaining));
        builder.setSentAtUs(toMicroseconds(ask.sentAt));
        builder.setPromptTokens(ask.promptTokens);
        builder.setPrefix(kj::arrayPtr(ask.prefix.data(), ask.prefix.size()));
        builder.setAvoid(ask.avoid);
        builder.setRank(static_cast<std::int16_t>(ask.rank));
        builder.setExpectedTokens(ask.expectedTokens);
        builder.setPrefixTokens(kj::arrayPtr(ask.prefixTokens.data(), ask.prefixTokens.size()));
        builder.setReportsPrefill(ask.reportsPrefill);
        builder.setSoftwareVersion(ask.softwareVersion);
    }

    void operator()(const Grant &grant)
    {
        auto builder = message.initGrant();
        encodeId(grant.id, builder);
        builder.setEndpoint(grant.endpoint);
        builder.setStartByUs(toMicroseconds(grant.startBy));
        builder.setPressure(grant.pressure);
        builder.setKeeper(grant.keeper);
        builder.setReportPrefill(grant.reportPrefill);
        if (grant.rate.kind != Rate::RateKind::Unknown) {
            encodeRate(grant.rate, builder.initRate());
        }
    }

    void operator()(const PrefillEnded &ended)
    {
        auto builder = message.initPrefillEnded();
        encodeId(ended.id, builder);
        builder.setShard(ended.shard);
    }

    void operator()(const StreamBegan &began)
    {
        auto builder = message.initStreamBegan();
        builder.setStream(began.stream);
        builder.setPool(began.origin.pool);
        builder.setSoftwareVersion(began.origin.softwareVersion);
        builder.setKeepForMs(toMilliseconds(began.keepFor));
    }

    void operator()(const StreamOriginQuery &query)
    {
        message.initStreamOriginQuery().setStream(query.stream);
    }

    void operator()(const StreamOriginReply &reply)
    {
        auto builder = message.initStreamOriginReply();
        builder.setStream(reply.stream);
        builder.setKnown(reply.origin.has_value());
        if (reply.origin) {
            builder.setPool(reply.origin->pool);
            builder.setSoftwareVersion(reply.origin->softwareVersion);
        } else if (reply.onlyVersion) {
            builder.setPool(std::max(1U, toMilliseconds(reply.onlyVersion->watchedFor)));
            builder.setSoftwareVersion(reply.onlyVersion->softwareVersion);
        }
    }

    void operator()(const EndpointUpdate &update)
    {
        auto builder = message.initEndpointNews();
        builder.setShard(update.shard);
        builder.setEndpoint(update.endpoint);
        encodeRate(update.rate, builder.initRate());
        // Rounded up, so that the leaving period and the cooldown do not end too early at the receiver.
        builder.setLeavesForMs(toMilliseconds(std::chrono::ceil<std::chrono::milliseconds>(update.availability.leavingFor)));
        builder.setRestsForMs(toMilliseconds(std::chrono::ceil<std::chrono::milliseconds>(update.availability.cooldownFor)));
    }

    void operator()(const Refusal &refusal)
    {
        auto builder = message.initRefusal();
        encodeId(refusal.id, builder);
        builder.setReason(static_cast<std::uint8_t>(refusal.reason));
        builder.setRetryAfterMs(toMilliseconds(refusal.retryAfter));
        builder.setPressure(refusal.pressure);
    }

    void operator()(const Queued &queued)
    {
        auto builder = message.initQueued();
        encodeId(queued.id, builder);
    }

    void operator()(const UsageCounts &counts)
    {
        auto builder = message.initUsageCounts();
        builder.setClock(counts.clock);
        auto entries = builder.initEntries(static_cast<unsigned int>(counts.entries.size()));
        for (unsigned int index = 0; index < entries.size(); ++index) {
            entries[index].setWindow(counts.entries[index].window);
            entries[index].setOrganisation(counts.entries[index].organisation);
            entries[index].setBegan(counts.entries[index].began);
        }
    }

    void operator()(const UsageReceived &received)
    {
        auto builder = message.initUsageReceived();
        builder.setClock(received.clock);
        builder.setFixedUpTo(received.fixedUpTo);
        builder.setHolder(received.holder);
    }

    void operator()(const RunBroke &broke)
    {
        auto builder = message.initRunBroke();
        builder.setWork(broke.work);
        builder.setEndpoint(broke.endpoint);
        builder.setJustBegan(broke.justBegan);
    }

    void operator()(const QuarantineUpdate &update)
    {
        auto builder = message.initQuarantineNews();
        builder.setDigest(update.digest);
        auto entries = builder.initEntries(static_cast<unsigned int>(update.entries.size()));
        for (unsigned int index = 0; index < entries.size(); ++index) {
            entries[index].setWork(update.entries[index].work);
            entries[index].setRound(update.entries[index].round);
            entries[index].setHeld(update.entries[index].quarantined);
            entries[index].setFirstEndingMs(toMilliseconds(update.entries[index].firstCrashAge));
            entries[index].setLeftMs(toMilliseconds(update.entries[index].remaining));
            entries[index].setPartPool(update.entries[index].part.pool);
            entries[index].setPart(update.entries[index].part.id);
        }
    }

    void operator()(const PromptRunBroke &broke)
    {
        auto builder = message.initPromptRunBroke();
        builder.setPool(broke.pool);
        builder.setEndpoint(broke.endpoint);
        builder.setBegan(broke.began);
        builder.setPathInDoubt(broke.pathInDoubt);
        builder.setSentAgoMs(toMilliseconds(broke.sentAgo));
        builder.setWork(broke.work);
        builder.setParts(kj::arrayPtr(broke.parts.data(), broke.parts.size()));
    }

    void operator()(const SoundPartsQuery &query)
    {
        auto builder = message.initSoundPartsQuery();
        builder.setPool(query.pool);
        builder.setParts(kj::arrayPtr(query.parts.data(), query.parts.size()));
    }

    void operator()(const SoundPartsReply &reply)
    {
        auto builder = message.initSoundPartsReply();
        builder.setPool(reply.pool);
        auto parts = builder.initParts(static_cast<unsigned int>(reply.parts.size()));
        for (unsigned int index = 0; index < parts.size(); ++index) {
            parts[index].setPart(reply.parts[index].part);
            parts[index].setAgoMs(toMilliseconds(reply.parts[index].ago));
        }
    }

    void operator()(const Withdrawal &withdrawal)
    {
        auto builder = message.initWithdrawal();
        encodeId(withdrawal.id, builder);
        builder.setShard(withdrawal.shard);
    }

    void operator()(const Release &release)
    {
        auto builder = message.initRelease();
        encodeId(release.id, builder);
        builder.setShard(release.shard);
        builder.setEndpoint(release.endpoint);
        builder.setResult(static_cast<std::uint8_t>(release.result));
        builder.setFirstTokenMs(toMilliseconds(release.firstToken));
        builder.setGapUs(toMicroseconds(release.gap));
        builder.setTokens(release.tokens);
        builder.setLongestGapUs(toMicroseconds(release.longestGap));
        builder.setBrittle(release.brittle);
    }

    void operator()(const RunningReport &report)
    {
        auto builder = message.initRunning();
        builder.setShard(report.shard);
        auto list = builder.initPermits(static_cast<unsigned int>(report.permits.size()));
        for (unsigned int index = 0; index < list.size(); ++index) {
            auto entry = list[index];
            encodeId(report.permits[index].id, entry);
            entry.setEndpoint(report.permits[index].endpoint);
            entry.setRequestClass(report.permits[index].requestClass);
        }
    }

    void operator()(const Probe &probe)
    {
        auto builder = message.initProbe();
        encodeProbe(probe, builder);
    }

    void operator()(const Acknowledgement &acknowledgement)
    {
        auto builder = message.initAcknowledgement();
        encodeProbe(acknowledgement, builder);
    }

    void operator()(const ChangesRequest &request)
    {
        auto builder = message.initChangesRequest();
        builder.setSince(request.since);
        builder.setEndpointsSince(request.endpointsSince);
        builder.setEndpointsOnly(request.endpointsOnly);
    }

    void operator()(const Changes &changes)
    {
        auto builder = message.initChanges();
        builder.setSnapshot(changes.snapshot);
        auto list = builder.initLog(static_cast<unsigned int>(changes.log.size()));
        for (unsigned int index = 0; index < list.size(); ++index) {
            list.set(index, changes.log[index]);
        }
        builder.setPacked(toData(changes.packed));
        builder.setBase(changes.base);
    }

    void operator()(const FollowStore &)
    {
        message.initFollowStore();
    }

    void operator()(const FollowAnswer &answer)
    {
        message.initFollowAnswer().setFollows(answer.follows);
    }

    void operator()(const Gather &gather)
    {
        auto builder = message.initGather();
        builder.setId(gather.id);
        builder.setStatement(gather.statement);
    }

    void operator()(const Gathered &gathered)
    {
        auto builder = message.initGathered();
        builder.setId(gathered.id);
        builder.setAnswer(gathered.answer);
    }

    void operator()(const Forward &forward)
    {
        auto builder = message.initForward();
        builder.setId(forward.id);
        builder.setMethod(forward.method);
        builder.setPath(forward.path);
        encodeHeaders(forward.headers, builder.initHeaders(static_cast<unsigned int>(forward.headers.size())));
        builder.setBody(toData(forward.body));
    }

    void operator()(const Forwarded &forwarded)
    {
        auto builder = message.initForwarded();
        builder.setId(forwarded.id);
        builder.setStatus(forwarded.status);
        encodeHeaders(forwarded.headers, builder.initHeaders(static_cast<unsigned int>(forwarded.headers.size())));
        builder.setBody(toData(forwarded.body));
    }

private:
    /// Writes a Probe or an Acknowledgement, which have the same fields.
    template<typename Kind, typename Builder>
    static void encodeProbe(const Kind &probe, Builder &builder)
    {
        builder.setSequence(probe.sequence);
        encodeMembers(probe.members, builder);
        builder.setRevision(probe.revision);
        builder.setDigest(probe.digest);
        if (!probe.target.empty()) {
            builder.setTarget(probe.target);
        }
    }
};

Ask decodeAsk(Wire::Ask::Reader reader)
{
    Ask ask;
    ask.id = decodeId(reader);
    ask.shard = reader.getShard();
    ask.requestClass = reader.getRequestClass();
    ask.organisation = reader.getOrganisation();
    ask.age = fromMilliseconds(reader.getAgeMs());
    ask.remaining = fromMilliseconds(reader.getRemainingMs());
    ask.sentAt = fromMicroseconds(reader.getSentAtUs());
    ask.promptTokens = reader.getPromptTokens();
    ask.prefix = decodeNumbers(reader.getPrefix());
    ask.avoid = reader.getAvoid();
    ask.rank = reader.getRank();
    ask.expectedTokens = reader.getExpectedTokens();
    for (const std::uint32_t tokens : reader.getPrefixTokens()) {
        ask.prefixTokens.push_back(tokens);
    }
    ask.reportsPrefill = reader.getReportsPrefill();
    ask.softwareVersion = reader.getSoftwareVersion();
    return ask;
}

StreamBegan decodeStreamBegan(Wire::StreamBegan::Reader reader)
{
    return {reader.getStream(), {reader.getPool(), reader.getSoftwareVersion()}, fromMilliseconds(reader.getKeepForMs())};
}

StreamOriginReply decodeStreamOriginReply(Wire::StreamOriginReply::Reader reader)
{
    StreamOriginReply reply {reader.getStream(), std::nullopt};
    if (reader.getKnown()) {
        reply.origin = StreamOrigin {reader.getPool(), reader.getSoftwareVersion()};
    } else if (reader.getPool() > 0) {
        reply.onlyVersion = OnlyVersion {reader.getSoftwareVersion(), fromMilliseconds(reader.getPool())};
    }
    return reply;
}

RunningReport decodeRunning(Wire::RunningReport::Reader reader)
{
    RunningReport report;
    report.shard = reader.getShard();
    for (const auto entry : reader.getPermits()) {
        report.permits.push_back({decodeId(entry), entry.getEndpoint(), entry.getRequestClass()});
    }
    return report;
}

std::optional<Message> decodeRefusal(Wire::Refusal::Reader reader)
{
    const auto reason = checkedEnum(refusalReasonNames, reader.getReason());
    if (!reason) {
        return std::nullopt;
    }
    return Refusal {decodeId(reader), *reason, fromMilliseconds(reader.getRetryAfterMs()), reader.getPressure()};
}

std::optional<Message> decodeRelease(Wire::Release::Reader reader)
{
    const auto result = checkedEnum(runResultNames, reader.getResult());
    if (!result) {
        return std::nullopt;
    }
    return Release {decodeId(reader),
                    reader.getShard(),
                    reader.getEndpoint(),
                    *result,
                    fromMilliseconds(reader.getFirstTokenMs()),
                    Base::Duration(reader.getGapUs()),
                    reader.getTokens(),
                    Base::Duration(reader.getLongestGapUs()),
                    reader.getBrittle()};
}

/// Reads a Probe or an Acknowledgement, which have the same fields.
template<typename Kind, typename Reader>
Kind decodeProbe(Reader reader)
{
    return {reader.getSequence(), decodeMembers(reader.getMembers()), reader.getRevision(), reader.getDigest(),
            toString(reader.getTarget())};
}

ChangesRequest decodeChangesRequest(Wire::ChangesRequest::Reader reader)
{
    return {reader.getSince(), reader.getEndpointsSince(), reader.getEndpointsOnly()};
}

Changes decodeChanges(Wire::Changes::Reader reader)
{
    Changes changes;
    changes.snapshot = toString(reader.getSnapshot());
    for (const auto entry : reader.getLog()) {
        changes.log.push_back(toString(entry));
    }
    changes.packed = fromData(reader.getPacked());
    changes.base = reader.getBase();
    return changes;
}

UsageCounts decodeUsage(Wire::UsageCounts::Reader reader)
{
    UsageCounts counts;
    counts.clock = reader.getClock();
    for (const auto entry : reader.getEntries()) {
        counts.entries.push_back({entry.getWindow(), toString(entry.getOrganisation()), entry.getBegan()});
    }
    return counts;
}

QuarantineUpdate decodeQuarantine(Wire::QuarantineNews::Reader reader)
{
    QuarantineUpdate update;
    update.digest = reader.getDigest();
    for (const auto entry : reader.getEntries()) {
        update.entries.push_back({entry.getWork(),
                                  entry.getRound(),
                                  entry.getHeld(),
                                  fromMilliseconds(entry.getFirstEndingMs()),
                                  fromMilliseconds(entry.getLeftMs()),
                                  {entry.getPartPool(), entry.getPart()}});
    }
    return update;
}

PromptRunBroke decodePromptRunBroke(Wire::PromptRunBroke::Reader reader)
{
    return {reader.getPool(),
            reader.getEndpoint(),
            reader.getBegan(),
            reader.getPathInDoubt(),
            fromMilliseconds(reader.getSentAgoMs()),
            reader.getWork(),
            decodeNumbers(reader.getParts())};
}

SoundPartsReply decodeSoundPartsReply(Wire::SoundPartsReply::Reader reader)
{
    SoundPartsReply reply {reader.getPool(), {}};
    for (const auto entry : reader.getParts()) {
        reply.parts.push_back({entry.getPart(), fromMilliseconds(entry.getAgoMs())});
    }
    return reply;
}

/// Maps the types of messages to categories; a type that is not listed belongs to dispatch.
struct TrafficCategory
{
    template<typename Kind>
    Traffic operator()(const Kind &) const
    {
        if constexpr (std::is_same_v<Kind, Probe> || std::is_same_v<Kind, Acknowledgement>) {
            return Traffic::Membership;
        } else if constexpr (std::is_same_v<Kind, ChangesRequest> || std::is_same_v<Kind, Changes>
                             || std::is_same_v<Kind, FollowStore> || std::is_same_v<Kind, FollowAnswer>) {
            return Traffic::Configuration;
        } else if constexpr (std::is_same_v<Kind, Gather> || std::is_same_v<Kind, Gathered>) {
            return Traffic::Query;
        } else if constexpr (std::is_same_v<Kind, Forward> || std::is_same_v<Kind, Forwarded>) {
            return Traffic::Forwarding;
        } else if constexpr (std::is_same_v<Kind, UsageCounts> || std::is_same_v<Kind, UsageReceived>) {
            return Traffic::Usage;
        } else {
            return Traffic::Dispatch;
        }
    }
};

} // namespace

Traffic trafficOf(const Message &message)
{
    return std::visit(TrafficCategory {}, message);
}

void encode(const Message &message, Wire::Message::Builder builder)
{
    std::visit(Encoder {builder}, message);
}

std::optional<Message> decode(Wire::Message::Reader reader)
{
    switch (reader.which()) {
    case Wire::Message::ASK:
        return decodeAsk(reader.getAsk());
    case Wire::Message::GRANT: {
        const auto grant = reader.getGrant();
        return Grant {decodeId(grant),         grant.getEndpoint(), fromMicroseconds(grant.getStartByUs()),
                      grant.getPressure(),     grant.getKeeper(),   decodeRate(grant.getRate()),
                      grant.getReportPrefill()};
    }
    case Wire::Message::PREFILL_ENDED:
        return PrefillEnded {decodeId(reader.getPrefillEnded()), reader.getPrefillEnded().getShard()};
    case Wire::Message::REFUSAL:
        return decodeRefusal(reader.getRefusal());
    case Wire::Message::WITHDRAWAL:
        return Withdrawal {decodeId(reader.getWithdrawal()), reader.getWithdrawal().getShard()};
    case Wire::Message::USAGE_COUNTS:
        return decodeUsage(reader.getUsageCounts());
    case Wire::Message::USAGE_RECEIVED: {
        const auto received = reader.getUsageReceived();
        return UsageReceived {received.getClock(), received.getFixedUpTo(), received.getHolder()};
    }
    case Wire::Message::RUN_BROKE: {
        const auto broke = reader.getRunBroke();
        return RunBroke {broke.getWork(), broke.getEndpoint(), broke.getJustBegan()};
    }
    case Wire::Message::ENDPOINT_NEWS: {
        const auto update = reader.getEndpointNews();
        return EndpointUpdate {update.getShard(),
                               update.getEndpoint(),
                               decodeRate(update.getRate()),
                               {fromMilliseconds(update.getLeavesForMs()), fromMilliseconds(update.getRestsForMs())}};
    }
    case Wire::Message::QUARANTINE_NEWS:
        return decodeQuarantine(reader.getQuarantineNews());
    case Wire::Message::STREAM_BEGAN:
        return decodeStreamBegan(reader.getStreamBegan());
    case Wire::Message::STREAM_ORIGIN_QUERY:
        return StreamOriginQuery {reader.getStreamOriginQuery().getStream()};
    case Wire::Message::STREAM_ORIGIN_REPLY:
        return decodeStreamOriginReply(reader.getStreamOriginReply());
    case Wire::Message::PROMPT_RUN_BROKE:
        return decodePromptRunBroke(reader.getPromptRunBroke());
    case Wire::Message::SOUND_PARTS_QUERY:
        return SoundPartsQuery {reader.getSoundPartsQuery().getPool(), decodeNumbers(reader.getSoundPartsQuery().getParts())};
    case Wire::Message::SOUND_PARTS_REPLY:
        return decodeSoundPartsReply(reader.getSoundPartsReply());
    case Wire::Message::QUEUED:
        return Queued {decodeId(reader.getQueued())};
    case Wire::Message::RELEASE:
        return decodeRelease(reader.getRelease());
    case Wire::Message::RUNNING:
        return decodeRunning(reader.getRunning());
    case Wire::Message::PROBE:
        return decodeProbe<Probe>(reader.getProbe());
    case Wire::Message::ACKNOWLEDGEMENT:
        return decodeProbe<Acknowledgement>(reader.getAcknowledgement());
    case Wire::Message::CHANGES_REQUEST:
        return decodeChangesRequest(reader.getChangesRequest());
    case Wire::Message::CHANGES:
        return decodeChanges(reader.getChanges());
    case Wire::Message::FOLLOW_STORE:
        return FollowStore {};
    case Wire::Message::FOLLOW_ANSWER:
        return FollowAnswer {reader.getFollowAnswer().getFollows()};
    case Wire::Message::GATHER:
        return Gather {reader.getGather().getId(), toString(reader.getGather().getStatement())};
    case Wire::Message::GATHERED:
        return Gathered {reader.getGathered().getId(), toString(reader.getGathered().getAnswer())};
    case Wire::Message::FORWARD: {
        const auto forward = reader.getForward();
        return Forward {forward.getId(), toString(forward.getMethod()), toString(forward.getPath()),
                        decodeHeaders(forward.getHeaders()), fromData(forward.getBody())};
    }
    case Wire::Message::FORWARDED: {
        const auto forwarded = reader.getForwarded();
        return Forwarded {forwarded.getId(), forwarded.getStatus(), decodeHeaders(forwarded.getHeaders()),
                          fromData(forwarded.getBody())};
    }
    }
    return std::nullopt;
}

} // namespace Yokepond::Peer
