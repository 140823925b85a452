// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/ini.h"

#include "Base/error.h"
#include "Base/text.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace Yokepond::Base;

TEST_GROUP(Ini) {};

namespace {

std::string failureOf(std::string_view text, const std::function<void(IniFile &)> &read)
{
    auto ini = IniFile::parse(text, "file.ini");
    if (!ini.ok()) {
        return messageOf(ini.status());
    }
    read(*ini);
    return messageOf(ini->finish());
}

} // namespace

TEST(Ini, readsValuesAndFallbacks)
{
    auto ini = IniFile::parse("[a]\nn = 5\nf = yes\n", "file.ini");
    CHECK_TRUE(ini.ok());
    CHECK_EQUAL(5, ini->number("a", "n", 1, 0, 10));
    CHECK_EQUAL(7, ini->number("a", "m", 7, 0, 10));
    CHECK_TRUE(ini->flag("a", "f", false));
    CHECK_TRUE(ini->finish().ok());
}

/// Guards against a start that fails because of a long line in the settings, such as a list of ten seeds with full names.
TEST(Ini, readsLinesOfAnyLength)
{
    for (const std::size_t length : {190U, 196U, 197U, 198U, 199U, 200U, 201U, 5000U}) {
        const std::string value(length, 'v');
        const std::string text = fmt::format("[a]\nlong = {0} ; a comment\nn = 5\n; {0}\n[b]\nm:{0}", value);
        auto ini = IniFile::parse(text, "file.ini");
        CHECK_TRUE(ini.ok());
        STRCMP_EQUAL(value.c_str(), ini->text("a", "long", "").c_str());
        CHECK_EQUAL(5, ini->number("a", "n", 1, 0, 10));
        STRCMP_EQUAL(value.c_str(), ini->text("b", "m", "").c_str());
        CHECK_TRUE(ini->finish().ok());
    }
}

TEST(Ini, rejectsLongLineWithoutKeyAndValueAndNamesItsNumber)
{
    const std::string tooLong(300, 'x');
    for (const std::string &line : {tooLong, "[" + tooLong + "]", tooLong + " = 1", "  " + tooLong}) {
        const auto ini = IniFile::parse("[a]\nn = 5\n" + line + "\n", "file.ini");
        CHECK_FALSE(ini.ok());
        STRCMP_CONTAINS("file.ini:3: ", messageOf(ini.status()).c_str());
    }
}

TEST(Ini, invalidValueErrorNamesFileLineKeyAndExpectedValue)
{
    const std::string message = failureOf("[a]\n\nn = x\n", [](IniFile &ini) { ini.number("a", "n", 1, 0, 10); });
    STRCMP_EQUAL("file.ini:3: [a] n: expected a whole number from 0 to 10; found 'x'", message.c_str());
}

TEST(Ini, rejectsValueOutOfRange)
{
    CHECK_FALSE(failureOf("[a]\nn = 11\n", [](IniFile &ini) { ini.number("a", "n", 1, 0, 10); }).empty());
}

TEST(Ini, rejectsUnknownKeyAndNamesItsLine)
{
    const std::string message = failureOf("[a]\nn = 1\nq = 2\n", [](IniFile &ini) { ini.number("a", "n", 1, 0, 10); });
    STRCMP_CONTAINS("file.ini:3: [a] q: unknown key", message.c_str());
}

TEST(Ini, rejectsMissingRequiredKey)
{
    STRCMP_CONTAINS("[a] n: expected a value", failureOf("[b]\n", [](IniFile &ini) { ini.requiredText("a", "n"); }).c_str());
}

TEST(Ini, rejectsDuplicateKey)
{
    STRCMP_CONTAINS("file.ini:3: [a] n appears twice", failureOf("[a]\nn = 1\nn = 2\n", [](IniFile &) {}).c_str());
}

TEST(Ini, rejectsMalformedLine)
{
    STRCMP_CONTAINS("file.ini:2:", failureOf("[a]\nnonsense\n", [](IniFile &) {}).c_str());
}
