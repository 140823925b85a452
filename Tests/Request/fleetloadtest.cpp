// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Load tests of whole fleets: the results that callers get where many homes share few dispatchers and many engines.

#include "Request/fleetload.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using Tests::FleetLoad;
using Tests::FleetLoadCounts;
using Tests::Stream;

namespace {

/// Streams of the large deployment as its operators state them: requests per second, prompt and response sizes, targets.
std::vector<Stream> usualStreams()
{
    using std::chrono::milliseconds;
    return {{"short", 1, 261, 162, 350, 1110, 22, milliseconds(1500), milliseconds(12'000)},
            {"middle", 2, 184, 1453, 6300, 2890, 7, milliseconds(1500), milliseconds(6000)},
            {"long", 3, 264, 3107, 13'300, 3720, 15, milliseconds(2500), milliseconds(10'000)}};
}

void print(const char *pattern, std::uint64_t seed, const FleetLoadCounts &counts)
{
    fmt::print("{}, seed {}: offered {}, in time {}, late {}, refused {}, failed {}, arrivals {}, rejected {}, local {}, "
               "prefilled again "
               "{} k tokens, most at one engine {}\n",
               pattern, seed, counts.offered, counts.inTime, counts.late, counts.refused, counts.failed, counts.arrivals,
               counts.rejected, counts.localRuns, counts.prefilledAgain / 1000, counts.maxAtOneEngine);
}

void printRate(const FleetLoadCounts &counts)
{
    fmt::print("  arrivals at engines that advertise a rate {}, largest excess within 4 s {:.1f}\n", counts.arrivalsAtLimited,
               counts.maxOverRate);
}

/// A small site as its operators state it: 8 hosts and 9 engines.
Tests::FleetLoadOptions smallSite()
{
    Tests::FleetLoadOptions options;
    options.hosts = 8;
    options.largeHosts = 0;
    options.smallMilliCores = 250;
    options.engines = 9;
    options.slots = 64;
    options.prefillTokensPerMs = 48.2;
    options.kvCacheTokens = 391'784;
    options.policies.initialRetryBudget = 22.4;
    options.policies.maxRetryBudget = 22.4;
    return options;
}

std::vector<Stream> smallSiteStreams()
{
    using std::chrono::milliseconds;
    return {{"short", 1, 11.3, 162, 350, 1110, 25, milliseconds(1200), milliseconds(8000)},
            {"middle", 2, 6.8, 145, 6300, 2890, 7, milliseconds(1500), milliseconds(4000)},
            {"long", 3, 9.4, 310, 13'300, 3720, 17, milliseconds(2000), milliseconds(6000)}};
}

} // namespace

TEST_GROUP(FleetLoad) {};

/// Guards against engines that reject requests at once and so attract more. A fifth of the engines have been replaced by
/// processes that reject every request, and the configuration still lists them. Since they are always idle, they drew all new
/// requests, up to 90 each within seconds. Each may reject only the requests that were in flight when its first rejection was
/// reported.
TEST(FleetLoad, replacedEnginesDrawNoTraffic)
{
    constexpr std::size_t replaced = 64;
    FleetLoad load({}, usualStreams(), 1);
    load.run(std::chrono::seconds(1));
    load.replaceEngines(replaced);
    load.run(std::chrono::seconds(2));
    const FleetLoadCounts &counts = load.counts();
    print("a fifth of the engines are replaced", 1, counts);
    CHECK_TRUE(counts.rejected <= replaced * 3);
}

/// Limits the cost of losing the only dispatcher of a pool. The other hosts detect it after 0.8 s (two probe periods) and use
/// their local windows meanwhile. At most one request of a hundred may fail, and one of twenty may be late, which is less than
/// arrives in those 0.8 s.
TEST(FleetLoad, lossOfTheOnlyDispatcherFailsFewRequests)
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        FleetLoad load({}, usualStreams(), seed);
        load.run(std::chrono::seconds(2));
        load.loseDispatchers(std::chrono::milliseconds(800));
        load.run(std::chrono::seconds(3));
        const FleetLoadCounts &counts = load.counts();
        print("the dispatcher is lost", seed, counts);
        CHECK_TRUE(counts.localRuns > 0);
        CHECK_EQUAL(0U, counts.rejected);
        CHECK_TRUE((counts.failed + counts.refused) * 100 <= counts.offered);
        CHECK_TRUE(counts.late * 20 <= counts.offered);
    }
}

/// All messages between hosts are lost for a second, as with a failing switch, and all homes bypass their dispatchers at once.
TEST(FleetLoad, aSecondOfMessageLossOverloadsNoEngine)
{
    FleetLoad load({}, usualStreams(), 1);
    load.run(std::chrono::seconds(2));
    load.setDropMessages(true);
    load.run(std::chrono::seconds(1));
    load.setDropMessages(false);
    load.run(std::chrono::seconds(2));
    const FleetLoadCounts &counts = load.counts();
    print("a second without messages", 1, counts);
    CHECK_TRUE(counts.localRuns > 0);
    CHECK_EQUAL(0U, counts.rejected);
    CHECK_TRUE(counts.late * 20 <= counts.offered);
}

/// Guards against a retry budget that is divided among many hosts. In a fleet of 295 hosts, hardly any request was retried,
/// although its class allowed it. The budget of 252 retries counts over all hosts, so that each host's share was 0.85, a retry
/// takes a whole one, and no more could be accumulated; broken runs and unused shares were at different hosts. In this test 263
/// requests failed, 132 with whole shares of at least one retry, and 27 with a single count at the dispatcher.
///
/// Pattern: a fifth of the engines crash and return after two seconds. All homes notice it at once by their broken runs. The
/// budget over all hosts is a fifth of the first attempts plus a slack (630 here, of which 252 may be in the bucket at a time).
TEST(FleetLoad, brokenRunsAreRetriedFromOneBudget)
{
    constexpr std::uint64_t slack = 630;
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        FleetLoad load({}, usualStreams(), seed);
        load.run(std::chrono::seconds(2));
        load.crash(64, std::chrono::seconds(2));
        load.run(std::chrono::seconds(3));
        const FleetLoadCounts &counts = load.counts();
        print("a fifth of the engines crash", seed, counts);
        CHECK_TRUE(counts.failed * 100 <= counts.offered);
        CHECK_TRUE(counts.arrivals <= counts.offered + counts.offered / 5 + slack);
        CHECK_TRUE(counts.repeats <= counts.offered / 5 + slack);
    }
}

/// Pattern: every 1.5 s some engines crash and one of the dispatchers is lost. Dispatchers count the retries, and a successor
/// does not know how many were spent. All retries together must stay within the budget of the whole test, which is less than the
/// sum of the budgets of its windows.
TEST(FleetLoad, retriesStayWithinTheBudgetAcrossDispatcherChanges)
{
    constexpr std::uint64_t slack = 56;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        FleetLoad load(smallSite(), smallSiteStreams(), seed);
        for (int wave = 0; wave < 6; ++wave) {
            load.run(std::chrono::milliseconds(1500));
            load.crash(4, std::chrono::milliseconds(700));
            load.loseDispatchers(std::chrono::milliseconds(300));
        }
        load.run(std::chrono::milliseconds(1000));
        const FleetLoadCounts &counts = load.counts();
        print("engines and dispatchers are lost repeatedly", seed, counts);
        fmt::print("  repeats {}\n", counts.repeats);
        CHECK_TRUE(counts.repeats <= counts.offered / 5 + slack);
    }
}

/// Guards against requests that crash one engine after the other. On a small site one request crashed 29 engines in 18 s, and
/// another 15 in 7 s. It was sent again and again to any host, with the same path, organisation and body and a new name each
/// time, and each host retried it at a second engine. Limits counted requests and endpoints, and nothing connected a new attempt
/// with the earlier crashes under the same work. At all of the 29 crashed engines, a run of this work had just started its
/// response and sent no event.
///
/// Pattern: the load of a small site, and two crashing requests per second (31 in 18 s arrived there). Once three engines have
/// crashed and every host had the time to learn of it, at most three of them may still be sent to engines.
TEST(FleetLoad, workThatCrashesEnginesIsQuarantined)
{
    constexpr std::uint64_t sendsAllowed = 3;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        std::vector<Stream> streams = smallSiteStreams();
        streams.push_back(
            {"fatal", 1, 2.0, 1, 350, 228, 25, std::chrono::milliseconds(1200), std::chrono::milliseconds(8000), true, true});
        FleetLoad load(smallSite(), streams, seed);
        load.run(std::chrono::seconds(20));
        const FleetLoadCounts &counts = load.counts();
        print("one work crashes the engines that run it", seed, counts);
        fmt::print("  engines crashed {}, crashing runs sent late {}, others refused {}\n", counts.enginesCrashed,
                   counts.crashingRunsSentLate, counts.othersRefused);
        CHECK_TRUE(counts.enginesCrashed >= 3);
        CHECK_TRUE(counts.crashingRunsSentLate <= sendsAllowed);
    }
}

namespace {

/// The streams of a small site, of which all prompts begin with the same part.
std::vector<Stream> streamsWithSharedPart()
{
    std::vector<Stream> streams = smallSiteStreams();
    std::ranges::for_each(streams, [](Stream &stream) { stream.sharesFirstPart = true; });
    return streams;
}

/// Requests of which no two are alike, but for a part that crashes engines.
Stream requestsWithBadPart(double perSecond, std::uint64_t badPart)
{
    return {.name = "fatal",
            .perSecond = perSecond,
            .prefixCount = 145,
            .sharedTokens = 350,
            .ownTokens = 1110,
            .events = 25,
            .firstToken = std::chrono::milliseconds(1200),
            .deadline = std::chrono::milliseconds(8000),
            .crashesEngines = true,
            .badPart = badPart,
            .sharesFirstPart = true};
}

} // namespace

// Guards against requests of which no two are alike, but for one part of their prompts, that crash one engine after the other.
TEST(FleetLoad, aPartThatCrashesEnginesIsQuarantined)
{
    constexpr std::uint64_t sendsAllowed = 3;
    for (const double perSecond : {1.0, 8.0, 25.0}) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            std::vector<Stream> streams = streamsWithSharedPart();
            streams.push_back(requestsWithBadPart(perSecond, 0xbad));
            Tests::FleetLoadOptions options = smallSite();
            options.policies.quarantineParts = true;
            FleetLoad load(options, streams, seed);
            load.run(std::chrono::seconds(20));
            const FleetLoadCounts &counts = load.counts();
            print("a part of prompts crashes engines", seed, counts);
            fmt::print(
                "  {} requests with the part per second, engines crashed {}, sent after the fifth {}, others quarantined {}, "
                "others refused {}\n",
                perSecond, counts.enginesCrashed, counts.crashingRunsSentAfterFifth, counts.othersQuarantined,
                counts.othersRefused);
            CHECK_TRUE(counts.enginesCrashed >= 3);
            CHECK_TRUE(counts.crashingRunsSentAfterFifth <= sendsAllowed);
            CHECK_EQUAL(0U, counts.othersQuarantined);
        }
    }
}

// Guards against two such parts at once, of which only one is found.
TEST(FleetLoad, twoPartsThatCrashEnginesAreQuarantined)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        std::vector<Stream> streams = streamsWithSharedPart();
        streams.push_back(requestsWithBadPart(4.0, 0xbad));
        streams.push_back(requestsWithBadPart(4.0, 0xbad2));
        Tests::FleetLoadOptions options = smallSite();
        options.policies.quarantineParts = true;
        FleetLoad load(options, streams, seed);
        load.run(std::chrono::seconds(20));
        const FleetLoadCounts &counts = load.counts();
        print("two parts of prompts crash engines", seed, counts);
        CHECK_TRUE(counts.crashingRunsSentAfterFifth <= 3);
        CHECK_EQUAL(0U, counts.othersQuarantined);
    }
}

// Guards against sound prompts that are refused since engines crash for another reason: a third of them, or all, again and again.
TEST(FleetLoad, noPartIsQuarantinedForUnrelatedCrashes)
{
    for (const std::size_t crashed : {1U, 3U, 9U}) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            Tests::FleetLoadOptions options = smallSite();
            options.policies.quarantineParts = true;
            FleetLoad load(options, streamsWithSharedPart(), seed);
            for (int wave = 0; wave < 10; ++wave) {
                load.run(std::chrono::milliseconds(1500));
                load.crash(crashed, std::chrono::milliseconds(1000));
            }
            load.run(std::chrono::seconds(2));
            print("engines crash for another reason, in ten waves", seed, load.counts());
            CHECK_EQUAL(0U, load.counts().othersQuarantined);
        }
    }
}

/// The large fleet: 295 hosts that each see few requests, and a part that fifty requests a second hold.
TEST(FleetLoad, aHotPartThatCrashesEnginesIsQuarantinedInALargeFleet)
{
    std::vector<Stream> streams = usualStreams();
    std::ranges::for_each(streams, [](Stream &stream) { stream.sharesFirstPart = true; });
    streams.push_back(requestsWithBadPart(50.0, 0xbad));
    Tests::FleetLoadOptions options;
    options.policies.quarantineParts = true;
    FleetLoad load(options, streams, 1);
    load.run(std::chrono::seconds(6));
    const FleetLoadCounts &counts = load.counts();
    print("a hot part crashes engines of a large fleet", 1, counts);
    fmt::print("  engines crashed {}, sent after the fifth {}, others quarantined {}\n", counts.enginesCrashed,
               counts.crashingRunsSentAfterFifth, counts.othersQuarantined);
    CHECK_TRUE(counts.crashingRunsSentAfterFifth <= 3);
    CHECK_EQUAL(0U, counts.othersQuarantined);
}

/// Pattern: a class of identical lookups (one path, no body), and a third of the engines crash for an unrelated reason, six
/// times, 1.5 s apart. All lookups have run at crashed engines; the quarantine must not refuse any.
TEST(FleetLoad, identicalRequestsAreNotQuarantinedForUnrelatedCrashes)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        std::uint64_t refused[2] = {};
        for (const bool quarantineEnabled : {false, true}) {
            std::vector<Stream> streams = smallSiteStreams();
            streams.push_back(
                {"alike", 1, 200.0, 1, 0, 100, 3, std::chrono::milliseconds(400), std::chrono::milliseconds(4000), true});
            Tests::FleetLoadOptions options = smallSite();
            options.policies.maxCrashes = quarantineEnabled ? 3 : 0;
            FleetLoad load(options, streams, seed);
            for (int wave = 0; wave < 6; ++wave) {
                load.run(std::chrono::milliseconds(1500));
                load.crash(3, std::chrono::milliseconds(1000));
            }
            load.run(std::chrono::seconds(2));
            print(quarantineEnabled ? "identical lookups, quarantine enabled" : "identical lookups, quarantine disabled", seed,
                  load.counts());
            refused[quarantineEnabled ? 1 : 0] = load.counts().othersRefused;
            CHECK_EQUAL(0U, load.counts().othersQuarantined);
        }
        CHECK_TRUE(refused[1] <= refused[0] + refused[0] / 10 + 2);
    }
}

/// Guards against rates that are advertised and ignored. Two of nine engines of a small site advertised a limit of 1 request per
/// second and received 12 and 13 in 4 s from hosts that had relayed such a response; 11 are allowed. They received as many as
/// before, 2.4 per second, from every host, before and after a planned stop: the limit never reached the decisions, and nothing
/// counted the runs that start at an endpoint. The rate was exceeded with a single dispatcher as well.
///
/// Pattern: the load of a small site, and two engines that advertise 1 request per second from second 8 on.
TEST(FleetLoad, advertisedRatesAreNotExceeded)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        FleetLoad load(smallSite(), smallSiteStreams(), seed);
        load.run(std::chrono::seconds(8));
        load.setRate(0, 1.0);
        load.setRate(1, 1.0);
        load.run(std::chrono::seconds(20));
        print("two of nine engines advertise a rate", seed, load.counts());
        printRate(load.counts());
        CHECK_TRUE(load.counts().arrivalsAtLimited > 0);
        CHECK_TRUE(load.counts().maxOverRate <= 0);
    }
}

/// Pattern: the same with the loss of two dispatchers one after the other; each successor starts without information.
TEST(FleetLoad, advertisedRatesHoldAcrossDispatcherChanges)
{
    for (const double perSecond : {0.2, 1.0, 2.0, 6.0}) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            FleetLoad load(smallSite(), smallSiteStreams(), seed);
            load.run(std::chrono::seconds(4));
            for (std::size_t engine = 0; engine < 4; ++engine) {
                load.setRate(engine, perSecond);
            }
            for (int loss = 0; loss < 2; ++loss) {
                load.run(std::chrono::seconds(6));
                load.loseDispatchers(std::chrono::milliseconds(800));
            }
            load.run(std::chrono::seconds(6));
            fmt::print("{} a second, seed {}, {} runs without a dispatcher\n", perSecond, seed, load.counts().localRuns);
            printRate(load.counts());
            CHECK_TRUE(load.counts().localRuns > 0);
            CHECK_TRUE(load.counts().maxOverRate <= 0);
        }
    }
}

/// Pattern: 87 hosts and 90 engines that all advertise 1 request per second, half of the load. No host's share of this rate is a
/// whole request, with a dispatcher or without. The engines' capacity is still used, and the excess is refused at once instead of
/// being queued until it is late.
TEST(FleetLoad, aPoolWhereAllEnginesLimitTheirRateIsUsed)
{
    constexpr std::size_t engines = 90;
    for (const bool dropMessages : {false, true}) {
        Tests::FleetLoadOptions options;
        options.hosts = 87;
        options.engines = engines;
        std::vector<Stream> streams = usualStreams();
        for (Stream &stream : streams) {
            stream.perSecond /= 4;
        }
        FleetLoad load(options, streams, 1);
        load.run(std::chrono::seconds(2));
        for (std::size_t engine = 0; engine < engines; ++engine) {
            load.setRate(engine, 1.0);
        }
        load.run(std::chrono::seconds(6));
        const std::uint64_t before = load.counts().inTime;
        load.setDropMessages(dropMessages);
        load.run(std::chrono::seconds(2));
        load.setDropMessages(false);
        load.run(std::chrono::seconds(6));
        const FleetLoadCounts &counts = load.counts();
        print(dropMessages ? "all engines advertise a rate, messages are lost" : "all engines advertise a rate", 1, counts);
        printRate(counts);
        fmt::print("  in time in 8 s {}\n", counts.inTime - before);
        CHECK_TRUE(counts.maxOverRate <= 0);
        // The engines accept 720 requests in these 8 s. During the two seconds of message loss only the hosts' random turns use
        // them.
        CHECK_TRUE(counts.inTime - before >= (dropMessages ? 450U : 600U));
        CHECK_TRUE(counts.late * 10 <= counts.offered);
    }
}

/// Pattern: an engine stops advertising a rate, which may have been 0. It can only show this in the response to a request, and
/// then has to receive its share again.
TEST(FleetLoad, anEngineWhoseLimitEndsGetsItsShareAgain)
{
    for (const double perSecond : {0.0, 1.0}) {
        FleetLoad load(smallSite(), smallSiteStreams(), 1);
        load.run(std::chrono::seconds(4));
        load.setRate(0, perSecond);
        load.run(std::chrono::seconds(10));
        load.setRate(0, std::nullopt);
        // Enough time for one run to start at the lowest enforced rate and to get its response.
        load.run(std::chrono::seconds(6));
        const std::uint64_t before = load.arrivalsAt(0);
        const std::uint64_t all = load.counts().arrivals;
        load.run(std::chrono::seconds(20));
        const std::uint64_t received = load.arrivalsAt(0) - before;
        fmt::print("{} a second before: {} of {} arrivals at one of nine engines afterwards\n", perSecond, received,
                   load.counts().arrivals - all);
        CHECK_TRUE(received * 9 * 2 >= load.counts().arrivals - all);
    }
}

/// Random mixes of faults: engines advertise, change and drop rates, dispatchers are lost or frozen, and messages are lost. The
/// rate is not checked for a host that was frozen until it has been in contact with the others for a while.
TEST(FleetLoad, ratesHoldInRandomFaultMixes)
{
    constexpr std::uint64_t seeds = 60;
    double worst = -1e9;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        FleetLoad load(smallSite(), smallSiteStreams(), seed);
        std::size_t losses = 0;
        for (int step = 0; step < 30; ++step) {
            load.run(std::chrono::milliseconds(200 + random() % 1500));
            const double perSecond = std::array {0.0, 0.2, 0.7, 1.0, 2.5, 4.0}.at(random() % 6);
            switch (random() % 6) {
            case 0:
            case 1:
                load.setRate(random() % 9, perSecond);
                break;
            case 2:
                load.setRate(random() % 9, std::nullopt);
                break;
            case 3:
                if (++losses <= 3) {
                    load.loseDispatchers(std::chrono::milliseconds(random() % 1500));
                }
                break;
            case 4:
                load.freeze(load.randomDispatcher(random()), std::chrono::milliseconds(random() % 3000));
                break;
            default:
                load.setDropMessages(random() % 3 == 0);
                break;
            }
        }
        if (load.counts().maxOverRate > 0) {
            fmt::print("seed {}: {:.1f} beyond the rate\n", seed, load.counts().maxOverRate);
        }
        worst = std::max(worst, load.counts().maxOverRate);
    }
    fmt::print("rates in random fault mixes, seeds 1 to {}: largest excess within 4 s {:.1f}\n", seeds, worst);
    CHECK_TRUE(worst <= 0);
}

/// Guards against hosts that send further requests to an engine though it has announced to them that it leaves.
///
/// Pattern: the load of a small site; one engine announces from second 4 on that it leaves, and goes on serving.
TEST(FleetLoad, leavingEnginesGetNoFurtherRequests)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        FleetLoad load(smallSite(), smallSiteStreams(), seed);
        load.run(std::chrono::seconds(4));
        load.setLeaving(0, true);
        load.run(std::chrono::seconds(13));
        print("one of nine engines leaves", seed, load.counts());
        fmt::print("  arrivals at it {}, hosts informed {}, arrivals from those {}\n", load.counts().arrivalsAtLeaving,
                   load.counts().informedOfLeaving, load.counts().sentToLeaving);
        CHECK_TRUE(load.counts().informedOfLeaving > 0);
        CHECK_EQUAL(0U, load.counts().sentToLeaving);
    }
}

/// Guards against requests to engines that have rejected a host's request and asked it for a cooldown. Since they were idle, they
/// drew more requests than before.
///
/// Pattern: the load of a small site; three of nine engines reject everything for 9 s and ask for a cooldown of 3 s each time.
/// The operators are alerted if a tenth of a class's requests is not served.
TEST(FleetLoad, enginesInCooldownGetNoFurtherRequests)
{
    constexpr std::uint64_t allowedDuringCooldown = 2;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        FleetLoad load(smallSite(), smallSiteStreams(), seed);
        load.run(std::chrono::seconds(4));
        for (std::size_t engine = 0; engine < 3; ++engine) {
            load.setRejecting(engine, 1.0, std::chrono::seconds(3));
        }
        load.run(std::chrono::seconds(9));
        const FleetLoadCounts &counts = load.counts();
        print("three of nine engines ask for a cooldown", seed, counts);
        fmt::print("  rejected with capacity {}, most from a host in one cooldown {}\n", counts.rejectedWithCapacity,
                   counts.maxDuringCooldown);
        CHECK_TRUE(counts.rejectedWithCapacity > 0);
        CHECK_TRUE(counts.maxDuringCooldown <= allowedDuringCooldown);
        CHECK_TRUE((counts.refused + counts.failed) * 10 <= counts.offered);
    }
}

/// Guards against an endpoint that stays unused permanently after it once announced that it leaves, although its name is in use
/// again.
TEST(FleetLoad, anEngineThatReturnsAfterLeavingGetsItsShareAgain)
{
    Tests::FleetLoadOptions options = smallSite();
    options.policies.leavingTimeout = std::chrono::seconds(5);
    FleetLoad load(options, smallSiteStreams(), 1);
    load.run(std::chrono::seconds(4));
    load.setLeaving(0, true);
    load.run(std::chrono::seconds(3));
    load.setLeaving(0, false);
    load.run(std::chrono::seconds(6));
    const std::uint64_t before = load.arrivalsAt(0);
    const std::uint64_t all = load.counts().arrivals;
    load.run(std::chrono::seconds(20));
    const std::uint64_t received = load.arrivalsAt(0) - before;
    fmt::print("{} of {} arrivals at one of nine engines afterwards\n", received, load.counts().arrivals - all);
    CHECK_TRUE(received * 9 * 2 >= load.counts().arrivals - all);
}

/// Guards against engines that reject everything without a Retry-After. Since they were idle, they drew more requests than
/// before.
///
/// Pattern: the same without a cooldown.
TEST(FleetLoad, enginesThatRejectEverythingDrawLittleTraffic)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        FleetLoad load(smallSite(), smallSiteStreams(), seed);
        load.run(std::chrono::seconds(4));
        for (std::size_t engine = 0; engine < 3; ++engine) {
            load.setRejecting(engine, 1.0, {});
        }
        load.run(std::chrono::seconds(9));
        const FleetLoadCounts &counts = load.counts();
        print("three of nine engines reject everything", seed, counts);
        fmt::print("  rejected with capacity {}\n", counts.rejectedWithCapacity);
        // The share of three of nine engines.
        CHECK_TRUE(counts.rejectedWithCapacity * 3 <= counts.arrivals);
        CHECK_TRUE((counts.refused + counts.failed) * 10 <= counts.offered);
    }
}

/// Pattern: three of nine engines reject two requests of five and ask for a cooldown of 3 s each time. What they would accept
/// from other hosts has to be used.
TEST(FleetLoad, enginesThatRejectSomeRequestsServeOtherHosts)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        FleetLoad load(smallSite(), smallSiteStreams(), seed);
        load.run(std::chrono::seconds(4));
        for (std::size_t engine = 0; engine < 3; ++engine) {
            load.setRejecting(engine, 0.4, std::chrono::seconds(3));
        }
        const std::uint64_t before = load.arrivalsAt(0) + load.arrivalsAt(1) + load.arrivalsAt(2);
        load.run(std::chrono::seconds(20));
        const std::uint64_t at = load.arrivalsAt(0) + load.arrivalsAt(1) + load.arrivalsAt(2) - before;
        const FleetLoadCounts &counts = load.counts();
        print("three of nine engines reject some requests", seed, counts);
        fmt::print("  arrivals at them {}, rejected with capacity {}, most from a host in one cooldown {}\n", at,
                   counts.rejectedWithCapacity, counts.maxDuringCooldown);
        CHECK_TRUE(at > counts.rejectedWithCapacity);
        CHECK_TRUE(counts.maxDuringCooldown <= 2);
        CHECK_TRUE((counts.refused + counts.failed) * 10 <= counts.offered);
    }
}

/// Pattern: all nine engines reject everything for 4 s. Once they accept requests again, none is refused, and the backlog delays
/// or fails less than a tenth of the new requests.
TEST(FleetLoad, aPoolInCooldownIsUsedAgainAfterwards)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        FleetLoad load(smallSite(), smallSiteStreams(), seed);
        load.run(std::chrono::seconds(4));
        for (std::size_t engine = 0; engine < 9; ++engine) {
            load.setRejecting(engine, 1.0, std::chrono::seconds(1));
        }
        load.run(std::chrono::seconds(4));
        for (std::size_t engine = 0; engine < 9; ++engine) {
            load.setRejecting(engine, 0, {});
        }
        load.run(std::chrono::seconds(3));
        const FleetLoadCounts before = load.counts();
        load.run(std::chrono::seconds(10));
        const FleetLoadCounts &counts = load.counts();
        print("all engines were in cooldown", seed, counts);
        fmt::print("  most from a host in one cooldown {}\n", counts.maxDuringCooldown);
        CHECK_TRUE(counts.maxDuringCooldown <= 2);
        CHECK_EQUAL(0U, counts.refused - before.refused);
        CHECK_TRUE((counts.late + counts.failed - before.late - before.failed) * 10 <= counts.offered - before.offered);
    }
}

/// Random mixes of faults: engines announce that they leave, reject some or all requests, dispatchers are lost or frozen, and
/// messages are lost.
TEST(FleetLoad, leavingAndCooldownHoldInRandomFaultMixes)
{
    constexpr std::uint64_t seeds = 60;
    std::uint64_t sentToLeaving = 0;
    std::uint64_t maxDuringCooldown = 0;
    std::uint64_t rejectedWithCapacity = 0;
    std::uint64_t informed = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        FleetLoad load(smallSite(), smallSiteStreams(), seed);
        std::size_t losses = 0;
        for (int step = 0; step < 30; ++step) {
            load.run(std::chrono::milliseconds(200 + random() % 1500));
            const double share = std::array {0.0, 0.3, 1.0, 1.0}.at(random() % 4);
            switch (random() % 6) {
            case 0:
            case 1:
                load.setRejecting(random() % 9, share, std::chrono::milliseconds(600 + random() % 5000));
                break;
            case 2:
                load.setLeaving(random() % 4, true);
                break;
            case 3:
                if (++losses <= 3) {
                    load.loseDispatchers(std::chrono::milliseconds(random() % 1500));
                }
                break;
            case 4:
                load.freeze(load.randomDispatcher(random()), std::chrono::milliseconds(random() % 3000));
                break;
            default:
                load.setDropMessages(random() % 3 == 0);
                break;
            }
        }
        const FleetLoadCounts &counts = load.counts();
        if (counts.sentToLeaving > 0 || counts.maxDuringCooldown > 2) {
            fmt::print("seed {}: {} to leaving engines, {} in one cooldown\n", seed, counts.sentToLeaving,
                       counts.maxDuringCooldown);
        }
        sentToLeaving += counts.sentToLeaving;
        maxDuringCooldown = std::max(maxDuringCooldown, counts.maxDuringCooldown);
        rejectedWithCapacity += counts.rejectedWithCapacity;
        informed += counts.informedOfLeaving;
    }
    fmt::print("random fault mixes, seeds 1 to {}: {} rejected with capacity, {} informed of leaving; {} sent to leaving "
               "engines, most in one "
               "cooldown {}\n",
               seeds, rejectedWithCapacity, informed, sentToLeaving, maxDuringCooldown);
    CHECK_TRUE(rejectedWithCapacity > 0 && informed > 0);
    CHECK_EQUAL(0U, sentToLeaving);
    CHECK_TRUE(maxDuringCooldown <= 2);
}
