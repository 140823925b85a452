// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/siterecords.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Configuration;

TEST_GROUP(SiteRecords)
{
    SiteRecords records;
    const Base::Instant now = Base::now();

    bool set(const std::string &key, std::uint64_t version, const std::string &value)
    {
        return records.merge({RecordKind::Endpoint, key, version, false, value});
    }

    bool remove(const std::string &key, std::uint64_t version)
    {
        return records.merge({RecordKind::Endpoint, key, version, true, ""});
    }
};

TEST(SiteRecords, theHigherVersionWinsInAnyOrder)
{
    CHECK_TRUE(set("e1", 5, "new"));
    CHECK_FALSE(set("e1", 3, "old"));
    CHECK_FALSE(remove("e1", 4));
    CHECK_EQUAL(1U, records.present(RecordKind::Endpoint).size());
    STRCMP_EQUAL("new", records.present(RecordKind::Endpoint).front()->value.c_str());
}

TEST(SiteRecords, aRemovedRecordIsNotRestoredByAnOutdatedPeer)
{
    set("e1", 5, "value");
    CHECK_TRUE(remove("e1", 7));
    CHECK_FALSE(set("e1", 6, "value"));
    CHECK_TRUE(records.present(RecordKind::Endpoint).empty());
    CHECK_TRUE(set("e1", 9, "value"));
}

TEST(SiteRecords, aHigherVersionOfTheSameStateIsNoChange)
{
    set("e1", 5, "value");
    CHECK_FALSE(set("e1", 8, "value"));
    CHECK_EQUAL(5U, records.revision());
}

TEST(SiteRecords, mergedCopiesHaveEqualRevisions)
{
    set("e1", 5, "value");
    SiteRecords later;
    later.merge({RecordKind::Endpoint, "e1", 8, false, "value"});
    CHECK_FALSE(records.merge(later.changesSince(records.revisions())));
    CHECK_EQUAL(later.revision(), records.revision());
    CHECK_TRUE(later.revisions() == records.revisions());
}

TEST(SiteRecords, theHashesTellWhatACopyHolds)
{
    SiteRecords other;
    set("e1", 5, "value");
    set("e2", 6, "value");
    remove("e2", 7);
    other.merge({RecordKind::Endpoint, "e1", 9, false, "value"});
    CHECK_TRUE(records.hashes() == other.hashes());
    other.merge({RecordKind::Endpoint, "e1", 10, false, "another"});
    CHECK_FALSE(records.hashes() == other.hashes());
    CHECK_EQUAL(0U, records.hashes().configuration);
    records.merge({RecordKind::Evacuation, "east", 11, false, "{}"});
    CHECK_TRUE(records.hashes().configuration != 0);
    records.merge({RecordKind::Evacuation, "east", 12, true, ""});
    CHECK_EQUAL(0U, records.hashes().configuration);
}

TEST(SiteRecords, changesSinceReturnsWhatChangedAfterARevision)
{
    set("e1", 5, "value");
    set("e2", 6, "value");
    const RecordRevisions before = records.revisions();
    set("e1", 9, "other");
    remove("e2", 10);
    set("e3", 11, "value");
    records.merge({RecordKind::Configuration, "config", 3, false, "whole"});
    const RecordChanges changes = records.changesSince(before);
    CHECK_EQUAL(4U, changes.records.size());
    CHECK_TRUE(records.changesSince(records.revisions()).records.empty());
    const RecordRevisions told {changes.configuration.revision, changes.endpoints.revision};
    CHECK_TRUE(told.covers(before));
    CHECK_FALSE(before.covers(told));
}

TEST(SiteRecords, aHeartbeatIsNotSentAsAChange)
{
    set("e1", 5, "value");
    const RecordRevisions before = records.revisions();
    set("e1", 8, "value");
    CHECK_TRUE(records.changesSince(before).records.empty());
}

TEST(SiteRecords, aChangeOfEitherKindRaisesTheRevision)
{
    set("e1", 120, "value");
    const std::uint64_t before = records.revision();
    records.merge({RecordKind::Configuration, "config", 100, false, "whole"});
    CHECK_TRUE(records.revision() > before);
}

// Guards against a removal that is never passed on, since this copy learned of it before it knew the record.
TEST(SiteRecords, theRemovalOfARecordThatWasNeverKnownIsToldOthers)
{
    SiteRecords outdated;
    outdated.merge({RecordKind::Endpoint, "e1", 5, false, "value"});
    outdated.merge({RecordKind::Endpoint, "e2", 6, false, "value"});
    SiteRecords teller;
    teller.merge(outdated.changesSince({}));
    teller.merge({RecordKind::Endpoint, "e1", 7, true, ""});
    teller.merge({RecordKind::Endpoint, "e3", 8, false, "value"});
    records.merge(teller.changesSince({}));
    outdated.merge(records.changesSince(outdated.revisions()));
    CHECK_EQUAL(2U, outdated.present(RecordKind::Endpoint).size());
    CHECK_TRUE(outdated.hashes() == teller.hashes());
}

// Guards against a configuration that other hosts keep although an earlier one came back, since this copy missed the one between.
TEST(SiteRecords, aConfigurationThatCameBackIsToldToThoseWhoHaveTheOneBetween)
{
    const auto configure = [](SiteRecords &copy, std::uint64_t version, const std::string &value) {
        copy.merge({RecordKind::Configuration, "config", version, false, value});
    };
    configure(records, 5, "first");
    SiteRecords other;
    other.merge(records.changesSince({}));
    configure(other, 6, "second");
    configure(records, 7, "first");
    records.merge({RecordKind::Evacuation, "east", 8, false, "{}"});
    other.merge(records.changesSince(other.revisions()));
    STRCMP_EQUAL("first", other.present(RecordKind::Configuration).front()->value.c_str());
    CHECK_TRUE(other.hashes() == records.hashes());
}

// Guards against an endpoint that other hosts keep after it was there a second time, since this copy only saw that it went twice.
TEST(SiteRecords, aSecondRemovalIsToldToThoseWhoHaveTheRecordBetween)
{
    set("e1", 5, "value");
    remove("e1", 6);
    SiteRecords other;
    other.merge(records.changesSince({}));
    other.merge({RecordKind::Endpoint, "e1", 7, false, "value"});
    remove("e1", 8);
    set("e2", 9, "value");
    other.merge(records.changesSince(other.revisions()));
    CHECK_TRUE(other.hashes() == records.hashes());
}

TEST(SiteRecords, changesThatWouldLeaveAGapAreIgnored)
{
    SiteRecords other;
    other.merge({RecordKind::Endpoint, "e1", 5, false, "value"});
    const RecordRevisions reached = other.revisions();
    other.merge({RecordKind::Endpoint, "e2", 6, false, "value"});
    CHECK_FALSE(records.merge(other.changesSince(reached)));
    CHECK_EQUAL(0U, records.revision());
    CHECK_TRUE(records.merge(other.changesSince({})));
    CHECK_EQUAL(2U, records.present(RecordKind::Endpoint).size());
}

namespace {

/// Returns a copy that began with the list of a store that had e2 and e3 at version 10, after e1 had gone.
SiteRecords copyOfAList()
{
    SiteRecords copy;
    copy.beginList(RecordKind::Endpoint);
    copy.merge({RecordKind::Endpoint, "e2", 6, false, "value"});
    copy.merge({RecordKind::Endpoint, "e3", 9, false, "value"});
    return copy;
}

} // namespace

// Guards against a copy that says what changed since a version at which it did not exist: others kept an endpoint that had gone.
TEST(SiteRecords, aCopyThatBeganLaterTellsAllThatIsPresent)
{
    set("e1", 5, "value");
    set("e2", 6, "value");
    SiteRecords later = copyOfAList();
    later.endList(RecordKind::Endpoint, 10);
    CHECK_TRUE(later.knowsRemovals(RecordKind::Endpoint));
    CHECK_TRUE(records.merge(later.changesSince(records.revisions())));
    CHECK_TRUE(records.hashes() == later.hashes());
    CHECK_TRUE(records.revisions() == later.revisions());
    // A host that follows has seen a later version of an endpoint; a list from before says nothing of it.
    set("e4", 30, "value");
    records.merge(later.changesSince({}));
    CHECK_EQUAL(3U, records.present(RecordKind::Endpoint).size());
}

// Guards against a host that just started after an outage of the store, in which endpoints' records were lost for a while: the
// others would take these for gone.
TEST(SiteRecords, aCopyThatDoesNotKnowWhatWasRemovedOnlyTellsNews)
{
    set("e1", 5, "value");
    set("e2", 6, "value");
    const SiteRecords later = copyOfAList();
    CHECK_FALSE(later.knowsRemovals(RecordKind::Endpoint));
    CHECK_TRUE(records.merge(later.changesSince(records.revisions())));
    CHECK_EQUAL(3U, records.present(RecordKind::Endpoint).size());
    CHECK_EQUAL(6U, records.revisions().endpoints);
    SiteRecords empty;
    empty.merge(later.changesSince({}));
    CHECK_FALSE(empty.knowsRemovals(RecordKind::Endpoint));
}

// Guards against memory, and lists for other hosts, that grow with every endpoint that ever was.
TEST(SiteRecords, onlyTheLatestRemovalsAreKept)
{
    constexpr std::uint64_t endpoints = 5000;
    set("first", 1, "value");
    SiteRecords outdated;
    outdated.merge(records.changesSince({}));
    remove("first", 2);
    for (std::uint64_t number = 0; number < endpoints; ++number) {
        set("e" + std::to_string(number), 10 + 2 * number, "value");
        remove("e" + std::to_string(number), 11 + 2 * number);
    }
    set("last", 20 + 2 * endpoints, "value");
    CHECK_TRUE(records.all().size() < 1100);
    // A copy from before is told by a list, and takes nothing back.
    records.merge(outdated.changesSince({}));
    CHECK_EQUAL(1U, records.present(RecordKind::Endpoint).size());
    outdated.merge(records.changesSince(outdated.revisions()));
    CHECK_TRUE(outdated.hashes() == records.hashes());
    CHECK_TRUE(outdated.revisions() == records.revisions());
}

TEST(SiteRecords, aListOfAnotherCopyTellsWhatWasRemoved)
{
    set("e1", 5, "value");
    set("e2", 6, "value");
    SiteRecords later = copyOfAList();
    later.merge(records.changesSince({})); // changes: nothing was removed since version 0
    CHECK_FALSE(later.knowsRemovals(RecordKind::Endpoint));
    SiteRecords listed = copyOfAList();
    listed.endList(RecordKind::Endpoint, 10);
    later.merge(listed.changesSince({}));
    CHECK_TRUE(later.knowsRemovals(RecordKind::Endpoint));
    CHECK_TRUE(later.hashes() == listed.hashes());
}

// Guards against an endpoint, or an evacuation, that went before a copy began and that an outdated copy brings back.
TEST(SiteRecords, whatWasRemovedBeforeACopyBeganIsNotTakenFromOthers)
{
    SiteRecords later = copyOfAList();
    later.endList(RecordKind::Endpoint, 10);
    later.beginList(RecordKind::Configuration);
    later.endList(RecordKind::Configuration, 10);
    set("e1", 5, "value");
    set("e5", 11, "value");
    records.merge({RecordKind::Evacuation, "east", 4, false, "{}"});
    later.merge(records.changesSince({}));
    CHECK_TRUE(later.present(RecordKind::Evacuation).empty());
    CHECK_EQUAL(3U, later.present(RecordKind::Endpoint).size()); // e2, e3 and e5
}

TEST(SiteRecords, aCopyWithAnUnconfirmedRecordIsNotComplete)
{
    SiteRecords follower;
    follower.merge({RecordKind::Endpoint, "e1", 5, false, "value"});
    follower.merge({RecordKind::Endpoint, "e2", 6, false, "value"});
    records.merge(follower.changesSince({}));

    // The follower does not trust the removal of e1 yet, and merges a later change of e2.
    follower.markUnconfirmed({RecordKind::Endpoint, "e1", 8, true, ""});
    follower.merge({RecordKind::Endpoint, "e2", 9, false, "other"});
    CHECK_TRUE(records.merge(follower.changesSince(records.revisions())));
    CHECK_EQUAL(2U, records.present(RecordKind::Endpoint).size());

    // A third copy has merged the removal of e1, and has changes that the other two lack.
    SiteRecords other;
    other.merge(records.changesSince({}));
    other.merge({RecordKind::Endpoint, "e1", 8, true, ""});
    other.merge({RecordKind::Endpoint, "e3", 10, false, "value"});
    CHECK_TRUE(other.revision() > follower.revision());
    CHECK_TRUE(follower.merge(other.changesSince(follower.revisions())));
    CHECK_TRUE(records.merge(other.changesSince(records.revisions())));
    CHECK_EQUAL(2U, records.present(RecordKind::Endpoint).size());
    CHECK_TRUE(records.all() == follower.all());
    CHECK_EQUAL(other.revision(), follower.revision());
    CHECK_EQUAL(other.revision(), records.revision());
}

// Guards against heartbeats of an entry that cannot be read, each of which was sent on as a change.
TEST(SiteRecords, heartbeatsOfAnUnusableRecordAreNoChanges)
{
    set("e1", 5, "value");
    const Record odd {RecordKind::Endpoint, "e1", 6, false, "", {}, RecordFault::Value};
    CHECK_TRUE(records.merge(odd));
    CHECK_EQUAL(6U, records.revision());
    for (std::uint64_t version = 7; version < 20; ++version) {
        Record beat = odd;
        beat.version = version;
        beat.detail = std::to_string(version);
        CHECK_FALSE(records.merge(beat));
    }
    CHECK_EQUAL(6U, records.revision());
    CHECK_TRUE(set("e1", 20, "value"));
    CHECK_TRUE(records.present(RecordKind::Endpoint).front()->fault == RecordFault::None);
    CHECK_TRUE(records.merge({RecordKind::Endpoint, "e1", 21, false, "", {}, RecordFault::Version}));
    CHECK_TRUE(remove("e1", 22));
    CHECK_TRUE(records.present(RecordKind::Endpoint).empty());
}

// Guards against an odd row that takes the place of the configuration in force, so that hosts that start later have none.
TEST(SiteRecords, aConfigurationThatCannotBeUsedIsNotStored)
{
    records.merge({RecordKind::Configuration, "config", 5, false, "good"});
    CHECK_FALSE(records.merge({RecordKind::Configuration, "config", 6, false, "", {}, RecordFault::Value}));
    STRCMP_EQUAL("good", records.present(RecordKind::Configuration).front()->value.c_str());
    CHECK_EQUAL(5U, records.changesSince({}).records.front().version);
    CHECK_TRUE(records.merge({RecordKind::Configuration, "config", 7, false, "better"}));
}

// Guards against an evacuation that a host with the newest configuration never learns from another host.
TEST(SiteRecords, anEvacuationIsAChangeOfTheConfiguration)
{
    records.merge({RecordKind::Configuration, "config", 3, false, "whole"});
    SiteRecords other;
    other.merge(records.changesSince({}));
    records.merge({RecordKind::Evacuation, "east", 4, false, "{}"});
    CHECK_TRUE(records.digest() != other.digest());
    other.merge(records.changesSince(other.revisions(), RecordKind::Configuration));
    CHECK_EQUAL(1U, other.present(RecordKind::Evacuation).size());
    CHECK_EQUAL(1U, other.present(RecordKind::Configuration).size());
    CHECK_TRUE(records.changesSince({}, RecordKind::Endpoint).records.empty());
    CHECK_EQUAL(records.digest(), other.digest());
}

// Guards against an evacuation that an outdated host brings back.
TEST(SiteRecords, anEvacuationThatEndedIsNotRestoredByAnOutdatedPeer)
{
    const Record evacuation {RecordKind::Evacuation, "east", 4, false, "{}"};
    records.merge(evacuation);
    records.merge({RecordKind::Evacuation, "east", 6, true, ""});
    CHECK_FALSE(records.merge(evacuation));
    CHECK_TRUE(records.present(RecordKind::Evacuation).empty());
}

// Guards against a host that takes the heartbeats of a cold endpoint for changes, or its end for a later one with each heartbeat.
TEST(SiteRecords, theEndOfAColdPeriodDoesNotMoveWithHeartbeats)
{
    const Base::Instant end = now + std::chrono::seconds(3);
    records.merge({RecordKind::Endpoint, "e1", 5, false, "value", end});
    CHECK_FALSE(records.merge({RecordKind::Endpoint, "e1", 6, false, "value", end + std::chrono::milliseconds(400)}));
    CHECK_TRUE(records.present(RecordKind::Endpoint).front()->coldUntil == end);
    CHECK_FALSE(records.merge({RecordKind::Endpoint, "e1", 7, false, "value"}));
    CHECK_TRUE(records.merge({RecordKind::Endpoint, "e1", 8, false, "value", end + std::chrono::seconds(9)}));
    CHECK_EQUAL(8U, records.revisions().endpoints);
}
