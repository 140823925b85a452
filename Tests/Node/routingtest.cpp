// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/routing.h"

#include "Base/error.h"
#include "Node/errorresponse.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Configuration;
using Base::ErrorKind;

TEST_GROUP(Routing)
{
    std::shared_ptr<const Catalogue> catalogue;

    void setup() override
    {
        CatalogueParts parts;
        parts.revision = 4;
        parts.classes = {{.number = 11, .name = "wide"}, {.number = 12, .name = "narrow"}, {.number = 13, .name = "other"}};
        parts.organisations = {{.number = 5, .name = "town", .keyDigests = {"digest-1", "digest-2"}}};
        parts.routes = {{.name = "wide", .host = "a.example", .pathPrefix = "/x/", .shares = {{11, 1}}},
                        {.name = "narrow", .host = "a.example", .pathPrefix = "/x/y/", .shares = {{12, 90}, {13, 10}}},
                        {.name = "open", .host = "b.example", .pathPrefix = "/", .shares = {{13, 1}}, .isPublic = true}};
        catalogue = Catalogue::assemble(std::move(parts));
    }

    absl::StatusOr<Node::RoutedRequest> route(const std::string &host, const std::string &path, const std::string &key,
                                              const std::string &name = "r1", const std::string &resumed = "")
    {
        Relay::CallArrived call;
        call.host = host;
        call.path = path;
        call.keyDigest = key;
        call.callerRequestId = name;
        call.resumedRequestId = resumed;
        return Node::routeRequest(*catalogue, call);
    }

    void expectError(ErrorKind kind, const absl::StatusOr<Node::RoutedRequest> &routed)
    {
        CHECK_FALSE(routed.ok());
        CHECK_TRUE(Base::errorKind(routed.status()) == kind);
    }
};

TEST(Routing, theLongestMatchingPrefixOfTheHostIsUsed)
{
    CHECK_EQUAL(11U, route("a.example", "/x/z", "digest-1")->requestClass->number);
    CHECK_TRUE(route("a.example", "/x/y/z", "digest-2")->requestClass->number != 11U);
    expectError(ErrorKind::NotFound, route("a.example", "/w", "digest-1"));
    expectError(ErrorKind::NotFound, route("c.example", "/x/", "digest-1"));
}

TEST(Routing, eachKeyOfAnOrganisationAuthenticatesItAndOtherKeysAreRejected)
{
    STRCMP_EQUAL("town", route("a.example", "/x/", "digest-2")->organisation->name.c_str());
    expectError(ErrorKind::Unauthenticated, route("a.example", "/x/", "digest-3"));
    expectError(ErrorKind::Unauthenticated, route("a.example", "/x/", ""));
    CHECK_TRUE(route("b.example", "/anything", "")->organisation == nullptr);
}

TEST(Routing, classesAreSelectedByWeight)
{
    int narrow = 0;
    for (int request = 0; request < 1000; ++request) {
        narrow += route("a.example", "/x/y/", "digest-1", "r" + std::to_string(request))->requestClass->number == 12U ? 1 : 0;
    }
    CHECK_TRUE(narrow > 850 && narrow < 950);
}

// Guards against a stream that is taken up at another pool of its route than the one that began it.
TEST(Routing, aRequestThatContinuesAStreamGetsItsClass)
{
    for (int request = 0; request < 100; ++request) {
        const std::string first = "r" + std::to_string(request);
        const auto began = route("a.example", "/x/y/", "digest-1", first);
        const auto continued = route("a.example", "/x/y/", "digest-1", first + "-again", first);
        CHECK_EQUAL(began->requestClass->number, continued->requestClass->number);
    }
}

TEST(Routing, aHostWithoutAConfigurationRefusesAsNotReady)
{
    catalogue = Catalogue::build({});
    const auto routed = route("a.example", "/x/", "digest-1");
    expectError(ErrorKind::NotReady, routed);
    CHECK_EQUAL(503, Node::statusByOutcome(routed.status(), Request::Outcome::NotRun));
}

TEST(Routing, theStatusShowsWhetherTheRequestRan)
{
    const auto status
        = [](ErrorKind kind, Request::Outcome outcome) { return Node::statusByOutcome(Base::makeError(kind, ""), outcome); };
    CHECK_EQUAL(503, status(ErrorKind::DeadlineExceeded, Request::Outcome::NotRun));
    CHECK_EQUAL(503, status(ErrorKind::Overloaded, Request::Outcome::NotRun));
    CHECK_EQUAL(503, status(ErrorKind::EndpointUnreachable, Request::Outcome::NotRun));
    CHECK_EQUAL(504, status(ErrorKind::DeadlineExceeded, Request::Outcome::Unknown));
    CHECK_EQUAL(502, status(ErrorKind::Overloaded, Request::Outcome::Unknown));
    CHECK_EQUAL(404, status(ErrorKind::NotFound, Request::Outcome::NotRun));
    CHECK_EQUAL(401, status(ErrorKind::Unauthenticated, Request::Outcome::NotRun));
}
