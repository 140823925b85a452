// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/store.h"

#include "Base/text.h"
#include "faketable.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Configuration;
using Base::ErrorKind;
using Tests::FakeTable;

TEST_GROUP(Store)
{
    FakeTable table;
    Replica first;
    Replica second;
    Store<FakeTable> one {table, first, [] {}};
    Store<FakeTable> two {table, second, [] {}};

    CommitResult commit(Store<FakeTable> & store, std::string_view text, std::optional<std::uint64_t> ifRevision = std::nullopt)
    {
        CommitResult result {makeError(ErrorKind::Internal, "no response"), 0, {}};
        CommitRequest request {*Language::parseCommands(text), "me", "", ifRevision, false};
        store.commit(std::move(request), [&](const CommitResult &response) { result = response; });
        return result;
    }

    bool poll(Store<FakeTable> & store)
    {
        bool caughtUp = false;
        store.poll([&](bool value) { caughtUp = value; });
        return caughtUp;
    }
};

TEST(Store, acceptedChangeReachesAnotherHost)
{
    CHECK_TRUE(commit(one, "create tier a rank 1").status.ok());
    CHECK_TRUE(poll(two));
    CHECK_TRUE(first.objects() == second.objects());
    CHECK_EQUAL(1U, second.revision());
}

TEST(Store, racingChangeIsCheckedAgainAgainstTheNewHead)
{
    CHECK_TRUE(commit(one, "create tier a rank 1").status.ok());
    // The second host has not polled; it reads the first change while it commits its own.
    CHECK_TRUE(Base::errorKind(commit(two, "create tier a rank 2").status) == ErrorKind::AlreadyExists);
    CHECK_TRUE(commit(two, "create tier b rank 2").status.ok());
    CHECK_EQUAL(2U, second.revision());
}

TEST(Store, ifRevisionMismatchIsRejectedAndNamesTheAcceptedChange)
{
    const CommitResult won = commit(one, "create tier a rank 1");
    const CommitResult lost = commit(two, "create tier b rank 2", 0);
    CHECK_TRUE(Base::errorKind(lost.status) == ErrorKind::Conflict);
    STRCMP_CONTAINS(won.change.c_str(), Base::messageOf(lost.status).c_str());
}

TEST(Store, lostResponseToAnAppliedWriteIsSettledAsAccepted)
{
    table.fault = FakeTable::Fault::LoseResponse;
    CHECK_TRUE(commit(one, "create tier a rank 1").status.ok());
    CHECK_EQUAL(1U, first.revision());
}

TEST(Store, lostWriteIsFencedAndRetriedOnce)
{
    table.fault = FakeTable::Fault::LoseRequest;
    CHECK_TRUE(commit(one, "create tier a rank 1").status.ok());
    CHECK_EQUAL(1U, first.revision());
    // The lost write, the fence, and the second attempt.
    CHECK_EQUAL(3, table.transactions);
}

TEST(Store, lateWriteCannotTakeEffectAfterItsFence)
{
    // The lost write arrives after its outcome was settled and the change was committed again.
    table.fault = FakeTable::Fault::LoseRequest;
    const CommitResult result = commit(one, "create tier a rank 1");
    CHECK_TRUE(result.status.ok());
    const Platform::Transaction late {{{std::string(headKey), std::nullopt}}, {{std::string(headKey), "late"}}, {}};
    Platform::TransactionResult lateResult = Platform::TransactionResult::Done;
    table.transact(late, [&](Platform::TransactionResult value) { lateResult = value; });
    CHECK_TRUE(lateResult == Platform::TransactionResult::GuardFailed);
}

TEST(Store, changeIsNotAcceptedIfTheTableIsUnreachable)
{
    table.unreachable = true;
    CHECK_TRUE(Base::errorKind(commit(one, "create tier a rank 1").status) == ErrorKind::StoreUnavailable);
    CHECK_FALSE(poll(one));
    CHECK_EQUAL(0U, first.revision());
}

TEST(Store, restoredOlderTableNeitherRevertsNorAcceptsChanges)
{
    CHECK_TRUE(commit(one, "create tier a rank 1").status.ok());
    const auto older = table.rows;
    CHECK_TRUE(commit(one, "create tier b rank 2").status.ok());
    table.rows = older;
    CHECK_TRUE(poll(one));
    CHECK_EQUAL(2U, first.revision());
    CHECK_TRUE(Base::errorKind(commit(one, "create tier c rank 3").status) == ErrorKind::StoreUnavailable);
}

TEST(Store, headOlderThanAChangeFromAPeerIsReadAgain)
{
    CHECK_TRUE(commit(one, "create tier a rank 1").status.ok());
    table.outdatedRows = table.rows;
    CHECK_TRUE(commit(one, "create tier b rank 2").status.ok());
    CHECK_TRUE(second.update(first.updateSince(0)));
    table.outdatedReads = 1;
    CHECK_TRUE(commit(two, "create tier c rank 3").status.ok());
    CHECK_EQUAL(3U, second.revision());
}

TEST(Store, newHostCatchesUpThroughSnapshotAndLog)
{
    for (int number = 1; number <= 70; ++number) {
        CHECK_TRUE(commit(one, fmt::format("create pool p{}", number)).status.ok());
    }
    CHECK_TRUE(poll(two));
    CHECK_TRUE(first.objects() == second.objects());
}
