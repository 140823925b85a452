// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/changescodec.h"

#include "Base/error.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

#include <random>

using namespace Yokepond;
using Configuration::ChangesCodec;
using Configuration::PackedChanges;
using Configuration::RecordKind;
using Configuration::RecordRevisions;
using Configuration::SiteRecords;

namespace {

std::string routes(std::size_t count, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::string text;
    for (std::size_t index = 0; index < count; ++index) {
        text += fmt::format(R"({{"name":"r-{:07x}","host":"{:06x}.example","path_prefix":"/{:06x}/","type":"streaming",)"
                            R"("timeout_ms":{},"target_latency_ms":1500,"priority":1,"service":"huvo11a","max_attempts":1,)"
                            R"("public":false,"session_affinity":true,"stream_resume":false,"target_gap_ms":600}},)",
                            random() & 0xfffffffU, random() & 0xffffffU, random() & 0xffffffU, 4000 + random() % 4000);
    }
    return text;
}

} // namespace

TEST_GROUP(ChangesCodec)
{
    SiteRecords sender;
    SiteRecords receiver;
    ChangesCodec codec;

    void set(std::uint64_t version, const std::string &value)
    {
        sender.merge({RecordKind::Configuration, "config", version, false, value});
    }

    PackedChanges pack(RecordKind kind = RecordKind::Configuration)
    {
        return *codec.pack(sender, receiver.revisions(), kind);
    }

    /// Transfers the missing changes to the receiver. Returns the number of bytes sent.
    std::size_t transferChanges()
    {
        const PackedChanges packed = pack();
        const auto changes = ChangesCodec::unpack(receiver, packed);
        CHECK_TRUE(changes.ok());
        receiver.merge(*changes);
        CHECK_TRUE(receiver.all() == sender.all());
        return packed.bytes.size();
    }
};

TEST(ChangesCodec, onlyTheDifferenceFromTheReceiversConfigurationIsSent)
{
    const std::string first = routes(1500, 1);
    set(10, first);
    CHECK_TRUE(transferChanges() * 4 < first.size());
    const std::string second = first + routes(1500, 2);
    set(20, second);
    CHECK_TRUE(transferChanges() * 8 < second.size());
    std::string third = second;
    third.replace(third.size() / 2, 4, "9999");
    set(21, third);
    CHECK_TRUE(transferChanges() < 1000);
}

TEST(ChangesCodec, aReceiverWithAnOlderConfigurationGetsTheDifference)
{
    const std::string large = routes(500, 1);
    set(10, large);
    transferChanges();
    for (std::uint64_t version = 11; version < 15; ++version) {
        set(version, large + std::to_string(version));
    }
    CHECK_EQUAL(10U, pack().base);
    CHECK_TRUE(transferChanges() < 1000);
}

TEST(ChangesCodec, aReceiverWithNoKnownConfigurationGetsAFullCopy)
{
    set(10, routes(3000, 1));
    CHECK_EQUAL(0U, pack().base);
    transferChanges();
    for (std::uint64_t version = 11; version < 31; ++version) {
        set(version, routes(3000, version));
    }
    CHECK_EQUAL(0U, pack().base);
    transferChanges();
}

TEST(ChangesCodec, unpackingFailsIfTheReceiverNoLongerHasTheBase)
{
    set(10, routes(3000, 1));
    transferChanges();
    set(11, routes(3000, 2));
    const PackedChanges packed = pack();
    CHECK_EQUAL(10U, packed.base);
    for (std::uint64_t version = 12; version < 22; ++version) {
        receiver.merge({RecordKind::Configuration, "config", version, false, routes(3000, version)});
    }
    const auto changes = ChangesCodec::unpack(receiver, packed);
    CHECK_TRUE(Base::errorKind(changes.status()) == Base::ErrorKind::InvalidValue);
}

TEST(ChangesCodec, endpointsAndConfigurationArePackedSeparately)
{
    set(10, "configuration");
    sender.merge({RecordKind::Endpoint, "e1", 11, false, "value"});
    const auto endpoints = ChangesCodec::unpack(receiver, pack(RecordKind::Endpoint));
    receiver.merge(*endpoints);
    CHECK_TRUE(receiver.revisions() == (RecordRevisions {0, 11}));
    CHECK_EQUAL(0U, receiver.present(RecordKind::Configuration).size());
    transferChanges();
    CHECK_TRUE(receiver.revisions() == sender.revisions());
}

TEST(ChangesCodec, damagedBytesAreRejected)
{
    set(10, routes(20, 1));
    const PackedChanges good = pack();
    for (std::size_t index = 0; index < good.bytes.size(); ++index) {
        PackedChanges bad = good;
        bad.bytes[index] = static_cast<char>(bad.bytes[index] ^ 0x55);
        CHECK_FALSE(ChangesCodec::unpack(receiver, bad).ok());
        bad.bytes = good.bytes.substr(0, index);
        CHECK_FALSE(ChangesCodec::unpack(receiver, bad).ok());
    }
}

// Guards against a full copy of the configuration to each host after an evacuation, whose version no configuration has.
TEST(ChangesCodec, aReceiverWithAnEvacuationGetsTheDifference)
{
    const std::string large = routes(500, 1);
    set(10, large);
    sender.merge({RecordKind::Evacuation, "east", 12, false, "{}"});
    transferChanges();
    set(14, large + "x");
    CHECK_EQUAL(10U, pack().base);
    CHECK_TRUE(transferChanges() < 1000);
}

// Guards against hosts that pack thousands of endpoints anew for each of the hosts that start at the same time, and against a
// remaining time that is sent long after it was true.
TEST(ChangesCodec, equalRequestsForEndpointsArePackedOnceInHalfASecond)
{
    Base::Instant now = Base::now();
    ChangesCodec timed([&now] { return now; });
    sender.merge({RecordKind::Endpoint, "e1", 1, false, "value", now + std::chrono::seconds(9)});
    const std::string first = timed.pack(sender, {}, RecordKind::Endpoint)->bytes;
    now += std::chrono::milliseconds(400);
    CHECK_TRUE(first == timed.pack(sender, {}, RecordKind::Endpoint)->bytes);
    now += std::chrono::milliseconds(100);
    CHECK_FALSE(first == timed.pack(sender, {}, RecordKind::Endpoint)->bytes);
    sender.merge({RecordKind::Endpoint, "e2", 2, false, "value"});
    CHECK_EQUAL(2U, ChangesCodec::unpack(receiver, *timed.pack(sender, {}, RecordKind::Endpoint))->records.size());
    CHECK_EQUAL(1U, ChangesCodec::unpack(receiver, *timed.pack(sender, {0, 1}, RecordKind::Endpoint))->records.size());
}
