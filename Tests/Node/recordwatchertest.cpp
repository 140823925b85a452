// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/recordwatcher.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace Yokepond;
using Configuration::Record;
using Configuration::RecordKind;

namespace {

/// A feed whose responses the test supplies.
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
        holdTime = wait;
        calls[kind] = Call {false, since, std::move(handler)};
    }

    std::map<RecordKind, std::optional<Call>> calls;
    Base::Duration holdTime {};
};

constexpr RecordKind endpoint = RecordKind::Endpoint;

Record live(const std::string &key, std::uint64_t version)
{
    return {endpoint, key, version, false, "value"};
}

Record removed(const std::string &key, std::uint64_t version)
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
    std::vector<Record> peerRecords; ///< records that this host knows from other hosts
    std::vector<Configuration::RecordFault> skipped;
    std::vector<std::pair<RecordKind, std::uint64_t>> lists; ///< complete lists that were passed on, with their versions
    bool wantsEndpointList = false;
    Node::RecordWatcher<FakeFeed> watcher {
        feed,
        {},
        1,
        {.recordsRead = [this](std::vector<Record> records) { std::ranges::move(records, std::back_inserter(reported)); },
         .removalDeferred = [this](const Record &record) { removalDeferred.push_back(record); },
         .storeStateChanged = [this](const Node::StoreUpdate &update) { responds.push_back(update.responds); },
         .knownRecords = [this](RecordKind kind) { return recordsOf(kind); },
         .listBegins = [](RecordKind) {},
         .listEnds = [this](RecordKind kind, std::uint64_t version) { lists.emplace_back(kind, version); },
         .wantsEndpointList = [this] { return wantsEndpointList; },
         .rowsSkipped =
             [this](RecordKind, const std::vector<Configuration::RecordFault> &faults) {
                 std::ranges::copy(faults, std::back_inserter(skipped));
             }}};

    std::vector<Record> recordsOf(RecordKind kind) const
    {
        std::vector<Record> found;
        std::ranges::copy_if(peerRecords, std::back_inserter(found),
                             [kind](const Record &record) { return record.kind == kind; });
        return found;
    }

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

    /// Reads two endpoints and then fails the call for their changes with @p kind.
    void failAfterReadingTwoEndpoints(Base::ErrorKind kind)
    {
        tickAfter({});
        answer(Platform::FeedPage {{live("e1", 3), live("e2", 4)}, 7});
        tickAfter(std::chrono::seconds(1));
        fail(kind);
    }
};

TEST(RecordWatcher, readsAllRecordsThenFollowsFromTheirVersion)
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

// Guards against endpoints that a host takes for gone, and tells others so, since their records were lost in an outage that had
// just ended when the host started.
TEST(RecordWatcher, aListIsCompleteOnceTheStoreHasRespondedForAWhile)
{
    Base::Instant time = Base::now();
    Node::RecordWatcherOptions options;
    options.clock = [&time] { return time; };
    Node::RecordWatcher<FakeFeed> started(feed, options, 1,
                                          {.recordsRead = [](const std::vector<Record> &) {},
                                           .removalDeferred = [](const Record &) {},
                                           .storeStateChanged = [](const Node::StoreUpdate &) {},
                                           .knownRecords = [this](RecordKind kind) { return recordsOf(kind); },
                                           .listBegins = [](RecordKind) {},
                                           .listEnds =
                                               [this](RecordKind kind, std::uint64_t version) {
                                                   lists.emplace_back(kind, version);
                                                   wantsEndpointList = false;
                                               },
                                           .wantsEndpointList = [this] { return wantsEndpointList; },
                                           .rowsSkipped = [](RecordKind, const std::vector<Configuration::RecordFault> &) {}});
    wantsEndpointList = true;
    started.tick(time);
    answer(Platform::FeedPage {{live("e1", 3)}, 7});
    CHECK_TRUE(lists.empty());
    time += std::chrono::seconds(1);
    started.tick(time);
    answer(Platform::FeedPage {{live("e1", 8)}, 8});
    time += options.removalDelay;
    started.tick(time);
    CHECK_EQUAL(0U, feed.calls[endpoint]->since);
    answer(Platform::FeedPage {{live("e1", 9)}, 9});
    CHECK_EQUAL(1U, lists.size());
    CHECK_EQUAL(9U, lists.front().second);
    time += options.removalDelay;
    started.tick(time);
    CHECK_EQUAL(9U, feed.calls[endpoint]->since);
}

TEST(RecordWatcher, followsAnEmptyStore)
{
    tickAfter({});
    answer(Platform::FeedPage {{}, 0});
    tickAfter(std::chrono::seconds(1));
    CHECK_FALSE(feed.calls[endpoint]->fullRead);
    CHECK_EQUAL(0U, feed.calls[endpoint]->since);
}

TEST(RecordWatcher, readsAllAgainAfterHistoryCompactionAndReportsRemovals)
{
    failAfterReadingTwoEndpoints(Base::ErrorKind::HistoryCompacted);
    tickAfter(std::chrono::seconds(2));
    CHECK_TRUE(feed.calls[endpoint]->fullRead);
    reported.clear();
    answer(Platform::FeedPage {{live("e1", 3)}, 20});
    CHECK_EQUAL(2U, reported.size());
    CHECK_TRUE(reported[1] == removed("e2", 20));
    CHECK_TRUE(responds == std::vector<bool> {true});
}

/// Guards against removed endpoints that stay in use: requests went to endpoints up to 1.3 s after the time by which all hosts
/// had to know of their removal. While hosts restarted in turn, another host began to follow the store. Its full read had a
/// version after the removal of ten endpoints, and other hosts that got this version requested no changes before it. The watcher
/// compared the read only with records that it had read itself, not with those from other hosts, so 40 hosts kept the ten
/// endpoints.
TEST(RecordWatcher, theFirstFullReadReportsRemovalsOfEndpointsFromOtherHosts)
{
    peerRecords = {live("e1", 3), live("e2", 4), live("e3", 30)};
    tickAfter({});
    answer(Platform::FeedPage {{live("e1", 3)}, 20});
    CHECK_EQUAL(2U, reported.size());
    CHECK_TRUE(reported[1] == removed("e2", 20));
}

/// As above, but after an outage, in which the platform may have dropped records of endpoints that still run.
TEST(RecordWatcher, removalsOfEndpointsFromOtherHostsAreDeferredAfterAnOutage)
{
    peerRecords = {live("e2", 4)};
    tickAfter({});
    fail(Base::ErrorKind::StoreUnavailable);
    tickAfter(std::chrono::seconds(1));
    answer(Platform::FeedPage {{live("e1", 3)}, 20});
    CHECK_EQUAL(1U, reported.size());
    CHECK_EQUAL(1U, removalDeferred.size());
    CHECK_TRUE(removalDeferred.front() == removed("e2", 20));
}

TEST(RecordWatcher, removalsDuringAnOutageAreDeferred)
{
    failAfterReadingTwoEndpoints(Base::ErrorKind::StoreUnavailable);
    CHECK_TRUE(responds == (std::vector<bool> {true, false}));
    tickAfter(std::chrono::seconds(2));
    reported.clear();
    answer(Platform::FeedPage {{removed("e1", 9), removed("e2", 10)}, 10});
    CHECK_TRUE(reported.empty());
    // One of the endpoints still runs and records itself again.
    tickAfter(std::chrono::seconds(2));
    answer(Platform::FeedPage {{live("e1", 12)}, 12});
    CHECK_TRUE(reported == std::vector<Record> {live("e1", 12)});
    reported.clear();
    tickAfter(std::chrono::seconds(10));
    CHECK_TRUE(reported == std::vector<Record> {removed("e2", 10)});
}

TEST(RecordWatcher, removalsOfAllEndpointsDuringAnOutageAreReportedLater)
{
    failAfterReadingTwoEndpoints(Base::ErrorKind::StoreUnavailable);
    tickAfter(std::chrono::seconds(2));
    reported.clear();
    answer(Platform::FeedPage {{removed("e1", 9), removed("e2", 10)}, 10});
    tickAfter(std::chrono::seconds(10));
    CHECK_TRUE(reported == (std::vector<Record> {removed("e1", 9), removed("e2", 10)}));
}

TEST(RecordWatcher, retriesWithGrowingDelaysWhileTheStoreIsUnavailable)
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

TEST(RecordWatcher, anInactiveWatcherHandlesTheCallInProgressAndMakesNoOther)
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

TEST(RecordWatcher, aHangingCallTimesOutBeforeALeavingEndpointMustBeKnown)
{
    tickAfter({});
    answer(Platform::FeedPage {{live("e1", 3)}, 7});
    tickAfter(std::chrono::seconds(1));
    const Base::Duration callTimeout = std::chrono::milliseconds(1500);
    const Base::Duration hostsReliedOnAfter = std::chrono::seconds(3);
    const Base::Duration leavingKnownWithin = std::chrono::seconds(2);
    const Base::Duration nextCall = std::chrono::seconds(1);
    CHECK_TRUE(feed.holdTime + callTimeout + nextCall <= hostsReliedOnAfter + leavingKnownWithin);
}

// Guards against calls that hang for too long after an outage of the store. The platform relies on a host again 3 s after a
// disruption, for all changes that it has acknowledged until then. A call that was lost as the outage ended timed out only after
// 4 s: 2.5 s of hold time and 1.5 s more. Two of seven hosts then refused requests by an old configuration, 2.6 and 3.1 s after
// five versions had been acknowledged within 0.1 s. The cause was derived from recorded times, since another run of the same
// scenario with another random seed did not show the failure.
TEST(RecordWatcher, aCallThatHangsAfterADisruptionTimesOutBeforeThePlatformReliesOnTheHost)
{
    tickAfter({});
    answer(Platform::FeedPage {{live("e1", 3)}, 7});
    tickAfter(std::chrono::seconds(1));
    const Base::Duration callTimeout = std::chrono::milliseconds(1500);
    const Base::Duration nextCallAnswered = std::chrono::milliseconds(250);
    const Base::Duration reliedOnAfter = std::chrono::seconds(3);
    CHECK_TRUE(feed.holdTime + callTimeout + nextCallAnswered <= reliedOnAfter);
}

TEST(RecordWatcher, afterAFailureCallsAreNotHeldUntilOneSucceeds)
{
    tickAfter({});
    answer(Platform::FeedPage {{}, 7});
    tickAfter(std::chrono::seconds(1));
    CHECK_TRUE(feed.holdTime >= std::chrono::seconds(1));
    fail(Base::ErrorKind::StoreUnavailable);
    tickAfter(std::chrono::seconds(3));
    CHECK_TRUE(feed.holdTime == Base::Duration::zero());
    answer(Platform::FeedPage {{}, 8});
    tickAfter(std::chrono::seconds(6));
    CHECK_TRUE(feed.holdTime >= std::chrono::seconds(1));
}

TEST(RecordWatcher, aResponseForOneKindRetriesTheOtherAtOnce)
{
    constexpr RecordKind configuration = RecordKind::Configuration;
    tickAfter({});
    auto first = std::exchange(feed.calls[configuration], std::nullopt);
    first->handler(Base::makeError(Base::ErrorKind::StoreUnavailable, "test"));
    tickAfter({});
    CHECK_FALSE(feed.calls[configuration].has_value());
    answer(Platform::FeedPage {{}, 7});
    tickAfter({});
    CHECK_TRUE(feed.calls[configuration].has_value());
}

TEST(RecordWatcher, theHoldTimeLeavesTimeForAnotherCall)
{
    using std::chrono::milliseconds;
    const milliseconds timeout(1500);
    CHECK_TRUE(Node::maxHoldTime(milliseconds(3000), timeout) == milliseconds(1200));
    CHECK_TRUE(Node::maxHoldTime(milliseconds(4000), timeout) == milliseconds(2200));
    CHECK_TRUE(Node::maxHoldTime(milliseconds(20000), timeout) <= milliseconds(2500));
    CHECK_TRUE(Node::maxHoldTime(milliseconds(1000), timeout) > Base::Duration::zero());
}

/// A response to the other call shows that the store works again, so a call that was lost before is retried at once. If the retry
/// fails too, the usual delay applies.
TEST(RecordWatcher, aLostCallIsRetriedAtOnceIfTheStoreHasRespondedSince)
{
    constexpr RecordKind configuration = RecordKind::Configuration;
    const auto failConfiguration = [&] {
        if (auto call = std::exchange(feed.calls[configuration], std::nullopt)) {
            call->handler(Base::makeError(Base::ErrorKind::StoreUnavailable, "test"));
        }
    };
    // Repeated failures make the retry delay long.
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

// Guards against a feed that is read again and again from before a row that cannot be read.
TEST(RecordWatcher, theNextCallBeginsBeyondOddRows)
{
    using Configuration::RecordFault;
    tickAfter({});
    answer(Platform::FeedPage {{live("e1", 3)}, 7, {RecordFault::Row, RecordFault::Key}});
    CHECK_TRUE(skipped == (std::vector<RecordFault> {RecordFault::Row, RecordFault::Key}));
    CHECK_TRUE(reported == std::vector<Record> {live("e1", 3)});
    CHECK_TRUE(responds == std::vector<bool> {true});
    tickAfter(std::chrono::seconds(1));
    CHECK_EQUAL(7U, feed.calls[endpoint]->since);
    answer(Platform::FeedPage {{}, 9, {RecordFault::Key}});
    tickAfter(std::chrono::seconds(2));
    CHECK_EQUAL(9U, feed.calls[endpoint]->since);
    CHECK_EQUAL(3U, skipped.size());
    const Record odd {endpoint, "e1", 11, false, "", {}, RecordFault::Value};
    answer(Platform::FeedPage {{odd}, 11});
    CHECK_TRUE(reported.back() == odd);
    tickAfter(std::chrono::seconds(3));
    CHECK_EQUAL(11U, feed.calls[endpoint]->since);
}

/// A full read lists it, so it is not removed; its removal is reported like that of any other.
TEST(RecordWatcher, anUnusableRecordIsPresent)
{
    const Record odd {endpoint, "e2", 4, false, "", {}, Configuration::RecordFault::Value};
    peerRecords = {live("e2", 3)};
    tickAfter({});
    answer(Platform::FeedPage {{odd}, 7});
    CHECK_TRUE(reported == std::vector<Record> {odd});
    tickAfter(std::chrono::seconds(1));
    fail(Base::ErrorKind::HistoryCompacted);
    tickAfter(std::chrono::seconds(2));
    reported.clear();
    answer(Platform::FeedPage {{}, 20});
    CHECK_TRUE(reported == std::vector<Record> {removed("e2", 20)});
}

/// Answers that cannot be used are retried with the same delays as calls without answers.
TEST(RecordWatcher, answersThatCannotBeUsedAreRetriedWithGrowingDelays)
{
    tickAfter({});
    int calls = 0;
    for (int step = 0; step < 100; ++step) {
        if (feed.calls[endpoint]) {
            ++calls;
            fail(Base::ErrorKind::InvalidValue);
        }
        tickAfter(std::chrono::milliseconds(10));
    }
    CHECK_TRUE(calls >= 1 && calls <= 3);
    CHECK_TRUE(responds == std::vector<bool> {false});
}

// Guards against an evacuation that ended while the store forgot its history, and that no host ever takes back.
TEST(RecordWatcher, afterAFullReadEvacuationsKnownFromOtherHostsAreRemovedToo)
{
    peerRecords = {{RecordKind::Evacuation, "east", 5, false, "{}"}, {RecordKind::Evacuation, "west", 9, false, "{}"}};
    tickAfter({});
    auto call = std::exchange(feed.calls[RecordKind::Configuration], std::nullopt);
    call->handler(Platform::FeedPage {{{RecordKind::Configuration, "config", 3, false, "whole"}}, 7});
    CHECK_EQUAL(2U, reported.size());
    // The evacuation of the west is newer than the read.
    CHECK_TRUE(reported.back() == (Record {RecordKind::Evacuation, "east", 7, true, ""}));
}

// Guards against a data centre called as the configuration's record, whose evacuation would hide that record.
TEST(RecordWatcher, recordsOfDifferentKindsMayHaveTheSameKey)
{
    tickAfter({});
    const auto answerRead = [this](std::vector<Record> records, std::uint64_t version) {
        auto call = std::exchange(feed.calls[RecordKind::Configuration], std::nullopt);
        call->handler(Platform::FeedPage {std::move(records), version});
    };
    const Record configuration {RecordKind::Configuration, "config", 3, false, "whole"};
    answerRead({configuration, {RecordKind::Evacuation, "config", 4, false, "{}"}}, 4);
    tickAfter(std::chrono::seconds(1));
    auto call = std::exchange(feed.calls[RecordKind::Configuration], std::nullopt);
    call->handler(Base::makeError(Base::ErrorKind::HistoryCompacted, "test"));
    tickAfter(std::chrono::seconds(2));
    reported.clear();
    answerRead({configuration}, 8);
    CHECK_EQUAL(2U, reported.size());
    CHECK_TRUE(reported.back() == (Record {RecordKind::Evacuation, "config", 8, true, ""}));
}
