// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Tests what is ordered, when, and by which host. The figures are those that the operators of the shifted deployment give: 30
/// engines in each of three data centres, at most 60 of both kinds, preemptible ones at 0.18 of the regular price, and 4 s until
/// a new one serves.

#include "Scaling/scaler.h"

#include "Base/error.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Scaling;
using Lease::WriteResult;

namespace {

constexpr std::uint32_t baseline = 90;

Base::Instant at(double seconds)
{
    return Base::Instant(std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(1000 + seconds)));
}

ScaledPool pool(const std::vector<DataCentreCounts> &counts)
{
    return {"llm", {1, 60, std::chrono::seconds(4), 0.18, {{"a", 0.85}, {"b", 1.2}, {"c", 1.0}}}, counts};
}

ScaledPool atStart()
{
    return pool({{"a", 30, 0}, {"b", 30, 0}, {"c", 30, 0}});
}

/// Returns the number of endpoints ordered, or -1 if there is no such order.
int countOrdered(const std::vector<Order> &orders, const std::string &dataCentre, bool preemptible)
{
    const auto order = std::ranges::find_if(
        orders, [&](const Order &entry) { return entry.dataCentre == dataCentre && entry.preemptible == preemptible; });
    return order == orders.end() ? -1 : static_cast<int>(order->count);
}

} // namespace

TEST_GROUP(ScalingPlan) {};

/// Guards against orders for a data centre that operators have evacuated, and against giving up the engines that return with it.
TEST(ScalingPlan, nothingIsOrderedForAnEvacuatedDataCentre)
{
    const auto orders = planOrders(pool({{"a", 0, 0, true}, {"b", 30, 45}, {"c", 30, 45}}), baseline);
    CHECK_EQUAL(-1, countOrdered(orders, "a", true));
    CHECK_EQUAL(-1, countOrdered(orders, "a", false));
    CHECK_EQUAL(45, countOrdered(orders, "b", true));
}

/// When all preemptible engines of one data centre are withdrawn, the remaining ones are as many as the operators provided.
TEST(ScalingPlan, keepsTheCapacityWhenOneDataCentreLosesItsPreemptibleEngines)
{
    const auto orders = planOrders(atStart(), baseline);
    CHECK_EQUAL(45, countOrdered(orders, "a", true));
    CHECK_EQUAL(45, countOrdered(orders, "b", true));
    CHECK_EQUAL(45, countOrdered(orders, "c", true));
}

TEST(ScalingPlan, givesUpRegularEnginesOnlyWhenPreemptibleOnesServe)
{
    CHECK_EQUAL(-1, countOrdered(planOrders(atStart(), baseline), "a", false));
    CHECK_EQUAL(-1, countOrdered(planOrders(pool({{"a", 30, 45}, {"b", 30, 30}, {"c", 30, 0}}), baseline), "a", false));
    CHECK_EQUAL(1, countOrdered(planOrders(pool({{"a", 30, 45}, {"b", 30, 45}, {"c", 30, 45}}), baseline), "a", false));
}

/// The limit of 60 counts both kinds, so that 30 regular engines leave room for only 30 preemptible ones. Half of the regular
/// ones are given up to make room for the reserve. The other half stays until the reserve serves, so that a withdrawal in the
/// meantime leaves as many engines as the operators provided.
TEST(ScalingPlan, givesUpOnlyAsManyRegularEnginesAsTheReserveNeedsRoom)
{
    const auto orders = planOrders(pool({{"a", 30, 30}, {"b", 30, 30}, {"c", 30, 30}}), baseline);
    CHECK_EQUAL(45, countOrdered(orders, "a", true));
    CHECK_EQUAL(15, countOrdered(orders, "a", false));
    // When few regular engines are left, none are ordered again in place of the missing reserve.
    CHECK_EQUAL(1, countOrdered(planOrders(pool({{"a", 1, 45}, {"b", 1, 45}, {"c", 1, 0}}), baseline), "a", false));
}

TEST(ScalingPlan, ordersNoRegularEnginesWhenOneDataCentreIsLost)
{
    CHECK_EQUAL(1, countOrdered(planOrders(pool({{"a", 1, 0}, {"b", 1, 45}, {"c", 1, 45}}), baseline), "a", false));
}

TEST(ScalingPlan, ordersRegularEnginesWhenPreemptibleOnesAreNotAvailable)
{
    const auto orders = planOrders(pool({{"a", 1, 0}, {"b", 1, 0}, {"c", 1, 45}}), baseline);
    CHECK_EQUAL(30, countOrdered(orders, "a", false));
    CHECK_EQUAL(30, countOrdered(orders, "c", false));
}

TEST(ScalingPlan, theLimitCountsBothKinds)
{
    ScaledPool large = atStart();
    large.terms.maxCount = 40;
    CHECK_EQUAL(39, countOrdered(planOrders(large, baseline), "a", true));
}

TEST(ScalingPlan, ordersNothingWhenPreemptibleEnginesSaveNothing)
{
    ScaledPool expensive = atStart();
    expensive.terms.preemptiblePrice = 0.7;
    CHECK_TRUE(planOrders(expensive, baseline).empty());
    ScaledPool one = pool({{"a", 30, 0}});
    CHECK_TRUE(planOrders(one, baseline).empty());
    CHECK_TRUE(planOrders(atStart(), 0).empty());
}

TEST_GROUP(Scaler)
{
    static constexpr std::uint64_t self = 7;
    Scaler scaler {{}, "h1", self};

    std::vector<ScalerAction> tick(double now, const ScaledPool &seen, bool idle = true, std::size_t rank = 0)
    {
        return scaler.tick(at(now), rank, {seen}, idle);
    }

    /// Reads the row, which does not exist, and takes the lease by writing it.
    void take(const ScaledPool &seen)
    {
        CHECK_TRUE(tick(0, seen).empty());
        CHECK_TRUE(std::holds_alternative<ReadRow>(tick(2, seen).front()));
        scaler.onRowRead(at(2), Lease::StoredRow {});
        const auto actions = tick(2.05, seen);
        CHECK_EQUAL(0U, std::get<WriteRow>(actions.front()).expectedVersion);
        scaler.onRowWritten(at(2.1), WriteResult::Done, 40, std::nullopt);
    }

    Order send(double now, const ScaledPool &seen, bool idle = true, OrderResult result = OrderResult::Accepted)
    {
        const auto actions = tick(now, seen, idle);
        CHECK_EQUAL(1U, actions.size());
        const SendOrder order = std::get<SendOrder>(actions.front());
        scaler.onOrdered(at(now), order.order, result);
        return order.order;
    }
};

TEST(Scaler, ordersNothingBeforeItHoldsTheLease)
{
    take(atStart());
    const auto actions = tick(2.15, atStart());
    const SendOrder first = std::get<SendOrder>(actions.front());
    CHECK_EQUAL(40U, first.fence);
    CHECK_EQUAL(45U, first.order.count);
    CHECK_TRUE(first.order.preemptible);
    CHECK_TRUE(first.timeout <= std::chrono::seconds(2));
}

TEST(Scaler, sendsEachOrderOnceAndRepeatsItWhenItsEnginesDoNotServe)
{
    take(atStart());
    for (int index = 0; index < 3; ++index) {
        CHECK_TRUE(send(2.15 + index * 0.05, atStart()).preemptible);
    }
    CHECK_TRUE(tick(2.4, atStart()).empty());
    CHECK_TRUE(tick(11.0, atStart()).empty());
    // The lease has expired. It is renewed before anything is sent.
    CHECK_TRUE(std::holds_alternative<WriteRow>(tick(12.5, atStart()).front()));
    scaler.onRowWritten(at(12.6), WriteResult::Done, 55, std::nullopt);
    const auto actions = tick(12.65, atStart());
    CHECK_EQUAL(40U, std::get<SendOrder>(actions.front()).fence);
}

TEST(Scaler, reducesOneDataCentreAtATimeWhileRequestsRun)
{
    take(atStart());
    const ScaledPool both = pool({{"a", 30, 45}, {"b", 30, 45}, {"c", 30, 45}});
    CHECK_FALSE(send(2.2, both, false).preemptible);
    CHECK_TRUE(tick(2.3, both, false).empty());
    CHECK_TRUE(std::holds_alternative<WriteRow>(tick(7.3, both, false).front()));
}

TEST(Scaler, reducesAllDataCentresAtOnceWithoutRequests)
{
    take(atStart());
    const ScaledPool both = pool({{"a", 30, 45}, {"b", 30, 45}, {"c", 30, 45}});
    for (int index = 0; index < 3; ++index) {
        const Order order = send(2.2 + index * 0.05, both);
        CHECK_FALSE(order.preemptible);
        CHECK_EQUAL(1U, order.count);
    }
}

/// Guards against a new holder that takes the endpoints ordered so far as those that the operators provided. The row has the
/// baselines.
TEST(Scaler, newHolderTakesTheBaselinesFromTheRow)
{
    const ScaledPool both = pool({{"a", 1, 45}, {"b", 1, 45}, {"c", 1, 20}});
    CHECK_TRUE(tick(0, both).empty());
    CHECK_TRUE(std::holds_alternative<ReadRow>(tick(2, both).front()));
    scaler.onRowRead(at(2), Lease::StoredRow {50, serializeRow({8, "h2", {{"llm", 90}}})});
    // Another process held the lease, which may not have expired yet.
    CHECK_TRUE(tick(2.1, both).empty());
    CHECK_TRUE(std::holds_alternative<ReadRow>(tick(4.2, both).front()));
    scaler.onRowRead(at(4.2), Lease::StoredRow {50, serializeRow({8, "h2", {{"llm", 90}}})});
    const auto actions = tick(5.6, both);
    CHECK_EQUAL(50U, std::get<WriteRow>(actions.front()).expectedVersion);
    CHECK_TRUE(parseScalingRow(std::get<WriteRow>(actions.front()).value)->baselines
               == (std::vector<PoolBaseline> {{"llm", 90}}));
}

/// Preemptible engines that the limit cut off are ordered again once regular engines of that data centre are given up.
TEST(Scaler, repeatsAnOrderThatTheLimitCutWhenThereIsRoom)
{
    take(atStart());
    for (int index = 0; index < 3; ++index) {
        send(2.15 + index * 0.05, atStart());
    }
    const ScaledPool half = pool({{"a", 30, 30}, {"b", 30, 30}, {"c", 30, 30}});
    const Order regular = send(2.5, half);
    CHECK_FALSE(regular.preemptible);
    CHECK_EQUAL(15U, regular.count);
    const Order again = send(2.55, half);
    CHECK_TRUE(again.preemptible && again.dataCentre == regular.dataCentre);
    CHECK_EQUAL(45U, again.count);
}

TEST(Scaler, doesNothingWithoutARankOrPools)
{
    CHECK_TRUE(scaler.tick(at(10), std::nullopt, {atStart()}, true).empty());
    CHECK_TRUE(scaler.tick(at(20), 0, {}, true).empty());
}

TEST(Scaler, malformedRowIsATypedError)
{
    for (const char *text :
         {"", "[]", "{}", R"({"holder":"x","host":"h","bases":[]})", R"({"holder":1,"host":"h","bases":[{}]})"}) {
        CHECK_TRUE(Base::errorKind(parseScalingRow(text).status()) == Base::ErrorKind::InvalidValue);
    }
}
