// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Standard input, output and error of a daemon that was started without them.

#pragma once

namespace Yokepond::Base {

/// Opens /dev/null as each of the descriptors 0 to 2 that is closed. Otherwise a socket would get its number and receive what is
/// written to standard output or error. Must be called before anything else opens a descriptor. Needs no library to be
/// initialised.
void openStandardDescriptors();

} // namespace Yokepond::Base
