// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/settings.h"

#include "Base/text.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;

namespace {

constexpr std::string_view validText = R"([host]
name = lisbon-1
data-centre = lisbon-a
[listen]
caller = 127.0.0.1:8080
operator = 127.0.0.1:8081
peer = 127.0.0.1:8082
[platform]
address = 127.0.0.1:2379
[tickets]
secret = a-secret-of-enough-length
)";

std::string errorOf(const std::string &text)
{
    auto ini = Base::IniFile::parse(text, "y.ini");
    CHECK_TRUE(ini.ok());
    return Base::messageOf(Node::parseSettings(std::move(*ini)).status());
}

std::string replaced(std::string_view from, std::string_view to)
{
    std::string text(validText);
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(Settings) {};

TEST(Settings, validSettingsAreRead)
{
    STRCMP_EQUAL("", errorOf(std::string(validText)).c_str());
}

TEST(Settings, equalListenAddressesAreRejected)
{
    STRCMP_CONTAINS("y.ini:6: [listen] operator: expected an address other than", errorOf(replaced("8081", "8080")).c_str());
}

TEST(Settings, malformedAddressIsRejected)
{
    STRCMP_CONTAINS("[listen] peer: expected an IPv4 address", errorOf(replaced("127.0.0.1:8082", "localhost:8082")).c_str());
}

TEST(Settings, shortSecretIsRejected)
{
    STRCMP_CONTAINS("[tickets] secret: expected at least 16 characters",
                    errorOf(replaced("a-secret-of-enough-length", "short")).c_str());
}

TEST(Settings, operatorNeedsADigest)
{
    STRCMP_CONTAINS("[operator a] key-sha256", errorOf(std::string(validText) + "[operator a]\nkey-sha256 = plain\n").c_str());
}

// Guards against parts of prompts that are held, or not, by a setting that was misread.
TEST(Settings, partsOfPromptsAreQuarantinedOnlyIfASettingAsksForIt)
{
    const auto quarantinesParts = [](const std::string &section) {
        auto ini = Base::IniFile::parse(std::string(validText) + section, "y.ini");
        const auto settings = Node::parseSettings(std::move(*ini));
        return settings.ok() && settings->policies.quarantineParts;
    };
    CHECK_FALSE(quarantinesParts(""));
    CHECK_FALSE(quarantinesParts("[quarantine]\nprompt-parts = no\n"));
    CHECK_TRUE(quarantinesParts("[quarantine]\nprompt-parts = yes\n"));
    STRCMP_CONTAINS("[quarantine] prompt-parts", errorOf(std::string(validText) + "[quarantine]\nprompt-parts = some\n").c_str());
}

TEST(Settings, unknownKeyIsRejected)
{
    STRCMP_CONTAINS("[host] colour: unknown key",
                    errorOf(replaced("data-centre = lisbon-a", "data-centre = lisbon-a\ncolour = red")).c_str());
}

TEST(Settings, usageIsReportedOnlyIfAnAddressIsSet)
{
    const auto without = Node::parseSettings(*Base::IniFile::parse(std::string(validText), "y.ini"));
    CHECK_EQUAL(0, without->dutyAddress.port);
    const std::string text = std::string(validText) + "[usage]\naddress = 127.0.0.1:8424\nwindow-s = 10\nquiet-ms = 4000\n";
    const auto with = Node::parseSettings(*Base::IniFile::parse(text, "y.ini"));
    CHECK_EQUAL(8424, with->dutyAddress.port);
    CHECK_TRUE(with->usageWindow == std::chrono::seconds(10));
    CHECK_TRUE(with->dutyTakeoverDelay == std::chrono::milliseconds(4000));
}

TEST(Settings, aMalformedDutyAddressIsRejected)
{
    STRCMP_CONTAINS("[usage] address", errorOf(std::string(validText) + "[usage]\naddress = elsewhere\n").c_str());
}

/// With a shorter time, the lease of a holder would expire before it could send a report.
TEST(Settings, aTooShortQuietTimeIsRejected)
{
    STRCMP_CONTAINS("[usage] quiet-ms",
                    errorOf(std::string(validText) + "[usage]\naddress = 127.0.0.1:1\nquiet-ms = 1400\n").c_str());
}

TEST(Settings, regionsNameADataCentreEach)
{
    STRCMP_EQUAL("", errorOf(std::string(validText) + "[regions]\nlisbon-a = lisbon\nporto-a = north\n").c_str());
    STRCMP_CONTAINS("[regions] porto-a", errorOf(std::string(validText) + "[regions]\nporto-a =\n").c_str());
}

/// Guards against a host that holds more for slow callers than its memory bears, and against a bound nobody asked for.
TEST(Settings, theBoundForCallersFollowsFromTheMemoryUnlessItIsSet)
{
    const auto boundOf = [](const std::string &text) {
        const auto settings = Node::parseSettings(*Base::IniFile::parse(text, "y.ini"));
        CHECK_TRUE(settings.ok());
        return settings->responseBuffers.totalBytes;
    };
    constexpr std::size_t mebibyte = 1U << 20U;
    const std::string withMemory = replaced("data-centre = lisbon-a", "data-centre = lisbon-a\nmemory-mb = 110");
    CHECK_EQUAL(0U, boundOf(std::string(validText)));
    CHECK_EQUAL(110 * mebibyte / 4, boundOf(withMemory));
    CHECK_EQUAL(12 * mebibyte, boundOf(withMemory + "[limits]\nresponse-buffers-mb = 12\n"));
    CHECK_EQUAL(12 * mebibyte, boundOf(std::string(validText) + "[limits]\nresponse-buffers-mb = 12\n"));
}

/// Guards against hosts that are ended because the bodies of their requests take more memory than they have.
TEST(Settings, theBoundForBodiesFollowsFromTheMemoryUnlessItIsSet)
{
    const auto boundOf = [](const std::string &text) {
        const auto settings = Node::parseSettings(*Base::IniFile::parse(text, "y.ini"));
        CHECK_TRUE(settings.ok());
        return settings->callerLimits.bodyMemoryBytes;
    };
    constexpr std::size_t mebibyte = 1U << 20U;
    const std::string withMemory = replaced("data-centre = lisbon-a", "data-centre = lisbon-a\nmemory-mb = 110");
    CHECK_EQUAL(0U, boundOf(std::string(validText)));
    CHECK_EQUAL(110 * mebibyte / 4, boundOf(withMemory));
    CHECK_EQUAL(16 * mebibyte, boundOf(withMemory + "[limits]\nbody-memory-mb = 16\n"));
    CHECK_EQUAL(16 * mebibyte, boundOf(std::string(validText) + "[limits]\nbody-memory-mb = 16\n"));
    CHECK_EQUAL(64 * mebibyte, boundOf(withMemory + "[limits]\nbody-bytes = 33554432\n"));
}

/// Guards against a bound that refuses bodies within the limit for good, or that the host's memory could not bear.
TEST(Settings, invalidBoundsForBodiesAreRejected)
{
    const std::string withMemory = replaced("data-centre = lisbon-a", "data-centre = lisbon-a\nmemory-mb = 110");
    STRCMP_CONTAINS("[limits] body-memory-mb: expected at least twice body-bytes",
                    errorOf(withMemory + "[limits]\nbody-memory-mb = 7\n").c_str());
    STRCMP_CONTAINS("[limits] body-memory-mb: expected less than [host] memory-mb",
                    errorOf(withMemory + "[limits]\nbody-memory-mb = 110\n").c_str());
    STRCMP_CONTAINS("[limits] body-memory-mb: expected a whole number",
                    errorOf(std::string(validText) + "[limits]\nbody-memory-mb = 0\n").c_str());
}

/// Guards against a bound that could not keep the host from falling over.
TEST(Settings, invalidBoundsForCallersAreRejected)
{
    const std::string withMemory = replaced("data-centre = lisbon-a", "data-centre = lisbon-a\nmemory-mb = 110");
    STRCMP_CONTAINS("[limits] response-buffers-mb: expected less than [host] memory-mb",
                    errorOf(withMemory + "[limits]\nresponse-buffers-mb = 110\n").c_str());
    STRCMP_CONTAINS("[limits] response-buffers-mb: expected a whole number",
                    errorOf(std::string(validText) + "[limits]\nresponse-buffers-mb = 0\n").c_str());
    STRCMP_CONTAINS("[host] memory-mb",
                    errorOf(replaced("data-centre = lisbon-a", "data-centre = lisbon-a\nmemory-mb = much")).c_str());
    STRCMP_CONTAINS("[limits] unread-ms", errorOf(std::string(validText) + "[limits]\nunread-ms = 10\n").c_str());
}

/// Guards against hosts that go on with streams of which they cannot know the software version.
TEST(Settings, theTimeToTakeStreamsUpIsCheckedAndIsAMinuteUnlessItIsSet)
{
    const auto timeOf = [](const std::string &text) {
        const auto settings = Node::parseSettings(*Base::IniFile::parse(text, "y.ini"));
        CHECK_TRUE(settings.ok());
        return settings->policies.longestTakenUpStream;
    };
    CHECK_TRUE(timeOf(std::string(validText)) == std::chrono::minutes(1));
    CHECK_TRUE(timeOf(std::string(validText) + "[streams]\ntaken-up-within-s = 20\n") == std::chrono::seconds(20));
    STRCMP_CONTAINS("[streams] taken-up-within-s",
                    errorOf(std::string(validText) + "[streams]\ntaken-up-within-s = 0\n").c_str());
}
