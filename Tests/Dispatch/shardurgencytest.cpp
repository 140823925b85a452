// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The order in which a dispatcher serves and sheds requests of organisations with and without a rank.

#include "Dispatch/shard.h"

#include "Dispatch/fixtures.h"

#include <fmt/format.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Dispatch;
using Configuration::Kind;
using Tests::at;

TEST_GROUP(ShardUrgency)
{
    /// An organisation and a class, as "small alert".
    using Name = std::string;

    Configuration::Objects objects;
    std::unique_ptr<Shard> shard;
    std::map<std::string, int> organisationRanks;
    Home home {"h1", 7};
    std::uint64_t last = 0;
    std::map<std::uint64_t, Name> names; ///< by the number of the request

    /// Builds a shard with one slot.
    void build(std::optional<int> small, std::optional<int> large, const std::string &more = "")
    {
        objects = Tests::objectsOf(std::string(Tests::threeTiers) + more);
        Configuration::CatalogueParts parts = Configuration::Catalogue::build(objects)->parts();
        parts.policies.window = Configuration::WindowPolicy::Fixed;
        organisationRanks = {{"small", small.value_or(0)}, {"large", large.value_or(0)}};
        for (Configuration::Organisation &organisation : parts.organisations) {
            organisation.rank = organisation.name == "small" ? small : large;
        }
        for (Configuration::Endpoint &endpoint : parts.endpoints) {
            endpoint.slots = 1;
        }
        const ShardInfo info {1, Tests::numberOf(objects, Kind::Pool, "main"),     "",
                              0, {Tests::numberOf(objects, Kind::Endpoint, "e1")}, "h1"};
        shard = std::make_unique<Shard>(info, Configuration::Catalogue::assemble(std::move(parts)), at(-10));
        shard->tick(at(0));
    }

    void ask(const Name &name)
    {
        const std::size_t space = name.find(' ');
        const std::string organisation = name.substr(0, space);
        Peer::Ask made;
        made.id = {++last, 1};
        made.shard = 1;
        made.requestClass = Tests::numberOf(objects, Kind::Class, name.substr(space + 1));
        made.organisation = Tests::numberOf(objects, Kind::Organisation, organisation);
        made.rank = organisationRanks.at(organisation);
        made.remaining = std::chrono::seconds(20);
        made.sentAt = at(0);
        names[made.id.request] = name;
        shard->ask(at(0), home, made);
    }

    /// Sends an ask of each class and organisation. The more urgent classes, whose targets are shorter, come first.
    void askAll()
    {
        for (const char *requestClass : {"alert", "desk", "routine"}) {
            ask(fmt::format("large {}", requestClass));
            ask(fmt::format("small {}", requestClass));
        }
    }

    /// Takes the slot, so that all others wait.
    void occupy()
    {
        ask("small alert");
    }

    /// Frees the slot as often as there are asks, and returns the asks in the order in which they were served. Only the target of
    /// the least urgent class can still be met then.
    std::vector<Name> serveAll()
    {
        std::vector<Name> served;
        for (std::optional<Peer::Grant> grant = nextGrant(); grant; grant = nextGrant()) {
            served.push_back(names.at(grant->id.request));
            shard->release(at(3), home,
                           {grant->id, 1, grant->endpoint, Peer::RunResult::Completed, std::chrono::milliseconds(50),
                            std::chrono::milliseconds(15), 20});
        }
        served.erase(served.begin());
        return served;
    }

    std::optional<Peer::Grant> nextGrant()
    {
        for (const Reply &reply : shard->takeReplies()) {
            if (const auto *grant = std::get_if<Peer::Grant>(&reply.message)) {
                return *grant;
            }
        }
        return std::nullopt;
    }

    static void checkEqual(const std::vector<Name> &expected, const std::vector<Name> &served)
    {
        STRCMP_EQUAL(fmt::format("{}", fmt::join(expected, ", ")).c_str(), fmt::format("{}", fmt::join(served, ", ")).c_str());
    }
};

/// Guards against classes that are served by arrival where the organisations have the same rank.
TEST(ShardUrgency, classesOfOrganisationsOfEqualRankAreServedInOrder)
{
    build(2, 2);
    occupy();
    askAll();
    const std::vector<Name> served = serveAll();
    const std::vector<std::string> classes = {"alert", "alert", "desk", "desk", "routine", "routine"};
    for (std::size_t index = 0; index < classes.size(); ++index) {
        STRCMP_CONTAINS(classes[index].c_str(), served.at(index).c_str());
    }
}

/// Guards against an urgent class of an organisation of low priority that goes before the least urgent class of one of high
/// priority.
TEST(ShardUrgency, theOrganisationOfHigherRankGoesFirst)
{
    build(1, 2);
    occupy();
    askAll();
    checkEqual({"small alert", "small desk", "small routine", "large alert", "large desk", "large routine"}, serveAll());
}

/// Guards against an organisation without a rank that goes before or after all others whatever the class.
TEST(ShardUrgency, anOrganisationWithoutRankHasTheRankOfTheClass)
{
    build(std::nullopt, 3);
    occupy();
    askAll();
    std::vector<Name> served = serveAll();
    // The requests of class routine are equally urgent.
    served.resize(4);
    checkEqual({"small alert", "small desk", "large alert", "large desk"}, served);
}

/// Guards against a full queue that sheds the urgent requests of an organisation before the less urgent ones of an equal one.
TEST(ShardUrgency, aFullQueueShedsTheLeastUrgentClassOfEqualOrganisations)
{
    build(2, 2, "create setting queue-limit value 4\n");
    occupy();
    askAll();
    std::vector<Name> served = serveAll();
    CHECK_EQUAL(4U, served.size());
    for (const Name &name : served) {
        CHECK_TRUE(name.find("routine") == std::string::npos);
    }
}
