// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Identifies the processes of hosts. A host that restarts keeps its name and its addresses, but its new process knows nothing of
/// what its former process began. A message that continues an exchange is therefore for one process and not for a host.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Yokepond::Peer {

/// A process of a host, or a host whichever its process.
struct Process
{
    std::string name; ///< the host's
    std::uint64_t incarnation = 0; ///< differs for each process of the fleet; 0 stands for whichever process the host has

    Process() = default;

    /// The constructor is implicit since a message that begins an exchange is for a host, which has a name.
    Process(std::string host, std::uint64_t number = 0);
    Process(const char *host, std::uint64_t number = 0);

    auto operator<=>(const Process &) const = default;
};

/// To whom the transport sends a message.
struct Recipient
{
    std::string address; ///< the host's address for peers, ip:port
    std::uint64_t incarnation = 0; ///< the only process that may receive the message; 0: whichever process listens there
};

/// Hands out numbers that no other process of the same host hands out, so that a reply to a number of the former process never
/// fits one of this process, whichever build sent the reply. They begin behind the incarnation, which is a time in units of a
/// 4096th of a microsecond, and thus stay below the incarnation of any later process.
class ProcessNumbers
{
public:
    explicit ProcessNumbers(std::uint64_t incarnation)
        : m_last(incarnation)
    {
    }

    std::uint64_t next()
    {
        return ++m_last;
    }

private:
    std::uint64_t m_last;
};

/// Returns the name of the request to which @p home gave @p number. It is unique in the fleet and counts from 1 for each process.
std::string requestName(const Process &home, std::uint64_t number);

/// Returns the number that @p home gave to the request called @p name, or nothing if that is no request of this process.
std::optional<std::uint64_t> requestNumber(const Process &home, std::string_view name);

} // namespace Yokepond::Peer
