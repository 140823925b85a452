// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Language/plan.h"

#include "Base/error.h"
#include "Configuration/catalogue.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Language;
using Base::ErrorKind;

TEST_GROUP(Plan)
{
    Configuration::Objects objects;

    absl::Status execute(std::string_view text)
    {
        const auto commands = parseCommands(text);
        CHECK_TRUE(commands.ok());
        const auto mutations = plan(objects, *commands);
        if (!mutations.ok()) {
            return mutations.status();
        }
        objects.apply({objects.revision() + 1, "id", 0, "me", "", *mutations});
        return absl::OkStatus();
    }

    void setup() override
    {
        CHECK_TRUE(
            execute("create tier high rank 1\ncreate tier low rank 2\ncreate pool main\ncreate class c tier high pool main")
                .ok());
    }
};

TEST(Plan, referenceToUnknownObjectIsRejected)
{
    CHECK_TRUE(Base::errorKind(execute("create class d tier hihg pool main")) == ErrorKind::UnknownName);
}

TEST(Plan, objectInUseCannotBeDeleted)
{
    CHECK_TRUE(Base::errorKind(execute("delete tier high")) == ErrorKind::InUse);
    CHECK_TRUE(execute("delete class c; delete tier high").ok());
}

TEST(Plan, transactionIsAtomic)
{
    CHECK_FALSE(execute("create tier mid rank 3; create tier high rank 4").ok());
    POINTERS_EQUAL(nullptr, objects.find(Configuration::Kind::Tier, "mid"));
}

TEST(Plan, twoTiersCannotShareARank)
{
    CHECK_TRUE(Base::errorKind(execute("set tier low rank 1")) == ErrorKind::InvalidValue);
}

TEST(Plan, objectNumbersAreNotReused)
{
    const auto before = objects.find(Configuration::Kind::Class, "c")->number;
    CHECK_TRUE(execute("delete class c; create class c tier low pool main").ok());
    CHECK_TRUE(objects.find(Configuration::Kind::Class, "c")->number > before);
}

TEST(Plan, keysAreStoredHashed)
{
    CHECK_TRUE(execute("create organisation o key secret").ok());
    CHECK_EQUAL(64U, objects.find(Configuration::Kind::Organisation, "o")->value("key").size());
}

TEST(Plan, unknownSettingAndInvalidValueAreRejected)
{
    CHECK_TRUE(Base::errorKind(execute("create setting ordr value fifo")) == ErrorKind::UnknownName);
    CHECK_TRUE(Base::errorKind(execute("create setting order value random")) == ErrorKind::InvalidValue);
    CHECK_TRUE(execute("create setting order value fifo").ok());
}

TEST(Plan, aDataCentreIsEvacuatedAndResumedWithoutBeingCreatedBefore)
{
    CHECK_TRUE(execute("create endpoint e1 pool main address 10.0.0.1:80 data-centre east").ok());
    CHECK_TRUE(execute("evacuate data-centre east").ok());
    CHECK_FALSE(Configuration::Catalogue::build(objects)->endpoints().front().acceptsRequests());
    CHECK_TRUE(execute("resume data-centre east").ok());
    CHECK_TRUE(Configuration::Catalogue::build(objects)->endpoints().front().acceptsRequests());
    CHECK_TRUE(execute("evacuate data-centre east").ok());
    CHECK_TRUE(Base::errorKind(execute("resume data-centre esat")) == ErrorKind::UnknownName);
}
