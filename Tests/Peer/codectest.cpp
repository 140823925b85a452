// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Peer/codec.h"

#include <limits>

#include <CppUTest/TestHarness.h>
#include <capnp/message.h>

using namespace Yokepond::Peer;
using std::chrono::milliseconds;

namespace {

template<typename Kind>
Kind roundTrip(const Kind &message)
{
    capnp::MallocMessageBuilder memory;
    auto builder = memory.initRoot<Wire::Message>();
    encode(message, builder);
    const auto decoded = decode(builder.asReader());
    CHECK_TRUE(decoded.has_value());
    return std::get<Kind>(*decoded);
}

} // namespace

TEST_GROUP(Codec) {};

TEST(Codec, askKeepsAllFields)
{
    Ask ask;
    ask.id = {77, 3};
    ask.shard = 5;
    ask.requestClass = 6;
    ask.organisation = 7;
    ask.age = milliseconds(250);
    ask.remaining = milliseconds(1750);
    ask.sentAt = Yokepond::Base::Instant(Yokepond::Base::Duration(123456789));
    ask.promptTokens = 99;
    ask.prefix = {1, 2, 3};
    ask.avoid = 8;
    const Ask got = roundTrip(ask);
    CHECK_TRUE(got.id == ask.id && got.shard == ask.shard && got.age == ask.age && got.remaining == ask.remaining
               && got.sentAt == ask.sentAt);
    CHECK_TRUE(got.prefix == ask.prefix && got.avoid == ask.avoid && got.promptTokens == ask.promptTokens
               && got.organisation == ask.organisation);
}

TEST(Codec, grantKeepsAllFields)
{
    const Yokepond::Rate::RateInfo rate {Yokepond::Rate::RateKind::Limited, 0.2, milliseconds(1250)};
    const Grant grant {{77, 3}, 8, Yokepond::Base::Instant(Yokepond::Base::Duration(123456789)), 250, 9, rate, true};
    const Grant got = roundTrip(grant);
    CHECK_TRUE(got.rate.kind == rate.kind && got.rate.perSecond == rate.perSecond && got.rate.age == rate.age);
    CHECK_TRUE(roundTrip(Grant {}).rate.kind == Yokepond::Rate::RateKind::Unknown);
    CHECK_TRUE(got.id == grant.id && got.endpoint == grant.endpoint && got.startBy == grant.startBy);
    CHECK_TRUE(got.pressure == grant.pressure && got.keeper == grant.keeper);
    CHECK_TRUE(got.reportPrefill);
    CHECK_FALSE(roundTrip(Grant {}).reportPrefill);
}

/// Guards against dispatchers that wait for reports of homes that cannot send them.
TEST(Codec, anAskTellsWhetherItsHomeReports)
{
    Ask ask;
    CHECK_FALSE(roundTrip(ask).reportsPrefill);
    ask.reportsPrefill = true;
    CHECK_TRUE(roundTrip(ask).reportsPrefill);
}

/// Guards against reports of first tokens that the dispatcher cannot assign to a run.
TEST(Codec, prefillEndedKeepsAllFields)
{
    const PrefillEnded got = roundTrip(PrefillEnded {{77, 3}, 5});
    CHECK_TRUE(got.id == (AttemptId {77, 3}));
    CHECK_EQUAL(5U, got.shard);
}

TEST(Codec, originsOfStreamsKeepAllFields)
{
    Ask ask;
    ask.softwareVersion = 11;
    CHECK_EQUAL(11U, roundTrip(ask).softwareVersion);
    const StreamBegan began = roundTrip(StreamBegan {1ULL << 63U, {7, 12}, milliseconds(11'000)});
    CHECK_TRUE(began.stream == 1ULL << 63U && began.origin == (StreamOrigin {7, 12}) && began.keepFor == milliseconds(11'000));
    CHECK_EQUAL(5U, roundTrip(StreamOriginQuery {5}).stream);
    const StreamOriginReply known = roundTrip(StreamOriginReply {5, StreamOrigin {7, 12}});
    CHECK_TRUE(known.stream == 5 && known.origin == (StreamOrigin {7, 12}));
    const StreamOriginReply unknown = roundTrip(StreamOriginReply {5, std::nullopt});
    CHECK_FALSE(unknown.origin.has_value() || unknown.onlyVersion.has_value());
    const StreamOriginReply only = roundTrip(StreamOriginReply {5, std::nullopt, OnlyVersion {12, milliseconds(11'000)}});
    CHECK_FALSE(only.origin.has_value());
    CHECK_TRUE(only.onlyVersion == (OnlyVersion {12, milliseconds(11'000)}));
    // A host that has just started contradicts, too: nothing would mean that it knows none.
    const StreamOriginReply young = roundTrip(StreamOriginReply {5, std::nullopt, OnlyVersion {12, milliseconds(0)}});
    CHECK_TRUE(young.onlyVersion == (OnlyVersion {12, milliseconds(1)}));
}

TEST(Codec, endpointUpdateKeepsTheRateAndDiscardsInvalidRates)
{
    const EndpointUpdate update {5, 8, {Yokepond::Rate::RateKind::Unlimited, 0, milliseconds(17)}};
    const EndpointUpdate got = roundTrip(update);
    CHECK_TRUE(got.shard == 5 && got.endpoint == 8 && got.rate.kind == update.rate.kind && got.rate.age == update.rate.age);
    for (const double perSecond : {-1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
        const EndpointUpdate malformed {5, 8, {Yokepond::Rate::RateKind::Limited, perSecond, {}}};
        CHECK_TRUE(roundTrip(malformed).rate.kind == Yokepond::Rate::RateKind::Unknown);
    }
    const EndpointUpdate huge {5, 8, {Yokepond::Rate::RateKind::Limited, 1e12, {}}};
    DOUBLES_EQUAL(Yokepond::Rate::largestRate, roundTrip(huge).rate.perSecond, 1e-9);
}

TEST(Codec, endpointUpdateKeepsAvailability)
{
    const EndpointUpdate update {5, 8, {}, {std::chrono::seconds(600), milliseconds(2750)}};
    const EndpointUpdate got = roundTrip(update);
    CHECK_TRUE(got.rate.kind == Yokepond::Rate::RateKind::Unknown);
    CHECK_TRUE(got.availability.leavingFor == std::chrono::seconds(600) && got.availability.cooldownFor == milliseconds(2750));
    // A fraction of a millisecond is rounded up, so that the time does not end too early.
    const EndpointUpdate fraction {5, 8, {}, {{}, std::chrono::microseconds(1)}};
    CHECK_TRUE(roundTrip(fraction).availability.cooldownFor == milliseconds(1));
    CHECK_TRUE(roundTrip(EndpointUpdate {}).availability.leavingFor == milliseconds(0));
}

TEST(Codec, releaseKeepsAllFields)
{
    const Release release {{77, 3}, 5, 8, RunResult::Failed, milliseconds(45), milliseconds(12), 97, milliseconds(203), true};
    const Release got = roundTrip(release);
    CHECK_TRUE(got.id == release.id && got.shard == release.shard && got.endpoint == release.endpoint);
    CHECK_TRUE(got.result == release.result && got.firstToken == release.firstToken && got.gap == release.gap);
    CHECK_TRUE(got.tokens == release.tokens && got.longestGap == release.longestGap && got.brittle);
}

TEST(Codec, membersKeepAllFields)
{
    const Member member {"h1", 9, 4, MemberState::Leaving, "127.0.0.1:1", "d1", "127.0.0.1:2", "127.0.0.1:3"};
    CHECK_TRUE(roundTrip(Probe {1, {member}, 12, 13, "h2"}).members.front() == member);
}

TEST(Codec, messageWithUnknownEnumeratorIsSkipped)
{
    capnp::MallocMessageBuilder memory;
    auto builder = memory.initRoot<Wire::Message>();
    encode(Refusal {{1, 1}, RefusalReason::QueueFull, milliseconds(5), 1}, builder);
    builder.getRefusal().setReason(200);
    CHECK_FALSE(decode(builder.asReader()).has_value());
}

TEST(Codec, bodiesMayContainAnyBytes)
{
    Forward forward;
    forward.body = std::string("\0\xff\n", 3);
    forward.headers = {{"a", "b"}};
    CHECK_TRUE(roundTrip(forward).body == forward.body);
}

TEST(Codec, usageKeepsAllFields)
{
    const UsageCounts counts {1'800'000'000'000'123, {{360'000'001, "small", 412}, {360'000'002, "large", 1}}};
    const UsageCounts gotCounts = roundTrip(counts);
    CHECK_TRUE(gotCounts.clock == counts.clock && gotCounts.entries == counts.entries);
    const UsageReceived received {1'800'000'000'000'124, 360'000'001, true};
    const UsageReceived got = roundTrip(received);
    CHECK_TRUE(got.clock == received.clock && got.fixedUpTo == received.fixedUpTo && got.holder == received.holder);
}

TEST(Codec, quarantineMessagesKeepAllFields)
{
    const RunBroke broke = roundTrip(RunBroke {0xfedcba9876543210U, 17, true});
    CHECK_TRUE(broke.work == 0xfedcba9876543210U && broke.endpoint == 17 && broke.justBegan);
    const QuarantineUpdate update {99,
                                   {{5, 2, true, milliseconds(1200), milliseconds(600'000), {}},
                                    {6, 1, false, milliseconds(1), milliseconds(2), {3, 0xbad}}}};
    const QuarantineUpdate got = roundTrip(update);
    CHECK_EQUAL(update.digest, got.digest);
    CHECK_EQUAL(2U, got.entries.size());
    for (std::size_t index = 0; index < got.entries.size(); ++index) {
        const QuarantineEntry &sent = update.entries[index];
        const QuarantineEntry &entry = got.entries[index];
        CHECK_TRUE(entry.work == sent.work && entry.round == sent.round && entry.quarantined == sent.quarantined);
        CHECK_TRUE(entry.firstCrashAge == sent.firstCrashAge && entry.remaining == sent.remaining);
        CHECK_TRUE(entry.part == sent.part);
    }
}

TEST(Codec, messagesOnPartsOfPromptsKeepAllFields)
{
    const PromptRunBroke broke = roundTrip(PromptRunBroke {3, 17, true, false, milliseconds(321), 77, {5, 0xfedcba9876543210U}});
    CHECK_TRUE(broke.pool == 3 && broke.endpoint == 17 && broke.began && !broke.pathInDoubt);
    CHECK_TRUE(broke.sentAgo == milliseconds(321) && broke.work == 77);
    CHECK_TRUE(broke.parts == (std::vector<std::uint64_t> {5, 0xfedcba9876543210U}));
    CHECK_TRUE(roundTrip(PromptRunBroke {3, 17, false, true, {}, 0, {}}).pathInDoubt);
    const SoundPartsQuery query = roundTrip(SoundPartsQuery {4, {1, 2}});
    CHECK_TRUE(query.pool == 4 && query.parts == (std::vector<std::uint64_t> {1, 2}));
    const SoundPartsReply reply = roundTrip(SoundPartsReply {4, {{1, milliseconds(15)}}});
    CHECK_TRUE(reply.pool == 4 && reply.parts.size() == 1);
    CHECK_TRUE(reply.parts[0].part == 1 && reply.parts[0].ago == milliseconds(15));
}

TEST(Codec, followMessagesBelongToConfigurationTraffic)
{
    CHECK_TRUE(roundTrip(FollowAnswer {true}).follows);
    CHECK_FALSE(roundTrip(FollowAnswer {false}).follows);
    roundTrip(FollowStore {});
    CHECK_TRUE(trafficOf(FollowStore {}) == Traffic::Configuration);
    CHECK_TRUE(trafficOf(FollowAnswer {}) == Traffic::Configuration);
}
