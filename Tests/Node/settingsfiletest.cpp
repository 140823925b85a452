// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/settingsfile.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <fstream>

using namespace Yokepond::Node;

TEST_GROUP(SettingsFile)
{
    std::string path = std::string(std::filesystem::temp_directory_path()) + "/yokepond-settings-" + std::to_string(getpid());

    void teardown() override
    {
        std::filesystem::remove(path);
    }

    void write(const std::string &seeds, int age)
    {
        std::ofstream(path) << "[host]\nname = h\ndata-centre = d\n[listen]\ncaller = 127.0.0.1:1\noperator = 127.0.0.1:2\n"
                            << "peer = 127.0.0.1:3\n[peers]\nseeds = " << seeds << "\n[platform]\nform = records\n"
                            << "address = 127.0.0.1:4\n";
        std::filesystem::last_write_time(path, std::filesystem::file_time_type::clock::now() - std::chrono::seconds(age));
    }
};

TEST(SettingsFile, aChangeIsDetectedOnce)
{
    write("127.0.0.1:5", 20);
    SettingsFile file(path);
    CHECK_FALSE(file.hasChanged());
    write("127.0.0.1:6", 10);
    CHECK_TRUE(file.hasChanged());
    CHECK_FALSE(file.hasChanged());
    STRCMP_EQUAL("127.0.0.1:6", file.load()->seeds.front().c_str());
}

TEST(SettingsFile, aMissingOrInvalidFileCannotBeLoaded)
{
    write("127.0.0.1:5", 20);
    SettingsFile file(path);
    std::filesystem::remove(path);
    CHECK_FALSE(file.hasChanged());
    CHECK_FALSE(file.load().ok());
    write("not an address", 5);
    CHECK_TRUE(file.hasChanged());
    CHECK_FALSE(file.load().ok());
}
