// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/standarddescriptors.h"

#include "Base/childprocess.h"

#include <CppUTest/TestHarness.h>
#include <sys/socket.h>

using Yokepond::Base::openStandardDescriptors;

namespace {

/// Closes the standard descriptors whose bit is set in @p missing, opens them again, and returns the number that a socket then
/// gets.
int nextDescriptor(unsigned int missing)
{
    for (int descriptor = STDIN_FILENO; descriptor <= STDERR_FILENO; ++descriptor) {
        if ((missing >> static_cast<unsigned int>(descriptor) & 1U) != 0) {
            close(descriptor);
        }
    }
    openStandardDescriptors();
    return socket(AF_INET, SOCK_STREAM, 0);
}

} // namespace

TEST_GROUP(StandardDescriptors) {};

/// Guards against sockets that become standard output or error of a daemon which was started without them.
TEST(StandardDescriptors, noSocketGetsTheNumberOfOneThatIsMissing)
{
    for (unsigned int missing = 0; missing < 8; ++missing) {
        CHECK_TRUE(runInChild([missing] { return nextDescriptor(missing); }).exitCode > STDERR_FILENO);
    }
}

TEST(StandardDescriptors, theOnesThatAreOpenStay)
{
    const EndOfChild end = runInChild([] {
        close(STDIN_FILENO);
        openStandardDescriptors();
        return write(STDERR_FILENO, "kept", 4) == 4 ? 0 : 1;
    });
    STRCMP_EQUAL("kept", end.standardError.c_str());
}
