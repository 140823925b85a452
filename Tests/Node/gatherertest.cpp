// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/json.h"
#include "Node/queries.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace Yokepond;
using namespace Yokepond::Node;

TEST_GROUP(Gatherer)
{
    std::uint64_t id = 0;
    QueryResult result;
    Gatherer gatherer {1,
                       [this](const Peer::Process &, const Peer::Message &message) { id = std::get<Peer::Gather>(message).id; }};

    /// Queries the host h2, whose reply is @p answer.
    void gather(const std::string &answer)
    {
        gatherer.gather(Base::Instant(), "show hosts", {"h2"}, {{"name"}, {{{"name", "h1"}}}, {}},
                        [this](QueryResult whole) { result = std::move(whole); });
        gatherer.receive("h2", {id, answer});
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> texts;
        texts.reserve(result.rows.size());
        for (const nlohmann::json &row : result.rows) {
            texts.push_back(row.at("name").dump());
        }
        return texts;
    }
};

TEST(Gatherer, theRowsOfOtherHostsAreAdded)
{
    gather(R"([{"name":"h2"}])");
    CHECK_TRUE(names() == (std::vector<std::string> {R"("h1")", R"("h2")"}));
    CHECK_TRUE(result.missing.empty());
}

// Guards against rows that are no objects, which ended the process by an exception when they were filtered.
TEST(Gatherer, rowsThatAreNoObjectsAreNotFiltered)
{
    gather(R"([1,null,"x",["name"],{"name":"h2"}])");
    CHECK_TRUE(applyShow(result, {.conditions = {{"name", Language::Comparison::NotEqual, "h1"}}}).ok());
    CHECK_TRUE(names() == (std::vector<std::string> {R"("h2")"}));
}

// Guards against rows that are no objects, which ended the process by an exception when they were sorted.
TEST(Gatherer, rowsThatAreNoObjectsAreNotSorted)
{
    gather(R"([1,null,"x",["name"],{"name":"h0"}])");
    CHECK_TRUE(applyShow(result, {.ordering = Language::Ordering {"name", false}}).ok());
    CHECK_TRUE(names() == (std::vector<std::string> {R"("h0")", R"("h1")"}));
}

TEST(Gatherer, fieldsOfAnyTypeAreSorted)
{
    gather(R"([{"name":7},{"name":null},{"name":["h0"]},{"other":1}])");
    CHECK_TRUE(applyShow(result, {.ordering = Language::Ordering {"name", false}}).ok());
    CHECK_EQUAL(5U, result.rows.size());
}

TEST_GROUP(HostsBehind) {/// Returns the hosts that are behind revision 5 if h2, h3 and h4 were queried and h4 did not reply.
                         static std::vector<std::string> behind(std::vector<nlohmann::json> rows) {
                             return hostsBehind({"h2", "h3", "h4"}, {{}, std::move(rows), {"h4"}}, 5);
}
}
;

TEST(HostsBehind, aHostIsBehindUntilItRepliesWithTheRevision)
{
    CHECK_TRUE(behind({{{"host", "h2"}, {"revision", 4U}}, {{"host", "h3"}, {"revision", 5U}}})
               == (std::vector<std::string> {"h2", "h4"}));
}

// Guards against fields of unexpected types, which ended the process by an exception.
TEST(HostsBehind, aHostWhoseReplyCannotBeReadIsBehind)
{
    for (const char *row :
         {R"({"host":"h2","revision":"5"})", R"({"host":"h2","revision":null})", R"({"host":"h2","revision":-1})",
          R"({"host":2,"revision":5})", R"({"host":null,"revision":4})", R"({"host":"h2"})", "7", "null", "[]"}) {
        CHECK_TRUE(behind({Base::decodeJsonOrDiscard(row), {{"host", "h3"}, {"revision", 6U}}})
                   == (std::vector<std::string> {"h2", "h4"}));
    }
}
