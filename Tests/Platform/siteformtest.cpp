// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "platform/siteform.h"

#include "Base/error.h"
#include "Base/hash.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

using namespace Yokepond;
using namespace Yokepond::Configuration;

namespace {

using Json = nlohmann::json;

constexpr const char *configuration = R"({"version":7,"unknown":{},
  "routes":[{"name":"r1","host":"A.example","path_prefix":"/p/","type":"streaming","timeout_ms":6000,"target_latency_ms":2000,
             "priority":2,"backends":[{"service":"llm","weight":90},{"service":"other","weight":10}],"max_attempts":2,
             "public":false,"stream_resume":true,"target_gap_ms":1500},
            {"name":"r2","host":"a.example","path_prefix":"/q/","type":"non_idempotent","timeout_ms":800,
             "target_latency_ms":150,"priority":0,"service":"other","max_attempts":1,"public":true}],
  "services":[{"name":"llm","engine":{"slots":64,"kv_capacity":391784,"kv_bytes":16000,"link_mbps":320000.0,"moves":true}},{"name":"other"}],
  "tenants":[{"name":"town","api_keys":["k1","k2"],"priority":0}]})";

} // namespace

TEST_GROUP(SiteForm)
{
    SiteRecords records;

    void setup() override
    {
        records.merge({RecordKind::Configuration, "config", 7, false, configuration});
        endpoint("i-1", 8, R"({"service":"llm","address":"10.0.0.9:80","zone":"a","slots":64,"state":"ready"})");
    }

    void endpoint(const std::string &name, std::uint64_t version, const std::string &value)
    {
        records.merge({RecordKind::Endpoint, name, version, false, value});
    }
};

TEST(SiteForm, aRouteBecomesAClassForEachOfItsPools)
{
    const auto parts = Platform::decodeSite(records);
    CHECK_TRUE(parts.ok());
    CHECK_EQUAL(3U, parts->classes.size());
    const RequestClass &first = parts->classes.front();
    CHECK_EQUAL(3, first.rank);
    CHECK_TRUE(first.repeatable && first.resumable && first.deadlineEndsRun);
    CHECK_EQUAL(2U, first.maxRuns);
    CHECK_TRUE(first.deadline == std::chrono::seconds(6));
    CHECK_TRUE(first.tokenGap == std::chrono::milliseconds(1500));
    CHECK_EQUAL(2U, parts->routes.front().shares.size());
    STRCMP_EQUAL("a.example", parts->routes.front().host.c_str());
    CHECK_FALSE(parts->classes.back().repeatable);
    CHECK_TRUE(parts->routes.back().isPublic);
}

TEST(SiteForm, anOrganisationHasAllItsKeysAndItsOwnRank)
{
    const auto parts = Platform::decodeSite(records);
    const Organisation &town = parts->organisations.front();
    CHECK_TRUE(town.keyDigests == (std::vector<std::string> {Base::sha256("k1"), Base::sha256("k2")}));
    CHECK_EQUAL(1, *town.rank);
}

TEST(SiteForm, leavingEndpointsAreDrainedAndMalformedOnesRejected)
{
    endpoint("i-2", 9, R"({"service":"llm","address":"10.0.0.8:80","slots":64,"state":"draining"})");
    endpoint("i-3", 10, "not json");
    const auto parts = Platform::decodeSite(records);
    CHECK_EQUAL(2U, parts->endpoints.size());
    CHECK_FALSE(parts->endpoints[0].drained);
    CHECK_EQUAL(391784U, parts->endpoints[0].kvCacheTokens);
    DOUBLES_EQUAL(2500.0, parts->endpoints[0].transferTokensPerMs, 0.001);
    CHECK_TRUE(parts->endpoints[1].drained);
    CHECK_EQUAL(records.revision(), parts->revision);
    CHECK_EQUAL(17U, parts->revision);
}

// Guards against endpoints that are lost, or get a version that no endpoint has, because the version in their record is
// malformed.
TEST(SiteForm, theSoftwareVersionOfAnEndpointIsItsRecords)
{
    const auto row = [](const std::string &version) {
        return fmt::format(R"({{"service":"llm","address":"10.0.0.9:80","zone":"a","slots":64,"state":"ready"{}}})", version);
    };
    endpoint("i-1", 9, row(R"(,"version":"v1.2")"));
    endpoint("i-2", 10, row(""));
    endpoint("i-3", 11, row(R"(,"version":12)"));
    endpoint("i-4", 12, row(R"(,"version":")" + std::string(1000, '9') + '"'));
    const auto parts = Platform::decodeSite(records);
    CHECK_EQUAL(4U, parts->endpoints.size());
    STRCMP_EQUAL("v1.2", parts->endpoints[0].softwareVersion.c_str());
    for (const std::size_t index : {1U, 2U, 3U}) {
        STRCMP_EQUAL("", parts->endpoints[index].softwareVersion.c_str());
    }
}

TEST(SiteForm, enginesThatCannotTransferPromptsHaveNoTransferRate)
{
    const std::string still = R"({"routes":[],"services":[{"name":"llm","engine":{"kv_bytes":16000,"link_mbps":320000.0}}]})";
    records.merge({RecordKind::Configuration, "config", 9, false, still});
    DOUBLES_EQUAL(0.0, Platform::decodeSite(records)->endpoints[0].transferTokensPerMs, 0.001);
}

// Guards against numbers whose conversion has no defined result, and against endpoints that get them as other numbers.
TEST(SiteForm, numbersOutOfRangeMakeARecordUnusable)
{
    const auto row = [](const std::string &slots, const std::string &born) {
        return fmt::format(R"({{"service":"llm","address":"10.0.0.9:80","slots":{},"state":"ready","born":{}}})", slots, born);
    };
    std::uint64_t version = 20;
    for (const char *odd : {"1e300", "-1e300", "9223372036854775808", "18446744073709551615", "1e19", "\"7\"", "null", "[1]"}) {
        endpoint("i-1", ++version, row(odd, "0"));
        const auto withSlots = Platform::decodeSite(records);
        CHECK_TRUE_TEXT(withSlots->endpoints.empty() && withSlots->rejected.size() == 1, odd);
        endpoint("i-1", ++version, row("4", odd));
        const auto withBorn = Platform::decodeSite(records);
        CHECK_TRUE_TEXT(withBorn->endpoints.empty() && withBorn->rejected.size() == 1, odd);
    }
    endpoint("i-1", ++version, row("4.0", "1e3"));
    CHECK_EQUAL(4U, Platform::decodeSite(records)->endpoints.front().slots);
}

TEST(SiteForm, anUnusableRecordIsNoEndpoint)
{
    records.merge({RecordKind::Endpoint, "i-1", 9, false, "", {}, RecordFault::Version});
    const auto parts = Platform::decodeSite(records);
    CHECK_TRUE(parts->endpoints.empty());
    CHECK_TRUE(parts->rejected == (std::vector<RejectedRecord> {{"i-1", "version-unreadable"}}));
}

// Guards against fields that the key of another writer's entry adds to requests: the key is sent in a header.
TEST(SiteForm, aKeyThatAHeaderCannotCarryIsNoEndpoint)
{
    const std::string value = R"({"service":"llm","address":"10.0.0.8:80","slots":4,"state":"ready"})";
    std::uint64_t version = 20;
    for (const std::string &key : {std::string("i\r\nX-Added: 1"), std::string("i\n"), std::string("i\0", 2),
                                   std::string("i\x7f"), std::string("\t"), std::string(), std::string(201, 'i')}) {
        endpoint(key, ++version, value);
        CHECK_EQUAL(1U, Platform::decodeSite(records)->endpoints.size());
    }
    for (const std::string &key : {std::string("a b/%&#"), std::string("\xc3\xa9"), std::string(200, 'i')}) {
        endpoint(key, ++version, value);
    }
    CHECK_EQUAL(4U, Platform::decodeSite(records)->endpoints.size());
}

// Guards against a configuration that cannot be used and keeps hosts from following the endpoints, too.
TEST(SiteForm, theLastGoodConfigurationStaysInForceWhileTheEndpointsAreFollowed)
{
    const auto before = Catalogue::assemble(*Platform::decodeSite(records));
    records.merge({RecordKind::Configuration, "config", 11, false, R"({"routes":[{"name":"r1"}],"services":[]})"});
    endpoint("i-2", 12, R"({"service":"llm","address":"10.0.0.8:80","slots":4,"state":"ready"})");
    records.merge({RecordKind::Evacuation, "b", 13, false, ""});
    const auto parts = Platform::decodeSite(records, before.get());
    CHECK_TRUE(parts.ok());
    CHECK_EQUAL(2U, parts->routes.size());
    CHECK_EQUAL(2U, parts->endpoints.size());
    CHECK_EQUAL(7U, parts->configurationVersion);
    CHECK_TRUE(parts->evacuatedDataCentres == std::set<std::string> {"b"});
    records.merge({RecordKind::Configuration, "config", 14, true, ""});
    CHECK_EQUAL(2U, Platform::decodeSite(records, before.get())->routes.size());
    records.merge({RecordKind::Configuration, "config", 15, false, R"({"routes":[],"services":[]})"});
    CHECK_TRUE(Platform::decodeSite(records, before.get())->routes.empty());
}

TEST(SiteForm, aBrokenConfigurationIsATypedError)
{
    records.merge({RecordKind::Configuration, "config", 11, false, R"({"routes":[{"name":"r1"}],"services":[]})"});
    CHECK_TRUE(Base::errorKind(Platform::decodeSite(records).status()) == Base::ErrorKind::InvalidValue);
    CHECK_TRUE(Base::errorKind(Platform::decodeSite({}).status()) == Base::ErrorKind::NotReady);
}

/// Records may be truncated, or written by something other than the endpoint. None of them becomes an endpoint, the valid ones
/// remain, and each rejected record is reported with a reason.
// Guards against numbers that no field can hold, whose conversion has no defined result.
TEST(SiteForm, numbersOutOfRangeAreRejected)
{
    const std::string route = R"({"name":"r","host":"h","path_prefix":"/","type":"streaming","service":"s","timeout_ms":10)";
    const std::string service = R"({"name":"s")";
    std::uint64_t version = 8;
    const auto isTaken = [&](const std::string &moreOfRoute, const std::string &moreOfScaling) {
        records.merge({RecordKind::Configuration, "config", ++version, false,
                       fmt::format(R"({{"routes":[{}{}}}],"services":[{},"scaling":{{"min_count":1{}}}}}]}})", route, moreOfRoute,
                                   service, moreOfScaling)});
        return Platform::decodeSite(records).ok();
    };
    CHECK_TRUE(isTaken("", ""));
    CHECK_TRUE(isTaken(R"(,"target_latency_ms":1e9,"priority":9,"max_attempts":4294967295)", R"(,"boot_s":1e6)"));
    for (const char *field : {R"(,"target_latency_ms":1e300)", R"(,"target_latency_ms":-1e300)", R"(,"priority":1e300)",
                              R"(,"priority":2147483647)", R"(,"max_attempts":4294967296)", R"(,"max_attempts":-1)"}) {
        CHECK_FALSE(isTaken(field, ""));
    }
    for (const char *field : {R"(,"boot_s":1e300)", R"(,"max_count":1e300)", R"(,"max_count":-1)"}) {
        CHECK_FALSE(isTaken("", field));
    }
    CHECK_TRUE(isTaken("", ""));
    for (const char *field : {R"("slots":1e300)", R"("slots":18446744073709551615)", R"("slots":4,"born":1e300)",
                              R"("slots":4,"born":-1e300)", R"("slots":4,"born":9223372036854775808)"}) {
        endpoint("i-2", ++version, fmt::format(R"({{"service":"s","address":"10.0.0.9:80","state":"ready",{}}})", field));
        CHECK_EQUAL(1U, Platform::decodeSite(records)->rejected.size());
    }
}

TEST(SiteForm, invalidEndpointRecordsAreRejected)
{
    const std::vector<std::string> bad = {
        R"({"service":"llm","zone":"a","slots":64,"state":"ready"})",
        R"({"service":"llm","address":"elsewhere","zone":"a","slots":64,"state":"ready"})",
        R"({"service":"llm","address":"10.0.0.9","zone":"a","slots":64,"state":"ready"})",
        R"({"service":"llm","address":"10.0.0.9:0","zone":"a","slots":64,"state":"ready"})",
        R"({"service":"llm","address":7,"zone":"a","slots":64,"state":"ready"})",
        R"({"service":"llm","address":"10.0.0.9:80","zone":"a","slots":0,"state":"ready"})",
        R"({"service":"llm","address":"10.0.0.9:80","zone":"a","slots":-3,"state":"ready"})",
        R"({"service":"llm","address":"10.0.0.9:80","zone":"a","slots":99999999,"state":"ready"})",
        R"({"service":"llm","address":"10.0.0.9:80","zone":"a","slots":"64","state":"ready"})",
        R"({"service":"llm","address":"10.0.0.9:80","zone":"a","slots":64,"state":"resting"})",
        R"({"service":"llm","address":"10.0.0.9:80","zone":"a","slots":64})",
        R"({"service":"llm","address":"10.0.0.9:80","zone":5,"slots":64,"state":"ready"})",
        R"({"address":"10.0.0.9:80","zone":"a","slots":64,"state":"ready"})",
        R"({"service":"llm","address":"10.0.0.9:80","zo)",
        "\xff\xfe\x01",
        "[]",
        "",
    };
    for (std::size_t index = 0; index < bad.size(); ++index) {
        endpoint("x-" + std::to_string(index), 20 + index, bad[index]);
    }
    const auto parts = Platform::decodeSite(records);
    CHECK_EQUAL(1U, parts->endpoints.size());
    STRCMP_EQUAL("i-1", parts->endpoints.front().name.c_str());
    CHECK_EQUAL(bad.size(), parts->rejected.size());
    CHECK_TRUE(std::ranges::none_of(parts->rejected, [](const RejectedRecord &record) { return record.reason.empty(); }));
}

TEST(SiteForm, scalingParametersOfAPoolAreParsed)
{
    records.merge({RecordKind::Configuration, "config", 8, false,
                   R"({"version":8,"routes":[],"services":[{"name":"llm","scaling":{"min_count":1,"max_count":60,"boot_s":4.0,
                       "spot_price":0.18,"zone_prices":{"a":0.85,"b":1.2}}},{"name":"other"}]})"});
    endpoint("i-3", 9, R"({"service":"llm","address":"10.0.0.7:80","zone":"b","slots":64,"state":"ready","preemptible":true})");
    const auto parts = Platform::decodeSite(records);
    const ScalingParameters &scaling = *parts->pools.front().scaling;
    CHECK_EQUAL(1U, scaling.minCount);
    CHECK_EQUAL(60U, scaling.maxCount);
    CHECK_TRUE(scaling.startupTime == std::chrono::seconds(4));
    DOUBLES_EQUAL(0.18, scaling.preemptiblePrice, 1e-9);
    CHECK_EQUAL(2U, scaling.prices.size());
    CHECK_FALSE(parts->pools.back().scaling.has_value());
    CHECK_FALSE(parts->endpoints.front().preemptible);
    CHECK_TRUE(parts->endpoints.back().preemptible);
}

// Guards against requests to the endpoints of a data centre that operators have evacuated.
TEST(SiteForm, endpointsOfAnEvacuatedDataCentreGetNoRequests)
{
    endpoint("i-2", 9, R"({"service":"llm","address":"10.0.0.8:80","zone":"b","slots":64,"state":"ready"})");
    records.merge({RecordKind::Evacuation, "a", 10, false, "{}"});
    const auto evacuated = Catalogue::assemble(*Platform::decodeSite(records));
    CHECK_FALSE(evacuated->endpoints()[0].acceptsRequests());
    CHECK_TRUE(evacuated->endpoints()[1].acceptsRequests());
    CHECK_TRUE(evacuated->isEvacuated("a"));
    records.merge({RecordKind::Evacuation, "a", 11, true, ""});
    CHECK_TRUE(Catalogue::assemble(*Platform::decodeSite(records, evacuated.get()))->endpoints()[0].acceptsRequests());
}

// Guards against a cold endpoint that gets requests as fast as a warm one.
TEST(SiteForm, aColdEndpointHasTheRateOfItsService)
{
    records.merge({RecordKind::Configuration, "config", 9, false,
                   R"({"routes":[],"services":[{"name":"llm","cold_start_s":3.0,"cold_per_s":9.1}]})"});
    const Base::Instant until = Base::now() + std::chrono::seconds(3);
    records.merge({RecordKind::Endpoint, "i-1", 10, false,
                   R"({"service":"llm","address":"10.0.0.9:80","zone":"a","slots":64,"state":"ready"})", until});
    CHECK_TRUE(Platform::decodeSite(records)->endpoints.front().cold == (ColdPeriod {until, 9.1}));
}

// Guards against requests and bodies that leave the regions that a route and an organisation name.
TEST(SiteForm, routesAndOrganisationsNameTheirRegions)
{
    records.merge(
        {RecordKind::Configuration, "config", 9, false,
         R"({"routes":[{"name":"r","host":"h","path_prefix":"/","type":"idempotent","service":"llm","allowed_regions":["north"]}],
                       "services":[{"name":"llm"}],"tenants":[{"name":"town","api_keys":[],"allowed_regions":["north","south"]}]})"});
    CatalogueParts parts = *Platform::decodeSite(records);
    CHECK_TRUE(parts.classes.front().regions == (std::vector<std::string> {"north"}));
    CHECK_TRUE(parts.organisations.front().regions == (std::vector<std::string> {"north", "south"}));
    const EndpointCriteria criteria {parts.classes.front().number, parts.organisations.front().number};
    parts.regions = {{"a", "south"}};
    const auto catalogue = Catalogue::assemble(parts);
    CHECK_TRUE(catalogue->restrictsEndpoints(criteria));
    CHECK_FALSE(catalogue->mayServe(catalogue->endpoints().front(), criteria));
    parts.regions = {{"a", "north"}};
    const auto moved = Catalogue::assemble(parts);
    CHECK_TRUE(moved->mayServe(moved->endpoints().front(), criteria));
}

// Guards against hosts of a large fleet that spend their processor time on decoding all records at each change.
TEST(SiteForm, onlyTheChangedRecordsAreDecodedAgain)
{
    endpoint("i-2", 9, R"({"service":"llm","address":"10.0.0.8:80","zone":"b","slots":64,"state":"ready"})");
    CatalogueParts parts = *Platform::decodeSite(records);
    // Marks what is copied.
    parts.endpoints[0].slots = 1;
    parts.endpoints[1].slots = 1;
    parts.routes.front().host = "copied";
    const auto previous = Catalogue::assemble(parts);
    endpoint("i-0", 10, R"({"service":"llm","address":"10.0.0.7:80","zone":"b","slots":64,"state":"ready"})");
    endpoint("i-2", 11, R"({"service":"llm","address":"10.0.0.8:80","zone":"b","slots":64,"state":"draining"})");
    const auto next = Platform::decodeSite(records, previous.get());
    CHECK_EQUAL(3U, next->endpoints.size());
    CHECK_EQUAL(64U, next->endpoints[0].slots);
    CHECK_EQUAL(1U, next->endpoints[1].slots);
    CHECK_TRUE(next->endpoints[2].drained);
    CHECK_EQUAL(64U, next->endpoints[2].slots);
    STRCMP_EQUAL("copied", next->routes.front().host.c_str());
}

// Guards against a host that goes on with a part of an old state after any sequence of changes.
TEST(SiteForm, decodingChangesGivesTheSameAsDecodingAll)
{
    std::mt19937_64 random(5);
    std::shared_ptr<const Catalogue> previous;
    for (std::uint64_t version = 20; version < 400; ++version) {
        const std::string name = fmt::format("i-{}", random() % 12);
        const std::string value = fmt::format(R"({{"service":"{}","address":"10.0.0.9:{}","zone":"{}","slots":{},"state":"{}"}})",
                                              random() % 2 == 0 ? "llm" : "other", 1 + random() % 3, random() % 2, random() % 3,
                                              random() % 3 == 0 ? "draining" : "ready");
        switch (random() % 8) {
        case 0:
            records.merge({RecordKind::Endpoint, name, version, true, ""});
            break;
        case 1:
            records.merge({RecordKind::Evacuation, fmt::format("{}", random() % 2), version, random() % 2 == 0, ""});
            break;
        case 2: {
            Json changed = Json::parse(configuration);
            changed["services"][0]["engine"]["kv_capacity"] = random() % 3;
            records.merge({RecordKind::Configuration, "config", version, false, changed.dump()});
            break;
        }
        default:
            endpoint(name, version, value);
        }
        const auto whole = Catalogue::assemble(*Platform::decodeSite(records));
        const auto changed = Catalogue::assemble(*Platform::decodeSite(records, previous.get()));
        CHECK_TRUE(whole->endpoints() == changed->endpoints());
        CHECK_TRUE(whole->pools() == changed->pools());
        CHECK_TRUE(whole->parts().rejected == changed->parts().rejected);
        CHECK_EQUAL(whole->classes().size(), changed->classes().size());
        previous = changed;
    }
}

// Guards against an endpoint that has restarted under its name and is avoided, or preferred, for what it said or kept before.
TEST(SiteForm, anEndpointThatHasRestartedUnderItsNameIsANewOne)
{
    const auto numberWith = [this](std::uint64_t version, std::string_view born) {
        endpoint("i-1", version,
                 fmt::format(R"({{"service":"llm","address":"10.0.0.9:80","slots":64,"state":"ready"{}}})", born));
        const auto parts = Platform::decodeSite(records);
        return parts->endpoints.empty() ? 0 : parts->endpoints.front().number;
    };
    const std::uint32_t first = numberWith(9, R"(,"born":1764778260000)");
    CHECK_TRUE(first == numberWith(10, R"(,"born":1764778260000,"version":"v2")"));
    CHECK_TRUE(first != numberWith(11, R"(,"born":1764778290000)"));
    CHECK_EQUAL(0U, numberWith(12, R"(,"born":"yesterday")"));
}
