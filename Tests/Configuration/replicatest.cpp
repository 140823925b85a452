// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/replica.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond::Configuration;

namespace {

Change change(std::uint64_t revision)
{
    const std::string name = "t" + std::to_string(revision);
    Object tier {Kind::Tier, name, static_cast<std::uint32_t>(revision), {{"rank", std::to_string(revision)}}};
    return {revision, "id" + std::to_string(revision), 0, "me", "", {{tier, false}}};
}

} // namespace

TEST_GROUP(Replica)
{
    Replica replica;

    void fill(Replica & target, std::uint64_t revision)
    {
        for (std::uint64_t next = target.revision() + 1; next <= revision; ++next) {
            CHECK_TRUE(target.apply(change(next)));
        }
    }
};

TEST(Replica, revisionNeverDecreases)
{
    fill(replica, 3);
    Replica older;
    fill(older, 2);
    CHECK_FALSE(replica.install(older.objects()));
    CHECK_TRUE(replica.apply(change(1)));
    CHECK_EQUAL(3U, replica.revision());
}

TEST(Replica, changeThatLeavesAGapIsNotApplied)
{
    CHECK_FALSE(replica.apply(change(2)));
    CHECK_EQUAL(0U, replica.revision());
}

TEST(Replica, catchesUpFromALog)
{
    Replica source;
    fill(source, 5);
    fill(replica, 3);
    CHECK_TRUE(replica.update(source.updateSince(3)));
    CHECK_TRUE(replica.objects() == source.objects());
}

TEST(Replica, catchesUpFromASnapshotIfTheLogIsTooShort)
{
    Replica source;
    fill(source, 600);
    CHECK_FALSE(source.updateSince(0).snapshot.empty());
    CHECK_TRUE(replica.update(source.updateSince(0)));
    CHECK_TRUE(replica.objects() == source.objects());
}

TEST(Replica, malformedUpdateChangesNothing)
{
    fill(replica, 1);
    CHECK_FALSE(replica.update({"{]", {"nonsense", "{}"}}));
    CHECK_EQUAL(1U, replica.revision());
}
