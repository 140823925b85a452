// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/standarddescriptors.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

namespace Yokepond::Base {

void openStandardDescriptors()
{
    for (int descriptor = STDIN_FILENO; descriptor <= STDERR_FILENO; ++descriptor) {
        if (::fcntl(descriptor, F_GETFD) != -1 || errno != EBADF) {
            continue;
        }
        // The lowest free number is the one that is missing. The root directory is the fallback where there is no /dev.
        if (::open("/dev/null", O_RDWR) < 0) {
            ::open("/", O_PATH);
        }
    }
}

} // namespace Yokepond::Base
