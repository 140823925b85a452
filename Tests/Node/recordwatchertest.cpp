// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/recordwatcher.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace Yokepond;
using Configuration::Record;
using Configuration::RecordKind;

namespace {

/// A platform whose answers the test gives.
struct FakeFeed
{
    struct Call
    {
        bool fullRead = false;
        std::uint64_t since = 0;
        Platform::FeedHandler handler;
    };

    void read(RecordKind kind, Platform::FeedHandler handler)
    {
        calls[kind] = Call {true, 0, std::move(handler)};
    }

    void follow(RecordKind kind, std::uint64_t since, Base::Duration wait, Platform::FeedHandler handler)
    {
        waited = wait;
        calls[kind] = Call {false, since, std::move(handler)};
    }

    std::map<RecordKind, std::optional<Call>> calls;
    Base::Duration waited {};
};

constexpr RecordKind endpoint = RecordKind::Endpoint;

Record live(const std::string &key, std::uint64_t version)
{
    return {endpoint, key, version, false, "value"};
}

Record gone(const std::string &key, std::uint64_t version)
{
    return {endpoint, key, version, true, ""};
}

} // namespace

TEST_GROUP(RecordWatcher)
{
    FakeFeed feed;
    std::vector<Record> reported;
    std::vector<Record> removalDeferred;
    std::vector<bool> responds;
    std::vector<Record> peerEndpoints; ///< of endpoints, as other hosts told
    Node::RecordWatcher<FakeFeed> watcher {
        feed,
        {},
        1,
        {.records = [this](std::vector<Record> records) { std::ranges::move(records, std::back_inserter(reported)); },
         .removalDeferred = [this](const Record &record) { removalDeferred.push_back(record); },
         .storeStateChanged = [this](const Node::StoreUpdate &news) { responds.push_back(news.responds); },
         .knownEndpoints = [this] { return peerEndpoints; }}};

    void tickAfter(Base::Duration delay)
    {
        watcher.tick(Base::now() + delay);
    }

    void answer(absl::StatusOr<Platform::FeedPage> page)
    {
        auto call = std::exchange(feed.calls[endpoint], std::nullopt);
        call->handler(std::move(page));
    }

    void fail(Base::ErrorKind kind)
    {
        answer(Base::makeError(kind, "test"));
    }

    /// Two endpoints are known when the call that follows them fails.
    void failAfterTwoAreKnown(Base::ErrorKind kind)
    {
        tickAfter({});
        answer(Platform::FeedPage {{live("e1", 3), live("e2", 4)}, 7});
        tickAfter(std::chrono::seconds(1));
        fail(kind);
    }
};

TEST(RecordWatcher, readsTheWholeThenFollowsFromItsVersion)
{
    tickAfter({});
    CHECK_TRUE(feed.calls[endpoint]->fullRead);
    answer(Platform::FeedPage {{live("e1", 3)}, 7});
    CHECK_EQUAL(1U, reported.size());
    CHECK_TRUE(responds == std::vector<bool> {true});
    tickAfter(std::chrono::seconds(1));
    CHECK_FALSE(feed.calls[endpoint]->fullRead);
    CHECK_EQUAL(7U, feed.calls[endpoint]->since);
}

TEST(RecordWatcher, followsAPlatformThatIsStillEmpty)
{
    tickAfter({});
    answer(Platform::FeedPage {{}, 0});
    tickAfter(std::chrono::seconds(1));
    CHECK_FALSE(feed.calls[endpoint]->fullRead);
    CHECK_EQUAL(0U, feed.calls[endpoint]->since);
}

TEST(RecordWatcher, readsAnewWhenTheHistoryIsGoneAndTellsWhatIsMissing)
{
    failAfterTwoAreKnown(Base::ErrorKind::HistoryCompacted);
    tickAfter(std::chrono::seconds(2));
    CHECK_TRUE(feed.calls[endpoint]->fullRead);
    reported.clear();
    answer(Platform::FeedPage {{live("e1", 3)}, 20});
    CHECK_EQUAL(2U, reported.size());
    CHECK_TRUE(reported[1] == gone("e2", 20));
    CHECK_TRUE(responds == std::vector<bool> {true});
}

/// What was seen: requests went to endpoints up to 1.3 s after all hosts had to know that their records were gone. How it came
/// about: hosts are stopped and started in turn, and another one begins to follow the store. Its first call reads the whole list,
/// as of a version after ten records went; it passed that version on, and all who took it never asked for what lay before. Cause:
/// of a whole read only what this watch itself had read before was taken for missing, not what other hosts had told. Proof: in
/// the output of all hosts 40 of them held ten endpoints too many at one version, all told by the host that had just begun to
/// follow.
TEST(RecordWatcher, aHostThatBeginsToFollowTellsWhatIsGoneOfWhatOthersToldIt)
{
    peerEndpoints = {live("e1", 3), live("e2", 4), live("e3", 30)};
    tickAfter({});
    answer(Platform::FeedPage {{live("e1", 3)}, 20});
    CHECK_EQUAL(2U, reported.size());
    CHECK_TRUE(reported[1] == gone("e2", 20));
}

/// As before, while the platform may drop the records of endpoints that live.
TEST(RecordWatcher, whatOthersToldIsBelievedGoneOnlyLaterAfterAnOutage)
{
    peerEndpoints = {live("e2", 4)};
    tickAfter({});
    fail(Base::ErrorKind::StoreUnavailable);
    tickAfter(std::chrono::seconds(1));
    answer(Platform::FeedPage {{live("e1", 3)}, 20});
    CHECK_EQUAL(1U, reported.size());
    CHECK_EQUAL(1U, removalDeferred.size());
    CHECK_TRUE(removalDeferred.front() == gone("e2", 20));
}

TEST(RecordWatcher, anEndpointDroppedDuringAnOutageIsBelievedGoneOnlyLater)
{
    failAfterTwoAreKnown(Base::ErrorKind::StoreUnavailable);
    CHECK_TRUE(responds == (std::vector<bool> {true, false}));
    tickAfter(std::chrono::seconds(2));
    reported.clear();
    answer(Platform::FeedPage {{gone("e1", 9), gone("e2", 10)}, 10});
    CHECK_TRUE(reported.empty());
    // One of them lives and records itself again.
    tickAfter(std::chrono::seconds(2));
    answer(Platform::FeedPage {{live("e1", 12)}, 12});
    CHECK_TRUE(reported == std::vector<Record> {live("e1", 12)});
    reported.clear();
    tickAfter(std::chrono::seconds(10));
    CHECK_TRUE(reported == std::vector<Record> {gone("e2", 10)});
}

TEST(RecordWatcher, allEndpointsDroppedDuringAnOutageAreBelievedGoneLater)
{
    failAfterTwoAreKnown(Base::ErrorKind::StoreUnavailable);
    tickAfter(std::chrono::seconds(2));
    reported.clear();
    answer(Platform::FeedPage {{gone("e1", 9), gone("e2", 10)}, 10});
    tickAfter(std::chrono::seconds(10));
    CHECK_TRUE(reported == (std::vector<Record> {gone("e1", 9), gone("e2", 10)}));
}

TEST(RecordWatcher, triesAgainLessAndLessOftenWhileThePlatformIsAway)
{
    tickAfter({});
    int calls = 0;
    for (int step = 0; step < 100; ++step) {
        if (feed.calls[endpoint]) {
            ++calls;
            fail(Base::ErrorKind::StoreUnavailable);
        }
        tickAfter(std::chrono::milliseconds(10));
    }
    CHECK_TRUE(calls >= 1 && calls <= 3);
    CHECK_TRUE(responds == std::vector<bool> {false});
}

TEST(RecordWatcher, anInactiveOneTakesWhatIsUnderWayAndMakesNoCalls)
{
    tickAfter({});
    answer(Platform::FeedPage {{live("e1", 3)}, 7});
    watcher.tick(Base::now() + std::chrono::seconds(1), false);
    CHECK_FALSE(feed.calls[endpoint].has_value());
    watcher.tick(Base::now() + std::chrono::seconds(1), true);
    CHECK_EQUAL(7U, feed.calls[endpoint]->since);
    watcher.tick(Base::now() + std::chrono::seconds(2), false);
    answer(Platform::FeedPage {{live("e2", 8)}, 8});
    CHECK_EQUAL(2U, reported.size());
}

TEST(RecordWatcher, aCallThatHangsIsGivenUpBeforeALeavingEndpointMustBeKnown)
{
    tickAfter({});
    answer(Platform::FeedPage {{live("e1", 3)}, 7});
    tickAfter(std::chrono::seconds(1));
    const Base::Duration givenUpLater = std::chrono::milliseconds(1500);
    const Base::Duration hostsCountAsInTouch = std::chrono::seconds(3);
    const Base::Duration leavingKnownWithin = std::chrono::seconds(2);
    const Base::Duration nextCall = std::chrono::seconds(1);
    CHECK_TRUE(feed.waited + givenUpLater + nextCall <= hostsCountAsInTouch + leavingKnownWithin);
}

// Seen: after an outage of the store that swallowed calls, two of seven hosts refused requests as an older configuration says,
// 2.6 and 3.1 s after five versions had been acknowledged within 0.1 s; failures ended 4 s after the store had come back.
// How: a call that is swallowed as an outage ends says nothing, and was given up only after 4 s: 2.5 s held, 1.5 s more. Calls
// were held so long again from the first answer on.
// Cause: the platform counts on a host again 3 s after a disruption, for all that it has acknowledged until then; a call may
// hang for less than that. The bound that was kept before looked only at what changes after those 3 s.
// Proof: the times of the record. The same kind of day with other luck was clean, so that this is not seen, but worked out.
TEST(RecordWatcher, aCallThatHangsSinceADisruptionIsGivenUpBeforeThePlatformCountsOnTheHost)
{
    tickAfter({});
    answer(Platform::FeedPage {{live("e1", 3)}, 7});
    tickAfter(std::chrono::seconds(1));
    const Base::Duration givenUpLater = std::chrono::milliseconds(1500);
    const Base::Duration nextCallAnswered = std::chrono::milliseconds(250);
    const Base::Duration countedOnAfter = std::chrono::seconds(3);
    CHECK_TRUE(feed.waited + givenUpLater + nextCallAnswered <= countedOnAfter);
}

TEST(RecordWatcher, afterAFailureCallsAreNotHeldUntilOneIsAnswered)
{
    tickAfter({});
    answer(Platform::FeedPage {{}, 7});
    tickAfter(std::chrono::seconds(1));
    CHECK_TRUE(feed.waited >= std::chrono::seconds(1));
    fail(Base::ErrorKind::StoreUnavailable);
    tickAfter(std::chrono::seconds(3));
    CHECK_TRUE(feed.waited == Base::Duration::zero());
    answer(Platform::FeedPage {{}, 8});
    tickAfter(std::chrono::seconds(6));
    CHECK_TRUE(feed.waited >= std::chrono::seconds(1));
}

TEST(RecordWatcher, whenOneTableIsAnsweredTheOtherIsAskedAtOnce)
{
    constexpr RecordKind configuration = RecordKind::Configuration;
    tickAfter({});
    auto first = std::exchange(feed.calls[configuration], std::nullopt);
    first->handler(Base::makeError(Base::ErrorKind::StoreUnavailable, "silent"));
    tickAfter({});
    CHECK_FALSE(feed.calls[configuration].has_value());
    answer(Platform::FeedPage {{}, 7});
    tickAfter({});
    CHECK_TRUE(feed.calls[configuration].has_value());
}

TEST(RecordWatcher, aCallIsHeldAsLongAsThePlatformLeavesTimeForAnother)
{
    using std::chrono::milliseconds;
    const milliseconds timeout(1500);
    CHECK_TRUE(Node::maxHoldTime(milliseconds(3000), timeout) == milliseconds(1200));
    CHECK_TRUE(Node::maxHoldTime(milliseconds(4000), timeout) == milliseconds(2200));
    CHECK_TRUE(Node::maxHoldTime(milliseconds(20000), timeout) <= milliseconds(2500));
    CHECK_TRUE(Node::maxHoldTime(milliseconds(1000), timeout) > Base::Duration::zero());
}

/// The platform is back, as the other call has shown: a call that it swallowed before says nothing against it. One that is
/// refused again waits as usual.
TEST(RecordWatcher, aSwallowedCallIsRepeatedAtOnceIfThePlatformHasAnsweredSince)
{
    constexpr RecordKind configuration = RecordKind::Configuration;
    const auto failConfiguration = [&] {
        if (auto call = std::exchange(feed.calls[configuration], std::nullopt)) {
            call->handler(Base::makeError(Base::ErrorKind::StoreUnavailable, "test"));
        }
    };
    // Failures make the wait for the next try long.
    for (int round = 0; round < 8; ++round) {
        tickAfter(std::chrono::seconds(2));
        failConfiguration();
    }
    tickAfter(std::chrono::seconds(2));
    CHECK_TRUE(feed.calls[configuration].has_value());
    answer(Platform::FeedPage {{}, 7});
    failConfiguration();
    tickAfter(std::chrono::milliseconds(50));
    CHECK_TRUE(feed.calls[configuration].has_value());

    tickAfter(std::chrono::milliseconds(900));
    answer(Platform::FeedPage {{}, 7});
    failConfiguration();
    tickAfter(std::chrono::milliseconds(50));
    CHECK_FALSE(feed.calls[configuration].has_value());
}
